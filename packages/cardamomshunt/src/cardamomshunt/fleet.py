"""Routes, leases and primary assignments where servers report themselves."""

from cardamomshunt._fleet.connect_backoff import full_server_pause_ms
from cardamomshunt._fleet.connection_quota import ConnectionQuota
from cardamomshunt._fleet.control_node_selector import ControlNodeSelector
from cardamomshunt._fleet.failure_rate import FailureRate
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
    encode_command,
)
from cardamomshunt._fleet.primary_lease import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    LeaseTable,
    PrimaryLease,
)
from cardamomshunt._fleet.read_routing import ReadCandidate, order_of_reads
from cardamomshunt._fleet.reconnect_order import (
    OVERDUE_OPENING_MS,
    ReconnectOrder,
    WaitingOrder,
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
from cardamomshunt._fleet.server_registry import (
    ServerRegistry,
    ServerReport,
    ServerState,
)
from cardamomshunt._fleet.shared_bounds import BoundExchange, SharedBound
from cardamomshunt._fleet.successor import ServerStatus, choose_successor
from cardamomshunt._fleet.teams import Team, TeamTable, key_digest, key_fingerprint

__all__ = [
    "LEASE_MARGIN_MS",
    "LEASE_MS",
    "OVERDUE_OPENING_MS",
    "AssignPrimary",
    "Assignment",
    "AssignmentCommand",
    "AssignmentPhase",
    "AssignmentsChanged",
    "BoundExchange",
    "ConfigurationInvalidError",
    "ConnectionQuota",
    "ControlNodeSelector",
    "CountEntries",
    "DocumentChanged",
    "FailureRate",
    "FinishPromotion",
    "FleetCommand",
    "FleetState",
    "GroupLimits",
    "LeaderHint",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseTable",
    "PrimaryLease",
    "PromoteSuccessor",
    "PutDocument",
    "QuotaDemand",
    "QuotaShare",
    "ReadCandidate",
    "ReconnectOrder",
    "RefusalHistory",
    "RelayedGrant",
    "RelayedGrants",
    "RelayedRequest",
    "RelayedRequests",
    "ReportsChanged",
    "ReportsReceived",
    "ReportsRequest",
    "Route",
    "RouteKind",
    "RouteTable",
    "Servability",
    "ServerRegistry",
    "ServerReport",
    "ServerState",
    "ServerStatus",
    "SharedBound",
    "StopPrimary",
    "StoreServers",
    "Suspicion",
    "Team",
    "TeamTable",
    "WaitingOrder",
    "build_route_table",
    "choose_successor",
    "digest_of",
    "encode_command",
    "full_server_pause_ms",
    "key_digest",
    "key_fingerprint",
    "order_of_reads",
]
