"""Agreement of the seeds on the first members of their group, at one node."""

from dataclasses import dataclass
from random import Random

from cardamomshunt._consensus.formation_acceptor import FormationAcceptor
from cardamomshunt._consensus.formation_messages import (
    FormationAccept,
    FormationAccepted,
    FormationMessage,
    FormationPrepare,
    FormationPromise,
    FormationRecord,
)
from cardamomshunt._consensus.formation_proposer import FormationProposer
from cardamomshunt._consensus.messages import Member


@dataclass(slots=True)
class FormationStep:
    """What follows from a message.

    `reply` goes to its sender once the record is durable, `proposal` to all seeds.
    `members` are the first members of the group, once they are agreed on.
    """

    reply: FormationMessage | None = None
    proposal: FormationMessage | None = None
    members: list[Member] | None = None


class GroupFormation:
    """Accept proposals, and make them, while this node has an empty log."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        seeds: list[Member],
        record: FormationRecord,
        random: Random,
        now_ms: float,
        n_required: int,
    ) -> None:
        self._acceptor = FormationAcceptor(incarnation, record)
        self._proposer = FormationProposer(
            node, incarnation, seeds, random, now_ms, n_required
        )

    @property
    def record(self) -> FormationRecord:
        """Return what has to be durable before a reply is sent."""
        return self._acceptor.record

    def on_empty_seed(self, node: str, incarnation: int) -> None:
        """Record that a disk of a node has reported an empty log."""
        self._proposer.on_empty_seed(node, incarnation)

    def tick(self, now_ms: float) -> FormationMessage | None:
        """Return the message that is due to all seeds, this node included."""
        return self._proposer.tick(now_ms)

    def on_message(
        self, now_ms: float, sender: str, message: FormationMessage
    ) -> FormationStep:
        """Handle a message of another seed, or of this node itself."""
        step = FormationStep()
        match message:
            case FormationPrepare():
                step.reply = self._acceptor.on_prepare(message)
            case FormationAccept():
                step.reply = self._acceptor.on_accept(message)
            case FormationPromise():
                self._proposer.on_promise(now_ms, sender, message)
                step.proposal = self._proposer.tick(now_ms)
            case FormationAccepted():
                step.members = self._proposer.on_accepted(now_ms, sender, message)
        return step
