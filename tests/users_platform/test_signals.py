"""Signals that reach a process before its daemon is ready for them."""

import asyncio

import pytest
import pytest_asyncio
from daemon_processes import DaemonProcesses

from conftest import make_settings

_START_TIMEOUT_S = 8.0
_END_TIMEOUT_S = 5.0

# Starts a role, and sends the process a signal at a point of its start.
_START = """
import os, signal, sys
from cardamomshunt_platform import __main__
original = __main__.{point}
def signalled(*arguments):
    result = original(*arguments)
    os.kill(os.getpid(), signal.{signal})
    return result
__main__.{point} = signalled
sys.argv = ["cardamomshunt_platform", "{role}"]
__main__.main()
"""
_NODES = {"entry": "entry-1", "control": "control-1"}
_POINTS = {"before_the_settings": "_load_platform", "after_them": "_run_role"}


@pytest_asyncio.fixture
async def processes(network, tmp_path):
    """Return daemons of which none runs yet."""
    daemons = DaemonProcesses(tmp_path, make_settings(network, tmp_path, ("z1",)))
    yield daemons
    await daemons.kill_all()


@pytest.mark.parametrize("role", _NODES)
@pytest.mark.parametrize("point", _POINTS.values(), ids=_POINTS)
async def test_a_reload_signal_during_the_start_is_applied(processes, role, point):
    # Guards against a process that SIGHUP ends before its handlers are installed, and
    # against changed settings that are never read, as the signal came after the reading.
    node = _NODES[role]
    code = _START.format(role=role, point=point, signal="SIGHUP")
    await processes.start(node, code)
    async with asyncio.timeout(_START_TIMEOUT_S):
        while '"reloaded"' not in (processes.folder / f"{node}.log").read_text():
            assert processes.running[node].returncode is None
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("role", _NODES)
@pytest.mark.parametrize("point", _POINTS.values(), ids=_POINTS)
async def test_a_stop_signal_during_the_start_ends_the_process(processes, role, point):
    # Guards against a stop signal that is lost, so that the process runs on until it is
    # killed.
    node = _NODES[role]
    code = _START.format(role=role, point=point, signal="SIGTERM")
    await processes.start(node, code)
    async with asyncio.timeout(_START_TIMEOUT_S + _END_TIMEOUT_S):
        await processes.running[node].wait()
