"""Spread by plain fan-out: the leader talks to every member."""

from cardamomshunt._dissemination.base import DisseminationBase
from cardamomshunt._dissemination.interface import (
    DisseminationEffect,
    DisseminationMember,
    DisseminationSettings,
    NodeHeartbeat,
    SendTo,
    StateUpdate,
)
from cardamomshunt._dissemination.state import HeartbeatTable
from cardamomshunt._shared.messages import Message


class FanOutDissemination(DisseminationBase):
    """Send every version to every member, and get every beat."""

    def __init__(
        self,
        now_ms: float,
        own: DisseminationMember,
        leader: str,
        members: list[DisseminationMember],
        settings: DisseminationSettings,
        phase: float,
    ) -> None:
        super().__init__(now_ms, own, leader, settings, phase)
        self._beats = HeartbeatTable(settings.unresponsive_after_ms)
        if self._is_leader:
            for member in members:
                if member.node != own.node:
                    self._beats.expect(member.node, now_ms)

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Send a new version to every member."""
        self._state.apply(StateUpdate(version=version, payload=payload))
        return [self._state.send(node) for node in self._beats.last_heartbeat_ms]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Take over a version, or a beat; a lagging member gets the version again."""
        if isinstance(message, StateUpdate):
            effects = self._state.apply(message)
            return [*effects, self._beat()] if effects else []
        if isinstance(message, NodeHeartbeat) and self._is_leader:
            self._beats.record(sender, now_ms, message.version)
            if message.version < self.version:
                return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send a beat to the leader."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        return [] if self._is_leader else [self._beat()]

    def _beat(self) -> SendTo:
        return SendTo(node=self._leader, message=NodeHeartbeat(version=self.version))

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members whose beats are missing."""
        return self._beats.unresponsive(now_ms)

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members whose last beat had an older version."""
        return self._beats.lagging(self.version)
