"""Whether a statement can still be served by its deadline, and when to retry it."""

import random
from collections import deque
from collections.abc import Callable

from cardamomshunt._fleet.primary_assignments import AssignmentPhase

_N_DURATIONS_MAX = 8
# One replacement may have been an unusually slow one.
_N_DURATIONS_MIN = 2
# A replacement may end somewhat sooner than the fastest earlier one.
_FASTEST_SHARE = 0.9
# A statement also needs a connection and an answer once the primary is active.
_ANSWER_MS = 20.0
# Without an expected end, an outage is assumed to last about this long.
_UNKNOWN_PAUSE_MS = 250.0
# Callers that were refused together come back over this time, so that they do not all
# wait at the server at once.
_SPREAD_MS = 150.0
_PAUSE_MIN_MS = 30.0


class Servability:
    """Learn how long replacements take, and tell what cannot be served by a deadline.

    Only what is known counts: without an expected end a statement waits.
    """

    def __init__(self, uniform: Callable[[float, float], float] = random.uniform):
        self._uniform = uniform
        self._phases: dict[str, tuple[AssignmentPhase, float]] = {}
        # Time from the start of each phase until a primary was active, of any group.
        self._durations_ms: dict[AssignmentPhase, deque[float]] = {}
        self._started_ms: dict[str, dict[AssignmentPhase, float]] = {}

    def record_phase(self, group: str, phase: AssignmentPhase, now_ms: float) -> None:
        """Record the phase of a group's assignment when it changes."""
        started_ms = self._started_ms.setdefault(group, {})
        if phase is not AssignmentPhase.ACTIVE:
            started_ms[phase] = now_ms
            self._phases[group] = (phase, now_ms)
            return
        for earlier, at_ms in started_ms.items():
            durations_ms = self._durations_ms.setdefault(
                earlier, deque(maxlen=_N_DURATIONS_MAX)
            )
            durations_ms.append(now_ms - at_ms)
        started_ms.clear()
        self._phases.pop(group, None)

    def forget_running(self) -> None:
        """Forget the phases, as their ends are not noticed without a lease."""
        self._phases.clear()
        self._started_ms.clear()

    def retry_after_ms(
        self, group: str, deadline_ms: float, now_ms: float, *, is_partitioned: bool
    ) -> float | None:
        """Return when to retry a statement that needs the primary, or None to wait.

        To be called while this entry VM may use no primary of the group.
        `is_partitioned` says that it reaches too few control nodes, and that the lease
        that it had has expired.
        """
        if is_partitioned:
            return self.pause_ms()
        phase, since_ms = self._phases.get(group, (None, 0.0))
        if phase is None:
            return None
        durations_ms = self._durations_ms.get(phase)
        if durations_ms is None or len(durations_ms) < _N_DURATIONS_MIN:
            return None
        earliest_ms = since_ms + _FASTEST_SHARE * min(durations_ms)
        if earliest_ms + _ANSWER_MS <= deadline_ms:
            return None
        return self.pause_ms(since_ms + durations_ms[-1] - now_ms)

    def pause_ms(self, expected_ms: float = _UNKNOWN_PAUSE_MS) -> float:
        """Return the pause of one caller until service is expected in `expected_ms`."""
        return max(expected_ms, _PAUSE_MIN_MS) + self._uniform(0.0, _SPREAD_MS)
