"""Load on teams' rate limits in a model without a network: who is refused."""

import pytest
from cardamomshunt.fleet import QuotaLimit
from quota_model import (
    QuotaModel,
    allowed_in_window,
    window_maximum,
    zipf_rates,
)

_N_ENTRIES = 63
_LIMIT_FACTOR = 1.6
_DURATION_MS = 12_000.0


def run_model(seed, n_holders, burst_team="", n_times=1.0):
    """Run the load of 74 teams, each at some entry VMs; return the model."""
    rates = zipf_rates(74, 468.0, 1.2)
    limits = {
        team: QuotaLimit(_LIMIT_FACTOR * rate, _LIMIT_FACTOR * rate)
        for team, rate in rates.items()
    }
    model = QuotaModel(seed, limits, _N_ENTRIES)
    for team, rate in rates.items():
        entries = model.random.sample(model.entries, n_holders)
        factor = n_times if team == burst_team else 1.0
        model.add_load(team, rate * factor, entries, _DURATION_MS)
    model.run_until(_DURATION_MS + 500.0)
    return model


def check_windows(model):
    for counts in model.counts.values():
        assert window_maximum(counts.run_ms) <= allowed_in_window(counts.limit)


@pytest.mark.parametrize(
    ("seed", "n_holders"), [(1, 63), (2, 63), (3, 9), (4, 9), (5, 3)]
)
def test_few_operations_below_the_limit_are_refused(seed, n_holders):
    # Guards against a division that leaves tokens where they are not used: a big team
    # has up to 63 holders, and a small one less than one operation a second.
    model = run_model(seed, n_holders)
    n_below = sum(counts.n_below for counts in model.counts.values())
    n_refused = sum(counts.n_below_refused for counts in model.counts.values())
    assert n_below > 4_000
    assert n_refused < 0.005 * n_below
    # Twice the requests that entry VMs send anyway.
    assert model.n_requests < 2.5 * _N_ENTRIES * 4 * _DURATION_MS / 1_000.0
    check_windows(model)


@pytest.mark.parametrize(("seed", "team", "n_holders"), [(6, "t5", 63), (7, "t60", 9)])
def test_ten_times_the_usual_load_of_one_team_refuses_no_other(seed, team, n_holders):
    # Guards against shares or requests of one team that take those of the others.
    model = run_model(seed, n_holders, team, 10.0)
    over = model.counts.pop(team)
    n_below = sum(counts.n_below for counts in model.counts.values())
    n_refused = sum(counts.n_below_refused for counts in model.counts.values())
    assert n_refused < 0.005 * n_below
    assert over.n_refused > 0.4 * (over.n_refused + len(over.run_ms))
    # What the limit allows is not lost by the division.
    assert len(over.run_ms) > 0.8 * over.limit.rate_per_s * _DURATION_MS / 1_000.0
    assert window_maximum(over.run_ms) <= allowed_in_window(over.limit)
    check_windows(model)
