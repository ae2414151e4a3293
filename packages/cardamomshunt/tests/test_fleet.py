"""Tests of routes, server reports, assignments and shared bounds."""

import msgspec
import pytest
from cardamomshunt.fleet import (
    Assignment,
    AssignmentPhase,
    AssignPrimary,
    BoundExchange,
    ConfigurationInvalidError,
    ControlNodeSelector,
    CountEntries,
    FailureRate,
    FinishPromotion,
    FleetState,
    GroupLimits,
    PromoteSuccessor,
    PutDocument,
    Route,
    RouteKind,
    ServerRegistry,
    ServerReport,
    ServerState,
    ServerStatus,
    SharedBound,
    StopPrimary,
    build_route_table,
    choose_successor,
    encode_command,
)
from cardamomshunt.freshness import DatedPosition
from cardamomshunt.messages import InstanceRole
from cardamomshunt.position import LogPosition


def make_route(name="r", database="orders", group="g", timeout_ms=1_000.0):
    return Route(name, database, group, RouteKind.PRIMARY, timeout_ms, 200.0)


@pytest.mark.parametrize(
    ("routes", "problem"),
    [
        ([make_route(group="other")], "unknown group"),
        ([make_route(), make_route(name="r2")], "another route"),
        ([make_route(timeout_ms=0.0)], "timeout"),
    ],
)
def test_invalid_configurations_are_refused_with_a_reason(routes, problem):
    with pytest.raises(ConfigurationInvalidError, match=problem):
        build_route_table(1, routes, [GroupLimits("g", 34)], 3_000.0)


def make_report(**changes):
    fields = {
        "server": "s1",
        "group": "g",
        "address": "10.0.0.1:1",
        "zone": "a",
        "state": ServerState.READY,
        "role": InstanceRole.REPLICA,
        "started_ms": 100,
        "sequence": 1,
    }
    return ServerReport(**(fields | changes))


@pytest.mark.parametrize(
    ("later", "is_change"),
    [
        ({"sequence": 1}, False),
        ({"sequence": 2}, False),
        ({"sequence": 2, "role": InstanceRole.PRIMARY}, True),
        ({"sequence": 0, "role": InstanceRole.PRIMARY}, False),
        # A delayed report from before a restart must not replace the current one.
        ({"started_ms": 50, "sequence": 9, "role": InstanceRole.PRIMARY}, False),
        # After a restart the sequence starts again.
        ({"started_ms": 200, "sequence": 0}, True),
        ({"sequence": 2, "warm_up_ms": 900.0}, True),
    ],
)
def test_reports_are_ordered_by_start_and_sequence(later, is_change):
    registry = ServerRegistry()
    registry.merge(make_report())
    assert registry.merge(make_report(**later)) is is_change


def test_the_rest_of_a_warm_up_is_no_change():
    # Each report of a server that warms up would be sent to all VMs otherwise.
    registry = ServerRegistry()
    registry.merge(make_report(warm_up_ms=900.0))
    assert not registry.merge(make_report(sequence=2, warm_up_ms=700.0))
    assert registry.merge(make_report(sequence=3))


def test_a_draining_server_does_not_become_ready_without_a_restart():
    registry = ServerRegistry()
    registry.merge(make_report(state=ServerState.DRAINING))
    assert not registry.merge(make_report(sequence=2))
    assert registry.get("s1", "g").state is ServerState.DRAINING


def test_a_delayed_report_does_not_readd_a_server_that_is_gone():
    registry = ServerRegistry()
    registry.merge(make_report(sequence=4))
    registry.merge(make_report(state=ServerState.GONE, sequence=5))
    assert not registry.merge(make_report(sequence=6))
    assert registry.of_group("g") == []


@pytest.mark.parametrize(
    "foreign",
    [
        {"started_ms": 9_000, "sequence": 1},
        {"sequence": 90},
        {"started_ms": 9_000, "address": "127.0.0.1:9"},
        {"started_ms": 9_000, "state": ServerState.GONE},
    ],
)
@pytest.mark.parametrize("is_foreign_first", [False, True])
def test_a_report_of_another_group_does_not_hide_a_server_s_own(
    foreign, is_foreign_first
):
    # Guards against a report of another writer under a server's name that displaces the
    # server's own reports, so that its announcement of its end goes unseen.
    registry = ServerRegistry()
    reports = [make_report(sequence=2), make_report(group="unknown", **foreign)]
    for report in reversed(reports) if is_foreign_first else reports:
        assert registry.merge(report)
    draining = make_report(sequence=3, state=ServerState.DRAINING)
    assert registry.merge(draining)
    assert registry.of_group("g") == [draining]
    assert registry.one_per_server({"g"}) == [draining]


