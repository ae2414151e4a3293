"""Single-member changes of the members of a replicated log."""

import msgspec

from cardamomshunt._consensus.messages import JoinHello, Member, Peer


def is_single_change(old: list[Member], new: list[Member]) -> bool:
    """Return whether the member lists differ in at most one voter."""
    old_voters = {(m.node, m.incarnation) for m in old if m.is_voter}
    new_voters = {(m.node, m.incarnation) for m in new if m.is_voter}
    return len(old_voters ^ new_voters) <= 1


def with_learner(members: list[Member], sender: Peer, hello: JoinHello) -> list[Member]:
    """Return the members with the announced node as a learner.

    A member that returns with an empty disk becomes a learner again.
    """
    known = next((item for item in members if item.node == hello.node), None)
    if known is None:
        learner = Member(
            node=hello.node,
            zone="",
            peer_address=sender.address,
            operator_address=hello.operator_address,
            incarnation=hello.incarnation,
            is_voter=False,
        )
        return [*members, learner]
    learner = msgspec.structs.replace(
        known, incarnation=hello.incarnation, is_voter=False
    )
    return [learner if item is known else item for item in members]


def with_voter_status(
    members: list[Member], node: str, *, is_voter: bool
) -> list[Member]:
    """Return the members with a node made a voter or a learner."""
    return [
        msgspec.structs.replace(item, is_voter=is_voter) if item.node == node else item
        for item in members
    ]


def without_member(members: list[Member], node: str) -> list[Member]:
    """Return the members without a node."""
    return [item for item in members if item.node != node]


def with_incarnation(
    members: list[Member], incarnations: dict[str, int]
) -> list[Member]:
    """Return the members with incarnations replaced, by node."""
    return [
        msgspec.structs.replace(item, incarnation=incarnations[item.node])
        if item.node in incarnations
        else item
        for item in members
    ]
