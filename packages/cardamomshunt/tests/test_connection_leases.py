"""Tests of connection leases: no connection of an instance is granted twice."""

from cardamomshunt.connection_leases import (
    N_CONNECTIONS_RESERVED,
    ConnectionAllocator,
    ConnectionLeases,
)
from cardamomshunt.messages import ConnectionDemand, ConnectionGrant, DemandReport
from hypothesis import given, settings
from hypothesis import strategies as st

NODES = ("p1", "p2", "p3")
N_MAX = 20
FLOOR = 2


def report(node: str, sequence: int, n_requested: int) -> DemandReport:
    demand = ConnectionDemand(instance="s", n_requested=n_requested)
    return DemandReport(node=node, sequence=sequence, demands=[demand])


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(NODES),
            st.integers(0, 40),
            st.floats(0.0, 2_500.0),
            st.sets(st.sampled_from(NODES)),
        ),
        max_size=40,
    )
)
def test_leases_and_floors_fit(
    steps: list[tuple[str, int, float, set[str]]],
) -> None:
    """Guards against servers that refuse control as all connections are granted.

    Some grants do not arrive, so that entry VMs use older leases until they expire.
    """
    allocator = ConnectionAllocator()
    holders = {node: ConnectionLeases(FLOOR) for node in NODES}
    for node in NODES:
        allocator.on_demand(0.0, report(node, 0, 0))
    now_ms = 0.0
    for index, (node, n_requested, pause_ms, reached) in enumerate(steps):
        now_ms += pause_ms
        allocator.on_demand(now_ms, report(node, index + 1, n_requested))
        for message in allocator.grants(now_ms, {"s": N_MAX}, FLOOR):
            if message.node in reached:
                holders[message.node].on_grants(now_ms, message.grants)
        n_allowed = sum(
            leases.n_connections(now_ms, "s") for leases in holders.values()
        )
        assert n_allowed <= N_MAX - N_CONNECTIONS_RESERVED


def test_demand_is_met_fairly() -> None:
    allocator = ConnectionAllocator()
    for node, n_requested in {"p1": 30, "p2": 3, "p3": 30}.items():
        allocator.on_demand(0.0, report(node, 1, n_requested))
    granted = {
        message.node: message.grants[0].n_connections
        for message in allocator.grants(0.0, {"s": N_MAX}, FLOOR)
    }
    assert granted == {"p1": 7, "p2": 3, "p3": 8}


def test_late_report_does_not_replace_a_newer_one() -> None:
    allocator = ConnectionAllocator()
    allocator.on_demand(0.0, report("p1", 2, 9))
    allocator.on_demand(1.0, report("p1", 1, 3))
    (message,) = allocator.grants(2.0, {"s": N_MAX}, FLOOR)
    assert message.grants[0].n_connections == 9


def test_expired_lease_leaves_the_floor() -> None:
    leases = ConnectionLeases(FLOOR)
    grant = ConnectionGrant(instance="s", n_connections=7, expires_in_ms=100.0)
    leases.on_grants(0.0, [grant])
    assert leases.n_connections(99.0, "s") == 7
    assert leases.n_connections(100.0, "s") == FLOOR
