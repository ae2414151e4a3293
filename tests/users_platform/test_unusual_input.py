"""Tests of the daemons with input that is allowed but rare, or that is malformed."""

import asyncio
import json
import time

import pytest
from cardamomshunt.fleet import ConfigurationInvalidError, ServerState
from cardamomshunt_node._session_protocol import MESSAGE_SIZE_MAX_BYTES
from cardamomshunt_platform._platform import UsersPlatform
from standin import KINDS, report

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


async def test_routes_of_a_database_may_differ_in_their_prefix(
    deployment, make_document
):
    # Guards against a valid change that is refused, and against sessions that a further
    # route of their database leaves without one.
    plain = json.loads(make_document())["routes"]
    orders = next(item for item in plain if item["host"] == "orders")
    further = {**orders, "name": "r-further", "path_prefix": "/archive"}
    versions = [
        (2, [further, *plain], orders["name"]),
        (3, [item for item in plain if item is not orders] + [further], "r-further"),
        (4, plain, orders["name"]),
    ]
    entries = deployment.entries.values()
    for version, routes, serving in versions:
        response = await deployment.put(make_document(version, routes=routes))
        assert response.status == 200
        await deployment.until(
            lambda version=version: all(
                entry._view.table.version == version for entry in entries
            )
        )
        for entry in entries:
            assert entry._view.table.route_of("orders").name == serving
        await deployment.execute_until_success("entry-1", "orders", "WRITE k1 a")
    twice = make_document(5, routes=[*plain, further, {**further, "name": "r-twice"}])
    assert (await deployment.put(twice)).status == 400


async def _report_of_another_writer(deployment, server, group, **changes):
    """Send a report under a server's name, as one that started later."""
    fields = {
        "service": group,
        "address": deployment.server(server).address,
        "zone": "z1",
        "state": "ready",
        "database_role": "primary",
        "sequence": 1,
        "born": int(time.time() * 1_000) + 1,
    }
    body = json.dumps(fields | changes).encode()
    path = f"/Instances.Heartbeat/{server}"
    for address in deployment.control_addresses:
        response = await deployment.call(address, "POST", path, body)
        assert response.status == 200


@pytest.mark.parametrize("address", [None, "127.0.0.1:9"], ids=["same", "other"])
async def test_a_foreign_report_does_not_hide_that_a_server_leaves(deployment, address):
    # Guards against statements at a server that has announced its end: a report of a
    # group that no configuration names, under its name, replaced its own reports.
    changes = {} if address is None else {"address": address}
    await _report_of_another_writer(deployment, "i-3", "inventory-old", **changes)
    await deployment.execute_until_success("entry-1", "orders", "WRITE k1 a")
    former = deployment.server("i-3")
    former.state = "draining"
    assert await report(former, deployment.control_addresses[0]) == 200
    await deployment.until(lambda: deployment.provider.calls, timeout_s=4.0)
    for node in deployment.entries:
        await deployment.execute_until_success(node, "orders", "WRITE k2 b")
    assert deployment.group.runs[-1].server != "i-3"


async def test_a_foreign_report_does_not_replace_what_is_stored(deployment):
    # Guards against servers that are unknown after a restart of all control nodes.
    await _report_of_another_writer(deployment, "i-3", "inventory-old")
    await deployment.until(
        lambda: all(
            {item.group for item in node._reports.registry.of_server("i-3")}
            == {"db", "inventory-old"}
            for node in deployment.controls.values()
        )
    )
    leader = next(n for n in deployment.controls.values() if n._host.node.is_leader)
    reports = leader._reports.registry.one_per_server(leader._table.groups)
    await deployment.until(lambda: leader._state.servers_to_store(reports) is None)
    assert {item.group for item in leader._state.servers.values()} == {"db"}


