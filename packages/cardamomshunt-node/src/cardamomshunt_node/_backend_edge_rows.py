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

# Two batches keep one side reading while the other writes; more only adds memory.
_N_BATCHES_MAX = 2


class RowStream:
    """Pass row batches on with at most two of them held.

    The producer waits while the consumer is slow. Only `finish` lets the consumer's
    iteration end without an error.
    """

    __slots__ = ("_batches", "_error", "_is_closed", "_is_finished", "_wakeups")

    def __init__(self) -> None:
        self._batches: deque[RowBatch] = deque()
        self._wakeups: list[asyncio.Future[None]] = []
        self._is_finished = False
        self._is_closed = False
        self._error: ErrorAnswer | None = None

    async def put(self, batch: RowBatch) -> bool:
        """Hand over a batch; return False once nobody takes rows any more."""
        while len(self._batches) >= _N_BATCHES_MAX and not self._is_over():
            await self._wait()
        if self._is_over():
            return False
        self._batches.append(batch)
        self._wake()
        return True

    def finish(self) -> None:
        """Let the iteration end, as every row was handed over."""
        self._is_finished = True
        self._wake()

    def fail(self, error: ErrorAnswer) -> None:
        """Let the iteration end with an error; a finished stream stays finished."""
        if not self._is_finished and self._error is None:
            self._error = error
        self._wake()

    def close(self) -> None:
        """Stop taking rows, as the caller is gone."""
        self._is_closed = True
        self._batches.clear()
        self._wake()

    async def __aiter__(self) -> AsyncIterator[Row]:
        while True:
            if self._error is not None:
                raise IncompleteRowsError(self._error)
            if self._batches:
                batch = self._batches.popleft()
                self._wake()
                for row in batch.rows:
                    yield row
                continue
            if self._is_finished or self._is_closed:
                return
            await self._wait()

    def _is_over(self) -> bool:
        return self._is_closed or self._is_finished or self._error is not None

    async def _wait(self) -> None:
        wakeup = asyncio.get_running_loop().create_future()
        self._wakeups.append(wakeup)
        await wakeup

    def _wake(self) -> None:
        wakeups, self._wakeups = self._wakeups, []
        for wakeup in wakeups:
            if not wakeup.done():
                wakeup.set_result(None)
