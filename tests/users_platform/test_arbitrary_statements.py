"""Tests that arbitrary bytes reach servers and callers unchanged, on every path."""

import pytest
from arbitrary_statements import field_bytes, run_paths
from hypothesis import HealthCheck, given, settings
from standin import to_bytes

# The deployment is shared by the examples of a test, each of which opens a session.
_N_EXAMPLES = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@_N_EXAMPLES
@given(data=field_bytes())
async def test_data_reaches_servers_unchanged(deployment, data):
    # Guards against statements that are taken apart and built again, and against
    # sessions that are closed because of bytes that are no UTF-8.
    caller = await deployment.open_session()
    await run_paths(caller, deployment.group, data)
    caller.close()


@_N_EXAMPLES
@given(data=field_bytes())
async def test_data_reaches_servers_unchanged_over_the_hop(pair, data):
    # Guards against frames between entry VMs that change or refuse what they carry.
    caller = await pair.open()
    assert pair.n_served >= 1
    await run_paths(caller, pair.deployment.group, data)
    caller.close()


@_N_EXAMPLES
@given(data=field_bytes())
async def test_rows_reach_callers_unchanged(deployment, data):
    # Guards against answers that are divided or encoded in another way than received.
    caller = await deployment.open_session()
    await caller.execute(f"WRITE k1 {data}")
    assert (await caller.execute("READ k1"))[0] == f"ROW {data}"
    caller.close()


@_N_EXAMPLES
@given(data=field_bytes())
async def test_reads_with_a_bound_and_after_a_refusal_keep_their_text(deployment, data):
    # Guards against a bound or a further attempt that changes the statement.
    caller = await deployment.open_session("dispatch")
    await caller.execute("WRITE k1 x")
    for server in deployment.group.servers:
        server.refused_once.add("r1")
    text = f"READ k1 {data}"
    assert (await caller.execute(text, "r1"))[-1].startswith("COMPLETE")
    run = deployment.group.runs[-1]
    assert (run.request, run.text) == ("r1", text)
    assert bool(run.at_least) != run.is_primary
    for server in deployment.group.servers:
        server.refused_once.clear()
    caller.close()


@pytest.mark.parametrize("is_write", [True, False])
async def test_a_statement_that_is_sent_again_keeps_its_bytes(deployment, is_write):
    # Guards against further attempts after a refusal or a lost answer that differ.
    caller = await deployment.open_session()
    text = f"{'WRITE' if is_write else 'READ'} k1 two \udcff\n "
    for server in deployment.group.servers:
        (server.refused_once if is_write else server.lost_answers).add("q1")
    assert (await caller.execute(text, "q1"))[-1].startswith("COMPLETE")
    runs = [run for run in deployment.group.runs if run.request == "q1"]
    assert {run.text for run in runs} == {text}
    assert len(runs) == (1 if is_write else 2)


async def test_names_that_are_no_utf_8_are_served_and_logged(deployment):
    # Guards against a log that can't encode an id or a name, and the statement with it.
    caller = await deployment.open_session()
    await caller.execute("WRITE k1 x", "w\udcff")
    assert deployment.group.runs[-1].request == "w\udcff"
    assert await caller.execute("EXECUTE s\udcff k1", "e\udcff") == [
        "ERROR UNKNOWN s\udcff"
    ]
    await caller.execute("PREPARE s\udcff WRITE x")
    assert (await caller.execute("EXECUTE s\udcff k1"))[-1].startswith("COMPLETE")
    events = deployment.events("entry-1")
    ids = [item.get("request") for item in events]
    assert r"w\xff" in ids
    [refused] = [item for item in events if item["event"] == "refused"]
    assert (refused["request"], refused["reason"]) == (r"e\xff", r"s\xff")


@pytest.mark.parametrize(
    ("opening", "answer"),
    [
        ("START none\udcff u1", "ERROR NODATABASE none\udcff"),
        ("START orders k\udcff", "READY I -"),
    ],
    ids=["database", "key"],
)
async def test_an_opening_that_is_no_utf_8_is_answered(deployment, opening, answer):
    # Guards against an opening that fails in the entry VM and is never answered.
    assert to_bytes(answer) == await deployment.first_line("entry-1", opening)
