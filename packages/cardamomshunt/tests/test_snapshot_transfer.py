"""Assembly of a snapshot from chunks that are damaged, foreign or of another leader."""

import zlib
from random import Random

import msgspec
import pytest
from cardamomshunt._consensus.snapshot_transfer import (
    SnapshotDamagedError,
    SnapshotSink,
)
from cardamomshunt.consensus import (
    AppendReply,
    ConsensusNode,
    Peer,
    RestoredState,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from cardamomshunt.control import EmitEvent, PersistSnapshot, SendMessage
from cardamomshunt.events import EventNumber
from consensus_cluster import make_members

_MEMBERS = make_members(["s1", "s2", "s3"])
_SNAPSHOT = Snapshot(index=9, term=2, members=_MEMBERS, state=b"state" * 20)
_DATA = _SNAPSHOT.encode()
_HALF = len(_DATA) // 2
_CHECKSUM = zlib.crc32(_DATA)


def _chunk(offset: int, end: int, **changes: object) -> SnapshotChunk:
    chunk = SnapshotChunk(
        term=3,
        incarnation=1,
        snapshot_index=9,
        snapshot_term=2,
        offset=offset,
        size_bytes=len(_DATA),
        checksum=_CHECKSUM,
        data=_DATA[offset:end],
        sent_ms=0.0,
    )
    return msgspec.structs.replace(chunk, **changes)


def _flip(data: bytes) -> bytes:
    return data[:-1] + bytes([data[-1] ^ 1])


_DAMAGED = {
    "a flipped bit": _chunk(_HALF, len(_DATA), data=_flip(_DATA[_HALF:])),
    "too much data": _chunk(_HALF, len(_DATA), data=_DATA[_HALF:] + b"more"),
    "a size that lies": _chunk(0, _HALF, size_bytes=_HALF, checksum=None),
    "no data": _chunk(0, 0, size_bytes=0, checksum=None),
    "no snapshot": _chunk(0, 4, size_bytes=4, data=b"\xc1\xc1\xc1\xc1", checksum=None),
    "another index": _chunk(0, len(_DATA), snapshot_index=10, checksum=None),
    "another term": _chunk(0, len(_DATA), snapshot_term=3, checksum=None),
}


@pytest.mark.parametrize("name", _DAMAGED)
def test_a_damaged_snapshot_is_not_returned(name: str) -> None:
    """Guards against a snapshot that is installed though it is not the announced one."""
    sink = SnapshotSink()
    last = _DAMAGED[name]
    if last.offset:
        sink.add(_chunk(0, _HALF))
    assert sink.add(last) >= last.size_bytes
    with pytest.raises(SnapshotDamagedError):
        sink.pop()
    assert sink.add(_chunk(0, len(_DATA))) == len(_DATA)
    assert sink.pop() == _SNAPSHOT


@pytest.mark.parametrize(
    "changes",
    [
        {"term": 4},
        {"incarnation": 2},
        {"size_bytes": len(_DATA) + 1},
        {"checksum": _CHECKSUM ^ 1},
        {"snapshot_index": 10},
        {"snapshot_term": 3},
    ],
)
def test_chunks_of_different_transfers_are_not_joined(changes: dict[str, int]) -> None:
    """Guards against parts of two encodings of one state in one snapshot."""
    sink = SnapshotSink()
    assert sink.add(_chunk(0, _HALF)) == _HALF
    assert sink.add(_chunk(_HALF, len(_DATA), **changes)) == 0


def test_a_snapshot_without_a_checksum_is_accepted() -> None:
    """Guards against a follower that an older leader cannot bring up to date."""
    sink = SnapshotSink()
    sink.add(_chunk(0, _HALF, checksum=None))
    sink.add(_chunk(_HALF, len(_DATA), checksum=None))
    assert sink.pop() == _SNAPSHOT


@pytest.mark.parametrize("name", _DAMAGED)
def test_a_node_refuses_a_damaged_snapshot_and_takes_the_next(name: str) -> None:
    """Guards against a node that stops, or answers for a log that it does not have."""
    node = ConsensusNode("s2", _MEMBERS, RestoredState(incarnation=2), Random(1), 0.0)
    leader = Peer("s1", "s1")
    last = _DAMAGED[name]
    if last.offset:
        node.on_message(1.0, leader, _chunk(0, _HALF))
    effects = node.on_message(2.0, leader, last)
    numbers = [item.number for item in effects if isinstance(item, EmitEvent)]
    assert numbers == [EventNumber.SNAPSHOT_REFUSED.value]
    assert not any(isinstance(item, PersistSnapshot) for item in effects)
    replies = [item.message for item in effects if isinstance(item, SendMessage)]
    assert not any(isinstance(item, AppendReply) for item in replies)
    assert node.commit_index == 0

    effects = node.on_message(3.0, leader, _chunk(0, _HALF))
    node.on_storage_done(3.0, 10)
    effects = node.on_message(4.0, leader, _chunk(_HALF, len(_DATA)))
    assert any(isinstance(item, PersistSnapshot) for item in effects)
    assert node.commit_index == _SNAPSHOT.index


def test_a_copy_begins_again_under_another_leader() -> None:
    """Guards against a copy that two leaders compose, each from its own encoding."""
    node = ConsensusNode("s2", _MEMBERS, RestoredState(incarnation=2), Random(1), 0.0)
    node.on_message(1.0, Peer("s1", "s1"), _chunk(0, _HALF))
    node.on_storage_done(1.0, 10)
    chunk = _chunk(_HALF, len(_DATA), term=4, incarnation=3)
    effects = node.on_message(2.0, Peer("s3", "s3"), chunk)
    effects += node.on_storage_done(2.0, 20)
    replies = [item.message for item in effects if isinstance(item, SendMessage)]
    assert [type(item) for item in replies] == [SnapshotReply]
    assert replies[0].next_offset == 0
    assert node.commit_index == 0
