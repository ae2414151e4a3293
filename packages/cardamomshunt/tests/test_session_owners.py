"""Tests of the choice of owners of sessions, and of the members of a zone."""

import pytest
from cardamomshunt.fleet import (
    GroupLimits,
    LeaseRequest,
    LeaseTable,
    Route,
    RouteKind,
    SessionOwners,
    Suspicion,
    Team,
    ZoneMembers,
    ZoneSize,
    build_route_table,
    count_holders,
    key_digest,
    needs_owners,
    rendezvous_order,
)


def make_table(n_teams, n_connections=71, n_groups=4, rates=None, is_public=False):
    rates = rates or [1.0] * n_teams
    teams = [
        Team(f"team-{n}", frozenset({key_digest(f"k{n}")}), rate_per_s=rates[n])
        for n in range(n_teams)
    ]
    groups = [GroupLimits(f"g{n}", n_connections) for n in range(n_groups)]
    routes = [
        Route(f"r{n}", f"d{n}", f"g{n}", RouteKind.PRIMARY, 1e3, 2e2, 0, 0.0, is_public)
        for n in range(n_groups)
    ]
    return build_route_table(1, routes, groups, 3_000.0, teams)


def make_owners(entries, own="outside:1"):
    owners = SessionOwners(own)
    owners.record_entries(entries)
    return owners


def make_entries(n_entries, network=0):
    return [f"10.{network}.0.{n}:7440" for n in range(n_entries)]


@pytest.mark.parametrize(
    ("size", "is_needed"),
    [
        (ZoneSize(21, 74, 22), True),
        (ZoneSize(11, 0, 14), False),
        (ZoneSize(21, 1, 22), False),
        (ZoneSize(21, 2, 22), True),
        (ZoneSize(1, 74, 22), False),
        (ZoneSize(0, 74, 22), False),
        (ZoneSize(3, 4, 12), False),
        (ZoneSize(3, 74, 0), False),
    ],
)
def test_owners_are_used_where_connections_are_too_few(size, is_needed):
    # Guards against a hop where each VM can hold its own connections, and against a
    # choice by anything but numbers.
    assert needs_owners(size) is is_needed


@pytest.mark.parametrize(
    ("size", "n_holders"),
    [
        (ZoneSize(21, 74, 22), 7),
        (ZoneSize(26, 82, 17), 5),
        (ZoneSize(21, 74, 2), 2),
        (ZoneSize(4, 74, 90), 4),
    ],
)
def test_the_number_of_holders_follows_the_connections(size, n_holders):
    # Guards against more holders than the connections of a server can serve.
    assert count_holders(size) == n_holders


def test_a_leaving_vm_moves_only_its_own_teams():
    # Guards against a new owner for every team when one VM leaves.
    entries = make_entries(7)
    before = {f"team-{n}": rendezvous_order(f"team-{n}", entries)[0] for n in range(99)}
    left = entries[3]
    rest = [entry for entry in entries if entry != left]
    for team, owner in before.items():
        if owner != left:
            assert rendezvous_order(team, rest)[0] == owner


def test_an_avoided_owner_is_replaced_by_the_next_one_for_a_while():
    # Guards against repeated attempts at a dead owner, and against leaving it for good.
    table = make_table(74)
    owners = make_owners(make_entries(21))
    first, second, *_ = owners.candidates(table, 3, "team-5", "g0", 0.0)
    assert owners.avoid(first, 0.0)
    assert not owners.avoid(first, 0.0)
    assert owners.candidates(table, 3, "team-5", "g0", 1_999.0)[0] == second
    assert owners.candidates(table, 3, "team-5", "g0", 2_000.0)[0] == first


def test_a_vm_forwards_only_to_owners_before_itself():
    # Guards against a session that its own owner forwards on.
    table = make_table(74)
    entries = make_entries(21)
    order = make_owners(entries).candidates(table, 3, "team-5", "g0", 0.0)
    assert make_owners(entries, order[0]).candidates(table, 3, "team-5", "g0", 0) == []
    own = make_owners(entries, order[1])
    assert own.candidates(table, 3, "team-5", "g0", 0.0) == order[:1]


@pytest.mark.parametrize("entries", [[], ["10.0.0.1:7440"]])
def test_a_vm_without_other_members_serves_its_sessions(entries):
    # Guards against sessions that nobody serves.
    owners = make_owners(entries)
    assert owners.candidates(make_table(74), 3, "team-5", "g0", 0.0) == []


