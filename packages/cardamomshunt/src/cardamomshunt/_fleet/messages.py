"""Messages between entry VMs and control nodes, and among control nodes."""

import zlib

import msgspec

from cardamomshunt._fleet.primary_assignments import Assignment
from cardamomshunt._fleet.server_registry import ServerReport
from cardamomshunt._fleet.shared_bounds import SharedBound
from cardamomshunt._shared.messages import Message

# The fastest level; routes are alike, so that a document shrinks about tenfold.
_COMPRESSION_LEVEL = 1


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Report that an entry VM gets no answer from a primary."""

    group: str
    server: str
    epoch: int


class LeaseRequest(Message, kw_only=True, array_like=True):
    """Ask the leader to extend the right to use primaries.

    `released` names the epochs, by group, that this entry VM will not use any more.
    With `is_for_assigned_control_node` the receiver passes the request on to the leader if it does not
    lead, and sends what the entry VM lacks. `bounds` are dated by the home's message
    that has the number `answers`. `full_servers` lately refused a connection because
    they have as many as they take.
    """

    sequence: int
    version: int
    registry_digest: int = 0
    newest_epoch: int = -1
    suspicions: list[Suspicion] = []
    released: dict[str, int] = {}
    is_for_assigned_control_node: bool = msgspec.field(default=False, name="is_home")
    control_digest: int = 0
    answered_number: int = msgspec.field(default=0, name="answers")
    bounds: list[SharedBound] = []
    full_servers: list[str] = []


class LeaseGrant(Message, kw_only=True, array_like=True):
    """Allow the use of primaries for `lease_ms` from when `sequence` was sent.

    `n_entries` is 0 while the leader can't know it. `assignments` is None if the
    entry VM's newest epoch is the leader's. Lists of
    addresses are None if the entry VM has them. `zone`, `number`, `bounds` and
    `full_servers` are of the home, which may not be the leader. `version` is the
    leader's configuration, so that an entry VM leaves a home that does not have it.
    """

    sequence: int
    lease_ms: float
    n_entries: int
    assignments: dict[str, Assignment] | None
    control_addresses: list[str] | None = None
    leader_address: str = ""
    version: int = 0
    zone: str = ""
    number: int = 0
    bounds: list[SharedBound] = []
    full_servers: list[str] = []


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold a request with the address of the entry VM that sent it."""

    entry: str
    request: LeaseRequest


class RelayedRequests(Message, kw_only=True, array_like=True):
    """Carry requests of the entry VMs of a zone to the leader."""

    requests: list[RelayedRequest]


class RelayedGrant(msgspec.Struct, frozen=True, array_like=True):
    """Hold a grant with the address of the entry VM that it is for."""

    entry: str
    grant: LeaseGrant


class RelayedGrants(Message, kw_only=True, array_like=True):
    """Carry grants back to the control node that passed the requests on."""

    grants: list[RelayedGrant]


class LeaderHint(Message, kw_only=True, array_like=True):
    """Name the leader to an entry VM that asked another control node."""

    leader_address: str
    control_addresses: list[str] | None = None
    zone: str = ""


class AssignmentsChanged(Message, kw_only=True, array_like=True):
    """Tell entry VMs of changed assignments; extends no lease."""

    assignments: dict[str, Assignment]


class DocumentChanged(Message, kw_only=True, array_like=True):
    """Carry a committed configuration, compressed."""

    version: int
    compressed: bytes

    @classmethod
    def of(cls, version: int, document: bytes) -> "DocumentChanged":
        """Return the message for a document."""
        return cls(
            version=version, compressed=zlib.compress(document, _COMPRESSION_LEVEL)
        )

    @property
    def document(self) -> bytes:
        """Return the document; raise zlib.error if it is damaged."""
        return zlib.decompress(self.compressed)


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


def digest_of(addresses: list[str]) -> int:
    """Return a checksum of a sorted list of addresses."""
    return zlib.crc32(" ".join(addresses).encode())
