"""Recent failure rate of the statements of a server."""

_HALF_LIFE_MS = 1_500.0
# Added to the recorded outcomes, so that one failure does not make a server with few
# statements unreliable.
_N_ASSUMED_SUCCESSES = 5.0
UNRELIABLE_FAILURE_RATE = 0.2


class FailureRate:
    """Track the failure rate of a server, with exponential decay of old outcomes.

    >>> failure_rate = FailureRate()
    >>> for _ in range(4):
    ...     failure_rate.record(0.0, is_failure=True)
    >>> failure_rate.is_unreliable(0.0), failure_rate.is_unreliable(10_000.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._n_all = 0.0
        self._n_failures = 0.0
        self._recorded_ms = 0.0

    def record(self, now_ms: float, *, is_failure: bool) -> None:
        """Record the outcome of a statement."""
        decay = self._decay(now_ms)
        self._n_all = self._n_all * decay + 1.0
        self._n_failures = self._n_failures * decay + float(is_failure)
        self._recorded_ms = now_ms

    def is_unreliable(self, now_ms: float) -> bool:
        """Return whether other servers should be preferred."""
        decay = self._decay(now_ms)
        n_all = self._n_all * decay + _N_ASSUMED_SUCCESSES
        return self._n_failures * decay > UNRELIABLE_FAILURE_RATE * n_all

    def _decay(self, now_ms: float) -> float:
        return float(0.5 ** ((now_ms - self._recorded_ms) / _HALF_LIFE_MS))
