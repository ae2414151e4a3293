"""An instance's connections are never promised twice."""

from cardamomshunt.connection_shares import ConnectionAllocator, ConnectionLeases
from cardamomshunt.messages import ConnectionDemand, ConnectionGrant
from hypothesis import given, settings
from hypothesis import strategies as st

NODES = ("p1", "p2", "p3")
N_MAX = 20
FLOOR = 2
STARTUP_MS = 4_000.0


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(NODES),
            st.integers(0, 40),
            st.floats(0.0, 2_500.0),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_leases_and_floors_fit(steps: list[tuple[str, int, float, bool]]) -> None:
    """Grants may be lost, so that a node goes on with an earlier one."""
    allocator = ConnectionAllocator(0.0, floor=FLOOR)
    allocator.on_capacity("s", N_MAX)
    holders = {node: ConnectionLeases(FLOOR) for node in NODES}
    for node in NODES:
        allocator.on_demand(STARTUP_MS, node, [])
    now_ms = STARTUP_MS
    for node, n_wanted, pause_ms, arrives in steps:
        now_ms += pause_ms
        demand = ConnectionDemand(instance="s", n_wanted=n_wanted)
        allocator.on_demand(now_ms, node, [demand])
        grants = allocator.grants_for(now_ms, node)
        if arrives:
            holders[node].on_grants(now_ms, grants)
        held = sum(holder.n_connections(now_ms, "s") for holder in holders.values())
        assert held <= N_MAX


def test_demand_is_met_fairly() -> None:
    allocator = ConnectionAllocator(0.0, floor=FLOOR)
    allocator.on_capacity("s", N_MAX)
    wants = {"p1": 30, "p2": 3, "p3": 30}
    for _ in range(2):
        for node, n_wanted in wants.items():
            demand = ConnectionDemand(instance="s", n_wanted=n_wanted)
            allocator.on_demand(STARTUP_MS, node, [demand])
    granted = {
        node: allocator.grants_for(STARTUP_MS, node)[0].n_connections for node in wants
    }
    assert granted == {"p1": 6, "p2": 1, "p3": 7}


def test_new_leader_waits_for_earlier_leases() -> None:
    allocator = ConnectionAllocator(0.0, floor=FLOOR)
    allocator.on_capacity("s", N_MAX)
    demand = ConnectionDemand(instance="s", n_wanted=9)
    allocator.on_demand(3_999.0, "p1", [demand])
    assert allocator.grants_for(3_999.0, "p1") == []
    assert allocator.grants_for(4_000.0, "p1") != []


def test_expired_lease_leaves_the_floor() -> None:
    leases = ConnectionLeases(FLOOR)
    grant = ConnectionGrant(instance="s", n_connections=5, expires_in_ms=100.0)
    leases.on_grants(0.0, [grant])
    assert leases.n_connections(99.0, "s") == 7
    assert leases.n_connections(100.0, "s") == FLOOR
