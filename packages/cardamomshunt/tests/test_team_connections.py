"""Decisions about the connections of teams, each for a load that needs it."""

from collections import Counter
from typing import NamedTuple

import pytest
from cardamomshunt.fleet import (
    AcquireAction,
    ReleaseAction,
    ReleaseRule,
    TeamWaiter,
    best_uncovered_waiter,
    choose_acquire_action,
    choose_evicted,
)

_TIMEOUT_MS = 1_000.0


class Idle(NamedTuple):
    team: str
    last_used_ms: float


def make_waiters(*teams_and_priorities, since_ms=0.0):
    return [
        TeamWaiter(priority, since_ms + _TIMEOUT_MS, order, team, since_ms)
        for order, (team, priority) in enumerate(teams_and_priorities)
    ]


@pytest.mark.parametrize(
    ("idle", "n_free", "action", "evicted"),
    [
        # One team alone, or a deployment without teams.
        ([], 1, AcquireAction.OPEN, None),
        ([], 0, AcquireAction.WAIT, None),
        ([Idle("a", 1.0)], 0, AcquireAction.REUSE, None),
        # Few teams and many connections: those of others are not closed.
        ([Idle("b", 1.0)], 1, AcquireAction.OPEN, "b"),
        # Many teams and few connections: the one least recently used makes room.
        ([Idle("b", 2.0), Idle("c", 1.0)], 0, AcquireAction.EVICT, "c"),
        ([Idle("b", 1.0), Idle("a", 0.0)], 0, AcquireAction.REUSE, "b"),
        # The quota was lowered below the number of open connections.
        ([Idle("b", 1.0)], -1, AcquireAction.EVICT, "b"),
    ],
)
def test_a_statement_gets_the_cheapest_connection(idle, n_free, action, evicted):
    # Guards against openings while a connection is idle, and connections above the quota.
    assert choose_acquire_action("a", idle, n_free) is action
    chosen = choose_evicted("a", idle)
    assert (chosen.team if chosen else None) == evicted


@pytest.mark.parametrize(
    ("waiters", "n_opening", "best"),
    [
        # A burst of one team beside a single waiter of another.
        ([("a", 1), ("a", 1), ("b", 1)], {"a": 2}, 2),
        ([("a", 1), ("a", 1), ("b", 1)], {"a": 1, "b": 1}, 1),
        ([("a", 1), ("b", 0)], {}, 1),
        ([("a", 1)], {"a": 1}, None),
        # A waiter left while its connection was being opened.
        ([("a", 1)], {"a": 2, "b": 1}, None),
    ],
)
def test_openings_follow_the_waiters_without_one(waiters, n_opening, best):
    # Guards against two openings for one waiter while another one has none.
    found = best_uncovered_waiter(make_waiters(*waiters), n_opening)
    assert (found.order if found else None) == best


@pytest.mark.parametrize(
    ("waiters", "n_opening", "now_ms", "action", "order"),
    [
        # Nobody waits, or only those whose connections are being opened.
        ([], {}, 0.0, ReleaseAction.KEEP, None),
        ([("b", 0)], {"b": 1}, 0.0, ReleaseAction.KEEP, None),
        # One team alone, or a deployment without teams: by priority, then by arrival.
        ([("a", 2), ("a", 1), ("a", 1)], {}, 900.0, ReleaseAction.HAND_OVER, 1),
        # Many teams and few connections: a useless connection makes room at once.
        ([("c", 2), ("b", 1)], {}, 0.0, ReleaseAction.REPLACE, 1),
        # One team with many waiters beside single waiters of others.
        ([("b", 1), ("a", 1), ("a", 1)], {}, 499.0, ReleaseAction.HAND_OVER, 1),
        ([("a", 1), ("a", 1), ("b", 1)], {}, 500.0, ReleaseAction.REPLACE, 2),
        ([("a", 1), ("b", 2)], {}, 999.0, ReleaseAction.HAND_OVER, 0),
        # Urgent work of another team beside work that can wait.
        ([("a", 2), ("b", 0)], {}, 0.0, ReleaseAction.REPLACE, 1),
        ([("a", 2), ("b", 0)], {"b": 1}, 0.0, ReleaseAction.HAND_OVER, 0),
    ],
)
def test_a_released_connection_serves_the_best_waiter(
    waiters, n_opening, now_ms, action, order
):
    # Guards against waiters that starve beside a busy team, and needless openings.
    found = ReleaseRule().decide("a", make_waiters(*waiters), n_opening, now_ms)
    assert found[0] is action
    assert (found[1].order if found[1] else None) == order


@pytest.mark.parametrize(
    ("waiters", "action"),
    [
        ([("a", 2), ("b", 0)], ReleaseAction.HAND_OVER),
        ([("b", 0)], ReleaseAction.REPLACE),
    ],
)
def test_a_useful_connection_to_a_full_server_is_kept(waiters, action):
    # Guards against a connection that is closed although none can be opened now.
    found, _ = ReleaseRule().decide("a", make_waiters(*waiters), {}, 0.0, True)
    assert found is action


def test_a_busy_team_loses_at_most_one_connection_in_four_releases():
    # Guards against a server that spends its slots on openings when a busy team and
    # urgent statements of many others share few connections.
    rule = ReleaseRule()
    waiters = make_waiters(("a", 2), *((f"b{number}", 0) for number in range(20)))
    actions = [rule.decide("a", waiters, {}, 0.0)[0] for _ in range(40)]
    assert Counter(actions)[ReleaseAction.REPLACE] == 10
    for start in range(len(actions) - 3):
        assert actions[start : start + 4].count(ReleaseAction.REPLACE) == 1
