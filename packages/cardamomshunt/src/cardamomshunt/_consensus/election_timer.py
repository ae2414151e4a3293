"""Times at which a node asks for votes, and until which a leader may be live."""

from random import Random

from cardamomshunt._consensus.options import ConsensusOptions

_N_DOUBLINGS_MAX = 2


class ElectionTimer:
    """Time the pre-votes and elections of one node.

    `contact_ms` is the time of the last contact with a leader. A restart loses it, so
    one is assumed at the latest time possible: `assumed_contact_ms`.
    """

    __slots__ = (
        "_assumed_contact_ms",
        "_n_failed_elections",
        "_options",
        "_random",
        "_started_ms",
        "contact_ms",
        "deadline_ms",
    )

    def __init__(
        self,
        options: ConsensusOptions,
        random: Random,
        started_ms: float,
        assumed_contact_ms: float,
    ) -> None:
        self._options = options
        self._random = random
        self._started_ms = started_ms
        self._assumed_contact_ms = assumed_contact_ms
        self._n_failed_elections = 0
        self.contact_ms = assumed_contact_ms
        self.deadline_ms = 0.0

    def has_live_leader(self, now_ms: float) -> bool:
        """Return whether the last leader may still hold its lease."""
        return now_ms < self.contact_ms + self._options.election_min_ms

    def is_restarting(self, now_ms: float) -> bool:
        """Return whether this node, and maybe all nodes, started a short time ago."""
        return (
            self._options.restart_pre_vote_ms > 0.0
            and self.contact_ms == self._assumed_contact_ms
            and now_ms < self._started_ms + self._options.restart_period_ms
        )

    def on_leader_contact(self, now_ms: float) -> None:
        """Record a contact with a leader, and wait for the next one."""
        self.contact_ms = now_ms
        self._n_failed_elections = 0
        self.wait_for_leader(now_ms)

    def on_election_failed(self) -> None:
        """Wait longer for votes from now on, until there is a leader.

        Candidates whose messages cross would otherwise split the votes again.
        """
        self._n_failed_elections += 1

    def wait_for_leader(self, now_ms: float) -> None:
        """Begin a pre-vote if no leader is heard of for a random election timeout."""
        self.deadline_ms = now_ms + self._election_timeout_ms()

    def wait_for_votes(self, now_ms: float, *, is_restarting: bool) -> None:
        """Begin a pre-vote if this node does not win its election in time."""
        pause_ms = self._election_timeout_ms()
        if is_restarting:
            factor = self._random.uniform(3.0, 5.0)
            pause_ms = self._options.restart_pre_vote_ms * factor
        n_doublings = min(self._n_failed_elections, _N_DOUBLINGS_MAX)
        self.deadline_ms = now_ms + pause_ms * 2**n_doublings

    def wait_for_restarts(self, now_ms: float, voter_rank: int) -> None:
        """Schedule the next pre-vote soon, as all nodes may be restarting.

        Each node refuses pre-votes for `election_min_ms` after its own start, so those
        of the node that starts first are refused until a majority has run for as long.
        Nodes that start at once begin one after another, as votes would be split.
        """
        earliest_ms = self._assumed_contact_ms + self._options.election_min_ms
        n_pauses = self._random.uniform(0.5, 1.0)
        if now_ms <= max(earliest_ms, self._started_ms):
            n_pauses = 0.5 * voter_rank + self._random.uniform(0.0, 0.25)
        pause_ms = self._options.restart_pre_vote_ms * n_pauses
        self.deadline_ms = max(now_ms, earliest_ms) + pause_ms

    def postpone_pre_vote(self, now_ms: float) -> None:
        """Leave time for the election of another node, which probably begins now."""
        pause_ms = 2.0 * self._options.restart_pre_vote_ms
        self.deadline_ms = max(self.deadline_ms, now_ms + pause_ms)

    def _election_timeout_ms(self) -> float:
        return self._random.uniform(
            self._options.election_min_ms, self._options.election_max_ms
        )
