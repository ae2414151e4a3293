"""In-memory part of the replicated log of a control node."""

import msgspec

from cardamomshunt._consensus.log_bounds import entry_bytes
from cardamomshunt._consensus.messages import Entry, EntryKind, Member, Snapshot

_MEMBERS_DECODER = msgspec.msgpack.Decoder(list[Member])


def decode_members(entry: Entry) -> list[Member]:
    """Return the members in the payload of a MEMBERS entry."""
    return _MEMBERS_DECODER.decode(entry.payload)


class ReplicatedLog:
    """Newest snapshot and the log entries after `base_index`.

    Some entries that the snapshot covers are retained, so that a follower that is
    slightly behind needs no snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = [entry for entry in entries if entry.index > snapshot.index]
        self._changes: list[tuple[int, list[Member]]] = []
        self.bytes_after_snapshot = 0
        self._measure()
        self._collect_changes()

    def _measure(self) -> None:
        newer = self.entries_from(self.snapshot.index + 1, len(self._entries))
        self.bytes_after_snapshot = sum(map(entry_bytes, newer))

    def _collect_changes(self) -> None:
        self._changes = [
            (entry.index, decode_members(entry))
            for entry in self._entries
            if entry.kind is EntryKind.MEMBERS
        ]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> list[Member]:
        """Return the newest members, which take effect as soon as they are appended."""
        return self._changes[-1][1] if self._changes else self.snapshot.members

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the members."""
        return self._changes[-1][0] if self._changes else self.snapshot.index

    def members_at(self, index: int) -> list[Member]:
        """Return the members in effect after the entry at an index."""
        found = self.snapshot.members
        for change_index, members in self._changes:
            if change_index <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.base_index - 1
        return self._entries[offset].term if 0 <= offset < len(self._entries) else None

    def entry_at(self, index: int) -> Entry:
        """Return an entry, which must be in memory."""
        return self._entries[index - self.base_index - 1]

    def entries_up_to(self, index: int) -> list[Entry]:
        """Return the entries in memory up to an index."""
        return self._entries[: max(0, index - self.base_index)]

    def bytes_from(self, index: int) -> int:
        """Return the size of the entry at an index and of all later ones."""
        return sum(map(entry_bytes, self.entries_from(index, len(self._entries))))

    def bytes_replaced_by(self, index: int) -> int:
        """Return the size of the entries that a snapshot at an index would replace."""
        return self.bytes_after_snapshot - self.bytes_from(index + 1)

    def entries_from(self, index: int, n_max: int) -> list[Entry]:
        """Return up to `n_max` entries, starting at an index."""
        offset = index - self.base_index - 1
        return self._entries[offset : offset + n_max]

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in memory with the term of the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: list[Entry]) -> None:
        """Append entries, the first of which follows the last entry."""
        self._entries.extend(entries)
        for entry in entries:
            self.bytes_after_snapshot += entry_bytes(entry)
            if entry.kind is EntryKind.MEMBERS:
                self._changes.append((entry.index, decode_members(entry)))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        self._measure()
        self._changes = [change for change in self._changes if change[0] < index]

    def compact(self, snapshot: Snapshot, n_retained: int) -> None:
        """Replace applied entries by a snapshot, except for the `n_retained` newest."""
        first_retained = max(self.base_index + 1, snapshot.index - n_retained + 1)
        base_term = self.term_at(first_retained - 1)
        assert base_term is not None
        self._entries = self._entries[first_retained - self.base_index - 1 :]
        self.base_index, self.base_term = first_retained - 1, base_term
        self.snapshot = snapshot
        self._measure()
        self._changes = [item for item in self._changes if item[0] > snapshot.index]

    def install(self, snapshot: Snapshot) -> bool:
        """Install a snapshot; return whether the whole log was discarded.

        Entries after the snapshot are retained if the log agrees with it, because they
        may have been acknowledged to the leader.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        later: list[Entry] = []
        if agrees:
            later = self.entries_from(snapshot.index + 1, len(self._entries))
        self._entries = later
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._measure()
        self._collect_changes()
        return not agrees
