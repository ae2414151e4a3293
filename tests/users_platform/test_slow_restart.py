"""All daemons are killed and come back on slow disks, with real processes."""

import asyncio
import shutil
from dataclasses import replace

import pytest
import pytest_asyncio
from cardamomshunt_node._boot_clock import boot_ms
from process_site import run_process_site
from standin import document

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
async def site(tmp_path):
    async with run_process_site(tmp_path, n_servers=1, is_reporting=False) as running:
        yield running


@pytest.mark.parametrize("lost", [None, "control-2"])
async def test_configuration_is_read_back_although_syncs_are_slow(site, lost):
    """Guards against control nodes without a leader after a restart on slow disks."""
    async with asyncio.timeout(30.0):
        await site.put_configuration()
    processes = site.daemons
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
        response = await site.call_until_success("GET", "/Configuration.Read")
    assert response.body == document()
    assert boot_ms() - started_ms < _RECOVERY_S * 1_000.0
