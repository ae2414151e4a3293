"""All daemons are killed and come back on slow disks, with real processes."""

import asyncio
import itertools
import shutil
from dataclasses import replace

import pytest
import pytest_asyncio
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._http import HttpRequest
from daemon_processes import DaemonProcesses
from standin import Group, LineServer, Provider, call_control, document

from conftest import make_settings, reserve_addresses

_RECOVERY_S = 12.0
_SYNC_MS = 200.0
# Runs a daemon of which each sync takes longer, as on a disk that other work keeps busy.
_SLOW_DAEMON = """
import os, runpy, sys, time
def slowed(sync):
    def run(descriptor):
        time.sleep({sync_ms} / 1_000.0)
        return sync(descriptor)
    return run
os.fsync, os.fdatasync = slowed(os.fsync), slowed(os.fdatasync)
sys.argv = ["daemon", {role!r}]
runpy.run_module("cardamomshunt_platform", run_name="__main__")
"""


@pytest_asyncio.fixture
async def processes(tmp_path):
    """Run daemons as processes, with one stand-in server that reports nothing."""
    network, lock = reserve_addresses()
    group = Group("db", 18_143)
    group.servers.append(LineServer(group, "i-1", f"127.{network}.3.1", "z1"))
    provider = Provider(f"127.{network}.9.9:18083", [group])
    daemons = DaemonProcesses(tmp_path, make_settings(network, tmp_path, ("z1", "z2")))
    await provider.server.start()
    await daemons.start_all()
    yield daemons
    await daemons.kill_all()
    await provider.server.stop()
    lock.close()


async def _call_until_success(daemons, method, path, body=b""):
    for address in itertools.cycle(daemons.control_addresses):
        try:
            response = await call_control(
                address, HttpRequest(method, path, body), 2_000.0
            )
        except (OSError, TimeoutError):
            response = None
        if response is not None and response.status == 200:
            return response
        await asyncio.sleep(0.05)
    raise AssertionError("no control node is known")


@pytest.mark.parametrize("lost", [None, "control-2"])
async def test_configuration_is_read_back_although_syncs_are_slow(processes, lost):
    """Guards against control nodes without a leader after a restart on slow disks."""
    async with asyncio.timeout(30.0):
        await _call_until_success(
            processes, "POST", "/Configuration.Replace", document()
        )
    await processes.kill_all()
    if lost:
        shutil.rmtree(processes.settings[lost].data_folder)
    started_ms = boot_ms()
    for node, settings in processes.settings.items():
        processes.settings[node] = replace(settings, is_first_start=False)
        role = "control" if settings.control_address else "entry"
        code = _SLOW_DAEMON.format(sync_ms=_SYNC_MS, role=role)
        await processes.start(node, code)
    async with asyncio.timeout(2.0 * _RECOVERY_S):
        response = await _call_until_success(processes, "GET", "/Configuration.Read")
    assert response.body == document()
    assert boot_ms() - started_ms < _RECOVERY_S * 1_000.0
