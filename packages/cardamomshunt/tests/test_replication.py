"""What a leader sends to its followers: nothing twice, and no more than the log holds."""

from collections import Counter

import pytest
from cardamomshunt._consensus.log_bounds import LogBounds, entry_bytes
from cardamomshunt.consensus import (
    AppendEntries,
    ConsensusNode,
    ConsensusOptions,
    EntryKind,
    SnapshotChunk,
)
from cardamomshunt.control import ControlEffect, SendMessage
from consensus_cluster import DelayedCluster

_OPTIONS = ConsensusOptions(
    admits_unknown_nodes=True, election_min_ms=400.0, election_max_ms=650.0
)
_DOCUMENT_BYTES = 262_000
# Time by which a machine with an empty disk has to count again.
_CATCH_UP_MS = 4_000.0


class _DocumentCluster(DelayedCluster):
    """Nodes whose state is the newest document, on links of a limited rate."""

    def __init__(self, names: list[str], rate_bytes_per_ms: float) -> None:
        super().__init__(names, _OPTIONS)
        self.rate_bytes_per_ms = rate_bytes_per_ms
        self.sent_bytes: Counter[str] = Counter()
        self.n_sent_entries: Counter[tuple[str, int]] = Counter()
        self.n_heartbeats_with_entries = 0
        self.dropped_chunks: set[int] = set()
        self.documents: dict[str, bytes] = {}
        self._idle_at_ms: dict[tuple[str, str, bool], float] = {}
        self._n_chunks = 0

    def run(self, name: str, effects: list[ControlEffect]) -> None:
        super().run(name, [item for item in effects if not self._is_dropped(item)])
        self._apply(self.nodes[name])

    def _is_dropped(self, effect: ControlEffect) -> bool:
        if not isinstance(effect, SendMessage):
            return False
        message = effect.message
        if isinstance(message, SnapshotChunk):
            self.sent_bytes[effect.address] += len(message.data)
            self._n_chunks += 1
            return self._n_chunks in self.dropped_chunks
        if isinstance(message, AppendEntries):
            for entry in message.entries:
                self.sent_bytes[effect.address] += entry_bytes(entry)
                self.n_sent_entries[effect.address, entry.index] += 1
        return False

    def _apply(self, node: ConsensusNode) -> None:
        index = 0
        for item in node.pop_ready():
            index = item.index
            if getattr(item, "kind", None) is EntryKind.COMMAND:
                self.documents[node.node] = item.payload
            elif not hasattr(item, "kind"):
                self.documents[node.node] = item.state
        if index and node.is_snapshot_due(index):
            node.compact(self.documents.get(node.node, b""), index)
            super().run(node.node, node.pop_effects())

    def delay_of(self, sender: str, effect: SendMessage) -> float:
        """Return the time on the link, behind earlier messages of its connection."""
        size_bytes = 200.0
        if isinstance(effect.message, SnapshotChunk):
            size_bytes += len(effect.message.data)
        elif isinstance(effect.message, AppendEntries):
            size_bytes += sum(map(entry_bytes, effect.message.entries))
        connection = (sender, effect.address, effect.is_bulk)
        start_ms = max(self.now_ms, self._idle_at_ms.get(connection, 0.0))
        end_ms = start_ms + size_bytes / self.rate_bytes_per_ms
        self._idle_at_ms[connection] = end_ms
        return end_ms - self.now_ms + super().delay_of(sender, effect)

    def change(self, n_changes: int, interval_ms: float) -> None:
        for number in range(n_changes):
            leader = self.leader
            document = number.to_bytes(4, "big") + bytes(_DOCUMENT_BYTES - 4)
            assert leader.propose(self.now_ms, document) is not None
            self.run(leader.node, leader.pop_effects())
            self.pass_time(interval_ms)


def _cluster(rate_bytes_per_ms: float = 125_000.0) -> _DocumentCluster:
    cluster = _DocumentCluster(["s1", "s2", "s3"], rate_bytes_per_ms)
    cluster.pass_time(2_000.0)
    return cluster


