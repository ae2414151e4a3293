"""Confirmed bounds of a database, and the requirements of a read.

A confirmed bound is a position with a time: all writes that were acknowledged before
that time are at or before the position.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from cardamomshunt._shared.position import ZERO, LogPosition

N_BOUNDS_MAX = 256  # 12 s at ten bounds a second; older ones are thinned out


@dataclass(slots=True, frozen=True)
class DatedPosition:
    """Position with the time since which it has been known."""

    position: LogPosition
    since_ms: float


class BoundHistory:
    """Store confirmed bounds in the order of both time and position.

    A bound is dropped if another one is not older and not further in the log. Dropping
    a bound is always safe, because ages then are only overestimated. Bounds stay valid
    after a change of term, as each one is a fact about the past.
    """

    __slots__ = ("_positions", "_times_ms")

    def __init__(self) -> None:
        self._positions: list[LogPosition] = []
        self._times_ms: list[float] = []

    def __len__(self) -> int:
        return len(self._times_ms)

    def add(self, position: LogPosition, as_of_ms: float) -> bool:
        """Add a bound; return False if it is not newer than the newest one."""
        if self._times_ms and as_of_ms <= self._times_ms[-1]:
            return False
        while self._positions and self._positions[-1] >= position:
            self._positions.pop()
            self._times_ms.pop()
        self._positions.append(position)
        self._times_ms.append(as_of_ms)
        if len(self._times_ms) > N_BOUNDS_MAX:
            self._thin_out()
        return True

    def _thin_out(self) -> None:
        half = N_BOUNDS_MAX // 2
        self._positions[:half] = self._positions[:half:2]
        self._times_ms[:half] = self._times_ms[:half:2]

    def newest_ms(self) -> float | None:
        """Return the time of the newest bound."""
        return self._times_ms[-1] if self._times_ms else None

    def newest(self) -> DatedPosition | None:
        """Return the newest bound."""
        if not self._times_ms:
            return None
        return DatedPosition(self._positions[-1], self._times_ms[-1])

    def first_since(self, since_ms: float) -> LogPosition | None:
        """Return the lowest position confirmed at or after a time."""
        bound = self.first_bound_since(since_ms)
        return bound.position if bound else None

    def first_bound_since(self, since_ms: float) -> DatedPosition | None:
        """Return the lowest position confirmed at or after a time, with its time."""
        index = bisect_left(self._times_ms, since_ms)
        if index == len(self._times_ms):
            return None
        return DatedPosition(self._positions[index], self._times_ms[index])

    def lacks_old_writes(self, applied: LogPosition, until_ms: float) -> bool:
        """Return whether `applied` provably lacks a write confirmed by `until_ms`."""
        index = bisect_right(self._times_ms, until_ms)
        return index > 0 and applied < self._positions[index - 1]

    def as_of_ms(self, applied: LogPosition) -> float | None:
        """Return the latest time up to which `applied` provably includes all writes.

        >>> history = BoundHistory()
        >>> history.add(LogPosition(1, 10), 5.0), history.add(LogPosition(1, 20), 6.0)
        (True, True)
        >>> history.as_of_ms(LogPosition(1, 15))
        5.0
        """
        index = bisect_right(self._positions, applied)
        return self._times_ms[index - 1] if index else None


@dataclass(slots=True)
class ReadRequirement:
    """Requirements that an instance must provably meet before it may serve a read.

    If `bound_since_ms` is set, `position` is incomplete until a bound that is not older
    has raised it. Only the instance that served the last read of the session may serve
    the read before that, because its position does not decrease. If `max_age_ms` is
    None, any age is accepted.
    """

    position: LogPosition = ZERO
    bound_since_ms: float | None = None
    max_age_ms: float | None = None
    last_instance: str = ""
    last_incarnation: int = -1
    last_term: int = -1

    def resolve(self, bounds: BoundHistory) -> None:
        """Replace the required bound by its position if such a bound is known."""
        if self.bound_since_ms is None:
            return
        position = bounds.first_since(self.bound_since_ms)
        if position is not None:
            self.position = max(self.position, position)
            self.bound_since_ms = None

    def is_too_old(self, age_ms: float | None) -> bool:
        """Return whether an answer is older than accepted; None is an unknown age."""
        if self.max_age_ms is None:
            return False
        return age_ms is None or age_ms > self.max_age_ms
