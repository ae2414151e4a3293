"""Tests of the runner of the soak's seeds."""

import asyncio
import random

import pytest
import soak
from soak_deployment import SoakDeployment
from soak_network import reserve_soak_network
from standin import Caller

# No seed really runs on it.
_UNUSED_NETWORK = 90


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
    running = asyncio.create_task(soak._run_seeds([1, 2, 3], 1.0, 2, _UNUSED_NETWORK))
    await asyncio.sleep(0.01)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert started == sorted(stopped) == [1, 2]


async def test_the_end_of_a_seed_leaves_the_callers_of_others(tmp_path):
    # Guards against statements of one seed that the end of another one breaks.
    async def serve(reader, writer):
        writer.write(b"READY I -\r\n")

    with reserve_soak_network() as network:
        server = await asyncio.start_server(serve, f"127.{network}.2.1", 18_784)
        caller = await Caller.open(f"127.{network}.2.1:18784", "orders")
        ended = SoakDeployment(random.Random(1), tmp_path, network, has_teams=False)
        await ended.provider.server.start()
        await ended.stop()
        assert not caller._writer.transport.is_closing()
        caller.close()
        server.close()