def _replace_disk(cluster: _DocumentCluster) -> str:
    """Give a follower an empty disk; return its name."""
    lost = next(name for name in sorted(cluster.up) if name != cluster.leader.node)
    cluster.documents.pop(lost, None)
    cluster.sent_bytes.clear()
    cluster.add(lost, ["s1", "s2", "s3"], may_form=False)
    return lost


@pytest.mark.parametrize("rate_bytes_per_ms", [1_250.0, 125_000.0])
def test_an_empty_node_votes_in_time_after_many_large_changes(rate_bytes_per_ms):
    """Guards against a second lost disk that comes before the first is made good."""
    cluster = _cluster(rate_bytes_per_ms)
    cluster.change(100, _DOCUMENT_BYTES / rate_bytes_per_ms + 20.0)
    lost = _replace_disk(cluster)
    cluster.pass_time(_CATCH_UP_MS)
    assert cluster.leader.member(lost, cluster.nodes[lost].incarnation).is_voter
    assert cluster.documents[lost] == cluster.documents[cluster.leader.node]
    bound_bytes = LogBounds().stored_bytes_max(_DOCUMENT_BYTES, _DOCUMENT_BYTES)
    assert cluster.sent_bytes[lost] <= bound_bytes


def test_nothing_is_sent_twice_while_it_is_on_its_way():
    """Guards against a slow link that gets the same large entries at each heartbeat."""
    cluster = _cluster(rate_bytes_per_ms=1_250.0)
    cluster.change(5, 100.0)
    cluster.pass_time(4_000.0)
    assert set(cluster.n_sent_entries.values()) == {1}


def test_large_entries_do_not_cost_the_leader_its_lease():
    """Guards against heartbeats that wait behind a large entry on a slow link."""
    cluster = _cluster(rate_bytes_per_ms=250.0)
    leader = cluster.leader
    cluster.change(5, 100.0)
    for _ in range(50):
        cluster.pass_time(100.0)
        assert leader.is_leader
        assert leader.has_lease(cluster.now_ms)


def test_a_learner_that_needs_a_snapshot_is_no_voter():
    """Guards against a vote of a node that lacks entries that are no longer kept."""
    cluster = _cluster()
    cluster.change(8, 50.0)
    lost = _replace_disk(cluster)
    # The learner answers heartbeats, and the snapshot does not reach it.
    cluster.dropped_chunks = set(range(1, 1_000))
    for _ in range(40):
        cluster.pass_time(50.0)
        leader = cluster.leader
        member = leader.member(lost, cluster.nodes[lost].incarnation)
        lacks_entries = leader.match_index(lost) < leader.log.base_index
        assert not (lacks_entries and member is not None and member.is_voter)


def test_uncommitted_entries_do_not_call_for_a_snapshot():
    """Guards against a snapshot after each entry while many wait for a majority."""
    cluster = _cluster()
    leader = cluster.leader
    applied_index = leader.commit_index
    cluster.up = {leader.node}
    for _ in range(20):
        assert leader.propose(cluster.now_ms, bytes(_DOCUMENT_BYTES)) is not None
    assert leader.commit_index == applied_index
    assert not leader.is_snapshot_due(applied_index)
    assert leader.is_snapshot_due(leader.log.last_index)


@pytest.mark.parametrize("dropped", [{1}, {3}, {1, 2, 3, 4, 5}])
def test_a_copy_resumes_after_a_break(dropped):
    """Guards against a copy that a lost chunk ends, or that begins again with each."""
    cluster = _cluster()
    cluster.change(50, 25.0)
    cluster.dropped_chunks = dropped
    lost = _replace_disk(cluster)
    cluster.pass_time(_CATCH_UP_MS)
    assert cluster.documents[lost] == cluster.documents[cluster.leader.node]


def test_a_copy_ends_while_changes_go_on():
    """Guards against a copy that each newer snapshot begins again."""
    cluster = _cluster(rate_bytes_per_ms=2_500.0)
    cluster.change(20, 150.0)
    lost = _replace_disk(cluster)
    cluster.change(40, 150.0)
    assert cluster.leader.member(lost, cluster.nodes[lost].incarnation).is_voter
