"""A copy to a follower keeps to its window, and repeats only what is lost."""

import heapq
import itertools
from dataclasses import dataclass, field

import pytest
from cardamomshunt._consensus.replication_window import (
    ReplicationWindow,
    WindowOptions,
)

_OPTIONS = WindowOptions()
_CHUNK_BYTES = 65_536
_TICK_MS = 5.0


@dataclass
class _Link:
    """Send chunks to a follower over a link with a rate and a delay."""

    rate_bytes_per_ms: float
    delay_ms: float = 5.0
    lost_numbers: frozenset[int] = frozenset()
    window: ReplicationWindow = field(default_factory=ReplicationWindow)
    now_ms: float = 0.0
    sent_bytes: int = 0
    in_flight_max_bytes: int = 0
    acknowledged: int = 0
    received: int = 0
    _idle_at_ms: float = 0.0
    _numbers: itertools.count = field(default_factory=itertools.count)
    _events: list[tuple[float, int, int, int]] = field(default_factory=list)

    def send(self, start: int, end: int) -> None:
        number = next(self._numbers)
        size_bytes = end - start
        self.window.on_sent(self.now_ms, end, size_bytes)
        self.sent_bytes += size_bytes
        in_flight_bytes = self.window.in_flight_bytes
        self.in_flight_max_bytes = max(self.in_flight_max_bytes, in_flight_bytes)
        start_ms = max(self.now_ms, self._idle_at_ms)
        self._idle_at_ms = start_ms + size_bytes / self.rate_bytes_per_ms
        if number not in self.lost_numbers:
            arrival_ms = self._idle_at_ms + 2.0 * self.delay_ms
            heapq.heappush(self._events, (arrival_ms, number, start, end))

    def advance(self) -> None:
        self.now_ms += _TICK_MS
        while self._events and self._events[0][0] <= self.now_ms:
            _, _, start, end = heapq.heappop(self._events)
            if start <= self.received:
                self.received = max(self.received, end)
            self.acknowledged = self.received
            self.window.on_acknowledged(self.now_ms, self.received)

    def copy(self, size_bytes: int, limit_ms: float) -> None:
        """Copy until everything is acknowledged, or the time is over."""
        position = 0
        while self.acknowledged < size_bytes and self.now_ms < limit_ms:
            if self.window.expire(self.now_ms):
                position = self.acknowledged
            while position < size_bytes:
                end = min(size_bytes, position + _CHUNK_BYTES)
                if not self.window.may_send(end - position):
                    break
                self.send(position, end)
                position = end
            self.advance()


@pytest.mark.parametrize("rate_bytes_per_ms", [250.0, 2_500.0, 125_000.0])
def test_a_copy_uses_its_link_and_repeats_nothing(rate_bytes_per_ms):
    """Guards against copies of what is still on its way, which a slow link multiplies."""
    size_bytes = 2_000_000
    link = _Link(rate_bytes_per_ms)
    link.copy(size_bytes, limit_ms=60_000.0)
    assert link.acknowledged == link.sent_bytes == size_bytes
    assert link.in_flight_max_bytes <= _OPTIONS.size_max_bytes
    n_windows = size_bytes / _OPTIONS.size_max_bytes
    round_trips_ms = n_windows * 4.0 * (2.0 * link.delay_ms + 2.0 * _TICK_MS)
    assert link.now_ms <= 1.3 * size_bytes / rate_bytes_per_ms + round_trips_ms


def test_a_slow_link_has_little_in_flight():
    """Guards against heartbeats that wait behind a whole window on a slow link."""
    link = _Link(rate_bytes_per_ms=250.0)
    link.copy(2_000_000, limit_ms=60_000.0)
    assert link.window.room_bytes <= _OPTIONS.size_max_bytes // 2


@pytest.mark.parametrize("lost_number", [0, 5, 29])
def test_a_lost_message_is_repeated(lost_number):
    """Guards against a copy that stops for good at its first lost message."""
    size_bytes = 2_000_000
    link = _Link(2_500.0, lost_numbers=frozenset([lost_number]))
    link.copy(size_bytes, limit_ms=10_000.0)
    assert link.acknowledged == size_bytes
    assert link.sent_bytes <= size_bytes + 2 * _OPTIONS.size_max_bytes


def test_an_unreachable_follower_is_sent_ever_less():
    """Guards against full windows sent again and again to a follower that is gone."""
    link = _Link(125_000.0, lost_numbers=frozenset(range(1_000)))
    link.copy(2_000_000, limit_ms=30_000.0)
    assert link.sent_bytes <= 4 * _OPTIONS.size_max_bytes


def test_one_message_above_the_window_is_sent_alone():
    """Guards against a follower that never gets a record larger than the window."""
    window = ReplicationWindow()
    size_bytes = 2 * _OPTIONS.size_max_bytes
    assert window.may_send(size_bytes)
    window.on_sent(0.0, 1, size_bytes)
    assert not window.may_send(1)
    assert window.lost_at_ms is not None
    assert window.lost_at_ms >= size_bytes / _OPTIONS.rate_min_bytes_per_ms
    window.on_acknowledged(100.0, 1)
    assert window.may_send(size_bytes)
