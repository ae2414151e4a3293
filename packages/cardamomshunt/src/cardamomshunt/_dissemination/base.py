"""Shared base class of the dissemination strategies."""

from cardamomshunt._dissemination.interface import (
    AbstractDissemination,
    DisseminationMember,
    DisseminationSettings,
)
from cardamomshunt._dissemination.state import DisseminationState


class DisseminationBase(AbstractDissemination):
    """Track this member, the newest state and the time of the next heartbeat."""

    def __init__(
        self,
        now_ms: float,
        own: DisseminationMember,
        leader: str,
        settings: DisseminationSettings,
        phase: float,
    ) -> None:
        self._own = own
        self._leader = leader
        self._settings = settings
        self._state = DisseminationState()
        self._next_heartbeat_ms = now_ms + phase * settings.heartbeat_ms

    @property
    def version(self) -> int:
        """Return the newest version that this member has received."""
        return self._state.version

    @property
    def _is_leader(self) -> bool:
        return self._own.node == self._leader

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next heartbeat."""
        return self._next_heartbeat_ms
