"""Circuit breaker for backend servers that fail repeatedly."""

import random

N_FAILURES_TO_OPEN = 3
OPEN_MS = 250.0
OPEN_MAX_MS = 5_000.0


class CircuitBreaker:
    """Open after consecutive failures, and allow one trial after each open period."""

    __slots__ = ("_generator", "_n_failures", "_n_openings", "_open_until_ms")

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._n_failures = 0
        self._n_openings = 0
        self._open_until_ms = 0.0

    def allows(self, now_ms: float) -> bool:
        """Return whether requests may be sent to the server."""
        return self._n_failures < N_FAILURES_TO_OPEN or now_ms >= self._open_until_ms

    def on_success(self) -> None:
        """Close the breaker."""
        self._n_failures = 0
        self._n_openings = 0

    def on_failure(self, now_ms: float) -> None:
        """Count a failure; open periods grow, with jitter to spread the trials."""
        self._n_failures += 1
        if self._n_failures < N_FAILURES_TO_OPEN:
            return
        open_ms = min(OPEN_MS * 2.0**self._n_openings, OPEN_MAX_MS)
        self._n_openings = min(self._n_openings + 1, 8)
        self._open_until_ms = now_ms + open_ms * self._generator.uniform(0.75, 1.25)

    def on_trial(self, now_ms: float) -> None:
        """Block further requests while a trial is in progress."""
        if self._n_failures >= N_FAILURES_TO_OPEN:
            self._open_until_ms = now_ms + OPEN_MS
