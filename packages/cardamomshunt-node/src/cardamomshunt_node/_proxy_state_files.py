"""The last configuration and topology of a proxy, kept in its data folder.

A proxy in a zone that is cut off from control serves after a restart with what is
stored here. Losing a file costs only that, so a broken file is reported and ignored.
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
    """Replace a file so that a crash leaves the old or the new content."""
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
    """Return a file's content, None if there is none; raise ValueError if broken."""
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

    Only the newest content of a file is written; a version that is overtaken while
    another one is synced is skipped.
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
        """Return the stored configuration."""
        return self._load(CONFIGURATION_FILE, ClusterConfiguration)

    def load_topology(self) -> TopologyUpdate | None:
        """Return the stored topology."""
        return self._load(TOPOLOGY_FILE, TopologyUpdate)

    def store_configuration(self, configuration: ClusterConfiguration) -> None:
        """Store a configuration soon."""
        self._store(CONFIGURATION_FILE, msgspec.json.encode(configuration))

    def store_topology(self, topology: TopologyUpdate) -> None:
        """Store a topology soon."""
        self._store(TOPOLOGY_FILE, msgspec.json.encode(topology))

    async def stop(self) -> None:
        """Wait until everything is stored."""
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
