"""Spread by plain fan-out: the leader talks to every member."""

from cardamomshunt._shared.messages import Message
from cardamomshunt._spread.interface import (
    AbstractSpread,
    NodeBeat,
    SendTo,
    SpreadEffect,
    SpreadMember,
    SpreadSettings,
    StateUpdate,
)
from cardamomshunt._spread.state import BeatTable, SpreadState


class FanOutSpread(AbstractSpread):
    """Send every version to every member, and get every beat."""

    def __init__(
        self,
        now_ms: float,
        own: SpreadMember,
        leader: str,
        members: list[SpreadMember],
        settings: SpreadSettings,
        phase: float,
    ) -> None:
        self._own = own
        self._leader = leader
        self._settings = settings
        self._state = SpreadState()
        self._next_beat_ms = now_ms + phase * settings.beat_ms
        self._beats = BeatTable(settings.silent_after_ms)
        if own.node == leader:
            for member in members:
                if member.node != own.node:
                    self._beats.expect(member.node, now_ms)

    @property
    def version(self) -> int:
        """Return the newest version that this member has."""
        return self._state.version

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[SpreadEffect]:
        """Send a new version to every member."""
        self._state.take(StateUpdate(version=version, payload=payload))
        return [self._state.send(node) for node in self._beats.heard_ms]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[SpreadEffect]:
        """Take over a version, or a beat; a lagging member gets the version again."""
        if isinstance(message, StateUpdate):
            effects = self._state.take(message)
            return [*effects, self._beat()] if effects else []
        if isinstance(message, NodeBeat) and self._own.node == self._leader:
            self._beats.note(sender, now_ms, message.version)
            if message.version < self.version:
                return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[SpreadEffect]:
        """Send a beat to the leader."""
        if now_ms < self._next_beat_ms:
            return []
        self._next_beat_ms = now_ms + self._settings.beat_ms
        return [] if self._own.node == self._leader else [self._beat()]

    def _beat(self) -> SendTo:
        return SendTo(node=self._leader, message=NodeBeat(version=self.version))

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next beat."""
        return self._next_beat_ms

    def silent_members(self, now_ms: float) -> set[str]:
        """Return the members whose beats are missing."""
        return self._beats.silent(now_ms)

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members whose last beat had an older version."""
        return self._beats.lagging(self.version)
