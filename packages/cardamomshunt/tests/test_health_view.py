"""Health reports of entry VMs and their confirmation by heartbeats."""

import pytest
from cardamomshunt._control.health_view import HealthView
from cardamomshunt.messages import (
    HealthReport,
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
)
from cardamomshunt.position import LogPosition


def _report(sequence: int, position: int = 1) -> HealthReport:
    at = LogPosition(1, position)
    observation = InstanceObservation(
        database="orders",
        instance="orders-1",
        incarnation=1,
        zone="a",
        address=InstanceAddress("127.0.0.1", 3_306),
        role=InstanceRole.PRIMARY,
        term=1,
        log_position=at,
        applied_position=at,
        n_slots=5,
        n_connections_max=35,
        silence_ms=0.0,
    )
    return HealthReport(
        node="proxy-1", zone="a", sequence=sequence, observations=[observation]
    )


@pytest.mark.parametrize(
    ("reported", "confirmed", "n_fresh"),
    [
        ([7], [7, 7], 1),
        ([7], [8, 8], 0),
        ([7], [0, 0], 0),
        ([7], [], 0),
        ([7, 8], [7, 7], 0),
        ([7, 8], [8, 8], 1),
    ],
    ids=[
        "last report confirmed",
        "newer report was lost",
        "nothing confirmed",
        "no heartbeat",
        "late heartbeat",
        "newest of two",
    ],
)
def test_view_stays_fresh_only_when_confirmed(
    reported: list[int], confirmed: list[int], n_fresh: int
) -> None:
    """Guards against counting an observation that its entry VM no longer confirms.

    A heartbeat confirms only the report whose sequence it names. If the newer report
    was lost or the heartbeat is late, the older view must expire.
    """
    health = HealthView()
    for sequence in reported:
        health.on_report(0.0, _report(sequence))
    for heartbeat, sequence in enumerate(confirmed, start=1):
        health.confirm_report(heartbeat * 800.0, "proxy-1", sequence)
    assert len(health.fresh_views(1_700.0, "orders", "orders-1")) == n_fresh


def test_confirmation_does_not_renew_positions() -> None:
    """Guards against a handover to a replica that has not caught up.

    A heartbeat renews the view but not the positions of its report.
    """
    health = HealthView()
    health.on_report(0.0, _report(7))
    health.confirm_report(800.0, "proxy-1", 7)
    view = health.fresh_views(900.0, "orders", "orders-1")[0]
    assert view.received_ms == 0.0
    assert view.confirmed_ms == 800.0


def test_restarted_entry_vm_is_accepted_after_the_pause() -> None:
    """Guards against ignoring a restarted entry VM, whose sequence starts at 1 again."""
    health = HealthView()
    health.on_report(0.0, _report(7_000))
    health.on_report(500.0, _report(1, position=5))
    health.on_report(1_600.0, _report(2, position=6))
    view = health.fresh_views(1_600.0, "orders", "orders-1")[0]
    assert view.observation.log_position == LogPosition(1, 6)
