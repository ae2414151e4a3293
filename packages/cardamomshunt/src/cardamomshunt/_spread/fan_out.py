"""Spread by plain fan-out: the leader talks to every member."""

from cardamomshunt._shared.messages import Message
from cardamomshunt._spread.base import SpreadBase
from cardamomshunt._spread.interface import (
    NodeBeat,
    SendTo,
    SpreadEffect,
    SpreadMember,
    SpreadSettings,
    StateUpdate,
)
from cardamomshunt._spread.state import BeatTable


class FanOutSpread(SpreadBase):
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
        super().__init__(now_ms, own, leader, settings, phase)
        self._beats = BeatTable(settings.silent_after_ms)
        if self._is_leader:
            for member in members:
                if member.node != own.node:
                    self._beats.expect(member.node, now_ms)

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
        if isinstance(message, NodeBeat) and self._is_leader:
            self._beats.note(sender, now_ms, message.version)
            if message.version < self.version:
                return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[SpreadEffect]:
        """Send a beat to the leader."""
        if now_ms < self._next_beat_ms:
            return []
        self._next_beat_ms = now_ms + self._settings.beat_ms
        return [] if self._is_leader else [self._beat()]

    def _beat(self) -> SendTo:
        return SendTo(node=self._leader, message=NodeBeat(version=self.version))

    def silent_members(self, now_ms: float) -> set[str]:
        """Return the members whose beats are missing."""
        return self._beats.silent(now_ms)

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members whose last beat had an older version."""
        return self._beats.lagging(self.version)
