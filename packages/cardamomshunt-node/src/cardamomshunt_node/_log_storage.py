"""Storage of a control node's vote, log segments and snapshot in a data folder."""

import errno
import fcntl
import os
import struct
import zlib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from cardamomshunt.consensus import Entry, RestoredState, Snapshot, Vote
from cardamomshunt.control_effects import (
    PersistEffect,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
)

# A record consists of a magic number, the size and CRC-32 of the payload, and the
# payload. By the magic number the reader finds intact records after a damaged one.
_MAGIC = b"CSR1"
_HEADER = struct.Struct("<4sII")
_SEGMENT_SIZE_MAX_BYTES = 1_048_576
_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class StorageCorruptError(Exception):
    """Raised if a file is damaged, with its path and the offset of the damage."""

    def __init__(self, path: Path, offset: int, problem: str) -> None:
        super().__init__(f"{path}: offset {offset}: {problem}")
        self.path = path
        self.offset = offset


class StorageFullError(Exception):
    """Raised if the disk is full; the write can be retried."""


class _SnapshotFile(msgspec.Struct, kw_only=True):
    """Snapshot with the generation of the log that continues it."""

    generation: int
    data: bytes


class _Identity(msgspec.Struct):
    incarnation: int


@dataclass(slots=True)
class _Segment:
    path: Path
    last_index: int = 0


@dataclass(slots=True)
class OpenedStorage:
    """State found when the folder was opened.

    `truncated_tail` describes a torn record that was removed from the end of the log.
    """

    restored: RestoredState
    truncated_tail: str = ""
    is_blank: bool = False
    segments: list[_Segment] = field(default_factory=list)


def _encode_record(payload: bytes) -> bytes:
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload at an offset, or None if it is not intact."""
    if offset + _HEADER.size > len(data):
        return None
    magic, size, checksum = _HEADER.unpack_from(data, offset)
    payload = data[offset + _HEADER.size : offset + _HEADER.size + size]
    if magic != _MAGIC or len(payload) < size or zlib.crc32(payload) != checksum:
        return None
    return payload


def _has_intact_record_after(data: bytes, offset: int) -> bool:
    found = data.find(_MAGIC, offset + 1)
    while found >= 0:
        if _read_record(data, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(folder: Path) -> bool:
    """Create a folder that survives a power loss; return False if it existed before.

    The missing folders above it are created as well.
    """
    if folder.exists():
        return False
    _make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    _sync_folder(folder.parent)
    return True


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _replace_file(path: Path, payload: bytes) -> None:
    """Replace a file atomically, so that a crash leaves either the old or the new one."""
    temporary = path.with_suffix(".tmp")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, _encode_record(payload))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary, path)
    _sync_folder(path.parent)


def _read_file(path: Path) -> bytes | None:
    """Return the payload of a file, or None if the file does not exist."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    payload = _read_record(data, 0)
    if payload is None:
        raise StorageCorruptError(path, 0, "the checksum does not match")
    return payload


