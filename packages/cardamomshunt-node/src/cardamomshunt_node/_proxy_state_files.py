"""Files with the last configuration and topology of a proxy.

They allow a proxy that can't reach control to serve requests after a restart. Nothing
else depends on them, so a corrupt file is reported and ignored.
"""

import asyncio
import hashlib
import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec
from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.messages import TopologyUpdate

CONFIGURATION_FILE = "proxy-configuration"
TOPOLOGY_FILE = "proxy-topology"
_CHECKSUM_SIZE_BYTES = 16

_Stored = TypeVar("_Stored")


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_CHECKSUM_SIZE_BYTES).digest()


def write_durably(path: Path, body: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new content."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(_checksum(body) + body)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read_verified(path: Path) -> bytes | None:
    """Return the content of a file, or None if the file does not exist.

    Raise ValueError if the checksum does not match.
    """
    try:
        stored = path.read_bytes()
    except FileNotFoundError:
        return None
    body = stored[_CHECKSUM_SIZE_BYTES:]
    if stored[:_CHECKSUM_SIZE_BYTES] != _checksum(body):
        raise ValueError(f"{path}: the checksum does not match")
    return body


class StateFiles:
    """Load the stored state, and store newer versions in the background.

    Only the newest content of a file is written. A version that is superseded while
    another one is written is skipped.
    """

    def __init__(self, folder: Path | None, on_problem: Callable[[str], None]) -> None:
        self._folder = folder
        self._on_problem = on_problem
        self._pending: dict[str, bytes] = {}
        self._writer: asyncio.Task[None] | None = None
        if folder is not None:
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                on_problem(f"{folder}: {error.strerror}")

    def load_configuration(self) -> ClusterConfiguration | None:
        """Return the stored configuration, or None without a valid file."""
        return self._load(CONFIGURATION_FILE, ClusterConfiguration)

    def load_topology(self) -> TopologyUpdate | None:
        """Return the stored topology, or None without a valid file."""
        return self._load(TOPOLOGY_FILE, TopologyUpdate)

    def store_configuration(self, configuration: ClusterConfiguration) -> None:
        """Store a configuration in the background."""
        self._store(CONFIGURATION_FILE, msgspec.json.encode(configuration))

    def store_topology(self, topology: TopologyUpdate) -> None:
        """Store a topology in the background."""
        self._store(TOPOLOGY_FILE, msgspec.json.encode(topology))

    async def stop(self) -> None:
        """Wait until all pending files are written."""
        if self._writer is not None:
            await self._writer

    def _load(self, name: str, stored_type: type[_Stored]) -> _Stored | None:
        if self._folder is None:
            return None
        try:
            body = read_verified(self._folder / name)
            return None if body is None else msgspec.json.decode(body, type=stored_type)
        except (OSError, ValueError) as error:
            self._on_problem(str(error))
            return None

    def _store(self, name: str, body: bytes) -> None:
        if self._folder is None:
            return
        self._pending[name] = body
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending(self._folder))

    async def _write_pending(self, folder: Path) -> None:
        while self._pending:
            name, body = self._pending.popitem()
            try:
                await asyncio.to_thread(write_durably, folder / name, body)
            except OSError as error:
                self._on_problem(f"{folder / name}: {error.strerror}")
