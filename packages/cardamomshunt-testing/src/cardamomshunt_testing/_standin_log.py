"""Replicated log of an instance, in memory or in a synced data folder."""

import os
import struct
from pathlib import Path

import msgspec
from cardamomshunt.position import ZERO, LogPosition

_LENGTH = struct.Struct("<I")


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """Transaction as the statements that replay it."""

    term: int
    position: int
    statements: list[str]


class InstanceLog:
    """Store the promised term and the entries; position n is the n-th entry."""

    def __init__(self, folder: Path | None = None):
        self.term = 0
        self.entries: list[LogEntry] = []
        self._folder = folder
        self._file: int | None = None
        if folder is not None:
            self._load(folder)

    @property
    def end(self) -> LogPosition:
        """Return the position of the last entry."""
        return self.position_at(len(self.entries))

    @property
    def is_persistent(self) -> bool:
        """Return whether term and entries survive a restart."""
        return self._folder is not None

    def position_at(self, position: int) -> LogPosition:
        """Return the term and number of an entry, or zero before the first."""
        if position == 0:
            return ZERO
        entry = self.entries[position - 1]
        return LogPosition(entry.term, entry.position)

    def contains(self, position: LogPosition) -> bool:
        """Return whether an entry, or the start of the log, is in the log."""
        is_within = position.position <= len(self.entries)
        return is_within and self.position_at(position.position) == position

    def set_term(self, term: int) -> None:
        """Record a promised term; it is synced on return."""
        self.term = term
        if self._folder is None:
            return
        path = self._folder / "term"
        temporary = path.with_suffix(".new")
        with temporary.open("w") as file:
            file.write(str(term))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries; they are synced on return."""
        self.entries.extend(entries)
        if self._file is None:
            return
        os.write(self._file, b"".join(_encode(entry) for entry in entries))
        os.fsync(self._file)

    def truncate(self, position: int) -> None:
        """Remove all entries after a position."""
        del self.entries[position:]
        if self._file is None:
            return
        size_bytes = sum(len(_encode(entry)) for entry in self.entries)
        os.ftruncate(self._file, size_bytes)
        os.fsync(self._file)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _load(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        term_path = folder / "term"
        if term_path.exists():
            self.term = int(term_path.read_text())
        path = folder / "log"
        data = path.read_bytes() if path.exists() else b""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND)
        os.ftruncate(self._file, self._decode(data))

    def _decode(self, data: bytes) -> int:
        """Read complete entries and return their size, without a torn tail."""
        offset = 0
        while offset + _LENGTH.size <= len(data):
            (size_bytes,) = _LENGTH.unpack_from(data, offset)
            body = data[offset + _LENGTH.size : offset + _LENGTH.size + size_bytes]
            if len(body) < size_bytes:
                break
            self.entries.append(msgspec.msgpack.decode(body, type=LogEntry))
            offset += _LENGTH.size + size_bytes
        return offset


def _encode(entry: LogEntry) -> bytes:
    body = msgspec.msgpack.encode(entry)
    return _LENGTH.pack(len(body)) + body
