"""Random schedules of freezes, lapsed leases and replacements of a primary.

Run by hand with `python test_lease_schedules.py N_SCHEDULES FIRST_SEED`.
"""

import sys

import pytest
from cardamomshunt.fleet import LeaseTable, PrimaryLease
from lease_model import LeaseModel

_N_SCHEDULES = 300
_N_SCHEDULES_OF_BROKEN_RULE = 60


class _RevivedLease(PrimaryLease):
    """Lease that goes on after it has lapsed, as if it had been unbroken."""

    def is_valid(self, now_ms):
        return super().is_valid(now_ms) or self._is_granting

    _is_granting = False

    def on_grant(self, grant, now_ms):
        self._is_granting = True
        try:
            return super().on_grant(grant, now_ms)
        finally:
            self._is_granting = False

    def on_assignments(self, assignments, now_ms):
        return self._apply(assignments, is_lease_unbroken=True)


class _ForgetfulTable(LeaseTable):
    """Table of a leader that does not wait for the leases of its predecessor."""

    def __init__(self, leader_since_ms):
        super().__init__(leader_since_ms - 1e6)


class _HastyTable(LeaseTable):
    """Table of a leader that ends leases before their holders do."""

    def is_released(self, group, stop_epoch, now_ms):
        return super().is_released(group, stop_epoch, now_ms + 300.0)


@pytest.mark.parametrize("first_seed", range(0, _N_SCHEDULES, 50))
def test_nothing_is_acknowledged_that_a_successor_can_lack(first_seed):
    # Guards against an acknowledgement after the leader counted the primary as
    # released: a lapsed lease was revived, and commits after a freeze were lost.
    for seed in range(first_seed, first_seed + 50):
        model = LeaseModel(seed).run()
        assert not model.violations, f"seed {seed}: {model.violations[0]}"
        assert model.is_serving, f"seed {seed}"


@pytest.mark.parametrize(
    "broken",
    [
        {"lease_class": _RevivedLease},
        {"table_class": _ForgetfulTable},
        {"table_class": _HastyTable},
    ],
)
def test_the_schedules_find_a_broken_rule(broken):
    # Guards against schedules that never reach the order of events they are for.
    seeds = range(_N_SCHEDULES_OF_BROKEN_RULE)
    assert any(LeaseModel(seed, **broken).run().violations for seed in seeds)


def _run(n_schedules, first_seed):
    n_replacements = n_acknowledged = n_broken = 0
    for seed in range(first_seed, first_seed + n_schedules):
        model = LeaseModel(seed).run()
        n_replacements += model.n_replacements
        n_acknowledged += model.n_acknowledged
        if model.violations or not model.is_serving:
            n_broken += 1
            print(f"seed {seed}: {model.violations[:1] or 'not serving'}")
    print(
        f"{n_schedules} schedules, {n_replacements} replacements, "
        f"{n_acknowledged} acknowledgements, {n_broken} broken"
    )
    return n_broken


if __name__ == "__main__":
    sys.exit(_run(int(sys.argv[1]), int(sys.argv[2])) > 0)
