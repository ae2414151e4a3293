"""Transfer of snapshots to a follower, in chunks."""

import zlib

import msgspec

from cardamomshunt._consensus.messages import Snapshot, SnapshotChunk


class SnapshotSource:
    """Cache the newest snapshot in encoded form."""

    def __init__(self) -> None:
        self._index = -1
        self._data = b""

    def encode(self, snapshot: Snapshot) -> bytes:
        """Return the encoded snapshot, which is encoded only once per index."""
        if self._index != snapshot.index:
            self.replace(snapshot)
        return self._data

    def replace(self, snapshot: Snapshot) -> bytes:
        """Encode and cache a snapshot, even if its index is the cached one."""
        self._index, self._data = snapshot.index, snapshot.encode()
        return self._data


class SnapshotDamagedError(Exception):
    """Raised if assembled chunks are not the snapshot that they announce."""


class SnapshotSink:
    """Assemble a snapshot from the chunks of one transfer.

    Leaders may encode the same state differently, so that chunks of different leaders or
    terms are never joined.
    """

    def __init__(self) -> None:
        self._first: SnapshotChunk | None = None
        self._data = bytearray()

    def add(self, chunk: SnapshotChunk) -> int:
        """Add a chunk if it is the next one; return the number of bytes assembled."""
        if self._first is None or _transfer_of(self._first) != _transfer_of(chunk):
            self._first, self._data = chunk, bytearray()
        if chunk.offset == len(self._data):
            self._data.extend(chunk.data)
        return len(self._data)

    def pop(self) -> Snapshot:
        """Return and remove the complete snapshot, or raise SnapshotDamagedError."""
        first, data = self._first, bytes(self._data)
        self._first, self._data = None, bytearray()
        if first is None or len(data) != first.size_bytes:
            raise SnapshotDamagedError("the size does not match")
        if first.checksum is not None and first.checksum != zlib.crc32(data):
            raise SnapshotDamagedError("the checksum does not match")
        try:
            snapshot = Snapshot.decode(data)
        except msgspec.MsgspecError as error:
            raise SnapshotDamagedError(str(error)) from error
        if (snapshot.index, snapshot.term) != (
            first.snapshot_index,
            first.snapshot_term,
        ):
            raise SnapshotDamagedError("the index or the term does not match")
        return snapshot


def _transfer_of(chunk: SnapshotChunk) -> tuple[int | None, ...]:
    """Return what all chunks of one transfer have in common."""
    return (
        chunk.term,
        chunk.incarnation,
        chunk.snapshot_index,
        chunk.snapshot_term,
        chunk.size_bytes,
        chunk.checksum,
    )
