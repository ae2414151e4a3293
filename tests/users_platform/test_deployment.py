"""Tests of the entry and control daemons against the stand-in of the platform."""

import asyncio

import pytest
from cardamomshunt.fleet import DocumentChanged
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._http import HttpRequest, call_http
from msgspec import structs
from standin import Group, report


async def test_a_write_is_seen_by_the_next_read_of_its_session(deployment):
    for server in deployment.group.servers:
        server.lag_s = 0.5
    caller = await deployment.open_session("dispatch")
    written = await caller.execute("WRITE k1 tea", "w1")
    assert written == ["COMPLETE proof-i-3-w1"]
    # The replicas lack the write for 0.5 s, so the primary has to serve the read.
    assert (await caller.execute("READ k1"))[0] == "ROW tea"
    assert deployment.group.requests_committed() == ["w1"]


async def test_reads_that_accept_an_age_run_on_the_replica_of_the_zone(deployment):
    caller = await deployment.open_session("stock")
    await caller.execute("READ k1")
    await caller.execute("READ k1", "r1")
    run = next(run for run in deployment.group.runs if run.request == "r1")
    assert run.server == "i-1"


async def test_a_replica_that_caught_up_is_used_again(deployment):
    # Guards against a lag estimate that does not decay: a replica that was behind once
    # was never used again.
    replica = deployment.server("i-1")
    replica.lag_s = 60.0
    writer = await deployment.open_session("orders")
    reader = await deployment.open_session("stock")
    await writer.execute("WRITE k1 a")
    await asyncio.sleep(2.2)
    await reader.execute("READ k1")
    replica.lag_s = 0.0
    replica.log = list(deployment.server("i-3").log)
    await asyncio.sleep(2.5)
    await reader.execute("READ k1")
    await reader.execute("READ k1", "r9")
    run = next(run for run in deployment.group.runs if run.request == "r9")
    assert run.server == "i-1"


@pytest.mark.parametrize(
    ("texts", "last", "state"),
    [
        (["COMMIT"], "ERROR MALFORMED", "I"),
        (["BEGIN", "BEGIN"], "ERROR MALFORMED", "T"),
        (["HELLO"], "ERROR MALFORMED", "I"),
        (["EXECUTE s1 k"], "ERROR UNKNOWN", "I"),
        (["DEALLOCATE s1"], "ERROR UNKNOWN", "I"),
        (["BEGIN", "ROLLBACK"], "COMPLETE -", "I"),
        (["BEGIN READ", "WRITE k1 a"], "ERROR READONLY", "T"),
        (["SET lang sw"], "COMPLETE -", "I"),
    ],
)
async def test_statements_that_need_no_server(deployment, texts, last, state):
    caller = await deployment.open_session()
    for text in texts:
        lines = await caller.execute(text)
    assert lines[-1].startswith(last)
    assert caller.state == state


async def test_an_unknown_database_is_refused(deployment):
    with pytest.raises(ConnectionError, match="NODATABASE"):
        await deployment.open_session("nowhere")


async def test_values_and_prepared_statements_stay_with_their_session(deployment):
    first = await deployment.open_session()
    second = await deployment.open_session()
    await first.execute("SET lang sw")
    await first.execute("PREPARE s1 WRITE q1")
    await second.execute("PREPARE s1 READ q2")
    assert (await first.execute("EXECUTE s1 k1 data", "e1"))[-1].startswith("COMPLETE")
    assert (await second.execute("EXECUTE s1 k1", "e2"))[-1].startswith("COMPLETE")
    runs = {run.request: run for run in deployment.group.runs}
    assert runs["e1"].values == {"lang": "sw"}
    assert runs["e2"].values == {}
    assert deployment.group.requests_committed() == ["e1"]


async def test_a_transaction_runs_on_one_connection_and_commits_once(deployment):
    caller = await deployment.open_session()
    other = await deployment.open_session()
    await caller.execute("BEGIN")
    await caller.execute("READ k1", "t1")
    await other.execute("READ k1", "o1")
    await caller.execute("WRITE k1 a", "t2")
    committed = await caller.execute("COMMIT", "t3")
    assert committed[-1].startswith("COMPLETE proof")
    runs = {run.request: run for run in deployment.group.runs}
    assert runs["t1"].connection == runs["t2"].connection == runs["t3"].connection
    assert runs["o1"].connection != runs["t1"].connection
    assert deployment.group.requests_committed() == ["t2"]


