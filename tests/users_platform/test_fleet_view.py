"""Decisions of an entry VM's view of the fleet, without network."""

import asyncio
import os
from collections import Counter

import msgspec
import pytest
from cardamomshunt.fleet import (
    Assignment,
    GroupLimits,
    LeaseGrant,
    Route,
    RouteKind,
    RouteTable,
    Team,
    TeamTable,
)
from cardamomshunt.position import LogPosition
from cardamomshunt_node._backend_connection import (
    BackendConnection,
    Reply,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_reads import ReadRunner
from cardamomshunt_node._line_session_state import LineSession, RefusedError
from cardamomshunt_node._line_writes import WriteRunner
from cardamomshunt_node._read_freshness import ReadFreshness
from cardamomshunt_node._server_pool import ServerPool
from cardamomshunt_node._session_protocol import CallerQuery, Statement, StatementKind
from cardamomshunt_node._statement_sender import StatementSender
from cardamomshunt_node._team_quotas import TeamQuotaWaiter
from cardamomshunt_platform._lines import LineProtocol
from standin import make_server_report

_WORK_S = 0.02
_N_SERVERS = 3
_PRIMARY = "i-3"


def _make_empty_view(node="entry-1", zone="z1", n_connections_max=34):
    view = FleetView(node, zone, LineProtocol())
    limits = GroupLimits("db", n_connections_max=n_connections_max)
    view.set_table(RouteTable(version=1, groups={"db": limits}))
    return view


def _make_view(node="entry-1", zone="z1", n_entries=40, n_connections_max=34):
    view = _make_empty_view(node, zone, n_connections_max)
    for number in range(1, _N_SERVERS + 1):
        view.merge_report(make_server_report(number))
    view.lease.on_assignments({"db": Assignment(server=_PRIMARY, epoch=1)}, boot_ms())
    view.record_n_entries(n_entries)
    return view


async def _servers_kept(view):
    """Return the servers whose idle connection outlives maintenance."""
    kept = {}
    for report in view.registry.all():
        pool = view.pool(report)
        pool.connect_after_ms = float("inf")
        connection = BackendConnection(LineProtocol(), pool)
        connection.last_used_ms = float("-inf")
        pool._open.add(connection)
        pool._idle.append(connection)
        kept[report.server] = connection
    view.maintain_pools()
    return {server for server, item in kept.items() if not item.is_closed}


@pytest.mark.parametrize(
    ("zone", "n_entries", "kept"),
    [
        ("z1", 40, {"i-1"}),
        ("z2", 40, {"i-2"}),
        ("z1", 9, {"i-1", "i-2", "i-3"}),
    ],
)
async def test_connections_to_the_usual_replica_are_kept(zone, n_entries, kept):
    # While connections were scarce all idle ones were closed, so that each read opened
    # one again, which takes up a slot of the server.
    view = _make_view(zone=zone, n_entries=n_entries)
    assert await _servers_kept(view) == kept


def _add_team(view):
    teams = TeamTable({"desk": Team("desk")})
    view.set_table(RouteTable(version=2, groups=view.table.groups, teams=teams))


@pytest.mark.parametrize("n_entries", [9, 40])
async def test_connections_of_removed_teams_are_closed(n_entries):
    # Guards against connections that no statement may use, where they are not scarce.
    view = _make_view(n_entries=n_entries)
    _add_team(view)
    assert await _servers_kept(view) == {"i-1"}


@pytest.mark.parametrize(("has_teams", "n_opening"), [(False, 1), (True, 0)])
async def test_no_connection_is_opened_in_advance_for_no_team(has_teams, n_opening):
    # Guards against scarce connections that no statement may use.
    view = _make_view(n_entries=9)
    if has_teams:
        _add_team(view)
    view.maintain_pools()
    opening = [pool._n_opening.total() for pool in view._pools.values()]
    assert sum(opening) == n_opening


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1", "", "a:b:c"])
async def test_a_server_at_an_unusable_address_counts_as_down(address):
    # Guards against a connection that counts as being opened for good, so that the
    # statements for such a server wait until their deadline.
    view = _make_empty_view()
    report = msgspec.structs.replace(make_server_report(1), address=address)
    pool = view.pool(report)
    async with asyncio.timeout(1.0):
        with pytest.raises(ServerLostError):
            await pool.acquire(1, boot_ms() + 2_000.0, {}, "")
        while pool._n_opening.total():
            await asyncio.sleep(0.02)
    assert pool.is_down(boot_ms())


async def test_zones_without_a_replica_keep_connections_to_all_replicas():
    found = Counter()
    for number in range(60):
        view = _make_view(node=f"entry-{number}", zone="z3")
        found.update(await _servers_kept(view))
    assert set(found) == {"i-1", "i-2"}
    assert min(found.values()) > 20


async def test_a_new_entry_takes_few_connections_until_others_are_known():
    # Right after a restart the leader has heard from one entry VM only, and each entry
    # VM opened all connections of a server.
    view = _make_empty_view(n_connections_max=34)
    assert view._connection_quota("db", "i-1") == 2
    view.record_n_entries(0)
    assert view._connection_quota("db", "i-1") == 2


@pytest.mark.parametrize(("n_entries", "share"), [(1, 31), (9, 3), (15, 2), (40, 1)])
async def test_connections_are_shared_by_the_most_entries_seen(n_entries, share):
    view = _make_empty_view(n_connections_max=34)
    view.record_n_entries(n_entries)
    view.record_n_entries(1)
    assert view._connection_quota("db", "i-1") == share


async def test_scarce_connections_of_a_replica_are_those_of_its_zone():
    # A primary's connections divided by zone gave two to one entry VM in three, and
    # none to the others.
    view = _make_empty_view(n_connections_max=60)
    for number in (1, 2, 3):
        view.merge_report(make_server_report(number))
    view.lease.on_assignments({"db": Assignment(server="i-1", epoch=1)}, boot_ms())
    view.record_n_entries(67)
    assert view._connection_quota("db", "i-1") == 1
    assert view._connection_quota("db", "i-2") == 2


class _AnsweringConnection(BackendConnection):
    """Connection whose server answers each statement after a fixed time."""

    def __init__(self, pool):
        super().__init__(LineProtocol(), pool)
        self.position = LogPosition(1, 7)

    def send(self, data):
        future = asyncio.get_running_loop().create_future()
        reply = Reply(is_complete=True, position=self.position)
        asyncio.get_running_loop().call_later(_WORK_S, future.set_result, reply)
        return future


def _grant_lease(view):
    view.lease.on_request_sent(1, boot_ms())
    view.lease.on_grant(
        LeaseGrant(sequence=1, lease_ms=5_000.0, n_entries=1, assignments=None),
        boot_ms(),
    )


async def test_reads_after_a_restart_do_not_queue_at_the_primary(monkeypatch):
    # After a power loss no entry VM knows how far the log is. All reads queued at the
    # primary, which had two connections for each entry VM, and most missed their
    # deadlines, although replicas may serve them once one answer has come.
    view = _make_view(n_entries=1)
    _grant_lease(view)
    served = Counter()

    async def acquire(pool, priority, deadline_ms, values, team):
        connection = _AnsweringConnection(pool)
        pool._in_use.add(connection)
        served[pool.server] += 1
        return connection

    monkeypatch.setattr(ServerPool, "acquire", acquire)
    monkeypatch.setattr(ServerPool, "release", lambda p, c: p._in_use.discard(c))
    log = DecisionLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    runner = ReadRunner(
        view,
        StatementSender(LineProtocol()),
        ReadFreshness(view),
        log,
        EntryMetrics(),
        TeamQuotaWaiter(log, EntryMetrics()),
    )
    route = Route(
        "r",
        "stock",
        "db",
        RouteKind.BOUNDED_STALENESS,
        1_000.0,
        200.0,
        max_age_ms=1_500.0,
    )
    reads = [
        runner.run(
            LineSession(number, "stock"),
            CallerQuery(f"r{number}", Statement(StatementKind.READ, "READ k")),
            route,
            boot_ms(),
        )
        for number in range(50)
    ]
    replies = await asyncio.gather(*reads)
    assert all(reply.is_success for reply in replies)
    assert served[_PRIMARY] <= 3


@pytest.mark.parametrize(
    ("load", "was_granted", "is_partitioned", "is_early"),
    [
        ("partitioned zone, expired lease", True, True, True),
        ("election of a leader, expired lease", True, False, False),
        ("power loss of all VMs, no lease yet", False, True, False),
    ],
)
async def test_writes_of_a_partitioned_entry_vm_are_refused_at_once(
    load, was_granted, is_partitioned, is_early
):
    # Writes at a partitioned entry VM waited until their deadline for nothing. An entry
    # VM that has just started waits for its first lease, which may come in time.
    view = _make_view()
    if was_granted:
        view.lease.on_request_sent(1, boot_ms() - 9_000.0)
        view.lease.on_grant(
            LeaseGrant(sequence=1, lease_ms=1_300.0, n_entries=1, assignments=None),
            boot_ms(),
        )
    view.on_partition_asked(lambda now_ms: is_partitioned)
    log = DecisionLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    writes = WriteRunner(view, StatementSender(LineProtocol()), log)
    route = Route("r", "orders", "db", RouteKind.PRIMARY, 300.0, 200.0)
    query = CallerQuery("w1", Statement(StatementKind.WRITE, "WRITE k v"))
    started_ms = boot_ms()
    with pytest.raises(RefusedError, match="retry_after_ms=[0-9]+$"):
        await writes.write(LineSession(1, "orders"), query, route, started_ms)
    assert (boot_ms() - started_ms < 150.0) is is_early
