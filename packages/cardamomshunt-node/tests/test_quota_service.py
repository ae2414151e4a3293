"""Tests of which entry VMs a control leader stores as holders of shares."""

import os
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from cardamomshunt.fleet import FleetState, LeaseRequest
from cardamomshunt_node import _quota_service
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._quota_service import QuotaService

_ENTRY = "127.0.0.1:1"
_N_ABSENT_CHECKS = 8
_CHECK_INTERVAL_MS = 10_000.0


class _Leader:
    """Run the service of a leader on a clock of its own."""

    def __init__(self, log: DecisionLog) -> None:
        self.now_ms = 1_000.0
        self.state = FleetState()
        table: Any = SimpleNamespace(
            version=1, teams=SimpleNamespace(has_limits=True, teams={})
        )
        self.service = QuotaService(log, lambda: 1, lambda: self.state, lambda: table)

    def request(self) -> None:
        request = LeaseRequest(
            sequence=1,
            version=1,
            has_quota_report=True,
            quota_demands=[],
            is_quota_report_complete=True,
        )
        self.service.grant(_ENTRY, request)


@pytest.fixture
def leader(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Leader]:
    sink = os.open(os.devnull, os.O_WRONLY)
    found = _Leader(DecisionLog("n1", sink))
    monkeypatch.setattr(_quota_service, "boot_ms", lambda: found.now_ms)
    yield found
    os.close(sink)


@pytest.mark.parametrize("n_requests_before_commit", [1, 2, 20])
def test_absent_holder_is_removed(
    leader: _Leader, n_requests_before_commit: int
) -> None:
    """Guards against an entry VM that stays a holder for ever.

    It asked again while the command that stores it was being committed.
    """
    leader.request()
    command = leader.service.holders_to_store()
    assert command is not None
    for _ in range(1, n_requests_before_commit):
        leader.request()
    leader.state.share_holders = list(command.holders)
    leader.request()
    assert leader.service.holders_to_store() is None
    for _ in range(_N_ABSENT_CHECKS):
        leader.now_ms += _CHECK_INTERVAL_MS
        command = leader.service.holders_to_store()
        if command is not None:
            leader.state.share_holders = list(command.holders)
    assert leader.state.share_holders == []
