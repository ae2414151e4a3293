"""Tests of fair and bounded queues, concurrency limits and the circuit breaker."""

import random

import pytest
from cardamomshunt.admission import (
    AdmissionQueue,
    ConcurrencyLimit,
    FairQueue,
    ReservedSharePolicy,
)
from cardamomshunt.breaker import CircuitBreaker
from cardamomshunt.effects import RequestClass

SHARES = {
    RequestClass.ORDER: 0.5,
    RequestClass.LOOKUP: 0.2,
    RequestClass.DISPATCH: 0.1,
}


def test_callers_are_served_in_turn() -> None:
    """Guards against a busy caller that delays a caller with a single request."""
    queue: FairQueue[str] = FairQueue()
    for index in range(5):
        queue.push("bulk", f"b{index}")
    queue.push("single", "s")
    assert queue.remove("bulk", "b2")
    assert not queue.remove("bulk", "b2")
    assert [queue.pop() for _ in range(len(queue))] == ["b0", "s", "b1", "b3", "b4"]


def test_queue_bounds_classes_and_callers() -> None:
    queue: AdmissionQueue[int] = AdmissionQueue(ReservedSharePolicy(SHARES))
    for index in range(10):
        if queue.has_room(RequestClass.ORDER, "bulk", 20):
            queue.push(RequestClass.ORDER, "bulk", index)
    assert queue.n_items == 5, "a quarter of 20"
    for index in range(30):
        if queue.has_room(RequestClass.ORDER, index, 20):
            queue.push(RequestClass.ORDER, index, index)
    assert queue.n_items == 20
    assert queue.has_room(RequestClass.LOOKUP, "bulk", 20)


@pytest.mark.parametrize(
    ("pending", "expected"),
    [
        ((RequestClass.ORDER, RequestClass.LOOKUP), {"order": 0.8, "lookup": 0.2}),
        (
            (RequestClass.ORDER, RequestClass.DISPATCH, RequestClass.LOOKUP),
            {"order": 0.7, "dispatch": 0.1, "lookup": 0.2},
        ),
        ((RequestClass.LOOKUP,), {"lookup": 1.0}),
    ],
)
def test_each_class_gets_its_reserved_share(
    pending: tuple[RequestClass, ...], expected: dict[str, float]
) -> None:
    policy = ReservedSharePolicy(SHARES)
    counts = dict.fromkeys(RequestClass, 0)
    for _ in range(1_000):
        chosen = policy.choose(list(pending))
        policy.on_served(chosen)
        counts[chosen] += 1
    for request_class in pending:
        share = counts[request_class] / 1_000
        assert share == pytest.approx(expected[request_class.value], abs=0.05)


def test_wait_is_estimated_from_the_rate_of_service() -> None:
    queue: AdmissionQueue[int] = AdmissionQueue(ReservedSharePolicy(SHARES))
    for index in range(40):
        queue.push(RequestClass.LOOKUP, index, index)
    assert queue.estimated_wait_ms(RequestClass.LOOKUP) == 0.0
    for index in range(30):
        queue.serve(index * 10.0, RequestClass.LOOKUP)
    wait_ms = queue.estimated_wait_ms(RequestClass.LOOKUP)
    assert wait_ms == pytest.approx(10 * 10.0, rel=0.1)


def test_limit_shrinks_when_delays_grow_and_recovers() -> None:
    limit = ConcurrencyLimit(4)
    for _ in range(100):
        limit.on_sample(10.0, 1, is_write=False)
    for _ in range(60):
        limit.on_sample(50.0, 4, is_write=False)
    assert limit.value < 2.0
    for _ in range(200):
        limit.on_sample(10.0, 4, is_write=False)
    assert 4.0 < limit.value < 6.0, "it does not grow beyond what is used"
    before = limit.value
    limit.on_timeout()
    assert limit.value < before


@pytest.mark.parametrize("seed", range(4))
def test_limit_does_not_collapse_under_varying_service_times(seed: int) -> None:
    """Guards against a limit by the shortest delay, which stayed at 2 of 5 slots."""
    generator = random.Random(seed)
    limit = ConcurrencyLimit(5)
    for _ in range(3_000):
        limit.on_sample(6.0 + generator.expovariate(0.1), 5, is_write=False)
    assert limit.value > 4.0


def test_breaker_allows_one_trial_after_its_open_period() -> None:
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(3):
        assert breaker.allows(0.0)
        breaker.on_failure(0.0)
    assert not breaker.allows(100.0)
    assert breaker.allows(400.0)
    breaker.on_trial(400.0)
    assert not breaker.allows(401.0)
    breaker.on_success()
    assert breaker.allows(402.0)


def _samples_until(limit: ConcurrencyLimit, value: float, elapsed_ms: float) -> int:
    """Count requests at the limit until it reaches a value."""
    for n_samples in range(1_000):
        if limit.value >= value:
            return n_samples
        limit.on_sample(elapsed_ms, int(limit.value), is_write=False)
    raise AssertionError(f"the limit stays at {limit.value}")


@pytest.mark.parametrize("slow_factor", [4.0, 12.0, 40.0])
def test_limit_recovers_when_statements_become_slow(slow_factor: float) -> None:
    """Guards against slots that stay idle after all statements became slower.

    Delays that are not caused by the own load must not keep the limit at 1. With a
    limit of 1, 3 entry VMs used 3 of 5 slots and served 71% of the capacity.
    """
    limit = ConcurrencyLimit(n_slots=5)
    for _ in range(300):
        limit.on_sample(10.0, n_running=1, is_write=False)
    for _ in range(20):
        limit.on_sample(10.0 * slow_factor, int(limit.value), is_write=False)
    assert _samples_until(limit, 2.0, 10.0 * slow_factor) <= 20
