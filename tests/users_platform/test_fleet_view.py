"""Decisions of an entry VM's view of the fleet, without network."""

from collections import Counter

import pytest
from cardamomshunt.fleet import (
    Assignment,
    GroupLimits,
    RouteTable,
    ServerReport,
    ServerState,
)
from cardamomshunt.messages import InstanceRole
from cardamomshunt_node._backend_connection import BackendConnection
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_platform._lines import LineProtocol

_N_SERVERS = 3
_PRIMARY = "i-3"


def _make_view(node="entry-1", zone="z1", n_entries=40, n_connections_max=34):
    view = FleetView(node, zone, LineProtocol())
    limits = GroupLimits("db", n_connections_max=n_connections_max)
    view.set_table(RouteTable(version=1, groups={"db": limits}))
    for number in range(1, _N_SERVERS + 1):
        view.merge_report(
            ServerReport(
                server=f"i-{number}",
                group="db",
                address=f"127.0.0.1:{number}",
                zone=f"z{number}",
                state=ServerState.READY,
                role=InstanceRole.REPLICA,
                started_ms=1,
                sequence=1,
            )
        )
    view.lease.on_assignments({"db": Assignment(server=_PRIMARY, epoch=1)})
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
    # one again, and opening them took up a fifth of the servers.
    view = _make_view(zone=zone, n_entries=n_entries)
    assert await _servers_kept(view) == kept


async def test_zones_without_a_replica_keep_connections_to_all_replicas():
    found = Counter()
    for number in range(60):
        view = _make_view(node=f"entry-{number}", zone="z3")
        found.update(await _servers_kept(view))
    assert set(found) == {"i-1", "i-2"}
    assert min(found.values()) > 20