def test_a_restart_at_another_address_replaces_the_former_report():
    # Guards against taking a server that starts again under its name for another writer.
    registry = ServerRegistry()
    registry.merge(make_report(sequence=7))
    again = make_report(started_ms=9_000, address="127.0.0.1:9", sequence=1)
    assert registry.merge(again)
    assert registry.of_group("g") == [again]


def test_a_foreign_report_is_not_stored_in_turn_with_the_own_one():
    # Guards against a command in the replicated log each second, as only one report of
    # each server is stored.
    registry, state = ServerRegistry(), FleetState()
    registry.merge(make_report(sequence=2))
    registry.merge(make_report(group="unknown", started_ms=9_000))
    stored = state.servers_to_store(registry.one_per_server({"g"}))
    assert [item.group for item in stored.reports] == ["g"]
    apply(state, 1, stored)
    assert state.servers_to_store(registry.one_per_server({"g"})) is None


def test_digests_differ_by_group():
    # Guards against a control node that takes a foreign report for a server's own one
    # that it never received.
    first, second = ServerRegistry(), ServerRegistry()
    first.merge(make_report())
    second.merge(make_report(group="unknown"))
    assert first.digest() != second.digest()


def test_digests_ignore_the_sequence():
    first, second = ServerRegistry(), ServerRegistry()
    first.merge(make_report(sequence=1))
    second.merge(make_report(sequence=8))
    assert first.digest() == second.digest()
    second.merge(make_report(sequence=9, role=InstanceRole.PRIMARY))
    assert first.digest() != second.digest()


def apply(state, index, command):
    return state.apply(index, encode_command(command))


def test_only_a_higher_version_replaces_the_configuration():
    state = FleetState()
    assert apply(state, 1, PutDocument(version=5, document=b"five"))
    assert not apply(state, 2, PutDocument(version=5, document=b"other"))
    assert not apply(state, 3, PutDocument(version=4, document=b"four"))
    assert (state.version, state.document) == (5, b"five")


def test_a_replacement_goes_through_its_phases():
    state = FleetState()
    apply(state, 1, AssignPrimary(group="g", server="a"))
    assert not apply(state, 2, AssignPrimary(group="g", server="b"))
    apply(state, 3, StopPrimary(group="g", epoch=1))
    apply(state, 4, PromoteSuccessor(group="g", epoch=3, successor="b"))
    assert state.assignments["g"].phase is AssignmentPhase.PROMOTING
    apply(state, 5, FinishPromotion(group="g", epoch=4, server="b"))
    assert state.assignments["g"] == Assignment(server="b", epoch=5)
    assert FleetState.decode(state.encode()) == state


def test_a_step_from_an_outdated_epoch_has_no_effect():
    state = FleetState()
    apply(state, 1, AssignPrimary(group="g", server="a"))
    apply(state, 2, StopPrimary(group="g", epoch=1))
    assert not apply(state, 3, StopPrimary(group="g", epoch=1))
    assert not apply(state, 4, FinishPromotion(group="g", epoch=1, server="b"))


def make_status(server, term, position):
    return ServerStatus(
        server=server,
        is_primary=False,
        term=term,
        received=LogPosition(term, position),
    )


@pytest.mark.parametrize(
    ("statuses", "n_sync", "chosen"),
    [
        ([make_status("b", 1, 9), make_status("c", 1, 12)], 0, "c"),
        # A longer log of an older term is not more advanced.
        ([make_status("b", 2, 3), make_status("c", 1, 12)], 0, "b"),
        ([make_status("a", 1, 20)], 0, None),
        ([make_status("b", 1, 9)], 0, "b"),
        # With one synchronous replica, the missing server may have the write.
        ([make_status("b", 1, 9)], 1, None),
        ([make_status("b", 1, 9), make_status("c", 1, 12)], 1, "c"),
    ],
)
def test_the_most_advanced_server_becomes_successor(statuses, n_sync, chosen):
    found = choose_successor(statuses, former="a", n_servers=3, n_sync_replicas=n_sync)
    assert found == chosen


def test_the_age_of_a_bound_counts_from_the_request():
    # Guards against a bound that was delayed in transit and looks fresh, because its
    # age is counted from its receipt.
    exchange = BoundExchange()
    exchange.record_request(7, 100.0)
    bound = SharedBound("db", LogPosition(1, 5), age_ms=30.0)
    assert exchange.receive("entry-1", 7, [bound]) == {
        "db": DatedPosition(LogPosition(1, 5), 70.0)
    }


