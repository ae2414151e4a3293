"""Control nodes whose disks are slow or stall elect and keep a leader."""

from random import Random
from typing import Any

import pytest
from cardamomshunt._consensus.election_timer import ElectionTimer
from cardamomshunt.consensus import (
    AppendEntries,
    AppendReply,
    ConsensusNode,
    ConsensusRole,
    Entry,
    EntryKind,
    Peer,
    PreVoteReply,
    PreVoteRequest,
    RestoredState,
    Snapshot,
    Vote,
    VoteReply,
    VoteRequest,
)
from cardamomshunt.control import ControlEffect, PersistEffect, SendMessage
from cardamomshunt.events import EventNumber
from slow_disk_group import OPTIONS, SlowDiskGroup, make_members

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
    index = group.propose(leader, b"change")
    n_elections = group.count(EventNumber.LEADER_ELECTED)
    without_lease_ms = group.run_until(lambda: group.leader is None, 2_000.0)
    assert without_lease_ms is None
    committed_ms = group.run_until(lambda: leader.commit_index >= index, 8_000.0)
    assert committed_ms is not None
    assert group.count(EventNumber.LEADER_ELECTED) == n_elections


_TERM = 7
_MEMBERS = make_members(_NAMES)


def _node(vote: Vote) -> ConsensusNode:
    entries = [Entry(1, _TERM, EntryKind.COMMAND, b"x")]
    restored = RestoredState(1, vote, Snapshot(members=_MEMBERS), entries)
    return ConsensusNode("s1", _MEMBERS, restored, Random(1), 0.0, OPTIONS)


def _append(term: int) -> AppendEntries:
    """Return the message of a leader with the next entry."""
    return AppendEntries(
        term=term,
        incarnation=2,
        prev_index=1,
        prev_term=_TERM,
        commit_index=0,
        sent_ms=5.0,
        entries=[Entry(2, term, EntryKind.COMMAND, b"y")],
    )


def _grant(node: ConsensusNode, term: int, voter: int) -> list[ControlEffect]:
    member = _MEMBERS[voter]
    reply = VoteReply(term=term, incarnation=member.incarnation, is_granted=True)
    return node.on_message(2_000.0, Peer(member.node, member.node), reply)


def _start_election(node: ConsensusNode) -> list[ControlEffect]:
    for voter in (1, 2):
        node.tick(1_000.0)
        member = _MEMBERS[voter]
        reply = PreVoteReply(
            term=node.term + 1,
            incarnation=member.incarnation,
            current_term=node.term,
            is_granted=True,
        )
        effects = node.on_message(1_000.0, Peer(member.node, member.node), reply)
        if node.role is ConsensusRole.CANDIDATE:
            return effects
    raise AssertionError("no election was started")


def _last_sequence(effects: list[ControlEffect]) -> int:
    return max(e.sequence for e in effects if isinstance(e, PersistEffect))


def test_a_candidate_leads_only_once_its_own_vote_is_durable() -> None:
    """Guards against a node that leads one term twice, before and after a crash."""
    node = _node(Vote(_TERM, ""))
    effects = _start_election(node)
    for voter in (1, 2):
        _grant(node, _TERM + 1, voter)
    assert not node.is_leader
    node.on_storage_done(2_000.0, _last_sequence(effects))
    assert node.is_leader


def test_votes_for_a_former_process_do_not_count() -> None:
    """Guards against a second leadership of one term by late replies after a restart."""
    node = _node(Vote(_TERM, "s1/1"))
    node.tick(1_000.0)
    for voter in (1, 2):
        _grant(node, _TERM, voter)
    assert not node.is_leader


def test_late_votes_count_until_the_next_term() -> None:
    """Guards against an election that is lost because its votes took long to write."""
    node = _node(Vote(_TERM, ""))
    effects = _start_election(node)
    node.on_storage_done(1_000.0, _last_sequence(effects))
    node.tick(1_900.0)
    assert node.role is ConsensusRole.PRE_CANDIDATE
    _grant(node, _TERM + 1, 1)
    assert node.is_leader


def test_a_request_for_votes_waits_for_entries_that_are_not_durable() -> None:
    """Guards against a vote for entries that a crash of the candidate removes."""
    node = _node(Vote(_TERM, ""))
    append = _append(_TERM)
    node.on_message(0.0, Peer("s2", "s2"), append)
    effects = _start_election(node)
    assert not [m for m in _messages(effects) if isinstance(m, VoteRequest)]
    done = node.on_storage_done(2_000.0, _last_sequence(effects))
    assert [m for m in _messages(done) if isinstance(m, VoteRequest)]


def test_a_contact_is_confirmed_without_what_is_not_durable() -> None:
    """Guards against an acknowledged entry that a follower loses in a crash."""
    node = _node(Vote(_TERM, ""))
    append = _append(_TERM)
    effects = node.on_message(0.0, Peer("s2", "s2"), append)
    done = node.on_storage_done(9.0, _last_sequence(effects))
    replies = [m for m in _messages(effects + done) if isinstance(m, AppendReply)]
    found = [(m.is_complete, m.match_index, m.sent_ms) for m in replies]
    assert found == [(False, 1, 5.0), (True, 2, 5.0)]


