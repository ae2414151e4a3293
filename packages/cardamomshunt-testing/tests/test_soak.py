"""Schedules whose seeds once violated an invariant, and limits on lost logs."""

import pytest
from cardamomshunt_testing._fake_group import FakeGroup
from cardamomshunt_testing.control_schedules import Schedule
from cardamomshunt_testing.soak import options_for


@pytest.mark.parametrize("seed", [10_226, 10_286, 20_006, 20_594])
def test_soak_seed_keeps_the_invariants(seed: int) -> None:
    """Guards against the promotion of a server that lacks an acknowledged write.

    The soak test found these seeds.
    """
    schedule = Schedule(seed, options_for(seed)).run_all()
    assert schedule.violations == []


def test_restarts_without_log_leave_a_majority_of_logs() -> None:
    """Guards against schedules that destroy all copies of an acknowledged write.

    If more servers lose their logs than a minority, no failover could retain the write.
    """
    group = FakeGroup("orders", ["zone-a", "zone-b", "zone-c"])
    group.write()
    group.replicate(0.0, lambda sender, receiver: receiver != "orders-2")
    group.stop("orders-1")
    group.start("orders-1", keeps_log=False)
    assert not group.may_lose_log("orders-3")
    with pytest.raises(ValueError, match="may not lose its log"):
        group.start("orders-3", keeps_log=False)
    assert group.may_lose_log("orders-1")


def test_server_that_caught_up_may_lose_its_log_again() -> None:
    """Guards against schedules that lose no further logs after the first one.

    A server that has caught up must count again as one that retains its log.
    """
    group = FakeGroup("orders", ["zone-a", "zone-b", "zone-c"])
    group.write()
    group.replicate(0.0, lambda sender, receiver: True)
    group.start("orders-2", keeps_log=False)
    assert not group.may_lose_log("orders-3")
    group.replicate(1.0, lambda sender, receiver: True)
    assert group.may_lose_log("orders-3")
