"""Tests of the log lines on the lease of an entry VM."""

import json
import os

import pytest
from cardamomshunt.fleet import LEASE_MARGIN_MS, Assignment, LeaseGrant, PrimaryLease
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._lease_watch import LeaseWatch

# The lease ends 1,000 ms after its request.
_LEASE_MS = 1_000.0 + LEASE_MARGIN_MS


@pytest.fixture
def path(tmp_path):
    return tmp_path / "entry-1.log"


def _apply(lease, watch, sequence, now_ms):
    lease.on_request_sent(sequence, now_ms)
    watch.check("c1", now_ms)
    grant = LeaseGrant(
        sequence=sequence,
        lease_ms=_LEASE_MS,
        n_entries=1,
        assignments={"g": Assignment(server="a", epoch=sequence)},
    )
    lease.on_grant(grant, now_ms)
    return watch.on_granted("c1", now_ms)


@pytest.mark.parametrize(
    ("grants_ms", "lines"),
    [
        pytest.param([0.0, 500.0], [("lease_gained", None, 0)], id="renewed in time"),
        pytest.param(
            [0.0, 1_700.0],
            [
                ("lease_gained", None, 0),
                ("lease_lost", 700, 0),
                ("lease_gained", 700, 1),
            ],
            id="lapsed between two checks",
        ),
    ],
)
def test_a_lapse_is_logged_with_its_age_and_the_newest_epoch(path, grants_ms, lines):
    # Guards against a lapse without a trace, as when a machine freezes and a new lease
    # comes before the next check.
    descriptor = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
    lease = PrimaryLease()
    watch = LeaseWatch(lease, DecisionLog("entry-1", descriptor), EntryMetrics())
    n_gained = sum(
        _apply(lease, watch, number, now_ms) for number, now_ms in enumerate(grants_ms)
    )
    written = [json.loads(line) for line in path.read_text().splitlines()]
    found = [
        (item["event"], item["lapsed_ms"], item["newest_epoch"]) for item in written
    ]
    assert found == lines
    assert n_gained == sum(event == "lease_gained" for event, _, _ in lines)
