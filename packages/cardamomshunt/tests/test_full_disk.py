"""A group with full disks leads on, refuses changes, and takes them again with room."""

from random import Random

import pytest
from cardamomshunt.consensus import (
    AppendEntries,
    AppendReply,
    ConsensusNode,
    ConsensusOptions,
    Entry,
    EntryKind,
    Peer,
    RestoredState,
    Snapshot,
    SnapshotChunk,
    Vote,
)
from cardamomshunt.control import ControlEffect, PersistEffect, SendMessage
from consensus_cluster import DelayedCluster, make_members

_OPTIONS = ConsensusOptions(
    election_min_ms=400.0, election_max_ms=650.0, admits_unknown_nodes=True
)
_RETRY_MS = 500.0


class _DiskCluster(DelayedCluster):
    """Nodes whose disks refuse writes while they are full."""

    def __init__(self, names: list[str]) -> None:
        self.full: set[str] = set()
        self._unwritten: dict[str, int] = {}
        super().__init__(names, _OPTIONS)

    def run(self, name: str, effects: list[ControlEffect]) -> None:
        self.queue += [(name, e) for e in effects if isinstance(e, SendMessage)]
        sequences = [e.sequence for e in effects if isinstance(e, PersistEffect)]
        if sequences:
            self._unwritten[name] = max(sequences)
            self._write(name)

    def _write(self, name: str) -> None:
        node = self.nodes[name]
        if name in self.full:
            self.run(name, node.on_storage_full(self.now_ms, "no space left"))
            return
        sequence = self._unwritten.pop(name)
        self.run(name, node.on_storage_done(self.now_ms, sequence))

    def pass_time(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            super().pass_time(min(_RETRY_MS, end_ms - self.now_ms))
            for name in list(self._unwritten):
                self._write(name)

    def propose(self, payload: bytes) -> int | None:
        leader = self.leader
        index = leader.propose(self.now_ms, payload)
        self.run(leader.node, leader.pop_effects())
        return index


@pytest.fixture
def cluster():
    found = _DiskCluster(["s1", "s2", "s3"])
    found.pass_time(2_000.0)
    return found


def _followers(cluster: _DiskCluster) -> list[ConsensusNode]:
    return [item for item in cluster.nodes.values() if not item.is_leader]


def _assert_leads_throughout(cluster: _DiskCluster, duration_ms: float) -> None:
    for _ in range(int(duration_ms / 100.0)):
        cluster.pass_time(100.0)
        assert cluster.leader.has_lease(cluster.now_ms)


def test_full_disks_everywhere_cost_no_leader(cluster):
    """Guards against leases that end, and statements that are refused, for want of room."""
    term = cluster.leader.term
    cluster.full = set(cluster.nodes)
    assert cluster.propose(b"pending") is not None
    _assert_leads_throughout(cluster, 5_000.0)
    assert cluster.leader.term == term
    assert cluster.propose(b"refused") is None
    cluster.full = set()
    cluster.pass_time(1_000.0)
    index = cluster.propose(b"accepted")
    cluster.pass_time(500.0)
    assert index is not None
    assert cluster.leader.commit_index >= index


def test_a_leader_with_a_full_disk_hands_over(cluster):
    """Guards against changes that are refused while two nodes have room."""
    former = cluster.leader
    cluster.full = {former.node}
    cluster.propose(b"pending")
    cluster.pass_time(1_500.0)
    assert cluster.leader is not former
    index = cluster.propose(b"accepted")
    cluster.pass_time(500.0)
    assert index is not None
    assert cluster.leader.commit_index >= index


def test_disks_full_in_turn_lose_nothing(cluster):
    """Guards against a group that refuses changes for good after its last full disk."""
    for number, name in enumerate(sorted(cluster.nodes)):
        cluster.full = {name}
        cluster.propose(b"%d" % number)
        cluster.pass_time(3_000.0)
    cluster.full = set()
    cluster.pass_time(2_000.0)
    index = cluster.propose(b"last")
    cluster.pass_time(1_000.0)
    assert {node.commit_index for node in cluster.nodes.values()} == {index}


def test_a_follower_with_a_full_disk_acknowledges_nothing(cluster):
    """Guards against a commit that rests on entries which are not on disk."""
    cluster.full = {node.node for node in _followers(cluster)}
    index = cluster.propose(b"pending")
    cluster.pass_time(3_000.0)
    assert index is not None
    assert cluster.leader.commit_index < index


def test_a_voter_whose_disk_stays_full_is_replaced(cluster):
    """Guards against a voter that answers, and takes part in no commit, for good."""
    cluster.add("s4", ["s1", "s2", "s3"], may_form=False)
    cluster.pass_time(2_000.0)
    full = next(node.node for node in _followers(cluster) if node.node != "s4")
    cluster.full = {full}
    cluster.propose(b"pending")
    cluster.pass_time(6_000.0)
    assert full not in cluster.voters()
    assert "s4" in cluster.voters()


def _append_replies(effects: list[ControlEffect]) -> list[AppendReply]:
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item for item in messages if isinstance(item, AppendReply)]


def test_a_disk_that_hangs_answers_no_heartbeat():
    """Guards against a voter that is never replaced though its disk takes no write."""
    members = make_members(["s1", "s2", "s3"])
    restored = RestoredState(2, Vote(1, "s1/1"), Snapshot(members=members))
    node = ConsensusNode("s2", members, restored, Random(1), 0.0, _OPTIONS)
    leader = Peer("s1", "s1")
    entry = Entry(1, 1, EntryKind.COMMAND, b"pending")
    message = AppendEntries(
        term=1,
        incarnation=1,
        prev_index=0,
        prev_term=0,
        commit_index=0,
        sent_ms=0.0,
        entries=[entry],
    )
    assert _append_replies(node.on_message(1.0, leader, message)) == []
    message.entries = []
    assert _append_replies(node.on_message(2.0, leader, message)) == []
    assert len(_append_replies(node.on_storage_done(3.0, 1))) == 2


def test_a_snapshot_that_replaces_another_log_is_acknowledged_once_written():
    """Guards against an acknowledgement while the disk holds a log that conflicts."""
    members = make_members(["s1", "s2", "s3"])
    entries = [Entry(index, 1, EntryKind.COMMAND, b"old") for index in range(1, 13)]
    restored = RestoredState(2, Vote(1, "s3/3"), Snapshot(members=members), entries)
    node = ConsensusNode("s2", members, restored, Random(1), 0.0, _OPTIONS)
    leader = Peer("s1", "s1")
    data = Snapshot(index=9, term=2, members=members, state=b"new").encode()
    chunk = SnapshotChunk(
        term=2,
        incarnation=1,
        snapshot_index=9,
        snapshot_term=2,
        offset=0,
        size_bytes=0,
        data=b"",
        sent_ms=0.0,
    )
    # The term of the leader is durable, and the snapshot meets a full disk.
    effects = node.on_message(1.0, leader, chunk)
    sequence = max(e.sequence for e in effects if isinstance(e, PersistEffect))
    node.on_storage_done(1.0, sequence)
    chunk.size_bytes, chunk.data = len(data), data
    effects = node.on_message(2.0, leader, chunk)
    effects += node.on_storage_full(2.0, "no space left")
    effects += node.on_message(3.0, leader, chunk)
    assert _append_replies(effects) == []
    assert _append_replies(node.on_storage_done(4.0, sequence + 1)) != []
