"""Tests of the runner of the soak's seeds."""

import asyncio

import pytest
import soak

_NETWORK = 90


async def test_a_cancelled_soak_stops_the_daemons_of_running_seeds(monkeypatch):
    # Guards against daemons that survive a soak which is ended while seeds still wait.
    started, stopped = [], []

    async def run_seed(seed, *arguments, **options):
        started.append(seed)
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)
            stopped.append(seed)

    monkeypatch.setattr(soak, "run_seed", run_seed)
    running = asyncio.create_task(soak._run_seeds([1, 2, 3], 1.0, 2, _NETWORK))
    await asyncio.sleep(0.01)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert started == sorted(stopped) == [1, 2]
