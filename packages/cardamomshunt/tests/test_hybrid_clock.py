"""Tests of the causal order of hybrid times under skewed clocks."""

import random

import pytest
from cardamomshunt.events import CATALOGUE, EventNumber
from cardamomshunt.hybrid_clock import SKEW_MAX_MS, HybridClock, compose


@pytest.mark.parametrize("seed", range(5))
def test_causal_order_with_skewed_clocks(seed: int) -> None:
    """Guards against a receipt that is not later than the send, due to clock skew."""
    random_state = random.Random(seed)
    skews_ms = [random_state.uniform(-20_000, 20_000) for _ in range(4)]
    clocks = [HybridClock() for _ in skews_ms]
    last = [0] * len(clocks)
    for step in range(500):
        sender, receiver = random_state.sample(range(len(clocks)), 2)
        sent = clocks[sender].now(1e6 + step + skews_ms[sender])
        assert sent > last[sender]
        assert clocks[receiver].observe(1e6 + step + skews_ms[receiver], sent)
        received = clocks[receiver].now(1e6 + step + skews_ms[receiver])
        assert received > max(sent, last[receiver])
        last[sender], last[receiver] = sent, received


def test_wrong_clock_is_not_followed() -> None:
    clock = HybridClock()
    before = clock.now(1_000.0)
    assert not clock.observe(1_000.0, compose(int(1_001 + SKEW_MAX_MS)))
    assert clock.now(1_000.0) < before + 10
    assert clock.n_rejected == 1


def test_full_counter_carries() -> None:
    """Guards against repeated times when the counter overflows in a millisecond."""
    clock = HybridClock()
    times = [clock.now(5.0) for _ in range(70_000)]
    assert times == sorted(set(times))


def test_every_event_has_an_entry() -> None:
    assert set(CATALOGUE) == set(EventNumber)
