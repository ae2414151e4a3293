"""Transfer of snapshots to a follower, in chunks."""

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


class SnapshotSink:
    """Assemble a snapshot from its chunks."""

    def __init__(self) -> None:
        self._key: tuple[int, int] | None = None
        self._data = bytearray()

    def add(self, chunk: SnapshotChunk) -> int:
        """Add a chunk if it is the next one; return the number of bytes assembled."""
        key = (chunk.snapshot_index, chunk.snapshot_term)
        if self._key != key:
            self._key, self._data = key, bytearray()
        if chunk.offset == len(self._data):
            self._data.extend(chunk.data)
        return len(self._data)

    def pop(self) -> Snapshot:
        """Return and remove the complete snapshot."""
        data, self._key, self._data = bytes(self._data), None, bytearray()
        return Snapshot.decode(data)
