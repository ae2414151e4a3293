"""Tests of the service of a control node for entry VMs, without a network."""

from types import SimpleNamespace
from typing import Any

import pytest
from cardamomshunt.fleet import (
    FleetState,
    LeaseGrant,
    LeaseRequest,
    RelayedGrant,
    RelayedGrants,
    RelayedRequests,
    ServerRegistry,
)
from cardamomshunt.messages import Message
from cardamomshunt_node._entry_service import EntryService

_ENTRY = "127.0.0.1:1"
_LEADER = "127.0.0.1:2"


class _Transport:
    """Collect the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    def send(self, address: str, message: Message) -> None:
        self.sent.append((address, message))

    def granted_sequences(self) -> list[int]:
        return [item.sequence for _, item in self.sent if isinstance(item, LeaseGrant)]


def _make_service(transport: _Transport) -> EntryService:
    """Return the service of a control node that follows a leader."""
    host: Any = SimpleNamespace(
        may_act=False,
        leader_address=lambda: _LEADER,
        node=SimpleNamespace(members=[]),
    )
    settings: Any = SimpleNamespace(zone="z", peer_address="127.0.0.1:3")
    reports: Any = SimpleNamespace(
        registry=ServerRegistry(), send_all=lambda address: None
    )
    unused: Any = None
    state = FleetState()
    sender: Any = transport
    return EntryService(
        settings,
        host,
        sender,
        reports,
        unused,
        lambda: state,
        lambda: None,
        lambda: None,
        unused,
    )


def _request(sequence: int) -> LeaseRequest:
    return LeaseRequest(
        sequence=sequence,
        version=0,
        is_for_assigned_control_node=True,
        # Relayed at once.
        released={"g": 1},
    )


def _grants(*sequences: int) -> RelayedGrants:
    grants = [
        RelayedGrant(
            _ENTRY,
            LeaseGrant(
                sequence=number, lease_ms=1_300.0, n_entries=1, assignments=None
            ),
        )
        for number in sequences
    ]
    return RelayedGrants(grants=grants)


@pytest.mark.parametrize(
    ("requested", "granted", "forwarded"),
    [
        ([5], [5], [5]),
        # The leader answers after the next requests have been relayed.
        ([5, 6], [5], [5]),
        ([5, 6, 7], [5, 6, 7], [5, 6, 7]),
        # A grant that is answered already, or was never relayed.
        ([5], [5, 5], [5]),
        ([5], [6], []),
        # A grant to an earlier process at the same address.
        ([5_000], [5], []),
    ],
)
async def test_grants_are_forwarded_though_newer_requests_are_relayed(
    requested: list[int], granted: list[int], forwarded: list[int]
) -> None:
    """Guards against an entry VM that gets no grant through a slow link.

    It took its assigned control node for dead where the leader answered later than the
    interval of its requests.
    """
    transport = _Transport()
    service = _make_service(transport)
    for sequence in requested:
        service.on_request(_ENTRY, _request(sequence))
    relayed = [item for _, item in transport.sent if isinstance(item, RelayedRequests)]
    assert len(relayed) == len(requested)
    for sequence in granted:
        service.on_relayed_grants(_grants(sequence))
    assert transport.granted_sequences() == forwarded
