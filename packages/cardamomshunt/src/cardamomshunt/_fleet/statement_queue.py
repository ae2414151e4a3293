"""Order of the statements that wait for a server, and their admission."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cardamomshunt._data_path.admission import FairQueue

T = TypeVar("T")

# Part of the service time that each priority gets while statements of it wait.
_MIN_SHARE = 0.1
# Service after which the former service of each priority counts half.
_SHARE_WINDOW_MS = 1_000.0
_INTERVAL_SMOOTHING = 0.2
_RETRY_AFTER_MIN_MS = 20.0
_RETRY_AFTER_MAX_MS = 2_000.0
_N_QUEUED_MAX = 1_000


@dataclass(slots=True)
class _Priority(Generic[T]):
    queue: FairQueue[T]
    served_ms: float = 0.0


class StatementQueue(Generic[T]):
    """Queue statements by priority, and within a priority by team, in turn.

    A priority is that of the route and then that of the team; the lowest number is
    served first. Each priority has a minimum share of the service time, as statements
    of different priorities differ much in their work.

    >>> queue = StatementQueue[str]()
    >>> queue.push((2, 0), "a", "lookup")
    >>> queue.push((0, 0), "a", "confirmation")
    >>> queue.pop(lambda priority: 8.0)
    'confirmation'
    """

    def __init__(self) -> None:
        self._priorities: dict[tuple[int, int], _Priority[T]] = {}
        self._total_ms = 0.0
        self._interval_ms: float | None = None
        self._answered_ms: float | None = None
        self.n_queued = 0

    def push(self, priority: tuple[int, int], team: str, item: T) -> None:
        """Add a statement at the end of its team's queue."""
        if priority not in self._priorities:
            self._priorities[priority] = _Priority(FairQueue())
            self._priorities = dict(sorted(self._priorities.items()))
        self._priorities[priority].queue.push(team, item)
        self.n_queued += 1

    def remove(self, priority: tuple[int, int], team: str, item: T) -> bool:
        """Remove a statement; return False if it does not wait."""
        known = self._priorities.get(priority)
        if known is None or not known.queue.remove(team, item):
            return False
        self.n_queued -= 1
        return True

    def pending(self) -> list[tuple[int, int]]:
        """Return the priorities of which statements wait, most urgent first."""
        return [key for key, item in self._priorities.items() if item.queue]

    def next_priority(
        self, may_serve: Callable[[tuple[int, int]], bool] = lambda _: True
    ) -> tuple[int, int] | None:
        """Return the priority that is served next, or None if none may be."""
        pending = [key for key in self.pending() if may_serve(key)]
        for key in pending:
            entitled_ms = _MIN_SHARE * self._total_ms
            if self._priorities[key].served_ms < entitled_ms:
                return key
        return pending[0] if pending else None

    def pop(
        self,
        work_ms: Callable[[tuple[int, int]], float],
        may_serve: Callable[[tuple[int, int]], bool] = lambda _: True,
    ) -> T | None:
        """Remove and return the next statement, or None if none may be served.

        `work_ms` returns the usual time of an answer of a priority.
        """
        priority = self.next_priority(may_serve)
        if priority is None:
            return None
        self.on_service(priority, work_ms(priority))
        self.n_queued -= 1
        return self._priorities[priority].queue.pop()

    def on_service(self, priority: tuple[int, int], work_ms: float) -> None:
        """Count service of a priority over a sliding window."""
        if priority in self._priorities:
            self._priorities[priority].served_ms += work_ms
        self._total_ms += work_ms
        if self._total_ms >= _SHARE_WINDOW_MS:
            self._total_ms /= 2.0
            for item in self._priorities.values():
                item.served_ms /= 2.0

    def pop_all(self) -> list[T]:
        """Remove and return all statements."""
        self.n_queued = 0
        return [
            statement
            for item in self._priorities.values()
            for statement in item.queue.pop_all()
        ]

    # Admission

    def on_answer(self, now_ms: float) -> None:
        """Measure the time between answers while statements wait."""
        if self._answered_ms is not None:
            interval_ms = now_ms - self._answered_ms
            if self._interval_ms is None:
                self._interval_ms = interval_ms
            self._interval_ms += _INTERVAL_SMOOTHING * (interval_ms - self._interval_ms)
        self._answered_ms = now_ms if self.n_queued else None

    def _n_ahead(self, priority: tuple[int, int], team: str) -> int:
        """Return how many statements are served before a new one.

        These are the ones of better priorities, and those of its own priority that come
        before its turn among the teams.
        """
        n_better = sum(
            len(item.queue) for key, item in self._priorities.items() if key < priority
        )
        known = self._priorities.get(priority)
        return n_better + (known.queue.n_before(team) if known else 0)

    def refuse_after_ms(
        self,
        priority: tuple[int, int],
        team: str,
        left_ms: float,
        work_ms: float,
        blocked_ms: float = 0.0,
    ) -> float | None:
        """Return the time until there is room if a statement can't be served in time.

        Return None if it can. `left_ms` is the time to its deadline, `work_ms` the usual
        time of its answer, and `blocked_ms` the time for which nothing may be sent. A
        statement that may be sent now is not refused, as its answer may be faster.
        """
        n_ahead = self._n_ahead(priority, team)
        if not n_ahead and blocked_ms <= 0.0:
            return None
        wait_ms = max(n_ahead * (self._interval_ms or 0.0), blocked_ms)
        late_ms = wait_ms + work_ms - left_ms
        if late_ms <= 0.0 and self.n_queued < _N_QUEUED_MAX:
            return None
        return min(max(late_ms, _RETRY_AFTER_MIN_MS), _RETRY_AFTER_MAX_MS)
