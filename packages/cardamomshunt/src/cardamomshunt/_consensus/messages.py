"""Messages and records of the replicated log of the control nodes."""

import enum

import msgspec

from cardamomshunt._shared.messages import Message


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Control node in the group; `incarnation` identifies its disk.

    A node with an empty disk has a new incarnation, so that its votes and
    acknowledgements never count as those of the disk that was lost. It is 0 for a node
    that has not reported yet.
    """

    node: str
    zone: str
    peer_address: str
    operator_address: str
    incarnation: int = 0
    is_voter: bool = True


class EntryKind(enum.Enum):
    """Kind of payload of a log entry."""

    COMMAND = "c"
    MEMBERS = "m"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the candidate that received this node's vote in it."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Replicated state after the entry at `index`."""

    index: int = 0
    term: int = 0
    members: list[Member] = []
    state: bytes = b""

    def encode(self) -> bytes:
        """Encode the snapshot for disk and for transfer."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Snapshot":
        """Decode a snapshot; raise DecodeError or ValidationError of msgspec."""
        return msgspec.msgpack.decode(data, type=cls)


class Peer(msgspec.Struct, frozen=True):
    """Sender of a message, with its address for replies."""

    node: str
    address: str


class ConsensusMessage(Message, kw_only=True):
    """Base class of the messages of the replicated log."""

    term: int
    incarnation: int


class PreVoteRequest(ConsensusMessage, kw_only=True):
    """Ask whether an election in `term` could be won, without starting it."""

    voter_incarnation: int
    last_index: int
    last_term: int


class PreVoteReply(ConsensusMessage, kw_only=True):
    """Reply to a pre-vote for `term`; `current_term` is the term of the voter."""

    current_term: int
    is_granted: bool


class VoteRequest(ConsensusMessage, kw_only=True):
    """Ask for a vote; with `is_transfer` the old leader has given up its lease.

    Only the disk with `voter_incarnation` may grant it: a node whose disk was replaced
    may already have voted in this term without a record of it.
    """

    voter_incarnation: int
    last_index: int
    last_term: int
    is_transfer: bool = False


class VoteReply(ConsensusMessage, kw_only=True):
    """Reply to a vote request, sent once the vote is durable."""

    is_granted: bool


class AppendEntries(ConsensusMessage, kw_only=True):
    """Replicate the entries after `prev_index`; without entries, a heartbeat."""

    prev_index: int
    prev_term: int
    commit_index: int
    sent_ms: float
    entries: list[Entry] = []


class AppendReply(ConsensusMessage, kw_only=True):
    """Reply to AppendEntries, with what is durable.

    If `is_success`, the log matches the leader's up to `match_index`. Otherwise the
    leader continues after `match_index`, unless it has moved on from `prev_index`. While
    the disk still writes, a reply without `is_complete` confirms the contact alone; the
    complete one follows.
    """

    is_success: bool
    prev_index: int
    match_index: int
    sent_ms: float
    is_complete: bool = True


class SnapshotChunk(ConsensusMessage, kw_only=True):
    """Chunk of an encoded snapshot."""

    snapshot_index: int
    snapshot_term: int
    offset: int
    size_bytes: int
    data: bytes
    sent_ms: float


class SnapshotReply(ConsensusMessage, kw_only=True):
    """Ask for the chunk of a snapshot at `next_offset`."""

    snapshot_index: int
    next_offset: int
    sent_ms: float


class TimeoutNow(ConsensusMessage, kw_only=True):
    """Ask a caught-up follower to start an election at once."""


class JoinHello(ConsensusMessage, kw_only=True):
    """Announce a node that, as far as it knows, is not a member of the group.

    `operator_address` is empty where unknown nodes are not admitted.
    """

    node: str
    operator_address: str = ""


class JoinReply(ConsensusMessage, kw_only=True):
    """Reply to JoinHello with the members, as far as the sender knows them."""

    is_formed: bool
    members: list[Member] = []
