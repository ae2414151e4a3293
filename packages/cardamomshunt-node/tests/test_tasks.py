"""Tasks end even if a socket operation swallows a cancellation."""

import asyncio
import contextlib

from cardamomshunt_node._tasks import cancel_and_wait


async def test_swallowed_cancellation_does_not_hang_the_stop() -> None:
    """Guards against a stop that hangs because a cancellation was swallowed.

    This hung the stop of an operator link once in a run of the command line's tests.
    """
    n_swallowed = 0

    async def worker() -> None:
        nonlocal n_swallowed
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60)
        n_swallowed += 1
        await asyncio.sleep(60)

    task = asyncio.create_task(worker())
    await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await cancel_and_wait([task])
    assert n_swallowed == 1 and task.cancelled()
