"""Tests of a restart of all daemons at once, with real processes."""

import asyncio
import itertools

import pytest_asyncio
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._http import HttpRequest
from daemon_processes import DaemonProcesses
from standin import Caller, Group, LineServer, Provider, call_control, document, report

from conftest import make_settings, reserve_addresses

_OUTAGE_S = 0.5
# Includes the starts of five interpreters on a busy machine with few cores.
_RECOVERY_MAX_MS = 8_000.0
_ENTRY_STEPS = [
    "imports",
    "listening",
    "first_contact",
    "leader_known",
    "first_lease",
    "first_configuration",
    "first_server",
    "first_connection",
    "first_bound",
    "first_answer",
]


@pytest_asyncio.fixture
async def processes(tmp_path):
    """Run daemons as processes, with stand-in servers that report to them."""
    network, lock = reserve_addresses()
    group = Group("db", 18_143)
    for number in (1, 2, 3):
        host = f"127.{network}.3.{number}"
        group.servers.append(LineServer(group, f"i-{number}", host, f"z{number}"))
    group.servers[2].is_primary = True
    provider = Provider(f"127.{network}.9.9:18083", [group])
    daemons = DaemonProcesses(tmp_path, make_settings(network, tmp_path, ("z1", "z2")))
    await provider.server.start()
    for server in group.servers:
        await server.start()
    await daemons.start_all()
    reporters = [
        asyncio.create_task(_report_periodically(daemons, server))
        for server in group.servers
    ]
    yield daemons
    for task in reporters:
        task.cancel()
    await asyncio.gather(*reporters, return_exceptions=True)
    await daemons.kill_all()
    for server in group.servers:
        await server.stop()
    await provider.server.stop()
    lock.close()


async def _report_periodically(daemons, server):
    for address in itertools.cycle(daemons.control_addresses):
        try:
            await report(server, address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            continue
        await asyncio.sleep(1.2)


async def _put_configuration(daemons):
    request = HttpRequest("POST", "/Configuration.Replace", document())
    for address in itertools.cycle(daemons.control_addresses):
        try:
            response = await call_control(address, request, 2_000.0)
        except (OSError, TimeoutError):
            response = None
        if response is not None and response.status == 200:
            return
        await asyncio.sleep(0.05)


async def _execute_until_success(address, database, text):
    while True:
        try:
            caller = await Caller.open(address, database)
            lines = await caller.execute(text)
            caller.close()
            if lines[-1].startswith("COMPLETE"):
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def _serve_everywhere(daemons):
    """Run a write and a read at each entry VM until they succeed."""
    await asyncio.gather(
        *(
            _execute_until_success(address, database, text)
            for address in daemons.caller_addresses
            for database, text in (("orders", "WRITE k v"), ("stock", "READ k"))
        )
    )


async def test_all_daemons_killed_at_once_serve_again_and_log_their_steps(processes):
    # After a power loss service came back only seconds after the power, and nothing
    # told which step of the start took that long.
    async with asyncio.timeout(30.0):
        await _put_configuration(processes)
        await _serve_everywhere(processes)
    await asyncio.sleep(1.5)
    await processes.kill_all()
    await asyncio.sleep(_OUTAGE_S)
    started_ms = boot_ms()
    await processes.start_all()
    async with asyncio.timeout(_RECOVERY_MAX_MS / 1_000.0):
        await _serve_everywhere(processes)
    elapsed_ms = boot_ms() - started_ms
    for node in ("entry-1", "entry-2"):
        steps = processes.steps(node)
        assert len(steps) == 2
        assert sorted(steps[-1]) == sorted(_ENTRY_STEPS)
        assert 0 < steps[-1]["imports"] <= steps[-1]["first_answer"] <= elapsed_ms + 50
