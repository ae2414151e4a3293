"""Tests of sessions that one entry VM forwards to the owner of their team."""

import asyncio

import pytest
from cardamomshunt.fleet import LeaseRequest
from cardamomshunt_node._entry_service import _without_relay_fields
from cardamomshunt_node._relay_frames import (
    ANSWER_SIZE_MAX_BYTES,
    FrameBuffer,
    RelayAnswer,
    RelayClose,
    RelayOpen,
    encode_frame,
)
from cardamomshunt_node._relay_owner import _EntryLink
from cardamomshunt_node._session_protocol import (
    ErrorCode,
    StatementKind,
    TransactionState,
)
from cardamomshunt_node._session_relay import lost_answer_code
from relay_pair import TEAM_KEYS, apply
from standin import Caller


@pytest.mark.parametrize(
    ("kind", "state", "is_write", "has_written", "code"),
    [
        (StatementKind.READ, "idle", False, False, ErrorCode.FAILED),
        (StatementKind.WRITE, "idle", True, False, ErrorCode.IN_DOUBT),
        (StatementKind.EXECUTE, "idle", True, False, ErrorCode.IN_DOUBT),
        (StatementKind.EXECUTE, "idle", False, False, ErrorCode.FAILED),
        (StatementKind.SET, "idle", False, False, ErrorCode.FAILED),
        (StatementKind.READ, "open", False, True, ErrorCode.ABORTED),
        (StatementKind.WRITE, "open", True, True, ErrorCode.ABORTED),
        (StatementKind.ROLLBACK, "open", False, True, ErrorCode.ABORTED),
        (StatementKind.COMMIT, "open", False, True, ErrorCode.IN_DOUBT),
        (StatementKind.COMMIT, "open", False, False, ErrorCode.ABORTED),
        (StatementKind.COMMIT, "failed", False, True, ErrorCode.ABORTED),
    ],
)
def test_the_outcome_of_a_lost_answer(kind, state, is_write, has_written, code):
    # Guards against a write that may have run and is reported as not run.
    found = lost_answer_code(
        kind, TransactionState(state), is_write=is_write, has_written=has_written
    )
    assert found is code


@pytest.mark.parametrize("step", [1, 3, 1_000])
def test_frames_survive_any_division_of_the_stream(step):
    # Guards against frames that are lost or joined at the borders of reads.
    frames = [
        RelayOpen(1, "orders", "desk", 3, b"\0\xff"),
        RelayAnswer(1, b"x" * 300, TransactionState.OPEN, False),
        RelayClose(1),
    ]
    data = b"".join(encode_frame(frame) for frame in frames)
    buffer = FrameBuffer()
    found = []
    for start in range(0, len(data), step):
        found += buffer.feed(bytes(data[start : start + step]))
    assert found == frames


async def test_data_with_a_line_feed_is_one_statement_over_the_hop(pair):
    # Guards against an owner that divides a statement in other places than its caller.
    caller = await pair.open()
    text = "WRITE k1 two stools\nQUERY other WRITE x9 gift\r"
    assert (await caller.execute(text, "w1"))[-1].startswith("COMPLETE")
    runs = pair.deployment.group.runs
    assert [run.text for run in runs if run.request in ("w1", "other")] == [text]


async def test_a_session_keeps_its_state_over_the_hop(pair):
    # Guards against values, prepared names, positions and transactions that are lost.
    caller = await pair.open()
    assert pair.n_served == 1
    await caller.execute("SET lang sw")
    await caller.execute("PREPARE p WRITE k1 a")
    assert (await caller.execute("EXECUTE p", "w1"))[-1].startswith("COMPLETE")
    await caller.execute("BEGIN")
    assert caller.state == "T"
    await caller.execute("WRITE k2 b", "w2")
    assert (await caller.execute("COMMIT", "w3"))[-1].startswith("COMPLETE")
    assert caller.state == "I"
    assert (await caller.execute("READ k2"))[-1].startswith("COMPLETE")
    assert (await caller.execute("EXECUTE q"))[-1].startswith("ERROR UNKNOWN")
    runs = pair.deployment.group.runs
    assert [run.values.get("lang") for run in runs if run.request == "w1"] == ["sw"]
    n_answered = len(pair.events(pair.owner, "acknowledged"))
    assert (n_answered, pair.events(pair.entry, "acknowledged")) == (2, [])
    caller.close()
    await pair.deployment.until(lambda: pair.n_served == 0)


async def test_without_teams_no_session_is_forwarded(zone_deployment):
    # Guards against a hop in deployments that do not need it.
    for node in zone_deployment.entries:
        await Caller.open(zone_deployment.caller_address(node), "orders")
    for entry in zone_deployment.entries.values():
        assert entry._directory.digest == 0
        assert (entry._relay_owner.n_sessions, entry._relay_owner.links) == (0, set())


