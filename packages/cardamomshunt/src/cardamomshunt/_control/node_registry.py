"""Which daemons are alive, and which versions they serve."""

from dataclasses import dataclass, field

from cardamomshunt._shared.messages import HealthReport, Heartbeat, NodeRole

LIVENESS_TIMEOUT_MS = 3_000.0
# A node that is gone this long is taken as removed and no longer named as cut off.
_NODE_RETENTION_MS = 900_000.0
_RESEND_INTERVAL_MS = 250.0


@dataclass(slots=True)
class NodeView:
    """Hold what is known of one daemon."""

    heartbeat: Heartbeat
    address: str
    last_heard_ms: float
    topology_sent: tuple[int, float] = (-1, float("-inf"))
    configuration_sent: tuple[int, float] = (-1, float("-inf"))
    drain_due_ms: float = float("-inf")

    def is_live(self, now_ms: float) -> bool:
        """Tell whether a heartbeat arrived recently."""
        return now_ms - self.last_heard_ms <= LIVENESS_TIMEOUT_MS

    def needs_topology(self, now_ms: float, version: int) -> bool:
        """Tell whether a topology is due, not repeating it at every heartbeat."""
        sent_version, sent_ms = self.topology_sent
        if self.heartbeat.topology_version >= version:
            return False
        return sent_version < version or now_ms - sent_ms >= _RESEND_INTERVAL_MS

    def needs_configuration(self, now_ms: float, version: int) -> bool:
        """Tell whether a configuration is due."""
        sent_version, sent_ms = self.configuration_sent
        if self.heartbeat.configuration_version >= version:
            return False
        return sent_version < version or now_ms - sent_ms >= _RESEND_INTERVAL_MS


@dataclass(slots=True)
class NodeRegistry:
    """Collect heartbeats."""

    nodes: dict[str, NodeView] = field(default_factory=dict)

    def on_heartbeat(
        self, now_ms: float, address: str, heartbeat: Heartbeat
    ) -> NodeView:
        """Take over a heartbeat; versions never go back within an incarnation."""
        known = self.nodes.get(heartbeat.node)
        if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
            known = NodeView(heartbeat, address, now_ms)
            self.nodes[heartbeat.node] = known
            return known
        old = known.heartbeat
        is_reordered = (
            heartbeat.configuration_version < old.configuration_version
            or heartbeat.topology_version < old.topology_version
        )
        if not is_reordered:
            known.heartbeat, known.address = heartbeat, address
        known.last_heard_ms = now_ms
        return known

    def on_report(self, now_ms: float, address: str, report: HealthReport) -> None:
        """Note a node that a new leader has no heartbeat of yet.

        Its versions are not known, so it gets all there is.
        """
        if report.node in self.nodes:
            return
        heartbeat = Heartbeat(
            node=report.node,
            role=NodeRole.PROXY,
            zone=report.zone,
            incarnation=0,
            operator_address="",
            configuration_version=0,
            topology_version=0,
        )
        self.nodes[report.node] = NodeView(heartbeat, address, now_ms)

    def proxies(self, now_ms: float) -> list[NodeView]:
        """Return the live entry VMs."""
        return [
            view
            for view in self.nodes.values()
            if view.heartbeat.role is NodeRole.PROXY and view.is_live(now_ms)
        ]

    def in_force(self, now_ms: float, version: int) -> tuple[list[str], list[str]]:
        """Return where a configuration is in force, and which nodes miss it."""
        in_force, missing = [], []
        for name, view in sorted(self.nodes.items()):
            silence_ms = now_ms - view.last_heard_ms
            if silence_ms > LIVENESS_TIMEOUT_MS:
                missing.append(f"{name} (cut off for {silence_ms / 1_000.0:.0f} s)")
            elif view.heartbeat.configuration_version >= version:
                in_force.append(name)
            else:
                missing.append(name)
        return in_force, missing

    def is_in_force_on_live_nodes(self, now_ms: float, version: int) -> bool:
        """Tell whether every live node serves a configuration."""
        return all(
            view.heartbeat.configuration_version >= version
            for view in self.nodes.values()
            if view.is_live(now_ms)
        )

    def remove_expired(self, now_ms: float) -> None:
        """Drop nodes that are gone for good."""
        for name in list(self.nodes):
            if now_ms - self.nodes[name].last_heard_ms > _NODE_RETENTION_MS:
                del self.nodes[name]
