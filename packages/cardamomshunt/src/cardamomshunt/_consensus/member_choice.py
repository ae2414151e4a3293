"""Choice of the next change of the members, from what their leader knows of them."""

import enum
from dataclasses import dataclass


class ChangeKind(enum.Enum):
    """Kind of a change of one member."""

    PROMOTE = "promote"
    DEMOTE = "demote"
    REMOVE = "remove"


@dataclass(slots=True, frozen=True)
class MemberChange:
    """Change of one member: to a voter, to a learner, or out of the group."""

    kind: ChangeKind
    node: str


@dataclass(slots=True, frozen=True)
class MemberState:
    """Member other than the leader; `has_answered` says whether it did so this term.

    A stalled member answers, but has confirmed no write for a while.
    """

    node: str
    is_voter: bool
    has_answered: bool
    is_unresponsive: bool
    is_caught_up: bool
    is_stalled: bool = False


def choose_change(members: list[MemberState], n_extra: int) -> MemberChange | None:
    """Return the next change, or None; `n_extra` is the number of surplus voters.

    It is negative if voters are missing. An unresponsive voter is removed once a learner
    may vote, which is promoted next: a leader elected between the two steps can promote
    the learner at once, but not yet tell which voter is lost.
    """
    change = None
    if n_extra > 0:
        change = _choose_surplus(members)
    elif n_extra < 0:
        change = choose_promotion(members)
    elif choose_promotion(members):
        change = _choose_lost_voter(members)
    return change or _choose_unresponsive(members, is_voter=False)


def choose_promotion(members: list[MemberState]) -> MemberChange | None:
    """Return the promotion of the first learner that may vote, or None."""
    for item in members:
        may_vote = item.has_answered and item.is_caught_up
        is_lost = item.is_unresponsive or item.is_stalled
        if may_vote and not is_lost and not item.is_voter:
            return MemberChange(ChangeKind.PROMOTE, item.node)
    return None


def _choose_surplus(members: list[MemberState]) -> MemberChange | None:
    lost = _choose_lost_voter(members)
    if lost is not None:
        return lost
    voters = [item for item in members if item.is_voter]
    if not all(item.has_answered for item in voters):
        # One of them may be lost, and the group cannot do without the others.
        return None
    return MemberChange(ChangeKind.DEMOTE, voters[-1].node)


def _choose_lost_voter(members: list[MemberState]) -> MemberChange | None:
    """Return the removal of an unresponsive voter, else of a stalled one.

    A stalled voter may only be slow, and still helps to elect a leader.
    """
    change = _choose_unresponsive(members, is_voter=True)
    if change is not None:
        return change
    for item in members:
        if item.is_voter and item.is_stalled:
            return MemberChange(ChangeKind.REMOVE, item.node)
    return None


def _choose_unresponsive(
    members: list[MemberState], *, is_voter: bool
) -> MemberChange | None:
    for item in members:
        if item.is_unresponsive and item.is_voter == is_voter:
            return MemberChange(ChangeKind.REMOVE, item.node)
    return None
