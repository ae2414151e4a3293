"""Admission of statements to one backend server, by its pace and by priority."""

from typing import Generic, TypeVar

from cardamomshunt._fleet.server_pace import ServerPace
from cardamomshunt._fleet.statement_queue import StatementQueue

T = TypeVar("T")

_WORK_ASSUMED_MS = 10.0
_SMOOTHING = 0.2


class ServerGate(Generic[T]):
    """Let statements through while the pace and the connections of a server allow it.

    A priority is that of the route, and then that of the team. `n_in_flight` counts the
    statements of this VM at the server, and `n_max` the connections that it may use.
    """

    def __init__(self, pace: ServerPace) -> None:
        self.pace = pace
        self.queue: StatementQueue[T] = StatementQueue()
        self._work_ms: dict[tuple[int, int], float] = {}

    def work_ms(self, priority: tuple[int, int]) -> float:
        """Return the usual time of the answers of a priority."""
        return self._work_ms.get(priority, _WORK_ASSUMED_MS)

    def may_start(
        self, priority: tuple[int, int], now_ms: float, n_in_flight: int, n_max: int
    ) -> bool:
        """Return whether a statement of a priority may be sent now."""
        return n_in_flight < max(n_max, 1) and self.pace.allows(now_ms, priority[0])

    def try_enter(
        self, priority: tuple[int, int], now_ms: float, n_in_flight: int, n_max: int
    ) -> bool:
        """Let a statement through at once if none waits and it may start."""
        if self.queue.n_queued:
            return False
        if not self.may_start(priority, now_ms, n_in_flight, n_max):
            return False
        self.queue.on_service(priority, self.work_ms(priority))
        return True

    def refuse_after_ms(
        self, priority: tuple[int, int], team: str, now_ms: float, deadline_ms: float
    ) -> float | None:
        """Return the time until there is room if a statement can't be served in time."""
        blocked_ms = 0.0
        if self.pace.limit(priority[0]) < 1.0:
            blocked_ms = self.pace.pause_end_ms(priority[0]) - now_ms
        return self.queue.refuse_after_ms(
            priority, team, deadline_ms - now_ms, self.work_ms(priority), blocked_ms
        )

    def pop_ready(self, now_ms: float, n_in_flight: int, n_max: int) -> T | None:
        """Remove and return the next statement that may start, or None."""
        return self.queue.pop(
            self.work_ms,
            lambda priority: self.may_start(priority, now_ms, n_in_flight, n_max),
        )

    def wake_after_ms(self, now_ms: float) -> float | None:
        """Return the time until a waiting statement may start without an answer."""
        ends_ms = [
            self.pace.pause_end_ms(priority[0])
            for priority in self.queue.pending()
            if self.pace.is_pausing(priority[0])
        ]
        return max(min(ends_ms) - now_ms, 1.0) if ends_ms else None

    def on_answer(
        self, priority: tuple[int, int], now_ms: float, elapsed_ms: float
    ) -> None:
        """Record an answer, for the estimates of later statements."""
        known_ms = self._work_ms.get(priority, elapsed_ms)
        self._work_ms[priority] = known_ms + _SMOOTHING * (elapsed_ms - known_ms)
        self.queue.on_answer(now_ms)
