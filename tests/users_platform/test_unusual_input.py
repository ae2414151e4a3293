"""Tests of the daemons with input that is allowed but rare, or that is malformed."""

import json

import pytest
from cardamomshunt.fleet import ServerState
from cardamomshunt_node._disk_room import DiskRoom
from cardamomshunt_node._http import HttpRequest
from standin import call_control, report

# Data that a line of text may hold, as only CR LF ends a line.
DATA_WITH_CONTROL_CHARACTERS = {
    "line_feed": "two stools\nQUERY other WRITE x9 gift",
    "end_of_the_message": "two stools\nTERMINATE",
    "carriage_return": "two stools\rQUERY other WRITE x9 gift",
    "line_feed_at_the_end": "two stools\n",
    "carriage_returns_at_the_end": "two stools\r\r",
    "line_feed_before_carriage_return": "two\n\rstools",
    "other_separators": "two\x0b\x0c\x1c\x85\u2028stools\t\0",
}


@pytest.mark.parametrize(
    "data",
    DATA_WITH_CONTROL_CHARACTERS.values(),
    ids=DATA_WITH_CONTROL_CHARACTERS.keys(),
)
async def test_data_with_control_characters_is_one_statement(deployment, data):
    # Guards against the rest of a value being run as a statement that nobody sent.
    caller = await deployment.open_session()
    runs_before = len(deployment.group.runs)
    assert (await caller.execute(f"WRITE k1 {data}", "w1"))[-1] == (
        "COMPLETE proof-i-3-w1"
    )
    assert (await caller.execute("READ k1", "r1"))[0] == f"ROW {data}"
    runs = deployment.group.runs[runs_before:]
    assert [(run.request, run.text) for run in runs] == [
        ("w1", f"WRITE k1 {data}"),
        ("r1", "READ k1"),
    ]


ODD_REPORT_FIELDS = {
    "sequence": 10**21,
    "born": 10**29,
    "slots": 2**64,
    "address": "127.0.0.1:99999",
}


@pytest.mark.parametrize("field", [*ODD_REPORT_FIELDS, "nested"])
async def test_an_odd_report_changes_nothing_for_the_others(
    deployment, make_document, field
):
    # Guards against one entry that ends the tasks which follow all others: the leader
    # stored no server any more, and connections between nodes ended again and again.
    fields = {
        "service": "db",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "state": "ready",
        "database_role": "replica",
        "sequence": 1,
        "born": 1,
    }
    if field in ODD_REPORT_FIELDS:
        fields[field] = ODD_REPORT_FIELDS[field]
    body = json.dumps(fields).encode()
    if field == "nested":
        body = body[:-1] + b', "x": ' + b"[" * 9_999 + b"]" * 9_999 + b"}"
    for address in deployment.control_addresses:
        path = "/Instances.Heartbeat/i-odd"
        response = await deployment.call(address, "POST", path, body)
        assert response.status == 400
    assert (await deployment.put(make_document(9))).status == 200
    entries = deployment.entries.values()
    await deployment.until(lambda: all(e._view.table.version == 9 for e in entries))
    former = deployment.server("i-3")
    former.state = "draining"
    assert await report(former, deployment.control_addresses[0]) == 200
    await deployment.until(lambda: deployment.provider.calls)
    for node in deployment.entries:
        await deployment.execute_until_success(node, "orders", "WRITE k9 b")
    # The leader still stores what servers report.
    await deployment.until(
        lambda: all(
            node._state.servers["i-3"].state is ServerState.DRAINING
            for node in deployment.controls.values()
        )
    )
    assert not any(task.done() for task in deployment.tasks.values())


async def test_a_change_without_room_is_refused_at_once(deployment, make_document):
    # Guards against a disk that is filled until no vote can be written any more.
    for control in deployment.controls.values():
        control._host._room = DiskRoom(deployment.folder, 1_000)
    for address in deployment.control_addresses:
        request = HttpRequest("POST", "/Configuration.Replace", make_document(2))
        response = await call_control(address, request, 1_000.0)
        assert response.status == 503
        assert response.headers["retry-after"] == "2"
        assert b"no room" in response.body
    caller = await deployment.open_session()
    assert (await caller.execute("WRITE k1 a", "w1"))[-1].startswith("COMPLETE")
