"""Position bounds that entry VMs share through their assigned control node.

An age is valid however long a message takes: the receiver counts it from when it sent
its request, which is never later than when the sender measured the age.
"""

import msgspec

from cardamomshunt._data_path.freshness import DatedPosition
from cardamomshunt._shared.position import LogPosition

# A control node answers some hundred requests per second.
_N_PENDING_REQUESTS_MAX = 512


class SharedBound(msgspec.Struct, frozen=True, array_like=True):
    """Upper bound of the positions of all writes acknowledged `age_ms` ago."""

    group: str
    position: LogPosition
    age_ms: float


class BoundExchange:
    """Exchange bounds with peers, and store the newest one of each group."""

    def __init__(self) -> None:
        self._newest: dict[str, DatedPosition] = {}
        self._requested_ms: dict[int, float] = {}
        self._known: dict[str, dict[str, float]] = {}

    def record_request(self, number: int, now_ms: float) -> None:
        """Record when the message with this number was sent, for its reply."""
        self._requested_ms[number] = now_ms
        if len(self._requested_ms) > _N_PENDING_REQUESTS_MAX:
            del self._requested_ms[next(iter(self._requested_ms))]

    def receive(
        self, peer: str, number: int, bounds: list[SharedBound]
    ) -> dict[str, DatedPosition]:
        """Merge the bounds of a peer's reply; return those that are newer."""
        requested_ms = self._requested_ms.get(number)
        if requested_ms is None:
            return {}
        updates = {}
        for bound in bounds:
            dated = DatedPosition(bound.position, requested_ms - bound.age_ms)
            self._known.setdefault(peer, {})[bound.group] = dated.since_ms
            if self.add(bound.group, dated):
                updates[bound.group] = dated
        return updates

    def add(self, group: str, bound: DatedPosition) -> bool:
        """Store a bound and return True, unless a newer one is known."""
        known = self._newest.get(group)
        if known is not None and known.since_ms >= bound.since_ms:
            return False
        self._newest[group] = bound
        return True

    def bounds_for(self, peer: str, now_ms: float) -> list[SharedBound]:
        """Return the bounds newer than those exchanged with a peer so far."""
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
        """Discard the record of which bounds a peer has."""
        self._known.pop(peer, None)