async def test_a_caller_that_leaves_in_a_transaction_commits_nothing(deployment):
    caller = await deployment.open_session()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "t2")
    caller.close()
    await asyncio.sleep(0.2)
    again = await deployment.open_session()
    await again.execute("READ k1")
    assert deployment.group.requests_committed() == []


async def test_a_read_whose_answer_is_lost_runs_again(deployment):
    caller = await deployment.open_session()
    deployment.server("i-3").lost_answers.add("r1")
    lines = await caller.execute("READ k1", "r1")
    # On a primary route no other server may serve the read, so it may fail, as FAILED.
    assert lines[-1].startswith(("COMPLETE", "ERROR FAILED"))
    reader = await deployment.open_session("stock")
    await reader.execute("READ k1")
    deployment.server("i-1").lost_answers.add("r2")
    assert (await reader.execute("READ k1", "r2"))[-1].startswith("COMPLETE")


async def test_a_write_whose_answer_is_lost_is_in_doubt_and_runs_once(deployment):
    caller = await deployment.open_session()
    deployment.server("i-3").lost_answers.add("w1")
    lines = await caller.execute("WRITE k1 a", "w1")
    assert lines[-1].startswith("ERROR INDOUBT")
    runs = [run for run in deployment.group.runs if run.request == "w1"]
    assert len(runs) == 1


async def test_a_transaction_that_loses_its_server_commits_nothing(deployment):
    caller = await deployment.open_session()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "t1")
    deployment.server("i-3").lost_answers.add("t2")
    assert (await caller.execute("WRITE k2 b", "t2"))[-1].startswith("ERROR ABORTED")
    assert caller.state == "E"
    await caller.execute("ROLLBACK")
    assert caller.state == "I"
    assert deployment.group.requests_committed() == []


async def test_an_unresponsive_primary_is_replaced(deployment):
    former = deployment.server("i-3")
    caller = await deployment.open_session()
    other = await deployment.open_session(node="entry-2")
    await caller.execute("WRITE k1 a", "w1")
    former.is_unreachable = True
    await asyncio.gather(caller.execute("READ k1"), other.execute("READ k1"))
    again = await deployment.execute_until_success("entry-1", "orders", "WRITE k2 b")
    assert (await again.execute("READ k1"))[0] == "ROW a"
    assert len(deployment.provider.calls) == 1
    # The successor has all writes of the former primary only once it is primary itself,
    # so no statement of this route may run there before.
    started = next(i for i, r in enumerate(deployment.group.runs) if r.request == "w1")
    for run in deployment.group.runs[started + 1 :]:
        assert run.is_primary


async def test_a_promotion_with_a_late_answer_is_finished(deployment):
    # Guards against a replacement that repeats its call for ever, although the successor
    # leads, because each answer of the provider comes after the time limit.
    deployment.provider.answer_delay_s = 2.0
    deployment.server("i-3").is_unreachable = True
    async with asyncio.timeout(8.0):
        await deployment.execute_until_success("entry-1", "orders", "WRITE k1 a")
    assert len(deployment.provider.calls) == 1


async def test_nothing_is_acknowledged_by_a_former_primary(deployment):
    former = deployment.server("i-3")
    caller = await deployment.open_session()
    former.work_s = 0.9
    writing = asyncio.create_task(caller.execute("WRITE k1 a", "w1"))
    await asyncio.sleep(0.1)
    former.state = "draining"
    await report(former, deployment.control_addresses[0])
    lines = await writing
    promoted = [s for s in deployment.group.servers if s.is_primary and s is not former]
    if lines[-1].startswith("COMPLETE"):
        assert not promoted
    else:
        assert lines[-1].startswith("ERROR INDOUBT")