async def test_a_group_that_is_not_configured_has_no_primary(deployment, make_document):
    # Guards against replacements in a group that is named only by another writer, as
    # entry VMs close the connections to the server that it names.
    await _report_of_another_writer(deployment, "i-3", "archive")
    nodes = deployment.controls.values()
    await deployment.until(
        lambda: all(node._reports.registry.of_group("archive") for node in nodes)
    )
    # Applied after whatever the leader does on the report.
    assert (await deployment.put(make_document(2))).status == 200
    await asyncio.sleep(0.5)
    assert all(set(node._state.assignments) == {"db"} for node in nodes)
    names = ("db", "archive")
    services = [{"name": name, "connection_limit": 10} for name in names]
    await deployment.put(make_document(3, KINDS, services=services))
    await deployment.until(
        lambda: all("archive" in node._state.assignments for node in nodes)
    )


async def test_a_server_that_leaves_is_gone_for_each_group(deployment):
    # Guards against a server that stays in use after its leave call, as a foreign report
    # under its name was the only one that the call ended.
    await _report_of_another_writer(deployment, "i-1", "inventory-old")
    address = deployment.control_addresses[0]
    await deployment.call(address, "POST", "/Instances.Deregister/i-1", b"")
    await deployment.until(
        lambda: all(
            {item.state for item in node._reports.registry.of_server("i-1")}
            == {ServerState.GONE}
            for node in (*deployment.controls.values(),)
        )
    )
    await deployment.until(
        lambda: all(
            "i-1" not in {x.server for x in entry._view.registry.of_group("db")}
            for entry in deployment.entries.values()
        )
    )


async def test_servers_of_a_new_group_are_known_with_its_configuration(
    deployment, make_document
):
    # Guards against a new group without servers until each of them reports again.
    await _report_of_another_writer(deployment, "i-1", "archive")
    names = ("db", "archive")
    services = [{"name": name, "connection_limit": 10} for name in names]
    await deployment.put(make_document(2, KINDS, services=services))
    registries = [item._reports.registry for item in deployment.controls.values()]
    await deployment.until(
        lambda: all(item.of_group("archive") for item in registries), timeout_s=0.5
    )


@pytest.mark.parametrize("n_bytes_too_many", [0, 1])
async def test_a_message_of_the_size_limit_is_served(deployment, n_bytes_too_many):
    # Guards against a limit that depends on how a message is divided into reads.
    caller = await deployment.open_session()
    n_bytes = MESSAGE_SIZE_MAX_BYTES - len("QUERY w1 WRITE k1 ") + n_bytes_too_many
    statement = f"WRITE k1 {'x' * n_bytes}"
    if n_bytes_too_many:
        with pytest.raises(ConnectionError):
            await caller.execute(statement, "w1")
        assert not [run for run in deployment.group.runs if run.request == "w1"]
        return
    assert await caller.execute(statement, "w1") == ["COMPLETE proof-i-3-w1"]
    assert deployment.group.runs[-1].text == statement


async def test_a_control_node_holds_a_stored_configuration_that_it_would_refuse(
    deployment, make_document, monkeypatch
):
    # Guards against control nodes that end at each start after an upgrade to a program
    # that accepts less, until nobody leads.
    parse = UsersPlatform.parse_configuration

    def parse_strictly(self, document):
        if json.loads(document)["version"] == 1:
            raise ConfigurationInvalidError("group 'd b': the name has blanks")
        return parse(self, document)

    monkeypatch.setattr(UsersPlatform, "parse_configuration", parse_strictly)
    nodes = deployment.controls.values()
    for node in nodes:
        # As at a start, and from a leader whose program accepts more.
        node._install_snapshot(node._state.encode())
    assert (await deployment.put(make_document(2))).status == 200
    await deployment.execute_until_success("entry-1", "orders", "WRITE k1 a")
    await deployment.until(lambda: all(node._table.version == 2 for node in nodes))
    assert not any(task.done() for task in deployment.tasks.values())
    events = [e for node in deployment.controls for e in deployment.events(node)]
    assert "configuration_unreadable" in {event["event"] for event in events}
