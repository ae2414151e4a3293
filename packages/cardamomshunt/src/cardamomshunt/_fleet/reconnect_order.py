"""Openings of connections to one server, at a pace that the server keeps up with.

After a start or a loss of connections all entry VMs open connections at the same time,
and each opening takes up a slot of the server.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

# An opening is slow if it takes this many times as long as the fastest one.
_SLOW_FACTOR = 4.0
_SLOW_MIN_MS = 60.0
# Lets the fastest time follow a server that has become slower for good.
_FASTEST_GROWTH = 1.05
_EXPECTED_WEIGHT = 0.3
_PAUSE_MAX_MS = 200.0
# A lost packet delays an opening by 200 ms; another one probably takes less.
OVERDUE_OPENING_MS = 150.0


@dataclass(slots=True)
class ReconnectOrder:
    """Decide how many openings an entry VM has under way at one server, and for whom.

    While there is no connection only one is opened, so that each entry VM gets its
    first before any gets a second. Each fast opening then allows one more at a time;
    a slow or failed one halves the number, and a slow one defers the next. One more is
    opened beside an opening that is overdue.
    """

    n_openings_max: int = 1
    next_opening_ms: float = float("-inf")
    _fastest_ms: float = float("inf")
    _expected_ms: float = 0.0
    _started_ms: list[float] = field(default_factory=list)

    def may_start(
        self,
        now_ms: float,
        deadlines_ms: Sequence[float],
        n_open: int,
        n_opening: int,
    ) -> bool:
        """Return whether the server keeps up with one more opening.

        `deadlines_ms` are those of the statements that wait. Without any connection one
        is opened even if it comes too late for all of them, as nothing else shows when
        the server has become fast again.
        """
        n_servable = sum(
            self.is_servable(deadline_ms, now_ms) for deadline_ms in deadlines_ms
        )
        is_overdue = any(
            now_ms >= started_ms + OVERDUE_OPENING_MS for started_ms in self._started_ms
        )
        n_allowed = (self.n_openings_max if n_open else 1) + is_overdue
        is_cut_off = bool(deadlines_ms) and not n_open and not n_opening
        return is_cut_off or n_opening < min(n_servable, n_allowed)

    def is_servable(self, deadline_ms: float, now_ms: float) -> bool:
        """Return whether a new connection can be expected before a deadline."""
        start_ms = max(now_ms, self.next_opening_ms)
        return start_ms + self._expected_ms < deadline_ms

    def record_started(self, now_ms: float) -> None:
        """Record the start of an opening."""
        self._started_ms.append(now_ms)

    def record_opened(self, now_ms: float, started_ms: float) -> None:
        """Record that the opening started at a time has succeeded."""
        self._started_ms.remove(started_ms)
        elapsed_ms = now_ms - started_ms
        self._fastest_ms = min(self._fastest_ms * _FASTEST_GROWTH, elapsed_ms)
        weight = _EXPECTED_WEIGHT if self._expected_ms else 1.0
        self._expected_ms += weight * (elapsed_ms - self._expected_ms)
        if elapsed_ms <= max(_SLOW_FACTOR * self._fastest_ms, _SLOW_MIN_MS):
            self.n_openings_max += 1
            return
        self._halve()
        self.next_opening_ms = now_ms + min(elapsed_ms, _PAUSE_MAX_MS)

    def record_failed(self, started_ms: float) -> None:
        """Record that the server refused an opening or did not answer it."""
        self._started_ms.remove(started_ms)
        self._halve()

    def record_all_lost(self) -> None:
        """Record that no connection is left, probably at other entry VMs neither."""
        self.n_openings_max = 1

    def _halve(self) -> None:
        self.n_openings_max = max(self.n_openings_max // 2, 1)
