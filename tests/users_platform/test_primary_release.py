"""Tests of how an entry VM gives up a primary that is being replaced."""

import asyncio
import json
import os

import pytest
from cardamomshunt.fleet import (
    Assignment,
    AssignmentPhase,
    LeaseGrant,
    RouteTable,
    ServerState,
)
from cardamomshunt_node._backend_connection import BackendConnection
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._primary_release import PrimaryRelease
from cardamomshunt_platform._lines import LineProtocol
from msgspec import structs
from standin import make_server_report

_ACTIVE = AssignmentPhase.ACTIVE
_STOPPING = AssignmentPhase.STOPPING
_PROMOTING = AssignmentPhase.PROMOTING
_UNTIL_RELEASED_S = 0.6
_LEASE_MS = 1_300.0


class _Site:
    """View of an entry VM with connections in use at the primary `i-1`."""

    def __init__(self, folder):
        self.view = FleetView("entry-1", "z1", LineProtocol())
        self.view.set_table(RouteTable())
        for number in (1, 2):
            self.view.merge_report(make_server_report(number))
        self.reported = []
        self.path = folder / "entry-1.log"
        log = DecisionLog(
            "entry-1", os.open(self.path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        )
        self.releases = PrimaryRelease(
            self.view,
            log,
            EntryMetrics(),
            lambda group, epoch: self.reported.append((group, epoch)),
        )
        self._sequence = 0
        self.grant(Assignment(server="i-1", epoch=1))

    def use_connection(self, server="i-1"):
        report = self.view.registry.get(server, "db")
        pool = self.view.pool(report)
        connection = BackendConnection(LineProtocol(), pool)
        pool._open.add(connection)
        pool._in_use.add(connection)
        return connection

    def grant(self, assignment=None, sent_ago_ms=0.0):
        self._sequence += 1
        now = boot_ms()
        self.view.lease.on_request_sent(self._sequence, now - sent_ago_ms)
        grant = LeaseGrant(
            sequence=self._sequence,
            lease_ms=_LEASE_MS,
            n_entries=1,
            assignments={"db": assignment} if assignment else None,
        )
        self.releases.apply(self.view.lease.on_grant(grant, now))

    def announce(self, assignment):
        changed = self.view.lease.on_assignments({"db": assignment}, boot_ms())
        self.releases.apply(changed)

    def let_lease_lapse(self):
        self.view.lease._valid_until_ms = boot_ms() - 1.0

    def ended(self):
        lines = [json.loads(line) for line in self.path.read_text().splitlines()]
        return [
            (line["epoch"], line["reason"], line["n_cut"])
            for line in lines
            if line["event"] == "epoch_ended"
        ]


@pytest.fixture
def site(tmp_path):
    return _Site(tmp_path)


@pytest.mark.parametrize(
    ("phase", "is_lapsed", "reason"),
    [
        (_STOPPING, False, "released"),
        (_STOPPING, True, "lease_lapsed"),
        (_PROMOTING, False, "promoting"),
        (_PROMOTING, True, "promoting"),
    ],
)
async def test_a_grace_is_left_under_an_unbroken_lease_only(
    site, phase, is_lapsed, reason
):
    # Guards against a grace that begins after the leader counted the release.
    connection = site.use_connection()
    if is_lapsed:
        site.let_lease_lapse()
    site.announce(Assignment(server="i-1", epoch=2, phase=phase))
    has_grace = reason == "released"
    assert connection.is_closed is not has_grace
    assert (site.reported == []) is has_grace
    if has_grace:
        await asyncio.sleep(_UNTIL_RELEASED_S)
    assert connection.is_closed
    assert site.reported == [("db", 2)]
    assert site.ended() == [(1, reason, 1)]


async def test_a_lapse_ends_a_grace_that_is_left(site):
    # Guards against a new lease that revives statements in their grace.
    connection = site.use_connection()
    site.announce(Assignment(server="i-1", epoch=2, phase=_STOPPING))
    await asyncio.sleep(0.05)
    site.let_lease_lapse()
    site.grant()
    assert connection.is_closed
    assert site.reported == [("db", 2)]
    await asyncio.sleep(_UNTIL_RELEASED_S)
    assert site.reported == [("db", 2)]
    assert site.ended() == [(1, "lease_lapsed", 1)]


async def test_a_second_replacement_leaves_its_own_grace(site):
    # Guards against a grace that ends with that of the former replacement, whose
    # primary became active again meanwhile.
    site.use_connection()
    site.announce(Assignment(server="i-1", epoch=2, phase=_STOPPING))
    await asyncio.sleep(0.3)
    site.announce(Assignment(server="i-1", epoch=3))
    site.announce(Assignment(server="i-1", epoch=4, phase=_STOPPING))
    await asyncio.sleep(0.2)
    assert site.reported == []
    await asyncio.sleep(0.4)
    assert site.reported == [("db", 4)]
    assert site.ended() == [(1, "replaced", 0), (3, "released", 1)]


@pytest.mark.parametrize(("active", "is_cut"), [("i-1", False), ("i-2", True)])
async def test_only_a_server_that_leads_again_keeps_its_connections(
    site, active, is_cut
):
    # Guards against statements that wait for a former primary until their deadlines.
    connection = site.use_connection()
    site.let_lease_lapse()
    site.grant(Assignment(server=active, epoch=5))
    assert connection.is_closed is is_cut
    assert site.view.ack_refusal("db", 1) is not None
    assert site.view.ack_refusal("db", 5) is None


async def test_a_group_that_was_never_used_is_released_at_once(site):
    # Guards against a leader that waits for an entry VM which has just started.
    site.view.lease = type(site.view.lease)()
    site.grant(Assignment(server="i-1", epoch=7, phase=_STOPPING))
    assert site.reported == [("db", 7)]
    assert site.ended() == []


async def test_a_primary_that_is_gone_leaves_no_grace(site):
    # Guards against a wait for statements at a server that does not exist any more.
    site.use_connection()
    gone = structs.replace(make_server_report(1), state=ServerState.GONE, sequence=2)
    site.view.merge_report(gone)
    site.announce(Assignment(server="i-1", epoch=2, phase=_STOPPING))
    await asyncio.sleep(0.05)
    assert site.reported == [("db", 2)]
