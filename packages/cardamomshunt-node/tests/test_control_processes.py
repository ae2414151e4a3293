"""Control daemons elect a leader, accept patches and survive killed processes."""

import asyncio
import importlib.util
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import pytest
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import Change
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    PatchOutcome,
    PatchReply,
    PatchRequest,
)

_spec = importlib.util.spec_from_file_location(
    "control_processes", Path(__file__).with_name("control_processes.py")
)
assert _spec and _spec.loader
_module = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(_module)
ControlProcesses = _module.ControlProcesses


@pytest.fixture
def group(tmp_path: Path) -> Iterator["ControlProcesses"]:
    processes = ControlProcesses(tmp_path)
    processes.start_all()
    yield processes
    processes.stop_all()


def _patch(patch_id: str, base_version: int, value: float) -> PatchRequest:
    change = Change(path="policy.detection_ms", value=value)
    return PatchRequest(
        patch_id=patch_id, base_version=base_version, changes=[change], author="test"
    )


async def _accepted(group: "ControlProcesses", name: str, request: PatchRequest) -> int:
    reply = await group.send_request(name, request, 5_000)
    assert isinstance(reply, PatchReply), reply
    assert reply.outcome is PatchOutcome.ACCEPTED
    return reply.version


async def test_leader_is_replaced_and_patches_survive_kill(
    group: "ControlProcesses",
) -> None:
    """Guards against a patch that is lost or applied twice after SIGKILL."""
    leader = await group.wait_for_leader()
    assert await _accepted(group, leader, _patch("p1", 0, 700)) == 1
    group.kill(leader)
    second = await group.wait_for_leader()
    assert await _accepted(group, second, _patch("p1", 0, 700)) == 1
    assert await _accepted(group, second, _patch("p2", 1, 800)) == 2
    for name in list(group.processes):
        group.kill(name)
    group.start_all()
    third = await group.wait_for_leader()
    assert await _accepted(group, third, _patch("p2", 1, 800)) == 2
    reply = await group.send_request(third, ConfigurationRequest(n_history=10))
    assert isinstance(reply, ConfigurationReply)
    assert [entry.patch_id for entry in reply.history] == ["p1", "p2"]


async def test_frozen_leader_loses_the_lease(group: "ControlProcesses") -> None:
    """Guards against two nodes acting as leader after the leader was suspended."""
    leader = await group.wait_for_leader()
    group.send_signal(leader, signal.SIGSTOP)
    second = await group.wait_for_leader(other_than=leader)
    await _accepted(group, second, _patch("p1", 0, 700))
    group.send_signal(leader, signal.SIGCONT)
    reply = await group.send_request(leader, _patch("p2", 0, 900), 5_000)
    assert not isinstance(reply, PatchReply) or (
        reply.outcome is not PatchOutcome.ACCEPTED
    )


async def test_planned_stop_hands_leadership_over(group: "ControlProcesses") -> None:
    """Guards against a planned stop that causes an election timeout."""
    leader = await group.wait_for_leader()
    started = time.monotonic()
    group.send_signal(leader, signal.SIGTERM)
    second = await group.wait_for_leader(other_than=leader)
    elapsed_s = time.monotonic() - started
    assert second != leader
    process = group.processes[leader]
    assert await asyncio.to_thread(process.wait, 5) == 0
    assert elapsed_s < 2.0


async def test_lost_disk_rejoins_as_learner(group: "ControlProcesses") -> None:
    """Guards against a node that votes again after it lost the state on its disk."""
    leader = await group.wait_for_leader()
    await _accepted(group, leader, _patch("p1", 0, 700))
    victim = next(name for name in group.names if name != leader)
    group.kill(victim)
    for path in (group.folder / victim).iterdir():
        path.unlink()
    group.start(victim)
    log = group.folder / f"{leader}.log"
    deadline = time.monotonic() + 10
    while "221 MEMBER_ADDED" not in log.read_text():
        assert time.monotonic() < deadline, log.read_text()
        await asyncio.sleep(0.1)
    assert "223 MEMBER_CATCHING_UP" in log.read_text()
    reply = await group.send_request(leader, ConfigurationRequest())
    assert isinstance(reply, ConfigurationReply)


async def test_writes_and_elections_show_in_the_metrics(
    group: "ControlProcesses",
) -> None:
    """Guards against a group without a leader whose metrics do not name a cause."""
    leader = await group.wait_for_leader()
    url = f"http://127.0.0.1:{group.metrics_ports[leader]}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    for name, label in (
        ("storage_write_ms_count", ""),
        ("events_total", f'number="{int(EventNumber.ELECTION_STARTED)}"'),
        ("events_total", f'number="{int(EventNumber.LEADER_ELECTED)}"'),
    ):
        values = [
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith(f"cardamomshunt_{name}{{")
            and f'node="{leader}"' in line
            and label in line
        ]
        assert len(values) == 1, (name, text)
        assert values[0] >= 1.0, (name, text)
    assert "cardamomshunt_storage_oldest_write_ms{" in text
