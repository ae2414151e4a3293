"""State that every way of spreading keeps."""

from dataclasses import dataclass, field

from cardamomshunt._spread.interface import (
    GroupReport,
    SendTo,
    SpreadEffect,
    StateReceived,
    StateUpdate,
)


@dataclass(slots=True)
class SpreadState:
    """Hold the newest state; older ones are never taken over.

    >>> state = SpreadState()
    >>> len(state.take(StateUpdate(version=2, payload=b"")))
    1
    >>> state.take(StateUpdate(version=1, payload=b""))
    []
    """

    version: int = 0
    payload: bytes = b""

    def take(self, update: StateUpdate) -> list[SpreadEffect]:
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
class BeatTable:
    """Keep when each member was last heard of, and its version."""

    silent_after_ms: float
    heard_ms: dict[str, float] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def expect(self, node: str, now_ms: float) -> None:
        """Start to wait for a member."""
        self.heard_ms.setdefault(node, now_ms)
        self.versions.setdefault(node, 0)

    def note(self, node: str, now_ms: float, version: int) -> None:
        """Note a beat."""
        self.heard_ms[node] = now_ms
        self.versions[node] = max(version, self.versions.get(node, 0))

    def silent(self, now_ms: float) -> set[str]:
        """Return the members that were not heard of in time."""
        return self.unheard_for(now_ms, self.silent_after_ms)

    def unheard_for(self, now_ms: float, duration_ms: float) -> set[str]:
        """Return the members that were not heard of for some time."""
        oldest_ms = now_ms - duration_ms
        return {node for node, at_ms in self.heard_ms.items() if at_ms < oldest_ms}

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
            silent=sorted(self.silent(now_ms)),
        )
