"""Hybrid logical clock: wall-clock time and a counter in one integer."""

_COUNTER_BITS = 16
# A larger skew means that a clock is set wrong. Following it would shift the times of
# every other daemon, too.
SKEW_MAX_MS = 60_000.0


def compose(wall_ms: int, counter: int = 0) -> int:
    """Return the hybrid time of milliseconds since the epoch and a counter."""
    return (wall_ms << _COUNTER_BITS) | counter


def wall_ms_of(hlc: int) -> int:
    """Return the milliseconds since the epoch of a hybrid time.

    >>> wall_ms_of(compose(1_000, 7))
    1000
    """
    return hlc >> _COUNTER_BITS


def counter_of(hlc: int) -> int:
    """Return the counter of a hybrid time.

    >>> counter_of(compose(1_000, 7))
    7
    """
    return hlc & ((1 << _COUNTER_BITS) - 1)


class HybridClock:
    """Issue strictly increasing hybrid times, ordered after those received from peers.

    A time issued after the receipt of a message is greater than the time of the
    message, even if the receiver's wall clock is behind.

    >>> clock = HybridClock()
    >>> received = compose(2_000)
    >>> clock.observe(1_990.0, received)
    True
    >>> clock.now(1_991.0) > received
    True
    """

    __slots__ = ("_last", "_skew_max_ms", "n_rejected")

    def __init__(self, skew_max_ms: float = SKEW_MAX_MS) -> None:
        self._last = 0
        self._skew_max_ms = skew_max_ms
        self.n_rejected = 0

    def now(self, wall_ms: float) -> int:
        """Return the time for a local event or for a message to send."""
        # A full counter carries into the milliseconds, so times still increase.
        self._last = max(self._last + 1, compose(int(wall_ms)))
        return self._last

    def observe(self, wall_ms: float, received: int) -> bool:
        """Advance past a received time; return False if its skew is too large."""
        if wall_ms_of(received) - wall_ms > self._skew_max_ms:
            self.n_rejected += 1
            return False
        self._last = max(self._last + 1, compose(int(wall_ms)), received + 1)
        return True
