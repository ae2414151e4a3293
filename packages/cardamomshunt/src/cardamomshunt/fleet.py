"""Routes, servers, leases and assignments of a deployment found by reports."""

from cardamomshunt._fleet.messages import (
    AssignmentsChanged,
    DocumentChanged,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    ReportsChanged,
    ReportsReceived,
    ReportsRequest,
    Suspicion,
)
from cardamomshunt._fleet.primary_assignments import (
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    AssignPrimary,
    FinishPromotion,
    FleetCommand,
    FleetState,
    PromoteSuccessor,
    PutDocument,
    StopPrimary,
    encode_command,
)
from cardamomshunt._fleet.primary_lease import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    LeaseTable,
    PrimaryLease,
)
from cardamomshunt._fleet.route_table import (
    ConfigurationInvalidError,
    GroupLimits,
    Route,
    RouteKind,
    RouteTable,
    build_route_table,
)
from cardamomshunt._fleet.server_registry import (
    ServerRegistry,
    ServerReport,
    ServerState,
)
from cardamomshunt._fleet.successor import ServerStatus, choose_successor

__all__ = [
    "LEASE_MARGIN_MS",
    "LEASE_MS",
    "AssignPrimary",
    "Assignment",
    "AssignmentCommand",
    "AssignmentPhase",
    "AssignmentsChanged",
    "ConfigurationInvalidError",
    "DocumentChanged",
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
    "ReportsChanged",
    "ReportsReceived",
    "ReportsRequest",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServerRegistry",
    "ServerReport",
    "ServerState",
    "ServerStatus",
    "StopPrimary",
    "Suspicion",
    "build_route_table",
    "choose_successor",
    "encode_command",
]