def test_a_full_disk_confirms_no_contact() -> None:
    """Guards against a voter that counts although its disk takes no more writes."""
    node = _node(Vote(_TERM, ""))
    append = _append(_TERM)
    node.on_message(0.0, Peer("s2", "s2"), append)
    node.on_storage_full(1.0, "no space left")
    assert _messages(node.on_message(2.0, Peer("s2", "s2"), append)) == []


def _is_pre_vote_granted(node: ConsensusNode, now_ms: float) -> bool:
    request = PreVoteRequest(
        term=node.term + 1,
        incarnation=3,
        voter_incarnation=1,
        last_index=9,
        last_term=_TERM,
    )
    effects = node.on_message(now_ms, Peer("s3", "s3"), request)
    return _messages(effects)[-1].is_granted


def test_a_voter_gives_its_candidate_as_long_to_write_as_it_took() -> None:
    """Guards against a new term while the votes of the last one are being written."""
    node = _node(Vote(_TERM, ""))
    request = VoteRequest(
        term=_TERM + 1,
        incarnation=2,
        voter_incarnation=1,
        last_index=1,
        last_term=_TERM,
    )
    effects = node.on_message(1_000.0, Peer("s2", "s2"), request)
    assert not _is_pre_vote_granted(node, 1_200.0)
    node.on_storage_done(1_300.0, _last_sequence(effects))
    assert not _is_pre_vote_granted(node, 1_500.0)
    assert _is_pre_vote_granted(node, 1_700.0)


def test_votes_of_a_term_with_another_leader_do_not_count() -> None:
    """Guards against two leaders of a term, one by votes that come late."""
    node = _node(Vote(_TERM, ""))
    effects = _start_election(node)
    node.on_storage_done(1_000.0, _last_sequence(effects))
    append = _append(_TERM + 1)
    node.on_message(1_100.0, Peer("s2", "s2"), append)
    for voter in (1, 2):
        _grant(node, _TERM + 1, voter)
    assert not node.is_leader


@pytest.mark.parametrize(("n_failed", "factor"), [(0, 1), (1, 2), (2, 4), (9, 4)])
def test_failed_elections_wait_longer_for_votes(n_failed: int, factor: int) -> None:
    """Guards against candidates whose crossing messages split the votes for ever."""
    timer = ElectionTimer(OPTIONS, Random(1), 0.0, 0.0)
    for _ in range(n_failed):
        timer.on_election_failed()
    timer.wait_for_votes(10_000.0, is_restarting=False)
    wait_ms = timer.deadline_ms - 10_000.0
    assert factor * OPTIONS.election_min_ms <= wait_ms
    assert wait_ms <= factor * OPTIONS.election_max_ms
    timer.on_leader_contact(20_000.0)
    timer.wait_for_votes(20_000.0, is_restarting=False)
    assert timer.deadline_ms <= 20_000.0 + OPTIONS.election_max_ms


def _messages(effects: list[ControlEffect]) -> list[Any]:
    return [effect.message for effect in effects if isinstance(effect, SendMessage)]


class _GroupWithHangingDisk(SlowDiskGroup):
    """Group of which one node writes nothing any more."""

    hanging = ""

    def _write_next(self, node: ConsensusNode) -> None:
        if node.node != self.hanging:
            super()._write_next(node)


def test_a_leader_may_be_lost_in_time_after_the_disk_of_a_voter_hangs() -> None:
    """Guards against a voter that cannot write and counts although a learner is ready."""
    group = _GroupWithHangingDisk(["s1", "s2", "s3", "s4", "s5"], 0, sync_ms=1.0)
    assert group.run_until(lambda: group.leader is not None, 8_000.0) is not None
    group.run_until(lambda: False, 3_000.0)
    leader = group.leader
    assert leader is not None
    group.hanging = next(m.node for m in leader.voters if m.node != leader.node)
    for _ in range(40):
        assert group.leader is not None
        group.propose(group.leader, b"x")
        group.run_until(lambda: False, 100.0)
    del group.nodes[group.leader.node]
    assert group.run_until(lambda: group.leader is not None, 8_000.0) is not None


def test_a_leader_whose_disk_hangs_is_replaced() -> None:
    """Guards against a group that commits nothing after the loss of one follower."""
    group = _GroupWithHangingDisk(["s1", "s2", "s3", "s4", "s5"], 0, sync_ms=1.0)
    assert group.run_until(lambda: group.leader is not None, 8_000.0) is not None
    leader = group.leader
    assert leader is not None
    group.hanging = leader.node
    for _ in range(80):
        if group.leader is not None:
            group.propose(group.leader, b"x")
        group.run_until(lambda: False, 100.0)
    assert group.leader is not None and group.leader.node != group.hanging
