"""Options and restored state of the replicated log of a control node."""

import enum
from dataclasses import dataclass, field

from cardamomshunt._consensus.messages import Entry, Snapshot, Vote


class ConsensusRole(enum.Enum):
    """Role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class ConsensusOptions:
    """Times and sizes of the replicated log.

    `clock_drift_max` bounds how much faster one node's clock may run than another's, as
    a fraction. For `restart_period_ms` after a start, and until it hears from a leader, a
    node with a log repeats its pre-votes at intervals of up to `restart_pre_vote_ms`.
    """

    election_min_ms: float = 300.0
    election_max_ms: float = 600.0
    heartbeat_ms: float = 100.0
    restart_pre_vote_ms: float = 0.0
    restart_period_ms: float = 2_000.0
    join_interval_ms: float = 200.0
    transfer_timeout_ms: float = 500.0
    clock_drift_max: float = 0.05
    n_entries_per_message: int = 64
    chunk_size_bytes: int = 65_536
    n_entries_kept: int = 500
    n_entries_behind_max: int = 10
    # Lets nodes that are not members join by themselves. Only `n_voters` of the members
    # vote: an odd number, so that one side of a partitioned group has a majority. The
    # others are learners that replace a voter unresponsive for `retire_after_ms`, or for
    # `first_answer_ms` if it has never answered the present leader, or one that answers
    # but has confirmed no write for `stalled_after_ms`.
    admits_unknown_nodes: bool = False
    n_voters: int = 3
    retire_after_ms: float = 2_500.0
    first_answer_ms: float = 1_300.0
    stalled_after_ms: float = 3_500.0


@dataclass(slots=True)
class RestoredState:
    """State read from disk at startup."""

    incarnation: int
    vote: Vote = field(default_factory=Vote)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
