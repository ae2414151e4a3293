"""Dissemination by plain fan-out: the leader sends to every member directly."""

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
    """Send each version to every member and receive the heartbeat of each."""

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
        self._heartbeats = HeartbeatTable(settings.unresponsive_after_ms)
        if self._is_leader:
            for member in members:
                if member.node != own.node:
                    self._heartbeats.expect(member.node, now_ms)

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Send a new version to every member."""
        self._state.apply(StateUpdate(version=version, payload=payload))
        return [self._state.send(node) for node in self._heartbeats.last_heartbeat_ms]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Apply a version, or record a heartbeat and update a lagging member."""
        if isinstance(message, StateUpdate):
            effects = self._state.apply(message)
            return [*effects, self._heartbeat()] if effects else []
        if isinstance(message, NodeHeartbeat) and self._is_leader:
            self._heartbeats.record(sender, now_ms, message.version)
            if message.version < self.version:
                return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send a heartbeat to the leader when one is due."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        return [] if self._is_leader else [self._heartbeat()]

    def _heartbeat(self) -> SendTo:
        return SendTo(node=self._leader, message=NodeHeartbeat(version=self.version))

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members whose heartbeats are overdue."""
        return self._heartbeats.unresponsive(now_ms)

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members whose last heartbeat reported an older version."""
        return self._heartbeats.lagging(self.version)
