"""Replicated log of the control nodes."""

from cardamomshunt._consensus.formation_messages import FormationRecord
from cardamomshunt._consensus.messages import (
    AppendEntries,
    AppendReply,
    ConsensusMessage,
    Entry,
    EntryKind,
    JoinHello,
    JoinReply,
    Member,
    Peer,
    PreVoteReply,
    PreVoteRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
    VoteRequest,
)
from cardamomshunt._consensus.node import ConsensusNode
from cardamomshunt._consensus.options import (
    ConsensusOptions,
    ConsensusRole,
    RestoredState,
)

__all__ = [
    "AppendEntries",
    "AppendReply",
    "ConsensusMessage",
    "ConsensusNode",
    "ConsensusOptions",
    "ConsensusRole",
    "Entry",
    "EntryKind",
    "FormationRecord",
    "JoinHello",
    "JoinReply",
    "Member",
    "Peer",
    "PreVoteReply",
    "PreVoteRequest",
    "RestoredState",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "TimeoutNow",
    "Vote",
    "VoteReply",
    "VoteRequest",
]
