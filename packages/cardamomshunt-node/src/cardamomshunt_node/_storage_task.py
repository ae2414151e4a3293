"""Background task that writes to the data folder of a control node."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cardamomshunt.control_effects import PersistEffect

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._log_storage import LogStorage, StorageFullError

_FULL_RETRY_S = 0.5
# Longer than the longest election timeout, so that this node can't vote in time.
_STALLED_WRITE_MS = 1_000.0


@dataclass(slots=True, frozen=True)
class StorageDone:
    """All writes up to a sequence are durable."""

    sequence: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """A write failed; it is retried if the disk is full."""

    reason: str
    is_full: bool


@dataclass(slots=True, frozen=True)
class WriteTimes:
    """Times of a batch of writes that ended, also in an error, or that is stalled.

    `waited_ms` is how long the oldest effect of the batch waited for its write to start.
    """

    n_effects: int
    waited_ms: float
    elapsed_ms: float
    is_ended: bool


class _Batch:
    """Effects that are written together, and when; the thread sets the times."""

    __slots__ = ("_ended_ms", "_queued_ms", "_started_ms", "effects")

    def __init__(self, effects: list[PersistEffect], queued_ms: float) -> None:
        self.effects = effects
        self._queued_ms = queued_ms
        self._started_ms: float | None = None
        self._ended_ms: float | None = None

    def write(self, storage: LogStorage) -> int:
        """Write the effects; return the last sequence."""
        self._started_ms = boot_ms()
        try:
            return storage.write(self.effects)
        finally:
            self._ended_ms = boot_ms()

    def times(self) -> WriteTimes:
        """Return the times so far."""
        is_ended = self._ended_ms is not None
        end_ms = boot_ms() if self._ended_ms is None else self._ended_ms
        started_ms = end_ms if self._started_ms is None else self._started_ms
        return WriteTimes(
            n_effects=len(self.effects),
            waited_ms=started_ms - self._queued_ms,
            elapsed_ms=end_ms - started_ms,
            is_ended=is_ended,
        )


class StorageTask:
    """Write effects in order in a thread, batching them under one sync.

    `observe` is called when a batch has stalled, and when its write ended.
    """

    def __init__(
        self,
        storage: LogStorage,
        report: Callable[[StorageDone | StorageFailed], None],
        observe: Callable[[WriteTimes], None],
    ) -> None:
        self._storage = storage
        self._report = report
        self._observe = observe
        self._queue: asyncio.Queue[PersistEffect] = asyncio.Queue()
        # Of all effects that are not durable, oldest first.
        self._queued_ms: deque[float] = deque()

    def put(self, effect: PersistEffect) -> None:
        """Queue a write."""
        self._queued_ms.append(boot_ms())
        self._queue.put_nowait(effect)

    @property
    def is_idle(self) -> bool:
        """Return whether all writes are durable."""
        return not self._queued_ms

    @property
    def oldest_age_ms(self) -> float:
        """Return the age of the oldest write that is not durable, or 0."""
        return boot_ms() - self._queued_ms[0] if self._queued_ms else 0.0

    async def run(self) -> None:
        """Write until cancelled, or until an error other than a full disk occurs."""
        while True:
            effects = [await self._queue.get()]
            while not self._queue.empty():
                effects.append(self._queue.get_nowait())
            try:
                sequence = await self._write(effects)
            except OSError as error:
                self._report(StorageFailed(str(error), is_full=False))
                return
            for _ in effects:
                self._queued_ms.popleft()
            self._report(StorageDone(sequence))

    async def _write(self, effects: list[PersistEffect]) -> int:
        while True:
            try:
                return await self._write_once(_Batch(effects, self._queued_ms[0]))
            except StorageFullError as error:
                self._report(StorageFailed(str(error), is_full=True))
                await asyncio.sleep(_FULL_RETRY_S)

    async def _write_once(self, batch: _Batch) -> int:
        timer = asyncio.get_running_loop().call_later(
            _STALLED_WRITE_MS / 1_000.0, self._observe_stall, batch
        )
        try:
            return await asyncio.to_thread(batch.write, self._storage)
        finally:
            timer.cancel()
            times = batch.times()
            # A write continues in its thread after this task is cancelled.
            if times.is_ended:
                self._observe(times)

    def _observe_stall(self, batch: _Batch) -> None:
        times = batch.times()
        # The thread may have ended before the loop learns of it.
        if not times.is_ended:
            self._observe(times)
