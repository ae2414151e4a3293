"""Proposer of the first members of a group."""

import enum
from dataclasses import dataclass
from random import Random

from cardamomshunt._consensus.followers import NEVER_MS
from cardamomshunt._consensus.formation_messages import (
    Ballot,
    FormationAccept,
    FormationAccepted,
    FormationPrepare,
    FormationPromise,
)
from cardamomshunt._consensus.member_changes import with_incarnation
from cardamomshunt._consensus.messages import Member


@dataclass(slots=True, frozen=True)
class FormationOptions:
    """Times of a proposer.

    It waits `incomplete_wait_ms` for seeds that have not been heard, and `gather_ms` for
    promises beyond a majority. A proposal that is not accepted in time is followed by
    another one after a random part of `retry_ms`.
    """

    incomplete_wait_ms: float = 1_500.0
    gather_ms: float = 200.0
    answer_timeout_ms: float = 400.0
    retry_ms: float = 400.0


class _Phase(enum.Enum):
    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"


class FormationProposer:
    """Propose the first members once enough seeds have reported an empty log.

    The seeds are the members that a node is given at the first start of its deployment.
    Any two sets of `n_required` seeds must have one in common.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        seeds: list[Member],
        random: Random,
        now_ms: float,
        n_required: int,
        options: FormationOptions | None = None,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._seeds = seeds
        self._random = random
        self._n_required = n_required
        self._options = options or FormationOptions()
        self._started_ms = now_ms
        self._next_attempt_ms = now_ms
        self._empty_seeds = {node: incarnation}
        self._phase = _Phase.IDLE
        self._ballot = Ballot(0, node)
        self._highest_round = 0
        self._sent_ms = NEVER_MS
        self._promises: dict[str, FormationPromise] = {}
        self._accepted_by: set[str] = set()
        self._proposed: list[Member] = []

    def on_empty_seed(self, node: str, incarnation: int) -> None:
        """Record that a disk of a node has reported an empty log."""
        if self._is_seed(node):
            self._empty_seeds[node] = incarnation

    def _is_seed(self, node: str) -> bool:
        return any(seed.node == node for seed in self._seeds)

    def tick(self, now_ms: float) -> FormationPrepare | FormationAccept | None:
        """Return the message that is due to all seeds, this node included."""
        if self._phase is _Phase.PREPARING and self._has_gathered(now_ms):
            return self._propose(now_ms)
        is_late = now_ms >= self._sent_ms + self._options.answer_timeout_ms
        if self._phase is not _Phase.IDLE and is_late:
            self._give_up(now_ms)
        if self._phase is _Phase.IDLE and self._may_prepare(now_ms):
            return self._prepare(now_ms)
        return None

    def on_promise(self, now_ms: float, sender: str, message: FormationPromise) -> None:
        """Count a promise of a seed for the present ballot."""
        if not self._is_seed(sender):
            return
        self._highest_round = max(self._highest_round, message.promised.round)
        if self._phase is not _Phase.PREPARING or message.ballot != self._ballot:
            return
        if message.promised > self._ballot:
            self._give_up(now_ms)
            return
        self._promises[sender] = message
        self.on_empty_seed(sender, message.incarnation)

    def on_accepted(
        self, now_ms: float, sender: str, message: FormationAccepted
    ) -> list[Member] | None:
        """Count an acceptance; return the members once enough seeds accepted them."""
        if not self._is_seed(sender):
            return None
        self._highest_round = max(self._highest_round, message.promised.round)
        if self._phase is not _Phase.ACCEPTING or message.ballot != self._ballot:
            return None
        if message.promised > self._ballot:
            self._give_up(now_ms)
            return None
        self._accepted_by.add(sender)
        return self._proposed if len(self._accepted_by) >= self._n_required else None

    def _may_prepare(self, now_ms: float) -> bool:
        """Return whether to start; the seed with the smallest name may do so first."""
        if now_ms < self._next_attempt_ms:
            return False
        names = {seed.node for seed in self._seeds}
        if self._empty_seeds.keys() == names and min(names) == self._node:
            return True
        is_patient = now_ms < self._started_ms + self._options.incomplete_wait_ms
        return not is_patient and len(self._empty_seeds) >= self._n_required

    def _prepare(self, now_ms: float) -> FormationPrepare:
        self._phase = _Phase.PREPARING
        self._highest_round += 1
        self._ballot = Ballot(self._highest_round, self._node)
        self._promises = {}
        self._sent_ms = now_ms
        return FormationPrepare(
            term=0, incarnation=self._incarnation, ballot=self._ballot
        )

    def _has_gathered(self, now_ms: float) -> bool:
        """Return whether to propose, as no further promise is expected soon."""
        if len(self._promises) < self._n_required:
            return False
        is_complete = self._empty_seeds.keys() <= self._promises.keys()
        return is_complete or now_ms >= self._sent_ms + self._options.gather_ms

    def _propose(self, now_ms: float) -> FormationAccept:
        self._phase = _Phase.ACCEPTING
        self._accepted_by = set()
        self._proposed = self._choose_members()
        self._sent_ms = now_ms
        return FormationAccept(
            term=0,
            incarnation=self._incarnation,
            ballot=self._ballot,
            members=self._proposed,
        )

    def _choose_members(self) -> list[Member]:
        """Return the members accepted last, or else all seeds with an empty log.

        A seed whose promise is late counts too: a group without it would bear no loss.
        """
        last = max(self._promises.values(), key=lambda promise: promise.accepted)
        if last.members:
            return last.members
        present = [seed for seed in self._seeds if seed.node in self._empty_seeds]
        return with_incarnation(present, self._empty_seeds)

    def _give_up(self, now_ms: float) -> None:
        self._phase = _Phase.IDLE
        pause_ms = self._random.uniform(0.0, self._options.retry_ms)
        self._next_attempt_ms = now_ms + pause_ms
