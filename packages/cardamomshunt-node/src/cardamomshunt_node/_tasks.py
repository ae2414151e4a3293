"""Cancellation of tasks that may swallow it."""

import asyncio
from collections.abc import Iterable

_CANCEL_INTERVAL_S = 0.1


async def cancel_and_wait(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks repeatedly until all of them are done.

    A pynng operation that completes while it is cancelled swallows the cancellation, and
    the task continues with its next operation.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_INTERVAL_S)
