"""Tests of leases on primaries, at entry VMs and at the leader, and of suspicions."""

import pytest
from cardamomshunt.fleet import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    AckRefusal,
    Assignment,
    AssignmentPhase,
    EndedEpoch,
    EpochEnd,
    LeaseGrant,
    LeaseRequest,
    LeaseTable,
    PrimaryLease,
    Suspicion,
)

_ACTIVE = AssignmentPhase.ACTIVE
_STOPPING = AssignmentPhase.STOPPING
_PROMOTING = AssignmentPhase.PROMOTING
_GRANT, _NOTICE = "grant", "notice"


def make_grant(sequence, assignments=None):
    return LeaseGrant(
        sequence=sequence,
        lease_ms=LEASE_MS,
        n_entries=1,
        assignments=assignments,
        control_addresses=[],
    )


def test_a_lease_counts_from_when_the_request_was_sent():
    lease = PrimaryLease()
    lease.on_request_sent(1, now_ms=1_000.0)
    lease.on_grant(make_grant(1, {"g": Assignment(server="a", epoch=1)}), 1_010.0)
    end_ms = 1_000.0 + LEASE_MS - LEASE_MARGIN_MS
    assert lease.usable_assignment("g", end_ms - 1.0) is not None
    assert lease.usable_assignment("g", end_ms) is None


def test_a_grant_without_a_request_extends_no_lease():
    lease = PrimaryLease()
    lease.on_grant(make_grant(7), 0.0)
    assert not lease.is_valid(0.0)


def test_a_primary_that_is_stopped_is_not_usable_under_a_valid_lease():
    lease = PrimaryLease()
    lease.on_request_sent(1, now_ms=0.0)
    lease.on_grant(make_grant(1, {"g": Assignment(server="a", epoch=1)}), 0.5)
    stopped = Assignment(server="a", epoch=2, phase=AssignmentPhase.STOPPING)
    assert lease.on_assignments({"g": stopped}, 1.0) == ["g"]
    assert lease.usable_assignment("g", 1.0) is None
    # A delayed older assignment does not make it usable again.
    assert lease.on_assignments({"g": Assignment(server="a", epoch=1)}, 1.0) == []
    assert lease.usable_assignment("g", 1.0) is None


@pytest.mark.parametrize(
    ("steps", "refusal", "ended"),
    [
        pytest.param([], None, None, id="active"),
        pytest.param(
            [(100.0, _NOTICE, _STOPPING)], None, None, id="grace under the lease"
        ),
        pytest.param(
            [(100.0, _NOTICE, _STOPPING), (900.0, _GRANT, None)],
            None,
            None,
            id="grace while the lease is renewed",
        ),
        pytest.param(
            [(100.0, _NOTICE, _STOPPING), (1_500.0, _GRANT, None)],
            AckRefusal.EPOCH_ENDED,
            EpochEnd.LEASE_LAPSED,
            id="lapsed in the grace",
        ),
        pytest.param(
            [(1_500.0, _NOTICE, _STOPPING), (1_510.0, _GRANT, None)],
            AckRefusal.EPOCH_ENDED,
            EpochEnd.LEASE_LAPSED,
            id="stop heard before the lease is back",
        ),
        pytest.param(
            [(1_500.0, _GRANT, _STOPPING)],
            AckRefusal.EPOCH_ENDED,
            EpochEnd.LEASE_LAPSED,
            id="stop heard with the new lease",
        ),
        pytest.param(
            [(1_500.0, _GRANT, None), (1_510.0, _NOTICE, _STOPPING)],
            None,
            None,
            id="stop heard under the new lease",
        ),
        pytest.param([(1_500.0, _GRANT, None)], None, None, id="lapsed while active"),
        pytest.param(
            [(100.0, _NOTICE, _PROMOTING)],
            AckRefusal.EPOCH_ENDED,
            EpochEnd.PROMOTING,
            id="successor chosen",
        ),
        pytest.param(
            [(1_500.0, _GRANT, _ACTIVE)],
            AckRefusal.EPOCH_ENDED,
            EpochEnd.REPLACED,
            id="replaced while lapsed",
        ),
    ],
)
def test_an_epoch_that_the_leader_counts_as_released_is_never_used_again(
    steps, refusal, ended
):
    # Guards against a new lease that revives the use of a primary which the leader
    # counted as released when the former lease had ended.
    lease = PrimaryLease()
    lease.on_request_sent(0, now_ms=0.0)
    lease.on_grant(make_grant(0, {"g": Assignment(server="a", epoch=1)}), 5.0)
    now_ms = 5.0
    for number, (now_ms, kind, phase) in enumerate(steps, start=1):
        changes = {}
        if phase is not None:
            changes = {"g": Assignment(server="a", epoch=1 + number, phase=phase)}
        if kind == _NOTICE:
            lease.on_assignments(changes, now_ms)
        else:
            lease.on_request_sent(number, now_ms - 5.0)
            lease.on_grant(make_grant(number, changes), now_ms)
    assert lease.ack_refusal("g", 1, now_ms) is refusal
    reasons = [item.reason for item in lease.pop_ended_epochs()]
    assert reasons == ([ended] if ended else [])


