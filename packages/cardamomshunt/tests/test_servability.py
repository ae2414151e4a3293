"""Tests of immediate refusals, without a network."""

import random

import pytest
from cardamomshunt.fleet import AssignmentPhase, Servability

_ACTIVE = AssignmentPhase.ACTIVE
_STOPPING = AssignmentPhase.STOPPING
_PROMOTING = AssignmentPhase.PROMOTING
# Earlier replacements took 1,000 ms, the last 600 ms of it for the promotion.
_STOPPING_MS = 400.0
_REPLACEMENT_MS = 1_000.0


def _no_spread(low, high):
    return low


def _make_servability(n_replacements, uniform=_no_spread):
    servability = Servability(uniform)
    for number in range(n_replacements):
        start_ms = number * 10_000.0
        servability.record_phase("other", _STOPPING, start_ms)
        servability.record_phase("other", _PROMOTING, start_ms + _STOPPING_MS)
        servability.record_phase("other", _ACTIVE, start_ms + _REPLACEMENT_MS)
    return servability


@pytest.mark.parametrize(
    ("load", "n_replacements", "phase", "since_ms", "left_ms", "pause_ms"),
    [
        ("power loss of all VMs, nothing known", 0, None, 0.0, 200.0, None),
        ("half of the entry VMs, no replacement seen", 0, _STOPPING, 0.0, 200.0, None),
        ("one replacement seen, maybe a slow one", 1, _STOPPING, 0.0, 200.0, None),
        ("writes wait, replacement has just begun", 2, _STOPPING, 0.0, 970.0, None),
        ("writes cannot wait long enough", 2, _STOPPING, 0.0, 370.0, 1_000.0),
        ("writes wait, replacement ends soon", 2, _STOPPING, 700.0, 370.0, None),
        ("writes wait for the promotion", 2, _PROMOTING, 0.0, 600.0, None),
        ("promotion ends too late", 2, _PROMOTING, 100.0, 300.0, 500.0),
        ("replacement overdue, may end at any time", 2, _STOPPING, 1_500.0, 50.0, None),
    ],
)
def test_writes_wait_for_a_replacement_that_ends_before_their_deadline(
    load, n_replacements, phase, since_ms, left_ms, pause_ms
):
    # Writes waited until their deadline although no primary could be active by then;
    # those that can be answered in time must not be refused.
    servability = _make_servability(n_replacements)
    now_ms = 100_000.0
    if phase is not None:
        servability.record_phase("db", phase, now_ms - since_ms)
    found_ms = servability.retry_after_ms(
        "db", now_ms + left_ms, now_ms, is_partitioned=False
    )
    assert found_ms == pause_ms


def test_a_partitioned_zone_refuses_at_once():
    # Callers of a partitioned entry VM waited until their deadline, though its lease
    # cannot be renewed before the partition ends.
    servability = _make_servability(0)
    found_ms = servability.retry_after_ms("db", 900.0, 0.0, is_partitioned=True)
    assert found_ms == 250.0


def test_a_replacement_during_a_partition_teaches_nothing():
    # The end of a replacement is noticed late after a partition; the long duration made
    # later writes be refused that could have been served.
    servability = _make_servability(0)
    for number in range(3):
        start_ms = number * 20_000.0
        servability.record_phase("db", _STOPPING, start_ms)
        servability.forget_running()
        servability.record_phase("db", _ACTIVE, start_ms + 9_000.0)
    servability.record_phase("db", _STOPPING, 100_000.0)
    found_ms = servability.retry_after_ms(
        "db", 100_200.0, 100_000.0, is_partitioned=False
    )
    assert found_ms is None


def test_callers_refused_together_come_back_spread_out():
    # All sessions reopen at once: with one pause for all they came back in one burst.
    servability = _make_servability(2, random.Random(1).uniform)
    servability.record_phase("db", _STOPPING, 100_000.0)
    pauses_ms = sorted(
        servability.retry_after_ms("db", 100_200.0, 100_000.0, is_partitioned=False)
        for _ in range(300)
    )
    assert pauses_ms[0] >= _REPLACEMENT_MS
    per_10_ms = [sum(p // 10 == n for p in pauses_ms) for n in range(100, 116)]
    assert max(per_10_ms) <= 300 / 15 * 2
