"""Damping of flapping members, which keep failing and returning."""

_PENALTY_PER_RETURN = 1.0
# Three returns within a few half-lives are unlikely to be unrelated failures.
_SUPPRESS_THRESHOLD = 2.5
_REUSE_THRESHOLD = 1.0


class FlapDamping:
    """Suppress a member that returned too often, until it has been stable.

    >>> damping = FlapDamping(half_life_ms=1_000.0)
    >>> for _ in range(3):
    ...     damping.on_return(0.0)
    >>> damping.is_damped(0.0), damping.is_damped(5_000.0)
    (True, False)
    """

    __slots__ = ("_half_life_ms", "_is_damped", "_penalty", "_updated_ms")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._penalty = 0.0
        self._updated_ms = 0.0
        self._is_damped = False

    def on_return(self, now_ms: float) -> None:
        """Record that the member is alive again after it was suspected."""
        self._decay(now_ms)
        self._penalty += _PENALTY_PER_RETURN
        self._is_damped = self._is_damped or self._penalty > _SUPPRESS_THRESHOLD

    def is_damped(self, now_ms: float) -> bool:
        """Return whether the member is suppressed and should get no work."""
        self._decay(now_ms)
        if self._penalty < _REUSE_THRESHOLD:
            self._is_damped = False
        return self._is_damped

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._penalty *= 0.5 ** (elapsed_ms / self._half_life_ms)
        self._updated_ms = now_ms