async def test_an_unreachable_owner_is_replaced_and_avoided(pair):
    # Guards against callers that wait for an owner that does not listen.
    server = pair.owner_daemon._relay_owner._server
    server.close()
    caller = await pair.open()
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")
    assert len(pair.events(pair.entry, "owner_avoided")) == 1
    await pair.open()
    assert len(pair.events(pair.entry, "owner_avoided")) == 1


async def test_an_owner_that_opens_no_session_is_replaced(pair, monkeypatch):
    # Guards against callers that wait for an owner that listens but does not run.
    monkeypatch.setattr(_EntryLink, "on_frame", lambda link, frame: None)
    caller = await pair.open()
    assert pair.n_served == 0
    events = pair.events(pair.entry, "owner_avoided")
    assert events[0]["reason"] == "the session was not opened"
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")


async def test_a_vm_that_does_not_own_a_team_serves_what_it_gets(pair, monkeypatch):
    # Guards against sessions that are refused or forwarded on while lists differ.
    settings = pair.deployment.settings[pair.other]
    directory = pair.deployment.entries[pair.entry]._directory
    monkeypatch.setattr(
        directory, "candidates", lambda team, group: [settings.peer_address]
    )
    caller = await pair.open()
    assert pair.deployment.entries[pair.other]._relay_owner.n_sessions == 1
    assert (await caller.execute("WRITE k1 a"))[-1].startswith("COMPLETE")
    assert pair.events(pair.other, "session_forwarded") == []


async def freeze_statement(pair, caller, text, request):
    """Send a statement whose answer the primary withholds; return its task."""
    for server in pair.deployment.group.servers:
        server.lost_answers.add(request)
    task = asyncio.create_task(caller.execute(text, request))
    await asyncio.sleep(0.1)
    return task


@pytest.mark.parametrize(
    ("setup", "text", "word"),
    [
        ([], "READ k1", "FAILED"),
        ([], "WRITE k1 a", "INDOUBT"),
        (["BEGIN", "WRITE k1 a"], "WRITE k2 b", "ABORTED"),
        (["BEGIN", "WRITE k1 a"], "COMMIT", "INDOUBT"),
    ],
)
async def test_a_lost_owner_leaves_a_true_outcome(pair, setup, text, word):
    # Guards against a statement that may have run and is reported as not run.
    caller = await pair.open()
    idle = await pair.open()
    for line in setup:
        await caller.execute(line)
    task = await freeze_statement(pair, caller, text, "lost")
    for link in list(pair.owner_daemon._relay_owner.links):
        link.abort("the test ends it")
    assert (await task)[-1].startswith(f"ERROR {word}")
    assert await caller.is_closed()
    # An idle session has nothing to report.
    assert await idle.is_closed()
    runs = [run for run in pair.deployment.group.runs if run.request == "lost"]
    assert len(runs) <= 1 or text.startswith("READ")
    await pair.deployment.until(lambda: pair.n_served == 0)


async def test_a_stopped_owner_is_noticed(pair, monkeypatch):
    # Guards against statements that wait for an owner whose process does not run.
    caller = await pair.open()
    for link in pair.owner_daemon._relay_owner.links:
        monkeypatch.setattr(link, "data_received", lambda data: None)
    started = asyncio.get_running_loop().time()
    assert (await caller.execute("WRITE k1 a"))[-1].startswith("ERROR INDOUBT")
    # Below the limit of a statement without an answer, which is 1.25 s.
    assert 0.6 < asyncio.get_running_loop().time() - started < 1.2
    assert await caller.is_closed()


async def test_a_session_without_an_answer_ends_alone(pair, monkeypatch):
    # Guards against one lost answer that ends the sessions of other callers.
    caller, other = await pair.open(), await pair.open()
    served = next(iter(pair.owner_daemon._relay_owner._sessions()))

    async def never(frame):
        await asyncio.Event().wait()

    monkeypatch.setattr(served, "_answer", never)
    first, second = (caller, other) if served._number == 1 else (other, caller)
    lines = await first.execute("WRITE k1 a")
    assert lines[-1].startswith("ERROR INDOUBT")
    assert await first.is_closed()
    assert (await second.execute("READ k1"))[-1].startswith("COMPLETE")


async def test_a_draining_owner_finishes_open_work(pair):
    # Guards against a planned stop that cuts a transaction or drops an idle caller late.
    idle, busy = await pair.open(), await pair.open()
    await busy.execute("BEGIN")
    await busy.execute("WRITE k1 a", "w1")
    stopping = asyncio.create_task(pair.deployment.stop(pair.owner))
    assert await idle.is_closed()
    assert (await busy.execute("COMMIT", "w2"))[-1].startswith("COMPLETE")
    assert await busy.is_closed()
    later = await pair.open()
    assert (await later.execute("READ k1"))[-1].startswith("COMPLETE")
    await stopping


