"""Bounds of positions that entry VMs of a zone share through their home.

Ages are safe however long a message takes: the receiver counts an age from when it
asked, which is never later than when the age was taken.
"""

import msgspec

from cardamomshunt._data_path.freshness import DatedPosition
from cardamomshunt._shared.position import LogPosition

# A home answers some hundred requests a second.
_N_ASKED_MAX = 512


class SharedBound(msgspec.Struct, frozen=True, array_like=True):
    """State that all that was acknowledged `age_ms` ago is at or before a position."""

    group: str
    position: LogPosition
    age_ms: float


class BoundExchange:
    """Hold the newest bound of each group, and date what comes in."""

    def __init__(self) -> None:
        self._newest: dict[str, DatedPosition] = {}
        self._asked_ms: dict[int, float] = {}
        self._known: dict[str, dict[str, float]] = {}

    def record_request(self, number: int, now_ms: float) -> None:
        """Note when the message was sent that an answer will name."""
        self._asked_ms[number] = now_ms
        if len(self._asked_ms) > _N_ASKED_MAX:
            del self._asked_ms[next(iter(self._asked_ms))]

    def receive(
        self, peer: str, number: int, bounds: list[SharedBound]
    ) -> dict[str, DatedPosition]:
        """Take a peer's bounds that answer a message; return those that are news."""
        asked_ms = self._asked_ms.get(number)
        if asked_ms is None:
            return {}
        news = {}
        for bound in bounds:
            dated = DatedPosition(bound.position, asked_ms - bound.age_ms)
            self._known.setdefault(peer, {})[bound.group] = dated.since_ms
            if self.add(bound.group, dated):
                news[bound.group] = dated
        return news

    def add(self, group: str, bound: DatedPosition) -> bool:
        """Take a bound unless a newer one is known."""
        known = self._newest.get(group)
        if known is not None and known.since_ms >= bound.since_ms:
            return False
        self._newest[group] = bound
        return True

    def bounds_for(self, peer: str, now_ms: float) -> list[SharedBound]:
        """Return the bounds that are newer than what a peer gave or was given."""
        known = self._known.setdefault(peer, {})
        found = []
        for group, bound in self._newest.items():
            if bound.since_ms > known.get(group, float("-inf")):
                known[group] = bound.since_ms
                found.append(
                    SharedBound(group, bound.position, now_ms - bound.since_ms)
                )
        return found

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer knows."""
        self._known.pop(peer, None)
