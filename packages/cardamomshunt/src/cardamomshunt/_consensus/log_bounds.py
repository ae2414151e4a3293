"""Bounds in bytes of a replicated log on disk."""

from collections.abc import Sequence
from dataclasses import dataclass

from cardamomshunt._consensus.messages import Entry

# Index, term, kind and the framing of a record.
_ENTRY_OVERHEAD_BYTES = 32


@dataclass(slots=True, frozen=True)
class LogBoundOptions:
    """When to take a snapshot, and what to retain behind it.

    A snapshot is due after `snapshot_min_bytes` of entries, or `snapshot_ratio` times
    the size of the last one, whichever is more. Retained are entries of
    `retained_min_bytes`, or of the size of the snapshot, whichever is more.
    """

    snapshot_min_bytes: int = 1_048_576
    snapshot_ratio: int = 2
    n_entries_per_snapshot_max: int = 200
    retained_min_bytes: int = 262_144
    n_entries_retained_max: int = 500
    segment_bytes: int = 1_048_576
    reserve_min_bytes: int = 2_097_152


def entry_bytes(entry: Entry) -> int:
    """Return the size of an entry on disk."""
    return len(entry.payload) + _ENTRY_OVERHEAD_BYTES


class LogBounds:
    """Decide which part of a log a snapshot replaces, and when."""

    def __init__(self, options: LogBoundOptions | None = None) -> None:
        self._options = options or LogBoundOptions()

    def is_snapshot_due(
        self, n_entries: int, entries_bytes: int, snapshot_bytes: int
    ) -> bool:
        """Return whether the entries after a snapshot call for the next one."""
        limit_bytes = self._bytes_between_snapshots(snapshot_bytes)
        n_entries_max = self._options.n_entries_per_snapshot_max
        return n_entries >= n_entries_max or entries_bytes >= limit_bytes

    def n_retained(self, entries: Sequence[Entry], snapshot_bytes: int) -> int:
        """Return how many of the entries that a snapshot covers to retain.

        `entries` are in the order of the log and end at the index of the snapshot.
        """
        room_bytes = self._retained_bytes(snapshot_bytes)
        n_max = min(len(entries), self._options.n_entries_retained_max)
        n_retained = 0
        for entry in reversed(entries[len(entries) - n_max :]):
            room_bytes -= entry_bytes(entry)
            if room_bytes < 0:
                break
            n_retained += 1
        return n_retained

    def stored_bytes_max(self, snapshot_bytes: int, record_bytes: int) -> int:
        """Return the most that a log holds on disk, by its largest record.

        Two snapshots are there while one replaces the other. Two records may exceed
        the bounds: the one that makes a snapshot due, and the one that ends a segment.
        """
        return (
            2 * snapshot_bytes
            + self._bytes_between_snapshots(snapshot_bytes)
            + self._retained_bytes(snapshot_bytes)
            + self._options.segment_bytes
            + 2 * record_bytes
        )

    def reserve_bytes(self, snapshot_bytes: int, record_bytes: int) -> int:
        """Return what has to stay free behind a record.

        It suffices for the snapshot that makes room, beside the one that it replaces,
        and for votes.
        """
        largest_bytes = max(snapshot_bytes, record_bytes)
        return max(self._options.reserve_min_bytes, 3 * largest_bytes)

    def _bytes_between_snapshots(self, snapshot_bytes: int) -> int:
        options = self._options
        return max(options.snapshot_min_bytes, options.snapshot_ratio * snapshot_bytes)

    def _retained_bytes(self, snapshot_bytes: int) -> int:
        return max(self._options.retained_min_bytes, snapshot_bytes)