class LogStorage:
    """Read and write the data folder.

    All methods block, and only one thread may call them at a time.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._generation = 0
        self._segments: list[_Segment] = []
        self._descriptor: int | None = None
        self._size_bytes = 0
        self._has_torn_append = False
        self._lock: int | None = None

    def open(self, new_incarnation: int) -> OpenedStorage:
        """Lock and read the folder; raise StorageCorruptError or OSError.

        An empty folder gets `new_incarnation`, by which the other nodes recognise that
        earlier votes and acknowledgements of this node are lost.
        """
        is_new = _make_folder(self._folder)
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise OSError(
                error.errno, f"{self._folder}: another process uses this data folder"
            ) from error
        try:
            return self._read(new_incarnation, is_new)
        except BaseException:
            self.close()
            raise

    def _read(self, new_incarnation: int, is_new: bool) -> OpenedStorage:
        is_blank = not self._has_state()
        if is_blank and not is_new:
            # An earlier process may have ended between the creation and its sync.
            _sync_folder(self._folder.parent)
        incarnation = self._read_identity(new_incarnation, is_blank)
        vote = self._read_vote()
        snapshot = self._read_snapshot()
        entries, truncated_tail = self._read_log(snapshot)
        last_term = entries[-1].term if entries else snapshot.term
        if last_term > vote.term:
            raise StorageCorruptError(
                self._folder / "vote",
                0,
                f"term {vote.term} is older than term {last_term} of the log",
            )
        restored = RestoredState(incarnation, vote, snapshot, entries)
        return OpenedStorage(restored, truncated_tail, is_blank, self._segments)

    def close(self) -> None:
        """Close all files."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._descriptor = self._lock = None

    def _has_state(self) -> bool:
        names = {path.name for path in self._folder.iterdir()}
        return any(
            name in ("identity", "vote", "snapshot") or name.endswith(".segment")
            for name in names
        )

    def _read_identity(self, new_incarnation: int, is_blank: bool) -> int:
        path = self._folder / "identity"
        payload = _read_file(path)
        if payload is not None:
            return msgspec.msgpack.decode(payload, type=_Identity).incarnation
        if not is_blank:
            raise StorageCorruptError(path, 0, "the file is missing")
        _replace_file(path, msgspec.msgpack.encode(_Identity(new_incarnation)))
        return new_incarnation

    def _read_vote(self) -> Vote:
        payload = _read_file(self._folder / "vote")
        return Vote() if payload is None else msgspec.msgpack.decode(payload, type=Vote)

    def _read_snapshot(self) -> Snapshot:
        payload = _read_file(self._folder / "snapshot")
        if payload is None:
            return Snapshot()
        file = msgspec.msgpack.decode(payload, type=_SnapshotFile)
        self._generation = file.generation
        return Snapshot.decode(file.data)

    def _read_log(self, snapshot: Snapshot) -> tuple[list[Entry], str]:
        entries: list[Entry] = []
        truncated_tail = ""
        paths = self._current_segments()
        for number, path in enumerate(paths):
            segment = _Segment(path)
            is_last = number == len(paths) - 1
            truncated_tail = self._read_segment(segment, entries, is_last)
            self._segments.append(segment)
        if entries and entries[0].index > snapshot.index + 1:
            raise StorageCorruptError(
                paths[0],
                0,
                f"the log starts at entry {entries[0].index}, "
                f"but the snapshot ends at {snapshot.index}",
            )
        if self._segments:
            self._open_segment(self._segments[-1].path)
        return entries, truncated_tail

    def _current_segments(self) -> list[Path]:
        """Return the segments of this generation in order, and delete older ones.

        Those remain if the process died between writing a snapshot and deleting them.
        """
        current = []
        for path in sorted(self._folder.glob("*.segment")):
            generation, _, _ = path.stem.partition("-")
            if int(generation) < self._generation:
                path.unlink()
            else:
                current.append(path)
        return current

    def _read_segment(
        self, segment: _Segment, entries: list[Entry], is_last: bool
    ) -> str:
        """Append a segment's entries; return a description of a truncated torn tail."""
        data = segment.path.read_bytes()
        offset = 0
        while offset < len(data):
            payload = _read_record(data, offset)
            if payload is None:
                if not is_last or _has_intact_record_after(data, offset):
                    raise StorageCorruptError(
                        segment.path, offset, "the checksum does not match"
                    )
                self._truncate(segment.path, offset)
                return f"{segment.path}: offset {offset}: {len(data) - offset} bytes"
            for entry in msgspec.msgpack.decode(payload, type=list[Entry]):
                self._merge(segment, entries, entry, offset)
            offset += _HEADER.size + len(payload)
        return ""

    def _merge(
        self, segment: _Segment, entries: list[Entry], entry: Entry, offset: int
    ) -> None:
        """Append an entry; it replaces a known entry of its index and all later ones."""
        if entries:
            n_retained = entry.index - entries[0].index
            if n_retained > len(entries):
                raise StorageCorruptError(
                    segment.path, offset, f"entries before {entry.index} are missing"
                )
            del entries[max(n_retained, 0) :]
        entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)

    def _truncate(self, path: Path, offset: int) -> None:
        with path.open("r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def write(self, effects: list[PersistEffect]) -> int:
        """Make effects durable in order; return the last sequence.

        Raise StorageFullError, after which the same effects may be written again, or
        OSError, after which nothing more may be written.
        """
        try:
            self._remove_torn_append()
            self._write_effects(effects)
        except OSError as error:
            if error.errno not in _FULL_ERRORS:
                raise
            self._has_torn_append = True
            raise StorageFullError(str(error)) from error
        return effects[-1].sequence

    def _write_effects(self, effects: list[PersistEffect]) -> None:
        entries: list[Entry] = []
        for effect in effects:
            if isinstance(effect, PersistEntries):
                entries.extend(effect.entries)
                continue
            self._append(entries)
            entries = []
            self._write_file(effect)
        self._append(entries)

    def _write_file(self, effect: PersistEffect) -> None:
        if isinstance(effect, PersistVote):
            _replace_file(self._folder / "vote", msgspec.msgpack.encode(effect.vote))
        elif isinstance(effect, PersistSnapshot):
            self._write_snapshot(effect)

    def _append(self, entries: list[Entry]) -> None:
        """Append entries as one record, so that only the last record can be torn."""
        if not entries:
            return
        if self._descriptor is None or self._size_bytes >= _SEGMENT_SIZE_MAX_BYTES:
            self._start_segment(entries[0].index)
        assert self._descriptor is not None
        record = _encode_record(msgspec.msgpack.encode(entries))
        _write_all(self._descriptor, record)
        os.fdatasync(self._descriptor)
        self._size_bytes += len(record)
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, entries[-1].index)

    def _remove_torn_append(self) -> None:
        """Remove the part of a failed write that follows the last durable record.

        Some file systems need room to shorten a file, so this may fail as well.
        """
        if self._has_torn_append and self._descriptor is not None:
            os.ftruncate(self._descriptor, self._size_bytes)
        self._has_torn_append = False

    def _start_segment(self, first_index: int) -> None:
        number = 0
        if self._segments:
            number = int(self._segments[-1].path.stem.split("-")[1]) + 1
        path = self._folder / f"{self._generation:08}-{number:08}-{first_index}.segment"
        self._open_segment(path)
        try:
            _sync_folder(self._folder)
        except OSError:
            # A power loss could remove the file, so it must not be appended to yet.
            self._close_segment()
            raise
        self._segments.append(_Segment(path))

    def _open_segment(self, path: Path) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o600)
        self._size_bytes = os.fstat(self._descriptor).st_size

    def _write_snapshot(self, effect: PersistSnapshot) -> None:
        generation = self._generation + 1 if effect.is_reset else self._generation
        file = _SnapshotFile(generation=generation, data=effect.data)
        _replace_file(self._folder / "snapshot", msgspec.msgpack.encode(file))
        self._generation = generation
        if effect.is_reset:
            self._drop_segments(self._segments)
            self._segments = []
            return
        dropped = [
            segment
            for segment in self._segments[:-1]
            if segment.last_index < effect.first_kept
        ]
        self._drop_segments(dropped)
        self._segments = [item for item in self._segments if item not in dropped]
        # Closes the open segment, so that the next snapshot can delete it.
        if self._segments and self._segments[-1].last_index >= effect.first_kept:
            self._close_segment()

    def _close_segment(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _drop_segments(self, segments: list[_Segment]) -> None:
        if self._segments and self._segments[-1] in segments:
            self._close_segment()
        for segment in segments:
            segment.path.unlink(missing_ok=True)
        if segments:
            _sync_folder(self._folder)
