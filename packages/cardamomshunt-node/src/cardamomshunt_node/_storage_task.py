"""The task that owns the data folder of a control node."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cardamomshunt.control_effects import PersistEffect

from cardamomshunt_node._log_storage import LogStorage, StorageFullError

_FULL_RETRY_S = 0.5


@dataclass(slots=True, frozen=True)
class StorageDone:
    """Report that all writes up to a sequence are durable."""

    sequence: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """Report that writes fail; a full disk is tried again."""

    reason: str
    is_full: bool


class StorageTask:
    """Write effects in order, several under one sync, in a thread."""

    def __init__(
        self,
        storage: LogStorage,
        report: Callable[[StorageDone | StorageFailed], None],
    ) -> None:
        self._storage = storage
        self._report = report
        self._queue: asyncio.Queue[PersistEffect] = asyncio.Queue()
        self._n_open = 0

    def put(self, effect: PersistEffect) -> None:
        """Queue a write."""
        self._n_open += 1
        self._queue.put_nowait(effect)

    @property
    def is_idle(self) -> bool:
        """Tell whether all writes are durable."""
        return self._n_open == 0

    async def run(self) -> None:
        """Write until cancelled or until the disk fails."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            try:
                sequence = await self._write(batch)
            except OSError as error:
                self._report(StorageFailed(str(error), is_full=False))
                return
            self._n_open -= len(batch)
            self._report(StorageDone(sequence))

    async def _write(self, batch: list[PersistEffect]) -> int:
        while True:
            try:
                return await asyncio.to_thread(self._storage.write, batch)
            except StorageFullError as error:
                self._report(StorageFailed(str(error), is_full=True))
                await asyncio.sleep(_FULL_RETRY_S)