async def test_a_leaving_primary_hands_over_without_losing_a_write(deployment):
    former = deployment.server("i-3")
    caller = await deployment.open_session()
    for number in range(5):
        await caller.execute(f"WRITE k{number} a", f"w{number}")
    former.state = "draining"
    assert await report(former, deployment.control_addresses[0]) == 200
    await deployment.until(lambda: deployment.provider.calls)
    await deployment.execute_until_success("entry-1", "orders", "WRITE k9 b")
    committed = deployment.group.requests_committed()
    assert committed[:5] == [f"w{number}" for number in range(5)]
    # The successor is announced before the former primary is asked to step down. Until
    # it has, the entry VMs' leases keep it unused.
    last = [run for run in deployment.group.runs if run.text == "WRITE k9 b"][-1]
    assert last.server != former.name
    await deployment.until(lambda: not former.is_primary, timeout_s=2.0)


async def test_tokens_of_promotions_never_decrease(deployment):
    for _ in range(2):
        leading = next(s for s in deployment.group.servers if s.is_primary)
        leading.state = "draining"
        await report(leading, deployment.control_addresses[1])
        n_before = len(deployment.provider.calls)
        await deployment.until(lambda n=n_before: len(deployment.provider.calls) > n)
        await deployment.execute_until_success("entry-1", "orders", "WRITE k9 b")
    tokens = [token for _, token, _ in deployment.provider.calls]
    assert tokens == sorted(set(tokens))


async def test_the_highest_version_is_in_force_and_read_back(deployment, make_document):
    newest = make_document(9, {"orders": "primary"})
    assert (await deployment.put(newest)).status == 200
    assert (await deployment.put(make_document(4))).status == 200
    assert (await deployment.put(newest)).status == 200
    for address in deployment.control_addresses:
        response = await deployment.call(address, "GET", "/Configuration.Read")
        assert (response.status, response.body) == (200, newest)
    await asyncio.sleep(0.3)
    with pytest.raises(ConnectionError, match="NODATABASE"):
        await deployment.open_session("stock")


@pytest.mark.parametrize(
    "changes",
    [{"services": []}, {"version": "x"}, {"routes": 7}],
)
async def test_invalid_configurations_change_nothing(
    deployment, make_document, changes
):
    response = await deployment.put(make_document(**({"version": 9} | changes)))
    assert response.status == 400
    caller = await deployment.open_session("stock")
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")


async def test_a_configuration_survives_the_loss_of_the_leader(
    deployment, make_document
):
    newest = make_document(12)
    await deployment.put(newest)
    leader = next(
        name
        for name in deployment.controls
        if any(e["event"] == "leading" for e in deployment.events(name))
    )
    await deployment.stop(leader)
    del deployment.controls[leader]
    async with asyncio.timeout(6.0):
        while True:
            address = deployment.control_addresses[0]
            try:
                response = await deployment.call(address, "GET", "/Configuration.Read")
            except (OSError, TimeoutError):
                continue
            if response.status == 200:
                break
            await asyncio.sleep(0.05)
    assert response.body == newest
    caller = await deployment.execute_until_success("entry-1", "orders", "WRITE k1 a")
    caller.close()


async def test_a_stopping_entry_ends_open_work_and_leaves_rotation(deployment):
    caller = await deployment.open_session()
    idle = await deployment.open_session()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 a", "t1")
    stopping = asyncio.create_task(deployment.stop("entry-1"))
    await asyncio.sleep(0.1)
    health = deployment.settings["entry-1"].health_address
    response = await call_http(health, HttpRequest("GET", "/readiness"), 1_000.0)
    assert response.status == 503
    assert (await caller.execute("COMMIT", "t2"))[-1].startswith("COMPLETE")
    assert await idle.is_closed()
    await stopping
    assert deployment.group.requests_committed() == ["t1"]


async def test_a_partitioned_entry_leaves_rotation(deployment):
    for name in list(deployment.controls):
        deployment.tasks[name].cancel()
        await asyncio.gather(deployment.tasks[name], return_exceptions=True)
        await deployment.controls[name]._transport.stop()
        await deployment.controls[name]._host.stop()
    health = deployment.settings["entry-1"].health_address

    async def status():
        response = await call_http(health, HttpRequest("GET", "/readiness"), 1_000.0)
        return response.status

    async with asyncio.timeout(5.0):
        while await status() != 503:
            await asyncio.sleep(0.05)
    # Guards against reconnects that count as contact: the entry VM returned into
    # rotation for a moment with each new connection to control.
    for _ in range(40):
        assert await status() == 503
        await asyncio.sleep(0.1)


