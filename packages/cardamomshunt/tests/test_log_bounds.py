"""The log on disk stays within a bound of bytes, whatever the number of changes."""

import pytest
from cardamomshunt._consensus.log_bounds import (
    LogBoundOptions,
    LogBounds,
    entry_bytes,
)
from cardamomshunt._consensus.messages import Entry, EntryKind

_OPTIONS = LogBoundOptions()


def _entry(index: int, size_bytes: int) -> Entry:
    return Entry(index, 1, EntryKind.COMMAND, bytes(size_bytes))


class _Disk:
    """Log and snapshot on disk, with segments that are removed whole."""

    def __init__(self) -> None:
        self.bounds = LogBounds()
        self.entries: list[Entry] = []
        self.segments: list[list[Entry]] = []
        self.snapshot_bytes = 0
        self.n_after_snapshot = 0
        self.stored_max_bytes = 0
        self.written_bytes = 0

    def append(self, entry: Entry) -> None:
        is_full = self.segments and _size(self.segments[-1]) >= _OPTIONS.segment_bytes
        if not self.segments or is_full:
            self.segments.append([])
        self.segments[-1].append(entry)
        self.entries.append(entry)
        self.n_after_snapshot += 1
        self.written_bytes += entry_bytes(entry)
        newer = self.entries[-self.n_after_snapshot :]
        self._measure(0)
        if self.bounds.is_snapshot_due(len(newer), _size(newer), self.snapshot_bytes):
            self._take_snapshot(len(entry.payload))

    def _take_snapshot(self, size_bytes: int) -> None:
        self._measure(size_bytes)
        self.written_bytes += size_bytes
        self.snapshot_bytes = size_bytes
        n_retained = self.bounds.n_retained(self.entries, size_bytes)
        self.entries = self.entries[len(self.entries) - n_retained :]
        first = self.entries[0].index if self.entries else float("inf")
        # The open segment is closed, and is removed by the next snapshot.
        kept = [item for item in self.segments[:-1] if item[-1].index >= first]
        self.segments = [*kept, self.segments[-1], []]
        self.n_after_snapshot = 0

    def _measure(self, new_snapshot_bytes: int) -> None:
        stored_bytes = sum(map(_size, self.segments))
        stored_bytes += self.snapshot_bytes + new_snapshot_bytes
        self.stored_max_bytes = max(self.stored_max_bytes, stored_bytes)


def _size(entries: list[Entry]) -> int:
    return sum(map(entry_bytes, entries))


@pytest.mark.parametrize("size_bytes", [100, 26_000, 262_000, 1_500_000])
def test_the_disk_holds_a_bounded_log(size_bytes):
    """Guards against a disk that many changes of a large configuration fill."""
    disk = _Disk()
    for index in range(1, 601):
        disk.append(_entry(index, size_bytes))
    record_bytes = entry_bytes(_entry(1, size_bytes))
    assert disk.stored_max_bytes <= disk.bounds.stored_bytes_max(
        size_bytes, record_bytes
    )


@pytest.mark.parametrize("size_bytes", [100, 26_000, 262_000, 1_500_000])
def test_snapshots_add_half_of_the_changes_at_most(size_bytes):
    """Guards against a snapshot with each change of a large configuration."""
    disk = _Disk()
    for index in range(1, 601):
        disk.append(_entry(index, size_bytes))
    assert disk.written_bytes <= 1.5 * 600 * entry_bytes(_entry(1, size_bytes))


@pytest.mark.parametrize(
    ("size_bytes", "snapshot_bytes", "n_retained"),
    [(1_000, 100_000, 254), (10, 100, 500), (262_000, 262_100, 1), (262_000, 600, 1)],
)
def test_the_newest_entries_are_retained(size_bytes, snapshot_bytes, n_retained):
    """Guards against a snapshot for each follower that is slightly behind."""
    entries = [_entry(index, size_bytes) for index in range(1, 701)]
    assert LogBounds().n_retained(entries, snapshot_bytes) == n_retained


def test_an_entry_above_the_bound_is_not_retained():
    """Guards against one record that outgrows what may stay behind a snapshot."""
    assert LogBounds().n_retained([_entry(1, 300_000)], 1_000) == 0


def test_nothing_is_retained_if_so_configured():
    """Guards against a bound of no entries that is taken for no bound."""
    bounds = LogBounds(LogBoundOptions(n_entries_retained_max=0))
    assert bounds.n_retained([_entry(1, 100)], 1_000) == 0
