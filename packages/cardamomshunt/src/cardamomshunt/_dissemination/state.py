"""State that every way of spreading keeps."""

from dataclasses import dataclass, field

from cardamomshunt._dissemination.interface import (
    DisseminationEffect,
    GroupReport,
    SendTo,
    StateReceived,
    StateUpdate,
)


@dataclass(slots=True)
class DisseminationState:
    """Hold the newest state; older ones are never taken over.

    >>> state = DisseminationState()
    >>> len(state.apply(StateUpdate(version=2, payload=b"")))
    1
    >>> state.apply(StateUpdate(version=1, payload=b""))
    []
    """

    version: int = 0
    payload: bytes = b""

    def apply(self, update: StateUpdate) -> list[DisseminationEffect]:
        """Take over a newer state."""
        if update.version <= self.version:
            return []
        self.version = update.version
        self.payload = update.payload
        return [StateReceived(version=update.version, payload=update.payload)]

    def send(self, node: str) -> SendTo:
        """Send the state to a member."""
        update = StateUpdate(version=self.version, payload=self.payload)
        return SendTo(node=node, message=update)


@dataclass(slots=True)
class HeartbeatTable:
    """Keep when each member was last heard of, and its version."""

    unresponsive_after_ms: float
    last_heartbeat_ms: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def expect(self, node: str, now_ms: float) -> None:
        """Start to wait for a member."""
        self.last_heartbeat_ms.setdefault(node, now_ms)
        self.versions.setdefault(node, 0)

    def record(self, node: str, now_ms: float, version: int) -> None:
        """Note a beat."""
        self.last_heartbeat_ms[node] = now_ms
        self.versions[node] = max(version, self.versions.get(node, 0))

    def unresponsive(self, now_ms: float) -> set[str]:
        """Return the members that were not heard of in time."""
        return self.unresponsive_for(now_ms, self.unresponsive_after_ms)

    def unresponsive_for(self, now_ms: float, duration_ms: float) -> set[str]:
        """Return the members that were not heard of for some time."""
        oldest_ms = now_ms - duration_ms
        return {
            node for node, at_ms in self.last_heartbeat_ms.items() if at_ms < oldest_ms
        }

    def lagging(self, version: int) -> set[str]:
        """Return the members with an older version."""
        return {node for node, known in self.versions.items() if known < version}

    def report(
        self, group: str, sequence: int, version: int, now_ms: float
    ) -> GroupReport:
        """Sum up a group."""
        return GroupReport(
            group=group,
            sequence=sequence,
            common_version=version,
            lagging={node: self.versions[node] for node in self.lagging(version)},
            unresponsive=sorted(self.unresponsive(now_ms)),
        )
