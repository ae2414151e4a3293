"""Metrics of a control VM."""

from aioprometheus import Counter, Gauge

from cardamomshunt_node._daemon_metrics import DaemonMetrics
from cardamomshunt_node._storage_metrics import StorageMetrics


class ControlMetrics(DaemonMetrics):
    """Record the metrics of a control VM."""

    def __init__(self) -> None:
        super().__init__()
        self._calls = Counter(
            "cardamomshunt_control_calls_total",
            "Calls of servers and operators, by kind and status.",
            registry=self.registry,
        )
        self._grants = Counter(
            "cardamomshunt_lease_grants_total",
            "Leases granted to entry VMs.",
            registry=self.registry,
        )
        self._replacements = Counter(
            "cardamomshunt_replacements_total",
            "Replacements of a primary that were begun, by reason.",
            registry=self.registry,
        )
        self.storage = StorageMetrics(self.registry)
        self._is_leader = Gauge(
            "cardamomshunt_is_leader",
            "1 while this node leads.",
            registry=self.registry,
        )
        self._version = Gauge(
            "cardamomshunt_configuration_version",
            "Newest committed version of the configuration.",
            registry=self.registry,
        )
        self._entries = Gauge(
            "cardamomshunt_entries",
            "Entry VMs that asked lately.",
            registry=self.registry,
        )

    def count_call(self, kind: str, status: int) -> None:
        """Count a control call by its kind and HTTP status."""
        self._calls.inc({"kind": kind, "status": str(status)})

    def count_grant(self) -> None:
        """Count a granted lease."""
        self._grants.inc({})

    def count_replacement(self, reason: str) -> None:
        """Count a replacement."""
        self._replacements.inc({"reason": reason})

    def set_state(self, is_leader: bool, version: int, n_entries: int) -> None:
        """Set the gauges."""
        self._is_leader.set({}, int(is_leader))
        self._version.set({}, version)
        self._entries.set({}, n_entries)
