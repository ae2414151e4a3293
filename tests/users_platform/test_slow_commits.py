"""A control node whose disk takes longer for a write than a caller waits."""

import asyncio
import time
from dataclasses import dataclass

import pytest
import pytest_asyncio
from cardamomshunt.fleet import PutDocument, encode_command
from cardamomshunt_node._http import HttpRequest
from cardamomshunt_node._log_storage import LogStorage
from standin import call_control, document

from conftest import run_deployment

# A commit takes longer than `_CONFIRMATION_WAIT_MS` of a control node.
_WRITE_S = 2.2


@dataclass
class _Disk:
    write_s: float = 0.0


@pytest.fixture
def disk(monkeypatch):
    """Return the time that each write to the disks of control nodes takes longer."""
    found = _Disk()
    write = LogStorage.write

    def write_slowly(storage, effects):
        time.sleep(found.write_s)
        return write(storage, effects)

    monkeypatch.setattr(LogStorage, "write", write_slowly)
    yield found
    found.write_s = 0.0


@pytest_asyncio.fixture
async def slow_deployment(tmp_path, disk):
    """Run a deployment with one control node, which needs no other to commit."""
    async with run_deployment(tmp_path, ("z1", "z2"), n_control_nodes=1) as running:
        disk.write_s = _WRITE_S
        yield running
        disk.write_s = 0.0


async def _write_once(deployment) -> str:
    """Return the last line of the answer to a write, or an empty string if it is lost."""
    try:
        caller = await deployment.open_session()
        lines = await caller.execute("WRITE k1 a")
    except ConnectionError:
        return ""
    caller.close()
    return lines[-1]


async def test_a_primary_is_replaced_although_each_commit_is_slow(slow_deployment):
    # Guards against a replacement that is left at each commit, begins again with another
    # token, and so never asks for the promotion.
    slow_deployment.server("i-3").is_unreachable = True
    async with asyncio.timeout(30.0):
        while not (await _write_once(slow_deployment)).startswith("COMPLETE"):
            await asyncio.sleep(0.05)
    assert len(slow_deployment.provider.calls) == 1


async def test_a_repeated_configuration_waits_for_its_first_commit(
    slow_deployment, disk
):
    # Guards against a log that gets another copy of a document with each repetition, and
    # against a repetition that is refused although the first copy is committed.
    disk.write_s = 3.0
    node = slow_deployment.controls["control-1"]
    address = slow_deployment.control_addresses[0]
    body = document(version=2)
    statuses = []
    while 200 not in statuses:
        response = await call_control(
            address, HttpRequest("POST", "/Configuration.Replace", body), 4_000.0
        )
        statuses.append(response.status)
    payload = encode_command(PutDocument(version=2, document=body))
    entries = node._host.node.log.entries_from(1, 1_000)
    assert [entry.payload for entry in entries].count(payload) == 1
    assert statuses == [503, 200]


@pytest.mark.parametrize("write_s", [0.1, 0.5, 1.0])
async def test_three_nodes_replace_a_primary_and_keep_their_leader(
    deployment, disk, write_s
):
    # Guards against a leader that is taken for dead while its followers write, so that a
    # replacement begins again at each commit.
    node = next(item for item in deployment.controls.values() if item._host.may_act)
    term = node._host.node.term
    disk.write_s = write_s
    deployment.server("i-3").is_unreachable = True
    async with asyncio.timeout(4.0 + 6.0 * write_s):
        while not (await _write_once(deployment)).startswith("COMPLETE"):
            await asyncio.sleep(0.05)
    assert len(deployment.provider.calls) == 1
    assert (node._host.node.is_leader, node._host.node.term) == (True, term)