def test_a_bound_without_a_request_is_ignored():
    exchange = BoundExchange()
    exchange.record_request(7, 100.0)
    bound = SharedBound("db", LogPosition(1, 5), age_ms=30.0)
    assert exchange.receive("entry-1", 8, [bound]) == {}
    assert exchange.bounds_for("entry-2", 110.0) == []


def test_a_bound_is_sent_once_to_each_peer_and_not_to_its_source():
    exchange = BoundExchange()
    exchange.record_request(7, 100.0)
    bound = SharedBound("db", LogPosition(1, 5), age_ms=30.0)
    exchange.receive("entry-1", 7, [bound])
    assert exchange.bounds_for("entry-1", 200.0) == []
    assert exchange.bounds_for("entry-2", 200.0) == [
        SharedBound("db", LogPosition(1, 5), 130.0)
    ]
    assert exchange.bounds_for("entry-2", 300.0) == []


def test_a_quarantined_control_node_is_replaced_by_another_of_the_zone():
    selector = ControlNodeSelector("entry-1", "z1")
    for number, zone in enumerate(("z1", "z1", "z2"), start=1):
        selector.record_zone(f"control-{number}", zone)
    known = {"control-1", "control-2", "control-3"}
    first = selector.choose(known, "control-3", 0.0)
    assert first in ("control-1", "control-2")
    selector.quarantine(first, 0.0)
    second = selector.choose(known, "control-3", 1.0)
    assert {first, second} == {"control-1", "control-2"}
    selector.quarantine(second, 1.0)
    assert selector.choose(known, "control-3", 2.0) == "control-3"
    assert selector.choose(known, "control-3", 5_000.0) == first


def test_entry_vms_are_spread_over_the_control_nodes():
    selectors = [ControlNodeSelector(f"entry-{number}", "z1") for number in range(40)]
    chosen = set()
    for selector in selectors:
        selector.record_zone("control-1", "z1")
        selector.record_zone("control-2", "z1")
        chosen.add(selector.choose({"control-1", "control-2"}, "", 0.0))
    assert chosen == {"control-1", "control-2"}


@pytest.mark.parametrize(
    ("n_successes", "n_failures", "is_unreliable"),
    [
        (0, 0, False),
        (0, 1, False),
        (0, 2, True),
        (2, 1, False),
        (10, 4, True),
        (40, 4, False),
    ],
)
def test_a_server_is_unreliable_above_a_failure_rate(
    n_successes, n_failures, is_unreliable
):
    failure_rate = FailureRate()
    for _ in range(n_successes):
        failure_rate.record(0.0, is_failure=False)
    for _ in range(n_failures):
        failure_rate.record(0.0, is_failure=True)
    assert failure_rate.is_unreliable(0.0) is is_unreliable


def test_the_number_of_entry_vms_is_in_the_snapshot():
    state = FleetState()
    assert state.apply(1, encode_command(CountEntries(n_entries=67)))
    assert FleetState.decode(state.encode()).n_entries == 67


def store(state, index, reports):
    command = state.servers_to_store(reports)
    if command is not None:
        state.apply(index, encode_command(command))
    return command


@pytest.mark.parametrize(
    ("changes", "is_stored"),
    [
        ({}, False),
        ({"sequence": 9}, False),
        ({"address": "127.0.0.1:9"}, True),
        ({"state": ServerState.DRAINING}, True),
        ({"state": ServerState.GONE}, True),
    ],
)
def test_only_changes_of_servers_are_written_to_the_log(changes, is_stored):
    # Every server reports each 1,200 ms; a log entry for each report would fill disks.
    state = FleetState()
    store(state, 1, [make_report()])
    changed = make_report(**changes)
    assert (store(state, 2, [changed]) is not None) is is_stored
    assert store(state, 3, [changed]) is None
    is_gone = changed.state is ServerState.GONE
    assert list(FleetState.decode(state.encode()).servers) == (
        [] if is_gone else [changed.server]
    )


def test_a_snapshot_without_servers_is_readable():
    # Snapshots written before servers were stored have no such field.
    older = {"version": 3, "document": b"d", "assignments": {}, "n_entries": 2}
    state = FleetState.decode(msgspec.msgpack.encode(older))
    assert (state.version, state.servers) == (3, {})


def test_a_server_s_own_report_replaces_a_stored_one():
    registry = ServerRegistry()
    own = make_report(sequence=8, address="127.0.0.1:8")
    assert registry.merge(make_report(sequence=7))
    assert registry.merge(own)
    assert not registry.merge(make_report(sequence=7))
    assert registry.get(own.server, own.group) == own