async def test_refusals_are_logged_with_what_decided_them(deployment):
    caller = await deployment.open_session()
    deployment.server("i-3").lost_answers.add("w1")
    await caller.execute("WRITE k1 a", "w1")
    line = next(e for e in deployment.events("entry-1") if e.get("request") == "w1")
    assert line["event"] == "refused"
    assert line["code"] == "in_doubt"
    assert {"database", "reason", "elapsed_ms", "configuration_version"} <= set(line)


@pytest.mark.parametrize(
    ("node", "series"),
    [
        ("entry-1", ["configuration_version"]),
        (
            "control-1",
            [
                "configuration_version",
                'events_total{number="205"}',
                'events_total{number="208"}',
                "storage_write_ms_count",
                "storage_oldest_write_ms",
            ],
        ),
    ],
)
async def test_metrics_are_served(deployment, node, series):
    address = f"{deployment.settings[node].host}:19464"
    response = await call_http(address, HttpRequest("GET", "/metrics"), 1_000.0)
    assert response.status == 200
    served = {line.rpartition(" ")[0] for line in response.body.decode().splitlines()}
    assert {f"cardamomshunt_{name}" for name in series} <= served


async def test_a_report_lost_between_control_nodes_is_sent_again(deployment):
    # Guards against a report that stays at one control node: a primary that only one of
    # them knew was never assigned.
    known = deployment.controls["control-1"]._reports.registry
    report_of = known.get("i-1", "db")
    newer = structs.replace(report_of, server="i-9", sequence=1)
    assert known.merge(newer)
    others = [deployment.controls[name] for name in ("control-2", "control-3")]
    await deployment.until(
        lambda: all(item._reports.registry.get("i-9", "db") == newer for item in others)
    )


async def test_idle_connections_are_closed_while_they_are_scarce(deployment):
    # With 67 entry VMs and 60 connections per server, those that connected first never
    # closed idle connections, and the others got none.
    caller = await deployment.open_session()
    await caller.execute("READ k1")
    view = deployment.entries["entry-1"]._view
    primary, _ = view.primary("db")
    assert primary._idle
    view.record_n_entries(40)
    await deployment.until(lambda: not primary._idle, timeout_s=2.0)
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")


async def test_a_server_that_is_full_is_not_taken_for_dead(deployment):
    primary = deployment.server("i-3")
    primary.n_connections_max = 0
    view = deployment.entries["entry-1"]._view
    pool, _ = view.primary("db")
    pool._idle_timeout_ms = -1.0
    pool.close_idle()
    caller = await deployment.open_session()
    pending = asyncio.create_task(caller.execute("WRITE k1 a", "w1"))
    await asyncio.sleep(0.5)
    assert view.suspicions() == []
    primary.n_connections_max = 100
    assert (await pending)[-1].startswith("COMPLETE")


@pytest.mark.parametrize("texts", [["WRITE k1 a"], ["READ k1"], ["BEGIN", "READ k1"]])
async def test_a_statement_of_a_caller_that_left_is_not_sent(deployment, texts):
    # Statements of callers that had given up stayed in the queues of full servers, and
    # ran there before those of callers that still waited.
    primary = deployment.server("i-3")
    primary.n_connections_max = 0
    view = deployment.entries["entry-1"]._view
    pool, _ = view.primary("db")
    pool._idle_timeout_ms = -1.0
    pool.close_idle()
    caller = await deployment.open_session()
    for text in texts[:-1]:
        await caller.execute(text)
    pending = asyncio.create_task(caller.execute(texts[-1], "late"))
    await asyncio.sleep(0.2)
    caller.close()
    await asyncio.gather(pending, return_exceptions=True)
    await deployment.until(lambda: not pool._waiters, timeout_s=0.3)
    primary.n_connections_max = 100
    await asyncio.sleep(1.0)
    assert "late" not in [run.request for run in deployment.group.runs]
    events = deployment.events("entry-1")
    assert [e["request"] for e in events if e["event"] == "caller_left"] == ["late"]