def test_nothing_is_acknowledged_without_a_lease():
    # Guards against an answer that is passed on before the lapse was noticed.
    lease = PrimaryLease()
    lease.on_request_sent(1, now_ms=0.0)
    lease.on_grant(make_grant(1, {"g": Assignment(server="a", epoch=1)}), 5.0)
    assert lease.ack_refusal("g", 1, LEASE_MS) is AckRefusal.LEASE_LAPSED


def test_a_late_grant_that_was_asked_for_before_a_gap_renews_nothing():
    # Guards against a grant that waits in a socket buffer during a freeze.
    lease = PrimaryLease()
    for sequence in (1, 2):
        lease.on_request_sent(sequence, now_ms=0.0)
    lease.on_grant(make_grant(1, {"g": Assignment(server="a", epoch=1)}), 5.0)
    lease.on_grant(make_grant(2), 1_500.0)
    assert lease.ack_refusal("g", 1, 1_500.0) is AckRefusal.LEASE_LAPSED


def test_a_released_primary_ends_once():
    # Guards against an epoch that is cut twice, with connections of a later one.
    lease = PrimaryLease()
    lease.on_request_sent(1, now_ms=0.0)
    lease.on_grant(make_grant(1, {"g": Assignment(server="a", epoch=1)}), 5.0)
    lease.release("g")
    assert lease.is_in_use("g")
    stopped = Assignment(server="a", epoch=2, phase=_STOPPING)
    lease.on_assignments({"g": stopped}, 10.0)
    lease.release("g")
    lease.release("g")
    assert lease.pop_ended_epochs() == [EndedEpoch("g", "a", 1, EpochEnd.RELEASED)]
    assert not lease.pop_ended_epochs()


def request_lease(table, entry, now_ms, **fields):
    request = LeaseRequest(sequence=1, version=1, **fields)
    table.on_request(entry, request, now_ms)


def test_a_stopped_primary_is_free_once_each_lease_has_expired_or_is_released():
    table = LeaseTable(leader_since_ms=0.0)
    start_ms = 10_000.0
    request_lease(table, "e1", start_ms)
    request_lease(table, "e2", start_ms)
    assert not table.is_released("g", 5, start_ms)
    request_lease(table, "e1", start_ms + 10.0, released={"g": 5})
    assert not table.is_released("g", 5, start_ms + 20.0)
    assert table.is_released("g", 5, start_ms + LEASE_MS)


def test_a_release_of_an_earlier_stop_does_not_count():
    table = LeaseTable(leader_since_ms=0.0)
    request_lease(table, "e1", 10_000.0, released={"g": 5})
    assert not table.is_released("g", 9, 10_001.0)


def test_a_new_leader_waits_for_the_leases_of_the_former_one():
    table = LeaseTable(leader_since_ms=1_000.0)
    assert not table.is_released("g", 1, 1_000.0 + LEASE_MS - 1.0)
    assert table.is_released("g", 1, 1_000.0 + LEASE_MS)


@pytest.mark.parametrize(
    ("n_entries", "n_suspecting", "is_suspected"),
    [(4, 0, False), (4, 1, False), (4, 2, True), (1, 1, True), (9, 4, False)],
)
def test_half_of_the_live_entry_vms_are_enough_for_a_suspicion(
    n_entries, n_suspecting, is_suspected
):
    table = LeaseTable(leader_since_ms=0.0)
    suspicion = Suspicion("g", "a", 1)
    for number in range(n_entries):
        suspicions = [suspicion] if number < n_suspecting else []
        request_lease(table, f"e{number}", 100.0, suspicions=suspicions)
    assert table.is_suspected(suspicion, 150.0) is is_suspected


def test_unresponsive_entry_vms_do_not_count_for_a_suspicion():
    table = LeaseTable(leader_since_ms=0.0)
    suspicion = Suspicion("g", "a", 1)
    for number in range(3):
        request_lease(table, f"unresponsive{number}", 100.0)
    request_lease(table, "e1", 2_000.0, suspicions=[suspicion])
    assert table.is_suspected(suspicion, 2_000.0)
