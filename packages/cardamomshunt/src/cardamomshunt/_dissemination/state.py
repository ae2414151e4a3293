"""State that all dissemination strategies have in common."""

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
    """Newest known state, which an older one never replaces.

    >>> state = DisseminationState()
    >>> len(state.apply(StateUpdate(version=2, payload=b"")))
    1
    >>> state.apply(StateUpdate(version=1, payload=b""))
    []
    """

    version: int = 0
    payload: bytes = b""

    def apply(self, update: StateUpdate) -> list[DisseminationEffect]:
        """Replace the state if the update is newer."""
        if update.version <= self.version:
            return []
        self.version = update.version
        self.payload = update.payload
        return [StateReceived(version=update.version, payload=update.payload)]

    def send(self, node: str) -> SendTo:
        """Return the effect that sends the state to a member."""
        update = StateUpdate(version=self.version, payload=self.payload)
        return SendTo(node=node, message=update)


@dataclass(slots=True)
class HeartbeatTable:
    """Time of the last heartbeat and the version of each member."""

    unresponsive_after_ms: float
    last_heartbeat_ms: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def expect(self, node: str, now_ms: float) -> None:
        """Start to expect heartbeats from a member."""
        self.last_heartbeat_ms.setdefault(node, now_ms)
        self.versions.setdefault(node, 0)

    def record(self, node: str, now_ms: float, version: int) -> None:
        """Record a heartbeat."""
        self.last_heartbeat_ms[node] = now_ms
        self.versions[node] = max(version, self.versions.get(node, 0))

    def unresponsive(self, now_ms: float) -> set[str]:
        """Return the members whose heartbeat is overdue."""
        return self.unresponsive_for(now_ms, self.unresponsive_after_ms)

    def unresponsive_for(self, now_ms: float, duration_ms: float) -> set[str]:
        """Return the members without a heartbeat for the given duration."""
        oldest_ms = now_ms - duration_ms
        return {
            node for node, at_ms in self.last_heartbeat_ms.items() if at_ms < oldest_ms
        }

    def lagging(self, version: int) -> set[str]:
        """Return the members that have an older version."""
        return {node for node, known in self.versions.items() if known < version}

    def report(
        self, group: str, sequence: int, version: int, now_ms: float
    ) -> GroupReport:
        """Return a summary of a group."""
        return GroupReport(
            group=group,
            sequence=sequence,
            common_version=version,
            lagging={node: self.versions[node] for node in self.lagging(version)},
            unresponsive=sorted(self.unresponsive(now_ms)),
        )
