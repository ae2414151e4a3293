"""Seeds that a soak found to violate an invariant."""

import pytest
from cardamomshunt_testing.control_schedules import Schedule
from cardamomshunt_testing.soak import options_for


@pytest.mark.parametrize("seed", [10_226, 10_286, 20_006, 20_594])
def test_soak_seed_keeps_the_invariants(seed: int) -> None:
    """Guards against promoting a server that lacks an acknowledged write."""
    schedule = Schedule(seed, options_for(seed)).run_all()
    assert schedule.violations == []
