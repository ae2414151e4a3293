"""Routes, leases and primary assignments where servers report themselves."""

from cardamomshunt._fleet.connect_backoff import full_server_pause_ms
from cardamomshunt._fleet.connection_quota import ConnectionQuota
from cardamomshunt._fleet.control_node_selector import ControlNodeSelector
from cardamomshunt._fleet.failure_rate import FailureRate
from cardamomshunt._fleet.lease_table import LeaseTable
from cardamomshunt._fleet.messages import (
    AssignmentsChanged,
    DocumentChanged,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    QuotaDemand,
    QuotaShare,
    RelayedGrant,
    RelayedGrants,
    RelayedRequest,
    RelayedRequests,
    ReportsChanged,
    ReportsReceived,
    ReportsRequest,
    Suspicion,
    digest_of,
)
from cardamomshunt._fleet.primary_assignments import (
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    AssignPrimary,
    CountEntries,
    FinishPromotion,
    FleetCommand,
    FleetState,
    PromoteSuccessor,
    PutDocument,
    StopPrimary,
    StoreServers,
    StoreShareHolders,
    encode_command,
)
from cardamomshunt._fleet.primary_lease import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    AckRefusal,
    EndedEpoch,
    EpochEnd,
    PrimaryLease,
)
from cardamomshunt._fleet.quota_ledger import QuotaGrant, QuotaLedger
from cardamomshunt._fleet.quota_limit import QuotaLimit, limits_of
from cardamomshunt._fleet.read_routing import ReadCandidate, order_of_reads
from cardamomshunt._fleet.reconnect_order import (
    OVERDUE_OPENING_MS,
    ReconnectOrder,
)
from cardamomshunt._fleet.refusal_history import RefusalHistory
from cardamomshunt._fleet.route_table import (
    ConfigurationInvalidError,
    GroupLimits,
    Route,
    RouteKind,
    RouteTable,
    build_route_table,
)
from cardamomshunt._fleet.servability import Servability
from cardamomshunt._fleet.server_gate import ServerGate
from cardamomshunt._fleet.server_pace import (
    AnswerKind,
    PaceChange,
    PaceReason,
    PaceSample,
    ServerPace,
    ServerUse,
    merge_samples,
)
from cardamomshunt._fleet.server_paces import ServerPaces
from cardamomshunt._fleet.server_registry import (
    ServerRegistry,
    ServerReport,
    ServerState,
)
from cardamomshunt._fleet.session_owners import (
    SessionOwners,
    ZoneSize,
    count_holders,
    needs_owners,
    rendezvous_order,
    zone_size,
)
from cardamomshunt._fleet.shared_bounds import BoundExchange, SharedBound
from cardamomshunt._fleet.statement_queue import StatementQueue
from cardamomshunt._fleet.successor import ServerStatus, choose_successor
from cardamomshunt._fleet.team_connections import (
    AcquireAction,
    ReleaseAction,
    ReleaseRule,
    TeamWaiter,
    best_uncovered_waiter,
    choose_acquire_action,
    choose_evicted,
)
from cardamomshunt._fleet.team_quota import (
    Admission,
    QuotaDecision,
    QuotaReport,
    QuotaState,
    TeamQuotas,
)
from cardamomshunt._fleet.teams import Team, TeamTable, key_digest, key_fingerprint
from cardamomshunt._fleet.zone_members import ZoneMembers
from cardamomshunt._fleet.zone_paces import ClassLatency, PaceReport, ZonePaces

__all__ = [
    "LEASE_MARGIN_MS",
    "LEASE_MS",
    "OVERDUE_OPENING_MS",
    "AckRefusal",
    "AcquireAction",
    "Admission",
    "AnswerKind",
    "AssignPrimary",
    "Assignment",
    "AssignmentCommand",
    "AssignmentPhase",
    "AssignmentsChanged",
    "BoundExchange",
    "ClassLatency",
    "ConfigurationInvalidError",
    "ConnectionQuota",
    "ControlNodeSelector",
    "CountEntries",
    "DocumentChanged",
    "EndedEpoch",
    "EpochEnd",
    "FailureRate",
    "FinishPromotion",
    "FleetCommand",
    "FleetState",
    "GroupLimits",
    "LeaderHint",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseTable",
    "PaceChange",
    "PaceReason",
    "PaceReport",
    "PaceSample",
    "PrimaryLease",
    "PromoteSuccessor",
    "PutDocument",
    "QuotaDecision",
    "QuotaDemand",
    "QuotaGrant",
    "QuotaLedger",
    "QuotaLimit",
    "QuotaReport",
    "QuotaShare",
    "QuotaState",
    "ReadCandidate",
    "ReconnectOrder",
    "RefusalHistory",
    "RelayedGrant",
    "RelayedGrants",
    "RelayedRequest",
    "RelayedRequests",
    "ReleaseAction",
    "ReleaseRule",
    "ReportsChanged",
    "ReportsReceived",
    "ReportsRequest",
    "Route",
    "RouteKind",
    "RouteTable",
    "Servability",
    "ServerGate",
    "ServerPace",
    "ServerPaces",
    "ServerRegistry",
    "ServerReport",
    "ServerState",
    "ServerStatus",
    "ServerUse",
    "SessionOwners",
    "SharedBound",
    "StatementQueue",
    "StopPrimary",
    "StoreServers",
    "StoreShareHolders",
    "Suspicion",
    "Team",
    "TeamQuotas",
    "TeamTable",
    "TeamWaiter",
    "ZoneMembers",
    "ZonePaces",
    "ZoneSize",
    "best_uncovered_waiter",
    "build_route_table",
    "choose_acquire_action",
    "choose_evicted",
    "choose_successor",
    "count_holders",
    "digest_of",
    "encode_command",
    "full_server_pause_ms",
    "key_digest",
    "key_fingerprint",
    "limits_of",
    "merge_samples",
    "needs_owners",
    "order_of_reads",
    "rendezvous_order",
    "zone_size",
]