async def test_an_attempt_that_waits_is_not_sent_after_the_answer(deployment):
    # A second attempt that waited for a connection ran after the answer of the first,
    # when the caller had prepared another statement under the same name.
    caller = await deployment.open_session()
    await caller.execute("PREPARE s1 READ q1")
    view = deployment.entries["entry-1"]._view
    pool, _ = view.primary("db")
    pool._quota = lambda: 1
    pool._idle_timeout_ms = -1.0
    pool.close_idle()
    deployment.server("i-3").work_s = 0.5
    assert (await caller.execute("EXECUTE s1 k1", "e1"))[-1].startswith("COMPLETE")
    await caller.execute("DEALLOCATE s1")
    await caller.execute("PREPARE s1 READ q2")
    await asyncio.sleep(0.7)
    runs = [run for run in deployment.group.runs if run.request == "e1"]
    assert len(runs) == 1
    # The primary is not replaced for a slow statement.
    assert deployment.provider.calls == []


async def test_a_stop_answers_statements_that_no_server_can_run(deployment):
    # The exit cut off a statement in a transaction (fault soak, seed 113).
    caller = await deployment.open_session()
    await caller.execute("BEGIN")
    for server in deployment.group.servers:
        server.is_unreachable = True
    stopping = asyncio.create_task(deployment.stop("entry-1"))
    await asyncio.sleep(2.6)
    assert (await caller.execute("WRITE k1 a", "t1"))[-1].startswith("ERROR")
    assert not stopping.done()
    await stopping


def control_in_zone_of(deployment, node):
    zone = deployment.settings[node].zone
    return next(
        name
        for name, settings in deployment.settings.items()
        if settings.control_address and settings.zone == zone
    )


async def test_an_entry_is_served_by_the_control_node_of_its_zone(deployment):
    # Otherwise the leader sends each configuration to all entry VMs, across zones.
    assigned = deployment.settings[
        control_in_zone_of(deployment, "entry-1")
    ].peer_address
    await deployment.until(
        lambda: any(
            event["event"] == "home" and event["control"] == assigned
            for event in deployment.events("entry-1")
        )
    )


async def test_a_lease_survives_the_loss_of_the_assigned_control_node(deployment):
    for node in ("entry-1", "entry-2"):
        assigned = control_in_zone_of(deployment, node)
        if deployment.controls[assigned]._host.node.is_leader:
            continue
        await asyncio.sleep(0.5)
        deployment.tasks[assigned].cancel()
        await asyncio.gather(deployment.tasks[assigned], return_exceptions=True)
        await deployment.controls[assigned]._transport.stop()
        await deployment.controls[assigned]._host.stop()
        await asyncio.sleep(3.0)
        events = [event["event"] for event in deployment.events(node)]
        assert "lease_lost" not in events
        return


async def test_a_replica_that_loses_answers_is_avoided(deployment):
    # Such a replica reports good health, and every read of its zone tried it first.
    deployment.server("i-1").lost_share = 1.0
    caller = await deployment.open_session("stock")
    await caller.execute("READ k1")
    for number in range(12):
        await caller.execute("READ k1", f"g{number}")
    first_attempts = {
        run.request
        for run in deployment.group.runs
        if run.server == "i-1" and run.request.startswith("g")
    }
    assert len(first_attempts) <= 4


async def test_each_server_has_a_connection_before_it_is_needed(deployment):
    # All entry VMs opened connections to a new primary at once, which occupied its
    # slots and delayed its first statements.
    await deployment.until(
        lambda: all(server.n_connections >= 2 for server in deployment.group.servers)
    )


async def test_a_full_server_is_known_to_the_other_entries_of_the_zone(deployment):
    # Entry VMs with idle connections to a full server did not close them, as only other
    # entry VMs were refused.
    assigned = control_in_zone_of(deployment, "entry-1")
    await deployment.until(
        lambda: any(e["event"] == "home" for e in deployment.events("entry-1"))
    )
    pool = deployment.entries["entry-1"]._view._pools["i-1"]
    former_timeout_ms = pool._idle_timeout_ms
    deployment.controls[assigned]._entries._full_reported_ms["i-1"] = boot_ms()
    await deployment.until(lambda: pool._idle_timeout_ms < former_timeout_ms)


