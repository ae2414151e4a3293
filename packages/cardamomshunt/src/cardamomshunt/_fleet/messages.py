"""Messages between entry VMs and control nodes, and among control nodes."""

import zlib

import msgspec

from cardamomshunt._fleet.primary_assignments import Assignment
from cardamomshunt._fleet.server_registry import ServerReport
from cardamomshunt._fleet.shared_bounds import SharedBound
from cardamomshunt._fleet.zone_paces import PaceReport
from cardamomshunt._shared.messages import Message

# The fastest level suffices: routes resemble each other, so that a document shrinks to
# about a tenth.
_COMPRESSION_LEVEL = 1


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Suspicion of an entry VM that a primary has failed, as it does not answer."""

    group: str
    server: str
    epoch: int


class QuotaDemand(msgspec.Struct, frozen=True, array_like=True):
    """Operations of a team per second that an entry VM was asked for, and its share.

    `n_held` counts its tokens, with those of running operations, and `n_needed` those
    that it lacks now. `n_returned_total` counts the tokens that it gave up as its burst
    was lowered. The held share is a part of `limit_rate_per_s` and `limit_burst`.
    """

    team: str
    demand_per_s: float
    held_rate_per_s: float = 0.0
    held_burst: float = 0.0
    n_held: float = 0.0
    n_needed: float = 0.0
    n_returned_total: float = 0.0
    limit_rate_per_s: float = 0.0
    limit_burst: float = 0.0


class QuotaShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of a team's rate limit that one entry VM may use while leased.

    `n_tokens_total` counts the single tokens that the ledger has given to this holder.
    The share is a part of the limit `limit_rate_per_s` and `limit_burst`. If `wait_ms`
    is not 0, no further token can be given before that time has passed.
    """

    team: str
    rate_per_s: float
    burst: float
    n_tokens_total: float = 0.0
    limit_rate_per_s: float = 0.0
    limit_burst: float = 0.0
    wait_ms: float = 0.0


class LeaseRequest(Message, kw_only=True, array_like=True):
    """Ask the leader to extend the lease on the use of primaries.

    `released` maps groups to the epoch that this entry VM no longer uses. With
    `is_for_assigned_control_node` the receiver, if it is not the leader, forwards the
    request to the leader, and sends the entry VM the updates that it lacks. Ages in
    `bounds` count from the grant with `number` equal to `answered_number`.
    `full_servers` lately refused a connection because they had reached their maximum,
    `overloaded_servers` a statement because of a full queue, or a connection.
    `incarnation` grows with each start of the entry VM. `watched_groups` are those
    whose primaries it uses; None stands for all. `quota_number` is that of the newest
    grant of shares that it applied, and `quota_demands` is None if nothing changed. With
    `is_quota_report_complete`, the sender has no share of a team that is not listed.
    Without `has_quota_report`, the request says nothing about shares. `paces` is None
    unless the entry VM limits its use of servers.
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
    overloaded_servers: list[str] = []
    zone: str = ""
    incarnation: int = 0
    is_draining: bool = False
    entries_digest: int = 0
    watched_groups: list[str] | None = None
    quota_number: int = 0
    quota_demands: list[QuotaDemand] | None = None
    is_quota_report_complete: bool = False
    paces: PaceReport | None = None
    has_quota_report: bool = False


class LeaseGrant(Message, kw_only=True, array_like=True):
    """Grant the use of primaries for `lease_ms` from when `sequence` was sent.

    `n_entries` counts the entry VMs and is 0 while the leader can't know it.
    `assignments` is None if the entry VM's newest epoch is the leader's, and
    `control_addresses` if the entry VM has them. `zone`, `number`, `bounds`,
    `full_servers` and `overloaded_servers` are of the assigned control node, which may
    not be the leader.
    `version` is the leader's configuration version, so that an entry VM can leave an
    assigned control node that does not have it. `zone_entries` are the peer addresses of
    the entry VMs of the receiver's zone, or None if it has them. `quota_shares` replace
    the receiver's shares of these teams if `quota_number` is newer than the one that it
    applied. `paces` is what the other entry VMs of the zone know, if the receiver sent
    its own.
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
    overloaded_servers: list[str] = []
    zone_entries: list[str] | None = None
    quota_number: int = 0
    quota_shares: list[QuotaShare] | None = None
    paces: PaceReport | None = None


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Lease request with the address of the entry VM that sent it."""

    entry: str
    request: LeaseRequest


class RelayedRequests(Message, kw_only=True, array_like=True):
    """Forward lease requests of the entry VMs of a zone to the leader."""

    requests: list[RelayedRequest]


class RelayedGrant(msgspec.Struct, frozen=True, array_like=True):
    """Lease grant with the address of the entry VM that it is for."""

    entry: str
    grant: LeaseGrant


class RelayedGrants(Message, kw_only=True, array_like=True):
    """Return grants to the control node that forwarded the requests."""

    grants: list[RelayedGrant]


class LeaderHint(Message, kw_only=True, array_like=True):
    """Redirect an entry VM that asked another control node to the leader."""

    leader_address: str
    control_addresses: list[str] | None = None
    zone: str = ""


class AssignmentsChanged(Message, kw_only=True, array_like=True):
    """Notify entry VMs of changed assignments, without extending a lease."""

    assignments: dict[str, Assignment]


class DocumentChanged(Message, kw_only=True, array_like=True):
    """Distribute a committed configuration document, compressed."""

    version: int
    compressed: bytes

    @classmethod
    def of(cls, version: int, document: bytes) -> "DocumentChanged":
        """Build the message for a document."""
        return cls(
            version=version, compressed=zlib.compress(document, _COMPRESSION_LEVEL)
        )

    @property
    def document(self) -> bytes:
        """Return the document, decompressed; raise zlib.error if it is corrupt."""
        return zlib.decompress(self.compressed)


class ReportsChanged(Message, kw_only=True, array_like=True):
    """Distribute changed reports; if `receipt` is not 0, ask for confirmation."""

    reports: list[ServerReport]
    receipt: int = 0


class ReportsReceived(Message, kw_only=True, array_like=True):
    """Confirm the ReportsChanged message with the same `receipt`."""

    receipt: int


class ReportsRequest(Message, kw_only=True, array_like=True):
    """Ask a control node for all reports, unless `digest` matches its own.

    `digest` is the digest of the reports that the sender knows.
    """

    digest: int = 0


def digest_of(addresses: list[str]) -> int:
    """Return a checksum of a list of addresses, which must be sorted."""
    return zlib.crc32(" ".join(addresses).encode())