async def test_a_draining_entry_vm_finishes_forwarded_work(pair):
    # Guards against a planned stop that cuts statements on their way to the owner.
    idle, busy = await pair.open(), await pair.open()
    await busy.execute("BEGIN")
    await busy.execute("WRITE k1 a", "w1")
    stopping = asyncio.create_task(pair.deployment.stop(pair.entry))
    assert await idle.is_closed()
    assert (await busy.execute("COMMIT", "w2"))[-1].startswith("COMPLETE")
    await stopping
    assert pair.n_served == 0
    assert pair.deployment.group.requests_committed() == ["w1"]


async def test_a_vm_that_stops_leaves_the_list(pair):
    # Guards against sessions that all VMs of a zone open at a VM that is not there.
    pair.owner_daemon._control_link.start_draining()
    entry = pair.deployment.entries[pair.entry]
    await pair.deployment.until(lambda: entry._directory._owners.n_entries == 2, 1.8)
    other = pair.deployment.entries[pair.other]
    pair.deployment.tasks[pair.other].cancel()
    other._tasks[0].cancel()
    await pair.deployment.until(lambda: entry._directory._owners.n_entries == 1, 4.0)
    caller = await pair.open()
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")
    assert pair.events(pair.entry, "session_forwarded") == []


def test_the_fields_of_members_survive_the_relay():
    # Guards against a leader that knows only the members of its own zone.
    request = LeaseRequest(
        sequence=1,
        version=2,
        zone="z1",
        is_draining=True,
        entries_digest=7,
        watched_groups=["db"],
        full_servers=["s"],
    )
    relayed = _without_relay_fields(request)
    assert (relayed.zone, relayed.is_draining) == ("z1", True)
    assert (relayed.entries_digest, relayed.watched_groups) == (7, ["db"])
    assert relayed.full_servers == []


async def test_a_lost_entry_vm_rolls_back(pair):
    # Guards against transactions that hold a connection after their caller's VM died.
    caller = await pair.open()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "w1")
    pair.deployment.tasks[pair.entry].cancel()
    for task in pair.deployment.entries[pair.entry]._relay._links.values():
        task.result().abort("the test ends it")
    await pair.deployment.until(lambda: pair.n_served == 0)
    assert pair.deployment.group.requests_committed() == []


async def test_a_caller_that_leaves_ends_its_session_at_the_owner(pair):
    # Guards against transactions that outlive their caller.
    caller = await pair.open()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "w1")
    caller.close()
    await pair.deployment.until(lambda: pair.n_served == 0)
    assert pair.deployment.group.requests_committed() == []


async def test_an_idle_transaction_ends_at_the_owner(pair):
    # Guards against a caller that holds a connection of the owner for ever.
    await apply(pair.deployment, 3, limits={"transaction_idle_ms": 300})
    caller = await pair.open()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "w1")
    await asyncio.sleep(0.8)
    assert (await caller.execute("COMMIT"))[-1].startswith("ERROR ABORTED")


async def test_a_removed_key_ends_a_forwarded_session(pair):
    # Guards against sessions at the owner that outlive their key.
    idle, busy = await pair.open(), await pair.open()
    await busy.execute("BEGIN")
    await busy.execute("WRITE k1 a", "w1")
    await apply(pair.deployment, 3, keys=TEAM_KEYS | {pair.team: ["other-key"]})
    assert await idle.is_closed()
    assert await busy.is_closed()
    await pair.deployment.until(lambda: pair.n_served == 0)
    assert pair.deployment.group.requests_committed() == []


async def test_an_owner_with_an_older_configuration_does_not_run(pair):
    # Guards against a caller that sees an older configuration after a newer one.
    caller = await pair.open()
    entry = pair.deployment.entries[pair.entry]
    table = entry._view.table
    entry._view.table = type(table)(
        99, table.routes, table.groups, table.transaction_idle_ms, table.teams
    )
    started = asyncio.get_running_loop().time()
    lines = await caller.execute("WRITE k1 a", "w1")
    assert lines[-1].startswith("ERROR BUSY")
    assert "retry_after_ms=" in lines[-1]
    assert asyncio.get_running_loop().time() - started < 1.2
    assert "w1" not in [run.request for run in pair.deployment.group.runs]
    entry._view.table = table
    assert (await caller.execute("WRITE k1 a", "w1"))[-1].startswith("COMPLETE")


async def test_a_long_answer_arrives_whole(pair, monkeypatch):
    # Guards against parts of an answer that are lost or swapped.
    caller = await pair.open()
    runner = pair.owner_daemon._relay_owner.runner
    rows = b"".join(b"ROW %d\r\n" % number for number in range(20_000))
    assert len(rows) > 2 * ANSWER_SIZE_MAX_BYTES

    async def run(session, query, received_ms=None):
        return rows + b"COMPLETE -\r\nREADY I -\r\n"

    monkeypatch.setattr(runner, "run", run)
    lines = await caller.execute("READ k1")
    assert lines == rows.decode().split("\r\n")[:-1] + ["COMPLETE -"]
