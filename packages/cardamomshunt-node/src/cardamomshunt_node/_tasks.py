"""Ending of tasks that may lose a cancellation."""

import asyncio
from collections.abc import Iterable

_REPEAT_AFTER_S = 0.1


async def cancel_and_wait(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks until they have ended.

    A pynng operation that completes at the moment of its cancellation swallows the
    cancellation, and the task goes on to its next operation; so it is repeated.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_REPEAT_AFTER_S)