async def test_the_number_of_entries_survives_a_restart_of_all(deployment):
    # After a power loss no control node knew the number of entry VMs, and each of them
    # opened two connections per server although there were not enough.
    await deployment.until(
        lambda: all(n._state.n_entries == 2 for n in deployment.controls.values())
    )
    assert not any(
        node._entries._n_entries(boot_ms()) == 0
        for node in deployment.controls.values()
    )


async def test_the_servers_survive_a_restart_of_all_control_nodes(deployment):
    # Servers report rarely: after a power loss each group waited up to a whole interval
    # for the report of its primary.
    servers = {server.name for server in deployment.group.servers}
    await deployment.until(
        lambda: all(
            set(node._state.servers) == servers for node in deployment.controls.values()
        )
    )
    node = deployment.controls["control-1"]
    node._reports.registry._reports.clear()
    node._on_applied()
    assert {item.server for item in node._reports.registry.all()} == servers


async def test_a_primary_with_a_long_queue_is_not_replaced(deployment):
    # Under a burst each entry VM had one statement in the queue of a primary, got no
    # answer for 450 ms, and suspected it (site Kiti Bora, enlarged; scenario scale-1).
    primary = deployment.server("i-3")
    callers = [
        await deployment.open_session("orders", node)
        for node in ("entry-1", "entry-2", "entry-1", "entry-2")
    ]
    primary.work_s, primary.open_s = 0.9, 2.0
    for number in range(2):
        await asyncio.gather(*(c.execute("READ k1", f"q{number}") for c in callers))
    assert deployment.provider.calls == []


async def test_a_statement_never_runs_on_a_server_with_a_reused_address(deployment):
    # A server of another group may reuse the address of a server that is gone.
    server = deployment.server("i-1")
    caller = await deployment.open_session("stock")
    await caller.execute("READ k1")
    await caller.execute("READ k1", "before")
    server.group = Group("other", server.group.port)
    for writer in list(server._writers):
        writer.transport.abort()
    for number in range(5):
        lines = await caller.execute("READ k1", f"after{number}")
        assert lines[-1].startswith("COMPLETE")
    assert server.group.runs == []


async def test_a_control_node_without_the_newest_configuration_is_replaced(
    deployment, make_document
):
    # A control node that the others had removed still relayed leases, and its entry VMs
    # refused a route 4 s after it was confirmed. Seen in fault runs on enlarged sites.
    node = next(
        node
        for node in ("entry-1", "entry-2")
        if not deployment.controls[
            control_in_zone_of(deployment, node)
        ]._host.node.is_leader
    )
    service = deployment.controls[control_in_zone_of(deployment, node)]._entries
    service.publish_document = lambda: None
    service._resync = lambda address, request, now: None
    assert (await deployment.put(make_document(version=9))).status == 200
    view = deployment.entries[node]._view
    await deployment.until(lambda: view.table.version == 9, timeout_s=2.5)


async def test_quick_changes_of_a_large_document_do_not_accumulate(
    deployment, make_document
):
    # 350 routes changed five times a second filled the links of 2 Mbit/s, and restarted
    # entry VMs had no configuration after 4 s. Seen in fault runs on enlarged sites.
    routes = {f"d{number}": "primary" for number in range(350)} | {"orders": "primary"}
    sent = []
    for node in deployment.controls.values():
        send = node._transport.send

        def count(address, message, send=send):
            if isinstance(message, DocumentChanged):
                sent.append(len(message.compressed))
            send(address, message)

        node._transport.send = count
    for version in range(10, 20):
        body = make_document(version=version, kinds=routes)
        assert (await deployment.put(body)).status == 200
    entries = deployment.entries.values()
    await deployment.until(lambda: all(e._view.table.version == 19 for e in entries))
    assert max(sent) < len(body) / 5
    assert len(sent) <= 2 * 10
