"""Liveness of the daemons, and the versions that they serve."""

from dataclasses import dataclass, field

from cardamomshunt._shared.messages import HealthReport, Heartbeat, NodeRole

LIVENESS_TIMEOUT_MS = 3_000.0
# A node not heard from for this long counts as removed, not as unreachable.
_NODE_RETENTION_MS = 900_000.0
_RESEND_INTERVAL_MS = 250.0


@dataclass(slots=True)
class NodeView:
    """Last heartbeat of one daemon, and what was sent to it."""

    heartbeat: Heartbeat
    address: str
    last_heard_ms: float
    topology_sent: tuple[int, float] = (-1, float("-inf"))
    configuration_sent: tuple[int, float] = (-1, float("-inf"))
    drain_due_ms: float = float("-inf")

    def is_live(self, now_ms: float) -> bool:
        """Return whether the daemon was heard from within the liveness timeout."""
        return now_ms - self.last_heard_ms <= LIVENESS_TIMEOUT_MS

    def needs_topology(self, now_ms: float, version: int) -> bool:
        """Return whether to send a topology; the same one is resent at an interval."""
        sent_version, sent_ms = self.topology_sent
        if self.heartbeat.topology_version >= version:
            return False
        return sent_version < version or now_ms - sent_ms >= _RESEND_INTERVAL_MS

    def needs_configuration(self, now_ms: float, version: int) -> bool:
        """Return whether to send a configuration; resent like a topology."""
        sent_version, sent_ms = self.configuration_sent
        if self.heartbeat.configuration_version >= version:
            return False
        return sent_version < version or now_ms - sent_ms >= _RESEND_INTERVAL_MS


@dataclass(slots=True)
class NodeRegistry:
    """Track the daemons by their heartbeats."""

    nodes: dict[str, NodeView] = field(default_factory=dict)

    def on_heartbeat(
        self, now_ms: float, address: str, heartbeat: Heartbeat
    ) -> NodeView:
        """Record a heartbeat and return the view of its node.

        Versions never go back within an incarnation: a reordered heartbeat only renews
        the liveness.
        """
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
        """Record a node from which a new leader has not received a heartbeat yet.

        Its versions are not known, so everything is sent to it.
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
        """Return where a configuration is in force and where it is missing, by node."""
        in_force, missing = [], []
        for name, view in sorted(self.nodes.items()):
            silence_ms = now_ms - view.last_heard_ms
            if silence_ms > LIVENESS_TIMEOUT_MS:
                missing.append(f"{name} (unreachable for {silence_ms / 1_000.0:.0f} s)")
            elif view.heartbeat.configuration_version >= version:
                in_force.append(name)
            else:
                missing.append(name)
        return in_force, missing

    def is_in_force_on_live_nodes(self, now_ms: float, version: int) -> bool:
        """Return whether every live node serves a configuration."""
        return all(
            view.heartbeat.configuration_version >= version
            for view in self.nodes.values()
            if view.is_live(now_ms)
        )

    def remove_expired(self, now_ms: float) -> None:
        """Remove nodes that were not heard from within the retention time."""
        for name in list(self.nodes):
            if now_ms - self.nodes[name].last_heard_ms > _NODE_RETENTION_MS:
                del self.nodes[name]
