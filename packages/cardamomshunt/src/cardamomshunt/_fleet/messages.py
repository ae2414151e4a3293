"""Messages between entry VMs and control nodes, and among control nodes."""

import msgspec

from cardamomshunt._fleet.primary_assignments import Assignment
from cardamomshunt._fleet.server_registry import ServerReport
from cardamomshunt._shared.messages import Message


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Report that an entry VM gets no answer from a primary."""

    group: str
    server: str
    epoch: int


class LeaseRequest(Message, kw_only=True, array_like=True):
    """Ask the leader to extend the right to use primaries.

    `released` names the epochs, by group, that this entry VM will not use any more.
    Any control node answers with a newer configuration; only the leader grants.
    """

    sequence: int
    started_ms: int
    version: int
    registry_digest: int = 0
    newest_epoch: int = -1
    suspicions: list[Suspicion] = []
    released: dict[str, int] = {}


class LeaseGrant(Message, kw_only=True, array_like=True):
    """Allow the use of primaries for `lease_ms` from when `sequence` was sent.

    `assignments` is None if the entry VM's newest epoch is the leader's.
    """

    sequence: int
    lease_ms: float
    n_entries: int
    assignments: dict[str, Assignment] | None
    control_addresses: list[str]


class LeaderHint(Message, kw_only=True, array_like=True):
    """Name the leader to an entry VM that asked another control node."""

    leader_address: str
    control_addresses: list[str]


class AssignmentsChanged(Message, kw_only=True, array_like=True):
    """Tell entry VMs of changed assignments; extends no lease."""

    assignments: dict[str, Assignment]


class DocumentChanged(Message, kw_only=True, array_like=True):
    """Carry a committed configuration."""

    version: int
    document: bytes


class ReportsChanged(Message, kw_only=True, array_like=True):
    """Carry changed reports; with `receipt` above 0 the receiver confirms them."""

    reports: list[ServerReport]
    receipt: int = 0


class ReportsReceived(Message, kw_only=True, array_like=True):
    """Confirm ReportsChanged."""

    receipt: int


class ReportsRequest(Message, kw_only=True, array_like=True):
    """Ask a control node for all reports unless it knows the same ones.

    `digest` is of the reports that the sender knows.
    """

    digest: int = 0
