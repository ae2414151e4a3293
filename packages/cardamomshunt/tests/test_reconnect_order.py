"""Tests of the pace of openings, without a network."""

import heapq

import pytest
from cardamomshunt.fleet import ReconnectOrder, TeamWaiter

_N_SLOTS = 5
_OPEN_MS = 12.0
_LATER_MS = 10_000.0


def _open(order, elapsed_ms):
    order.record_started(-elapsed_ms)
    order.record_opened(0.0, -elapsed_ms)


def _n_started(order, now_ms, deadlines_ms, n_open, n_opening, quota):
    """Return how many openings may start at once within a quota of connections."""
    n_started = 0
    while n_open + n_opening + n_started < quota and order.may_start(
        now_ms, deadlines_ms, n_open, n_opening + n_started
    ):
        n_started += 1
    return n_started


def _first_connections_ms(n_entries, n_waiting, quota, n_at_once=None):
    """Return when each entry VM has its first connection to one server.

    The server opens connections in order of arrival, as many at a time as it has slots.
    With `n_at_once` each entry VM opens so many at once instead.
    """
    orders = [ReconnectOrder() for _ in range(n_entries)]
    n_open, n_opening = [0] * n_entries, [0] * n_entries
    slots_ms = [0.0] * _N_SLOTS
    done: list[tuple[float, int, float]] = []
    first_ms: dict[int, float] = {}

    def start(number, now_ms, n_openings):
        for _ in range(n_openings):
            end_ms = max(heapq.heappop(slots_ms), now_ms) + _OPEN_MS
            heapq.heappush(slots_ms, end_ms)
            heapq.heappush(done, (end_ms, number, now_ms))
            n_opening[number] += 1
            orders[number].record_started(now_ms)

    def open_more(number, now_ms):
        deadlines_ms = [_LATER_MS] * max(n_waiting - n_open[number], 0)
        n_openings = _n_started(
            orders[number],
            now_ms,
            deadlines_ms,
            n_open[number],
            n_opening[number],
            quota,
        )
        if n_at_once is not None:
            n_openings = n_at_once if now_ms == 0.0 else 0
        start(number, now_ms, n_openings)

    for number in range(n_entries):
        open_more(number, 0.0)
    while done:
        now_ms, number, started_ms = heapq.heappop(done)
        n_opening[number] -= 1
        n_open[number] += 1
        first_ms.setdefault(number, now_ms)
        orders[number].record_opened(now_ms, started_ms)
        open_more(number, now_ms)
    assert all(count == min(quota, n_waiting) for count in n_open) or n_at_once
    return max(first_ms.values())


@pytest.mark.parametrize(
    ("load", "n_entries", "n_waiting", "quota"),
    [
        ("power loss of all VMs", 33, 20, 3),
        ("half of the entry VMs", 17, 40, 3),
        ("all sessions reopen at once", 33, 60, 3),
    ],
)
def test_each_entry_vm_has_a_connection_before_any_has_two(
    load, n_entries, n_waiting, quota
):
    # Entry VMs that opened their whole quota at once held up the first connection of
    # the others for as many times as long.
    last_ms = _first_connections_ms(n_entries, n_waiting, quota)
    assert last_ms <= -(-n_entries // _N_SLOTS) * _OPEN_MS
    assert last_ms < _first_connections_ms(n_entries, n_waiting, quota, quota) / 2.0


@pytest.mark.parametrize(
    ("openings_ms", "n_open", "n_started"),
    [
        ([], 0, 1),
        ([12.0], 1, 2),
        ([12.0, 13.0, 14.0], 3, 4),
        ([12.0, 13.0, 14.0, 300.0], 4, 2),
        ([12.0, 300.0, 300.0, 300.0], 4, 1),
    ],
)
def test_openings_follow_the_answers_of_the_server(openings_ms, n_open, n_started):
    # Guards against all entry VMs opening more at a server that is already late.
    order = ReconnectOrder()
    for elapsed_ms in openings_ms:
        _open(order, elapsed_ms)
    assert _n_started(order, 1_000.0, [_LATER_MS] * 20, n_open, 0, 30) == n_started


def test_after_the_loss_of_all_connections_one_is_opened_first():
    # Half of the entry VMs lose a server's connections at the same moment.
    order = ReconnectOrder()
    for _ in range(5):
        _open(order, 12.0)
    order.record_all_lost()
    assert _n_started(order, 1.0, [_LATER_MS] * 20, 0, 0, 30) == 1
    assert _n_started(order, 1.0, [_LATER_MS] * 20, 0, 1, 30) == 0


@pytest.mark.parametrize(
    ("deadline_ms", "is_servable"), [(110.0, False), (290.0, False), (500.0, True)]
)
def test_no_connection_is_opened_for_a_statement_that_it_comes_too_late_for(
    deadline_ms, is_servable
):
    # All sessions reopen at once: openings for statements that had to be refused took
    # up the slots of those that could be served.
    order = ReconnectOrder()
    _open(order, 200.0)
    assert order.is_servable(deadline_ms, 100.0) is is_servable
    assert _n_started(order, 100.0, [deadline_ms], 1, 0, 30) == int(is_servable)
    # Without any connection the next opening shows whether the server is fast again.
    assert _n_started(order, 100.0, [deadline_ms], 0, 0, 30) == 1
    assert _n_started(order, 100.0, [], 0, 0, 30) == 0


def test_statements_wait_in_the_order_of_priority_and_deadline():
    # Guards against an order of arrival, in which the first statement after a power
    # loss, which may be the least urgent one, got the first connection.
    urgent, early, late = (
        TeamWaiter(0, 900.0, 3, "", 0.0),
        TeamWaiter(1, 500.0, 2, "", 0.0),
        TeamWaiter(1, 800.0, 1, "", 0.0),
    )
    assert sorted([late, early, urgent]) == [urgent, early, late]


@pytest.mark.parametrize(("now_ms", "n_started"), [(100.0, 0), (150.0, 1)])
def test_one_more_is_opened_beside_an_overdue_opening(now_ms, n_started):
    # All sessions reopen while packets are lost: one lost packet would hold up all
    # statements that wait for the first connection.
    order = ReconnectOrder()
    order.record_started(0.0)
    assert _n_started(order, now_ms, [_LATER_MS] * 20, 0, 1, 30) == n_started
    assert _n_started(order, now_ms, [_LATER_MS] * 20, 0, 2, 30) == 0
