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
    """Member other than the leader; `has_answered` says whether it did so this term."""

    node: str
    is_voter: bool
    has_answered: bool
    is_unresponsive: bool
    is_caught_up: bool


def choose_change(members: list[MemberState], n_extra: int) -> MemberChange | None:
    """Return the next change, or None; `n_extra` is the number of surplus voters.

    It is negative if voters are missing. An unresponsive voter is replaced only by a
    learner that has caught up, and an unresponsive learner is removed.
    """
    change = None
    has_lost_voter = any(item.is_voter and item.is_unresponsive for item in members)
    if n_extra > 0:
        change = _choose_surplus(members)
    elif n_extra < 0 or has_lost_voter:
        change = choose_promotion(members)
    return change or _choose_lost_learner(members)


def choose_promotion(members: list[MemberState]) -> MemberChange | None:
    """Return the promotion of the first learner that may vote, or None."""
    for item in members:
        may_vote = item.has_answered and item.is_caught_up and not item.is_unresponsive
        if may_vote and not item.is_voter:
            return MemberChange(ChangeKind.PROMOTE, item.node)
    return None


def _choose_surplus(members: list[MemberState]) -> MemberChange | None:
    voters = [item for item in members if item.is_voter]
    for item in voters:
        if item.is_unresponsive:
            return MemberChange(ChangeKind.REMOVE, item.node)
    if not all(item.has_answered for item in voters):
        # One of them may be lost, and the group cannot do without the others.
        return None
    return MemberChange(ChangeKind.DEMOTE, voters[-1].node)


def _choose_lost_learner(members: list[MemberState]) -> MemberChange | None:
    for item in members:
        if item.is_unresponsive and not item.is_voter:
            return MemberChange(ChangeKind.REMOVE, item.node)
    return None
