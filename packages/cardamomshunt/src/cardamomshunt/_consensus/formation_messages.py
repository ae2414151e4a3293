"""Messages and stored record of the agreement on the first members of a group."""

import msgspec

from cardamomshunt._consensus.messages import ConsensusMessage, Member


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Number of a proposal; `node` distinguishes proposals of one round."""

    round: int = 0
    node: str = ""


class FormationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What an acceptor has promised and accepted; it must survive a restart."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    members: list[Member] = []


class FormationMessage(ConsensusMessage, kw_only=True):
    """Base class of the messages of the agreement; `term` has no meaning in them."""


class FormationPrepare(FormationMessage, kw_only=True):
    """Ask for the promise to accept no proposal below `ballot`."""

    ballot: Ballot


class FormationPromise(FormationMessage, kw_only=True):
    """Reply to FormationPrepare, sent once the promise is durable.

    `promised` is the highest ballot that was promised; the promise is refused if it is
    above `ballot`. `accepted` and `members` are the last accepted proposal.
    """

    ballot: Ballot
    promised: Ballot
    accepted: Ballot
    members: list[Member] = []


class FormationAccept(FormationMessage, kw_only=True):
    """Ask to accept these first members."""

    ballot: Ballot
    members: list[Member]


class FormationAccepted(FormationMessage, kw_only=True):
    """Reply to FormationAccept, sent once the acceptance is durable.

    The proposal is refused if `promised` is above `ballot`.
    """

    ballot: Ballot
    promised: Ballot
