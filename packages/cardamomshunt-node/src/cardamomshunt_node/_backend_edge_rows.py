"""Bounded stream of rows from a backend connection to a caller."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from cardamomshunt_node._backend_edge_answers import (
    ErrorAnswer,
    IncompleteRowsError,
    Row,
    RowBatch,
)

# With two batches, one side reads while the other writes; more would only use memory.
_N_BATCHES_MAX = 2


class RowStream:
    """Forward row batches to one consumer, with at most two of them buffered.

    The producer waits while the consumer is slow. The consumer's iteration ends without
    an error only after `finish`, or after `close` by the consumer's side.
    """

    __slots__ = ("_batches", "_error", "_is_closed", "_is_finished", "_waiters")

    def __init__(self) -> None:
        self._batches: deque[RowBatch] = deque()
        self._waiters: list[asyncio.Future[None]] = []
        self._is_finished = False
        self._is_closed = False
        self._error: ErrorAnswer | None = None

    async def put(self, batch: RowBatch) -> bool:
        """Add a batch; return False if the stream has ended."""
        while len(self._batches) >= _N_BATCHES_MAX and not self._is_ended():
            await self._wait_for_change()
        if self._is_ended():
            return False
        self._batches.append(batch)
        self._notify_waiters()
        return True

    def finish(self) -> None:
        """End the iteration normally, after the last row."""
        self._is_finished = True
        self._notify_waiters()

    def fail(self, error: ErrorAnswer) -> None:
        """End the iteration with an error; no effect on a finished stream."""
        if not self._is_finished and self._error is None:
            self._error = error
        self._notify_waiters()

    def close(self) -> None:
        """Discard all rows, because the caller has disconnected."""
        self._is_closed = True
        self._batches.clear()
        self._notify_waiters()

    async def __aiter__(self) -> AsyncIterator[Row]:
        while True:
            if self._error is not None:
                raise IncompleteRowsError(self._error)
            if self._batches:
                batch = self._batches.popleft()
                self._notify_waiters()
                for row in batch.rows:
                    yield row
                continue
            if self._is_finished or self._is_closed:
                return
            await self._wait_for_change()

    def _is_ended(self) -> bool:
        return self._is_closed or self._is_finished or self._error is not None

    async def _wait_for_change(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _notify_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
