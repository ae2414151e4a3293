"""Control nodes whose disks are slow or stall elect and keep a leader."""

import pytest
from cardamomshunt.events import EventNumber
from slow_disk_group import SlowDiskGroup

_NAMES = ["s1", "s2", "s3"]
_RECOVERY_MS = 12_000.0
# A vote takes two syncs and the first entry one, each up to 1.3 times as long, after the
# start of all nodes and the former leader's lease.
_N_SYNCS_OF_ELECTION = 5.0
_START_MS = 1_500.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("lost", [frozenset(), frozenset({"s2"})])
@pytest.mark.parametrize("sync_ms", [0.0, 50.0, 100.0, 200.0, 500.0, 1_000.0])
def test_election_outlasts_slow_syncs(
    seed: int, lost: frozenset[str], sync_ms: float
) -> None:
    """Guards against a restart without a leader because votes take longer than a term."""
    group = SlowDiskGroup(_NAMES, seed, sync_ms=sync_ms, lost=lost)
    elapsed_ms = group.run_until(lambda: group.leader is not None, 60_000.0)
    assert elapsed_ms is not None
    assert elapsed_ms < _RECOVERY_MS
    assert elapsed_ms < _START_MS + _N_SYNCS_OF_ELECTION * sync_ms


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("lost", [frozenset(), frozenset({"s2"})])
@pytest.mark.parametrize("message_ms", [100.0, 140.0])
def test_election_outlasts_slow_messages(
    seed: int, lost: frozenset[str], message_ms: float
) -> None:
    """Guards against elections that end before the votes have come back."""
    group = SlowDiskGroup(_NAMES, seed, sync_ms=0.5, message_ms=message_ms, lost=lost)
    elapsed_ms = group.run_until(lambda: group.leader is not None, 60_000.0)
    assert elapsed_ms is not None
    assert elapsed_ms < _RECOVERY_MS


@pytest.mark.parametrize("seed", range(5))
def test_leader_keeps_its_lease_while_all_disks_stall(seed: int) -> None:
    """Guards against followers that count as silent while they write an entry."""
    group = SlowDiskGroup(_NAMES, seed, sync_ms=1.0)
    assert group.run_until(lambda: group.leader is not None, 5_000.0) is not None
    leader = group.leader
    assert leader is not None
    group.set_sync_ms(3_000.0)
    index = leader.propose(group.now_ms, b"change")
    assert index is not None
    group._carry_out(leader, leader.pop_effects())
    n_elections = group.count(EventNumber.LEADER_ELECTED)
    without_lease_ms = group.run_until(lambda: group.leader is None, 2_000.0)
    assert without_lease_ms is None
    committed_ms = group.run_until(lambda: leader.commit_index >= index, 8_000.0)
    assert committed_ms is not None
    assert group.count(EventNumber.LEADER_ELECTED) == n_elections
