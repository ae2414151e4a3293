"""Early answers of followers confirm nothing that a crash could lose."""

from random import Random

from cardamomshunt.consensus import (
    AppendEntries,
    AppendReply,
    ConsensusNode,
    Entry,
    EntryKind,
    Peer,
    RestoredState,
    Snapshot,
    SnapshotChunk,
    Vote,
)
from cardamomshunt.control import ControlEffect, PersistEffect, SendMessage
from slow_disk_group import OPTIONS, make_members

_MEMBERS = make_members(["s1", "s2", "s3"])


def _replies(effects: list[ControlEffect]) -> list[AppendReply]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.message, AppendReply)
    ]


def _uncommitted_entries() -> list[Entry]:
    """Return entries of which 2 to 8 were never committed, as the next leader differs."""
    return [Entry(i, 7 if i > 1 else 1, EntryKind.COMMAND, b"y") for i in range(1, 9)]


def _follower() -> ConsensusNode:
    restored = RestoredState(
        1, Vote(7, ""), Snapshot(members=_MEMBERS), _uncommitted_entries()
    )
    return ConsensusNode("s1", _MEMBERS, restored, Random(1), 0.0, OPTIONS)


def _chunk() -> SnapshotChunk:
    data = Snapshot(index=5, term=6, members=_MEMBERS, state=b"x").encode()
    return SnapshotChunk(
        term=8,
        incarnation=2,
        snapshot_index=5,
        snapshot_term=6,
        offset=0,
        size_bytes=len(data),
        data=data,
        sent_ms=5.0,
    )


def test_a_contact_does_not_confirm_a_snapshot_that_replaces_the_log() -> None:
    """Guards against a leader that continues after a snapshot lost in a crash."""
    node = _follower()
    effects = node.on_message(2_000.0, Peer("s2", "s2"), _chunk())
    assert any(isinstance(effect, PersistEffect) for effect in effects)
    contact = _replies(effects)[0]
    assert not contact.is_complete
    # Entry 5 on the disk has term 7, and the snapshot is not written.
    assert contact.match_index < 5


def test_a_follower_that_lost_a_snapshot_in_a_crash_catches_up() -> None:
    """Guards against a follower that no leader can bring up to date in its term."""
    leader = ConsensusNode(
        "s2",
        _MEMBERS,
        RestoredState(
            2,
            Vote(8, "s2/2"),
            Snapshot(index=5, term=6, members=_MEMBERS, state=b"x"),
            [],
        ),
        Random(2),
        0.0,
        OPTIONS,
    )
    leader._become_leader(2_000.0)
    leader.pop_effects()
    follower = _follower()

    def exchange(now_ms: float, *, is_durable: bool) -> None:
        pending = [("s2", e) for e in leader.tick(now_ms)]
        n_effects = 0
        while pending:
            n_effects += 1
            assert n_effects < 1_000, "the leader repeats the same message at once"
            sender, effect = pending.pop(0)
            if isinstance(effect, PersistEffect):
                node = leader if sender == "s2" else follower
                if sender == "s2" or is_durable:
                    pending += [
                        (sender, e)
                        for e in node.on_storage_done(now_ms, effect.sequence)
                    ]
            elif isinstance(effect, SendMessage) and effect.address in ("s1", "s2"):
                node = leader if effect.address == "s2" else follower
                peer = Peer(sender, sender)
                pending += [
                    (effect.address, e)
                    for e in node.on_message(now_ms, peer, effect.message)
                ]

    now_ms = 2_000.0
    while follower.log.snapshot.index < 5 and now_ms < 4_000.0:
        now_ms += 50.0
        exchange(now_ms, is_durable=False)
    assert follower.log.snapshot.index == 5
    # The follower crashes before its snapshot is written, and starts again.
    follower = _follower()
    for _ in range(200):
        now_ms += 50.0
        exchange(now_ms, is_durable=True)
    assert leader.is_leader
    assert leader.term == 8
    assert follower.log.snapshot.index == 5
    assert leader.match_index("s1") == leader.log.last_index


def test_a_contact_does_not_confirm_entries_that_replace_durable_ones() -> None:
    """Guards against a commit of entries that were written over durable ones."""
    node = _follower()
    append = AppendEntries(
        term=8,
        incarnation=2,
        prev_index=1,
        prev_term=1,
        commit_index=1,
        sent_ms=5.0,
        entries=[Entry(i, 8, EntryKind.COMMAND, b"z") for i in range(2, 7)],
    )
    contact = _replies(node.on_message(2_000.0, Peer("s2", "s2"), append))[0]
    assert not contact.is_complete
    assert contact.match_index == 1