def test_no_owner_gets_much_more_than_a_quarter_of_the_load():
    # Guards against an owner with half a core that the large teams overload.
    weights = [(number + 1) ** -1.2 for number in range(74)]
    total = sum(weights)
    shares = [weight / total for weight in weights]
    table = make_table(74, rates=[468.0 * share for share in shares])
    for network in range(100):
        owners = make_owners(make_entries(21, network))
        load = {}
        for number, share in enumerate(shares):
            for group in table.groups:
                team = f"team-{number}"
                owner = owners.candidates(table, 3, team, group, 0.0)[0]
                load[owner] = load.get(owner, 0.0) + share / len(table.groups)
        assert sum(load.values()) == pytest.approx(1.0)
        assert max(load.values()) < 0.25


def record(members, address, now_ms, zone="a", version=1, **changes):
    request = LeaseRequest(sequence=1, version=version, zone=zone, **changes)
    members.record(address, request, now_ms)


@pytest.mark.parametrize(
    ("changes", "is_listed"),
    [
        ({}, True),
        ({"zone": "b"}, False),
        ({"version": 0}, False),
        ({"is_draining": True}, False),
    ],
)
def test_only_ready_vms_of_the_zone_are_listed(changes, is_listed):
    # Guards against sessions opened at a VM that drains or has no configuration.
    members = ZoneMembers()
    record(members, "e1", 0.0)
    record(members, "e2", 0.0, **changes)
    assert members.entries_of("a", 2, 10.0) == ["e1"] + ["e2"] * is_listed


def test_a_silent_vm_leaves_and_returns_after_a_steady_time():
    # Guards against a list that changes with each request of a VM at the edge.
    members = ZoneMembers()
    for now_ms in range(0, 10_000, 250):
        record(members, "e1", now_ms)
        if now_ms < 1_000 or now_ms >= 5_000:
            record(members, "e2", now_ms)
        is_listed = now_ms <= 2_750 or now_ms >= 6_000
        assert ("e2" in members.entries_of("a", 2, now_ms)) is is_listed, now_ms


def test_a_restarted_vm_is_listed_at_once():
    # Guards against a pause after a power loss that all entry VMs had.
    members = ZoneMembers()
    record(members, "e1", 0.0, incarnation=1)
    record(members, "e1", 9_000.0, incarnation=2)
    assert members.entries_of("a", 1, 9_000.0) == ["e1"]


def test_a_new_leader_sends_no_list_before_it_knows_the_vms():
    # Guards against a list of the few VMs that asked a new leader first.
    members = ZoneMembers()
    members.on_leadership(0.0)
    record(members, "e1", 10.0)
    assert members.entries_of("a", 2, 20.0) is None
    record(members, "e2", 30.0)
    assert members.entries_of("a", 2, 40.0) == ["e1", "e2"]
    assert members.entries_of("a", 3, 40.0) is None
    record(members, "e1", 2_000.0)
    assert members.entries_of("a", 3, 2_500.0) == ["e1"]


def test_a_new_leader_lists_vms_that_it_heard_rarely_as_a_follower():
    # Guards against a list without VMs that asked this node only every 3 s before.
    members = ZoneMembers()
    for now_ms in (0.0, 3_000.0, 6_000.0):
        record(members, "e1", now_ms)
    members.on_leadership(6_100.0)
    assert members.entries_of("a", 1, 6_200.0) == ["e1"]


@pytest.mark.parametrize(
    ("watching", "suspecting", "is_suspected"),
    [
        (["a1", "b1"], ["a1", "b1"], True),
        # A fault of one VM or one zone is not enough.
        (["a1"], ["a1"], False),
        (["a1", "a2", "b1", "b2"], ["a1", "a2"], False),
        (["a1", "a2", "b1", "b2"], ["a1", "b2"], True),
        (["a1", "a2", "a3", "b1", "b2"], ["a1", "b2"], False),
        # Those that suspect count even if they have no connection any more.
        ([], ["a1", "b1"], True),
        (None, ["a1", "b1"], False),
        (None, ["a1", "a2", "a3", "a4"], True),
    ],
)
def test_vms_that_do_not_use_a_group_do_not_count(watching, suspecting, is_suspected):
    # Guards against a dead primary that idle VMs keep, and against a healthy one that
    # few VMs replace.
    table = LeaseTable(leader_since_ms=0.0)
    suspicion = Suspicion("g", "s", 1)
    for name in ("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"):
        watched = None if watching is None else ["g"] if name in watching else []
        request = LeaseRequest(
            sequence=1,
            version=1,
            zone=name[0],
            watched_groups=watched,
            suspicions=[suspicion] if name in suspecting else [],
        )
        table.on_request(name, request, 100.0)
    assert table.is_suspected(suspicion, 150.0) is is_suspected
