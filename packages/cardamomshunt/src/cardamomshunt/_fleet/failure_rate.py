"""How many of a server's recent statements failed, whatever its health says."""

_HALF_LIFE_MS = 1_500.0
# So many successes are assumed, so that one failure convicts no quiet server.
_N_ASSUMED_SUCCESSES = 5.0
UNRELIABLE_FAILURE_RATE = 0.2


class FailureRate:
    """Keep the share of failures, in which older outcomes count less.

    >>> share = FailureRate()
    >>> for _ in range(4):
    ...     share.record(0.0, is_failure=True)
    >>> share.is_unreliable(0.0), share.is_unreliable(10_000.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._n_all = 0.0
        self._n_failures = 0.0
        self._noted_ms = 0.0

    def record(self, now_ms: float, *, is_failure: bool) -> None:
        """Note an outcome."""
        kept = self._kept(now_ms)
        self._n_all = self._n_all * kept + 1.0
        self._n_failures = self._n_failures * kept + float(is_failure)
        self._noted_ms = now_ms

    def is_unreliable(self, now_ms: float) -> bool:
        """Tell whether other servers are to be preferred."""
        kept = self._kept(now_ms)
        n_all = self._n_all * kept + _N_ASSUMED_SUCCESSES
        return self._n_failures * kept > UNRELIABLE_FAILURE_RATE * n_all

    def _kept(self, now_ms: float) -> float:
        return float(0.5 ** ((now_ms - self._noted_ms) / _HALF_LIFE_MS))
