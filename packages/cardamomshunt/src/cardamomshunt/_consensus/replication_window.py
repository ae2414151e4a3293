"""Flow control of what the leader sends to one follower."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class WindowOptions:
    """Sizes and times of a window.

    What is in flight counts as lost `loss_timeout_ms` after the last progress, plus the
    time of its first message at `rate_min_bytes_per_ms`. The timeout doubles with each loss in
    a row. An answer after `slow_answer_ms` halves the window.
    """

    size_max_bytes: int = 262_144
    size_min_bytes: int = 16_384
    loss_timeout_ms: float = 400.0
    loss_timeout_max_ms: float = 3_200.0
    slow_answer_ms: float = 400.0
    rate_min_bytes_per_ms: float = 100.0


@dataclass(slots=True, frozen=True)
class _Sent:
    end: int
    size_bytes: int
    sent_ms: float


class ReplicationWindow:
    """Bound the bytes on their way to one follower, and send nothing twice early.

    Positions are indexes of entries or offsets in a snapshot. After a loss the sender
    continues at the last acknowledged position.
    """

    def __init__(self, options: WindowOptions | None = None) -> None:
        self._options = options or WindowOptions()
        self._size_bytes = self._options.size_max_bytes
        self._in_flight: deque[_Sent] = deque()
        self._in_flight_bytes = 0
        self._progress_ms = 0.0
        self._n_losses_in_row = 0

    @property
    def in_flight_bytes(self) -> int:
        """Return the bytes that are sent and not acknowledged."""
        return self._in_flight_bytes

    @property
    def room_bytes(self) -> int:
        """Return how many bytes may be sent now."""
        return max(0, self._size_bytes - self._in_flight_bytes)

    def may_send(self, size_bytes: int) -> bool:
        """Return whether a message fits; a single one may exceed the window."""
        return not self._in_flight or size_bytes <= self.room_bytes

    def on_sent(self, now_ms: float, end: int, size_bytes: int) -> None:
        """Record a message that ends at a position."""
        if not self._in_flight:
            self._progress_ms = now_ms
        self._in_flight.append(_Sent(end, size_bytes, now_ms))
        self._in_flight_bytes += size_bytes

    def on_acknowledged(self, now_ms: float, end: int) -> None:
        """Record that the follower has everything up to a position."""
        while self._in_flight and self._in_flight[0].end <= end:
            sent = self._in_flight.popleft()
            self._in_flight_bytes -= sent.size_bytes
            self._progress_ms = now_ms
            self._n_losses_in_row = 0
            self._adapt(now_ms - sent.sent_ms, sent.size_bytes)

    def _adapt(self, answer_ms: float, size_bytes: int) -> None:
        options = self._options
        if answer_ms > options.slow_answer_ms:
            halved_bytes = self._size_bytes // 2
            self._size_bytes = max(options.size_min_bytes, halved_bytes)
        else:
            grown_bytes = self._size_bytes + size_bytes // 2
            self._size_bytes = min(options.size_max_bytes, grown_bytes)

    @property
    def lost_at_ms(self) -> float | None:
        """Return when what is in flight counts as lost, or None if nothing is."""
        if not self._in_flight:
            return None
        options = self._options
        timeout_ms = options.loss_timeout_ms * 2.0**self._n_losses_in_row
        timeout_ms = min(timeout_ms, options.loss_timeout_max_ms)
        transfer_ms = self._in_flight[0].size_bytes / options.rate_min_bytes_per_ms
        return self._progress_ms + timeout_ms + transfer_ms

    def expire(self, now_ms: float) -> bool:
        """Forget what is in flight once it counts as lost; return whether it does."""
        lost_at_ms = self.lost_at_ms
        if lost_at_ms is None or now_ms < lost_at_ms:
            return False
        self._n_losses_in_row += 1
        self._size_bytes = max(self._options.size_min_bytes, self._size_bytes // 2)
        self.clear()
        return True

    def clear(self) -> None:
        """Forget what is in flight, after a refusal or a change of position."""
        self._in_flight.clear()
        self._in_flight_bytes = 0
