"""Metrics of a control VM."""

from aioprometheus import Counter, Gauge
from cardamomshunt.events import EventNumber

from cardamomshunt_node._daemon_metrics import DaemonMetrics
from cardamomshunt_node._storage_metrics import StorageMetrics

# Present from the start, as alerts see only increases of a series that exists.
_ELECTION_EVENTS = (
    EventNumber.LEADER_ELECTED,
    EventNumber.LEADER_STEPPED_DOWN,
    EventNumber.ELECTION_STARTED,
    EventNumber.ELECTION_FAILED,
    EventNumber.PRE_VOTE_FAILED,
)


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
        self._events = Counter(
            "cardamomshunt_events_total",
            "Events of the replicated log by number.",
            registry=self.registry,
        )
        for number in _ELECTION_EVENTS:
            self._events.set({"number": str(int(number))}, 0)
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

    def count_event(self, number: int) -> None:
        """Count an event of the catalogue."""
        self._events.inc({"number": str(int(number))})

    def set_state(self, is_leader: bool, version: int, n_entries: int) -> None:
        """Set the gauges."""
        self._is_leader.set({}, int(is_leader))
        self._version.set({}, version)
        self._entries.set({}, n_entries)
