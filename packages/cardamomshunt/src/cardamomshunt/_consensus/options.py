"""Options and restored state of the replicated log of a control node."""

import enum
from dataclasses import dataclass, field

from cardamomshunt._consensus.formation_messages import FormationRecord
from cardamomshunt._consensus.log_bounds import LogBoundOptions
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
    log_bounds: LogBoundOptions = field(default_factory=LogBoundOptions)
    n_entries_behind_max: int = 10
    bytes_behind_max: int = 262_144
    # Lets nodes that are not members join by themselves. Only `n_voters` of the members
    # vote: an odd number, so that one side of a partitioned group has a majority. The
    # others are learners that replace a voter unresponsive for `retire_after_ms`, or for
    # `first_answer_ms` if it has never answered the present leader.
    admits_unknown_nodes: bool = False
    # A majority of the seeds forms the first group. For deployments whose nodes know
    # whether their disk is that of the first start; elsewhere it takes all seeds.
    forms_with_majority: bool = False
    n_voters: int = 3
    retire_after_ms: float = 2_500.0
    first_answer_ms: float = 1_300.0


@dataclass(slots=True)
class RestoredState:
    """State read from disk at startup."""

    incarnation: int
    vote: Vote = field(default_factory=Vote)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    # None on a disk that has not taken part in the formation of a group.
    formation: FormationRecord | None = None
