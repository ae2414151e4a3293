"""Tests of the choice of the next change of the members."""

import pytest
from cardamomshunt._consensus.member_choice import (
    ChangeKind,
    MemberChange,
    MemberState,
    choose_change,
)


def _state(node: str, flags: str) -> MemberState:
    """Return a member: v voter, a has answered, u unresponsive, c caught up, s stalled."""
    return MemberState(
        node=node,
        is_voter="v" in flags,
        has_answered="a" in flags,
        is_unresponsive="u" in flags,
        is_caught_up="c" in flags,
        is_stalled="s" in flags,
    )


@pytest.mark.parametrize(
    ("members", "n_extra", "kind", "node"),
    [
        # All is well, or nothing may be done about it.
        ("b=vac c=vac", 0, None, ""),
        ("b=vac c=vu", 0, None, ""),
        ("b=vac c=vac d=ac", 0, None, ""),
        # A lost voter leaves once a learner may vote, which fills the gap.
        ("b=vac c=vu d=ac", 0, ChangeKind.REMOVE, "c"),
        ("b=vac c=vu d=acu", 0, ChangeKind.REMOVE, "d"),
        ("b=vac c=vac d=vu e=vu f=ac", 0, ChangeKind.REMOVE, "d"),
        ("b=vac c=vac e=vu f=ac", -1, ChangeKind.PROMOTE, "f"),
        ("b=vac c=vac e=vu", -1, None, ""),
        ("b=vac d=ac", -1, ChangeKind.PROMOTE, "d"),
        ("b=vac d=a e=ac", -1, ChangeKind.PROMOTE, "e"),
        ("b=vac d=c", -1, None, ""),
        ("b=vac d=", -1, None, ""),
        ("b=vac c=vu d=", 0, None, ""),
        # A surplus voter leaves, a lost one first.
        ("b=vac c=vu d=vac", 1, ChangeKind.REMOVE, "c"),
        ("b=vac c=vac d=vac", 1, ChangeKind.DEMOTE, "d"),
        ("b=vac c=v d=vac", 1, None, ""),
        # A stalled voter is replaced, after one that does not answer at all; a stalled
        # learner stays, without a vote.
        ("b=vacs c=vac d=ac", 0, ChangeKind.REMOVE, "b"),
        ("b=vacs c=vu d=ac", 0, ChangeKind.REMOVE, "c"),
        ("b=vacs c=vac d=vac", 1, ChangeKind.REMOVE, "b"),
        ("b=vac c=vu d=acs", 0, None, ""),
        ("b=vac d=acs", -1, None, ""),
        # A lost learner leaves.
        ("b=vac c=vac d=u", 0, ChangeKind.REMOVE, "d"),
        ("b=vac d=acu", -1, ChangeKind.REMOVE, "d"),
        ("b=vac c=vu d=u e=ac", 0, ChangeKind.REMOVE, "c"),
    ],
)
def test_one_change_is_chosen(members, n_extra, kind, node):
    # Guards against groups that replace voters which run, or by nodes that do not.
    states = [_state(*item.split("=")) for item in members.split()]
    expected = None if kind is None else MemberChange(kind, node)
    assert choose_change(states, n_extra) == expected
