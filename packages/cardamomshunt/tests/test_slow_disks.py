"""Control nodes whose disks are slow or stall elect and keep a leader."""

from random import Random

import pytest
from cardamomshunt.consensus import (
    AppendEntries,
    AppendReply,
    ConsensusNode,
    ConsensusRole,
    Entry,
    EntryKind,
    Peer,
    PreVoteReply,
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
    append = AppendEntries(
        term=_TERM,
        incarnation=2,
        prev_index=1,
        prev_term=_TERM,
        commit_index=0,
        sent_ms=0.0,
        entries=[Entry(2, _TERM, EntryKind.COMMAND, b"y")],
    )
    node.on_message(0.0, Peer("s2", "s2"), append)
    effects = _start_election(node)
    assert not [m for m in _messages(effects) if isinstance(m, VoteRequest)]
    done = node.on_storage_done(2_000.0, _last_sequence(effects))
    assert [m for m in _messages(done) if isinstance(m, VoteRequest)]


def test_a_contact_is_confirmed_without_what_is_not_durable() -> None:
    """Guards against an acknowledged entry that a follower loses in a crash."""
    node = _node(Vote(_TERM, ""))
    append = AppendEntries(
        term=_TERM,
        incarnation=2,
        prev_index=1,
        prev_term=_TERM,
        commit_index=0,
        sent_ms=5.0,
        entries=[Entry(2, _TERM, EntryKind.COMMAND, b"y")],
    )
    effects = node.on_message(0.0, Peer("s2", "s2"), append)
    done = node.on_storage_done(9.0, _last_sequence(effects))
    replies = [m for m in _messages(effects + done) if isinstance(m, AppendReply)]
    found = [(m.is_complete, m.match_index, m.sent_ms) for m in replies]
    assert found == [(False, 1, 5.0), (True, 2, 5.0)]


def _messages(effects: list[ControlEffect]) -> list[object]:
    return [effect.message for effect in effects if isinstance(effect, SendMessage)]
