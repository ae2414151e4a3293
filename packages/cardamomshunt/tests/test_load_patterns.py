"""Loads that many entry VMs bring to the servers of a group, by pattern."""

from collections import Counter

import pytest
from cardamomshunt.fleet import (
    ReadCandidate,
    RefusalHistory,
    full_server_pause_ms,
    order_of_reads,
)
from load_model import Load, LoadModel

_NEAR_PRIMARY = ReadCandidate("near-primary", is_primary=True)
_FAR_PRIMARY = ReadCandidate("far-primary", is_primary=True, is_in_zone=False)
_NEAR = ReadCandidate("near")
_NEAR_LOADED = ReadCandidate("near-loaded", n_in_flight=3)
_NEAR_BUSY = ReadCandidate("near-busy", is_busy=True)
_NEAR_FAILING = ReadCandidate("near-failing", is_unreliable=True)
_FAR = ReadCandidate("far", is_in_zone=False)
_FAR_BUSY = ReadCandidate("far-busy", is_in_zone=False, is_busy=True)


@pytest.mark.parametrize(
    ("candidates", "is_primary_reserved", "first"),
    [
        ([_FAR, _NEAR], False, "near"),
        ([_FAR, _NEAR_PRIMARY], False, "near-primary"),
        ([_FAR, _NEAR_PRIMARY], True, "far"),
        ([_NEAR_PRIMARY, _NEAR], False, "near"),
        ([_NEAR_LOADED, _NEAR], False, "near"),
        ([_NEAR_BUSY, _FAR], False, "far"),
        ([_NEAR_FAILING, _FAR_BUSY], False, "far-busy"),
        ([_FAR_BUSY, _NEAR_PRIMARY], True, "near-primary"),
        ([_FAR_PRIMARY], True, "far-primary"),
    ],
    ids=lambda value: value if isinstance(value, str) else None,
)
def test_order_of_reads(candidates, is_primary_reserved, first):
    order = order_of_reads(
        "entry-1", candidates, is_primary_reserved=is_primary_reserved
    )
    assert order[0] == first
    assert sorted(order) == sorted(item.server for item in candidates)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_primary_overflows_beside_replicas_with_room(seed):
    # Reads of the primary's zone, and the connections that all entry VMs open to it,
    # filled its queue while both replicas were idle half of the time.
    kept = LoadModel(Load(), is_primary_reserved=False, seed=seed).run()
    assert kept.refused_share > 0.02
    moved = LoadModel(Load(), is_primary_reserved=True, seed=seed).run()
    assert moved.refused_share < 0.02
    assert moved.latency_ms(0.95) < kept.latency_ms(0.95) / 2.0


def test_zones_without_a_server_spread_their_reads():
    # All entry VMs of such a zone read from the same server, the first one known.
    far = [ReadCandidate(str(number), is_in_zone=False) for number in range(3)]
    firsts = Counter(
        order_of_reads(f"entry-{number}", far, is_primary_reserved=False)[0]
        for number in range(90)
    )
    assert min(firsts.values()) > 20
    assert sum(firsts.values()) == 90


@pytest.mark.parametrize(
    ("age_ms", "is_shared", "should_avoid", "should_share", "is_overloaded"),
    [
        (10.0, False, True, True, True),
        (300.0, False, False, True, True),
        (2_000.0, False, False, False, True),
        (12_000.0, False, False, False, False),
        (10.0, True, False, False, True),
        (12_000.0, True, False, False, False),
    ],
)
def test_overload_is_known_in_the_whole_zone(
    age_ms, is_shared, should_avoid, should_share, is_overloaded
):
    # One entry VM of many is refused too seldom to know that a server is overloaded. A
    # shared refusal is not shared again, or it would never end.
    history = RefusalHistory()
    record = history.record_shared if is_shared else history.record
    record(1_000.0)
    now_ms = 1_000.0 + age_ms
    assert history.should_avoid(now_ms) is should_avoid
    assert history.should_share(now_ms) is should_share
    assert history.is_overloaded(now_ms) is is_overloaded


@pytest.mark.parametrize("n_refusals", [0, 1, 2, 5])
@pytest.mark.parametrize("left_ms", [40.0, 300.0, 970.0, 4_000.0])
def test_full_server_is_tried_again_before_the_deadline(n_refusals, left_ms):
    # Guards against a pause past the deadline: a statement was refused although the
    # server took connections again.
    pause_ms = full_server_pause_ms(n_refusals, left_ms, uniform=max)
    assert 0.0 < pause_ms <= max(left_ms / 4.0, 10.0)
