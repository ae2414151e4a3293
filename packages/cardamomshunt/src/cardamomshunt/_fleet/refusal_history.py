"""Recent refusals of work by a server that has too much of it."""

# Long enough for a full queue to shrink before this entry VM sends more.
_AVOID_MS = 150.0
# Covers the interval of lease requests, with which refusals are shared.
_SHARE_MS = 500.0
# As long as a load usually lasts, so that reads do not go to and fro.
_OVERLOADED_MS = 10_000.0


class RefusalHistory:
    """Remember when a server refused work, to this entry VM or to others of its zone.

    >>> history = RefusalHistory()
    >>> history.record(1_000.0)
    >>> history.should_avoid(1_100.0), history.is_overloaded(1_100.0)
    (True, True)
    >>> history.should_avoid(2_000.0), history.is_overloaded(2_000.0)
    (False, True)
    """

    __slots__ = ("_own_ms", "_shared_ms")

    def __init__(self) -> None:
        self._own_ms = float("-inf")
        self._shared_ms = float("-inf")

    def record(self, now_ms: float) -> None:
        """Record a refusal to this entry VM."""
        self._own_ms = now_ms

    def record_shared(self, now_ms: float) -> None:
        """Record that another entry VM of the zone was refused."""
        self._shared_ms = now_ms

    def should_avoid(self, now_ms: float) -> bool:
        """Return whether other servers are better for the next statement."""
        return now_ms < self._own_ms + _AVOID_MS

    def should_share(self, now_ms: float) -> bool:
        """Return whether the other entry VMs of the zone need to know."""
        return now_ms < self._own_ms + _SHARE_MS

    def is_overloaded(self, now_ms: float) -> bool:
        """Return whether the server should be left to work that only it can do."""
        return now_ms < max(self._own_ms, self._shared_ms) + _OVERLOADED_MS
