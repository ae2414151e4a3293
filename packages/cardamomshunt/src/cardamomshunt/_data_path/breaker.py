"""Circuit breaking: a server that fails again and again rests for a while."""

import random

N_FAILURES_TO_OPEN = 3
OPEN_MS = 250.0
OPEN_MAX_MS = 5_000.0


class CircuitBreaker:
    """Open after consecutive failures; let one trial through after each rest."""

    __slots__ = ("_generator", "_n_failures", "_n_openings", "_open_until_ms")

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._n_failures = 0
        self._n_openings = 0
        self._open_until_ms = 0.0

    def allows(self, now_ms: float) -> bool:
        """Tell whether the server may get work."""
        return self._n_failures < N_FAILURES_TO_OPEN or now_ms >= self._open_until_ms

    def on_success(self) -> None:
        """Close the breaker."""
        self._n_failures = 0
        self._n_openings = 0

    def on_failure(self, now_ms: float) -> None:
        """Count a failure; rests grow and are jittered so that trials spread."""
        self._n_failures += 1
        if self._n_failures < N_FAILURES_TO_OPEN:
            return
        rest_ms = min(OPEN_MS * 2.0**self._n_openings, OPEN_MAX_MS)
        self._n_openings = min(self._n_openings + 1, 8)
        self._open_until_ms = now_ms + rest_ms * self._generator.uniform(0.75, 1.25)

    def on_trial(self, now_ms: float) -> None:
        """Keep others away while a trial is under way."""
        if self._n_failures >= N_FAILURES_TO_OPEN:
            self._open_until_ms = now_ms + OPEN_MS
