"""Background task that writes to the data folder of a control node."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cardamomshunt.control_effects import PersistEffect

from cardamomshunt_node._log_storage import LogStorage, StorageFullError

_FULL_RETRY_S = 0.5


@dataclass(slots=True, frozen=True)
class StorageDone:
    """All writes up to a sequence are durable."""

    sequence: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """A write failed; it is retried if the disk is full."""

    reason: str
    is_full: bool


class StorageTask:
    """Write effects in order in a thread, batching them under one sync."""

    def __init__(
        self,
        storage: LogStorage,
        report: Callable[[StorageDone | StorageFailed], None],
    ) -> None:
        self._storage = storage
        self._report = report
        self._queue: asyncio.Queue[PersistEffect] = asyncio.Queue()
        self._n_pending = 0

    def put(self, effect: PersistEffect) -> None:
        """Queue a write."""
        self._n_pending += 1
        self._queue.put_nowait(effect)

    @property
    def is_idle(self) -> bool:
        """Return whether all writes are durable."""
        return self._n_pending == 0

    async def run(self) -> None:
        """Write until cancelled, or until an error other than a full disk occurs."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            try:
                sequence = await self._write(batch)
            except OSError as error:
                self._report(StorageFailed(str(error), is_full=False))
                return
            self._n_pending -= len(batch)
            self._report(StorageDone(sequence))

    async def _write(self, batch: list[PersistEffect]) -> int:
        while True:
            try:
                return await asyncio.to_thread(self._storage.write, batch)
            except StorageFullError as error:
                self._report(StorageFailed(str(error), is_full=True))
                await asyncio.sleep(_FULL_RETRY_S)
