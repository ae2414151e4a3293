"""Tests of a restart of all daemons at once, with real processes."""

import asyncio

import pytest_asyncio
from cardamomshunt_node._boot_clock import boot_ms
from process_site import run_process_site

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
async def site(tmp_path):
    async with run_process_site(tmp_path) as running:
        yield running


async def test_all_daemons_killed_at_once_serve_again_and_log_their_steps(site):
    # After a power loss service came back only seconds after the power, and nothing
    # told which step of the start took that long.
    async with asyncio.timeout(30.0):
        await site.put_configuration()
        await site.serve_everywhere()
    await asyncio.sleep(1.5)
    await site.daemons.kill_all()
    await asyncio.sleep(_OUTAGE_S)
    started_ms = boot_ms()
    await site.daemons.start_all()
    async with asyncio.timeout(_RECOVERY_MAX_MS / 1_000.0):
        await site.serve_everywhere()
    elapsed_ms = boot_ms() - started_ms
    for node in ("entry-1", "entry-2"):
        steps = site.daemons.steps(node)
        assert len(steps) == 2
        assert sorted(steps[-1]) == sorted(_ENTRY_STEPS)
        assert 0 < steps[-1]["imports"] <= steps[-1]["first_answer"] <= elapsed_ms + 50
