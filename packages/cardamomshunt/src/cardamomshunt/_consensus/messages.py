"""Messages and records of the replicated log of the control nodes."""

import enum

import msgspec

from cardamomshunt._shared.messages import Message


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a control node; `incarnation` names the life of its disk.

    A node with a fresh disk has a new incarnation, so that its votes and
    acknowledgements never count as those of the disk that was lost. 0 stands for a
    node that has not reported yet.
    """

    node: str
    zone: str
    peer_address: str
    operator_address: str
    incarnation: int = 0
    is_voter: bool = True


class EntryKind(enum.Enum):
    """Name what an entry carries."""

    COMMAND = "c"
    MEMBERS = "m"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Hold the durable term and the candidate that got this node's vote in it."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the replicated state after the entry at `index`."""

    index: int = 0
    term: int = 0
    members: list[Member] = []
    state: bytes = b""

    def encode(self) -> bytes:
        """Encode for disk and for transfer."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Snapshot":
        """Decode; raise msgspec.DecodeError or ValidationError if malformed."""
        return msgspec.msgpack.decode(data, type=cls)


class Peer(msgspec.Struct, frozen=True):
    """Name the sender of a message and the address for replies."""

    node: str
    address: str


class ConsensusMessage(Message, kw_only=True):
    """Base of the messages of the replicated log."""

    term: int
    incarnation: int


class PreVoteRequest(ConsensusMessage, kw_only=True):
    """Ask whether an election of `term` could win, without starting it."""

    voter_incarnation: int
    last_index: int
    last_term: int


class PreVoteReply(ConsensusMessage, kw_only=True):
    """Answer a pre-vote of `term`; `current_term` is the voter's own."""

    current_term: int
    is_granted: bool


class VoteRequest(ConsensusMessage, kw_only=True):
    """Ask for a vote; with `is_transfer` the old leader has given up its lease.

    `voter_incarnation` names the disk whose vote counts. A node with another disk may
    have voted before without knowing it.
    """

    voter_incarnation: int
    last_index: int
    last_term: int
    is_transfer: bool = False


class VoteReply(ConsensusMessage, kw_only=True):
    """Answer a vote request; sent after the vote is on disk."""

    is_granted: bool


class AppendEntries(ConsensusMessage, kw_only=True):
    """Carry entries after `prev_index`, or none as a heartbeat."""

    prev_index: int
    prev_term: int
    commit_index: int
    sent_ms: float
    entries: list[Entry] = []


class AppendReply(ConsensusMessage, kw_only=True):
    """Answer AppendEntries after the entries are on disk.

    If `is_success`, the log equals the leader's up to `match_index`. Otherwise the
    leader continues at `match_index`, if `prev_index` is still where it stands.
    """

    is_success: bool
    prev_index: int
    match_index: int
    sent_ms: float


class SnapshotChunk(ConsensusMessage, kw_only=True):
    """Carry a part of an encoded snapshot."""

    snapshot_index: int
    snapshot_term: int
    offset: int
    size_bytes: int
    data: bytes
    sent_ms: float


class SnapshotReply(ConsensusMessage, kw_only=True):
    """Ask for the part of a snapshot at `next_offset`."""

    snapshot_index: int
    next_offset: int
    sent_ms: float


class TimeoutNow(ConsensusMessage, kw_only=True):
    """Tell a caught-up follower to start an election at once."""


class JoinHello(ConsensusMessage, kw_only=True):
    """Announce a node that no leader counts as a member, as far as it knows.

    `operator_address` is empty where unknown nodes are not admitted.
    """

    node: str
    operator_address: str = ""


class JoinReply(ConsensusMessage, kw_only=True):
    """Answer JoinHello with the members, if the sender knows them."""

    is_formed: bool
    members: list[Member] = []
