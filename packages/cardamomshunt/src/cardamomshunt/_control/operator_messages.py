"""Requests of operators to a daemon, and the replies."""

import enum

import msgspec

from cardamomshunt._shared.messages import Change, FailoverStep, Message, NodeRole
from cardamomshunt._shared.position import LogPosition


class OperatorErrorCode(enum.Enum):
    """Reason why a daemon cannot answer an operator's request."""

    NOT_LEADER = "not_leader"
    NO_LEADER = "no_leader"
    NO_QUORUM = "no_quorum"
    UNKNOWN_TARGET = "unknown_target"
    UNSUPPORTED = "unsupported"
    INTERNAL = "internal"


class OperatorError(Message, kw_only=True):
    """Report why a request has no answer.

    `leader_operator_address` is the address to send the request to, if it is known.
    """

    code: OperatorErrorCode
    detail: str
    leader_operator_address: str | None = None


class StatusRequest(Message, kw_only=True):
    """Request the state of the deployment as this daemon knows it."""


class InstanceStatus(msgspec.Struct, kw_only=True):
    """Status of one backend server; `lag_ms` is None if it is not known."""

    database: str
    instance: str
    zone: str
    role: str
    term: int
    applied_position: LogPosition
    lag_ms: float | None
    silence_ms: float
    is_leaving: bool = False


class DatabaseStatus(msgspec.Struct, kw_only=True):
    """Status of one database and its instances."""

    database: str
    term: int
    primary_instance: str | None
    step: FailoverStep
    instances: list[InstanceStatus] = []


class NodeStatus(msgspec.Struct, kw_only=True):
    """Status of one daemon; `silence_ms` is the time since its last heartbeat."""

    node: str
    role: NodeRole
    zone: str
    operator_address: str
    configuration_version: int
    topology_version: int
    silence_ms: float
    is_leader: bool = False
    is_draining: bool = False


class Problem(msgspec.Struct, kw_only=True):
    """One problem in a sentence, and what the operator can do about it."""

    summary: str
    action: str


class StatusReply(Message, kw_only=True):
    """Status of the deployment; `is_authoritative` is true from a leader with a lease."""

    node: str
    is_authoritative: bool
    configuration_version: int
    leader: str | None
    databases: list[DatabaseStatus]
    nodes: list[NodeStatus]
    problems: list[Problem]


class PatchOutcome(enum.Enum):
    """Outcome of a patch."""

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"
    INVALID = "invalid"
    DRY_RUN_OK = "dry_run_ok"


class FieldError(msgspec.Struct, frozen=True, kw_only=True):
    """Error in the value of one field."""

    path: str
    reason: str


class PatchRequest(Message, kw_only=True):
    """Request changes to the configuration of version `base_version`.

    A repeated `patch_id` is not applied again and gets the first reply.
    """

    patch_id: str
    base_version: int
    changes: list[Change]
    author: str = ""
    is_dry_run: bool = False


class PatchReply(Message, kw_only=True):
    """Report the outcome of a patch.

    `in_force_on` and `missing_on` name the nodes with and without the version.
    """

    patch_id: str
    outcome: PatchOutcome
    version: int
    errors: list[FieldError] = []
    changes_since: list[Change] = []
    in_force_on: list[str] = []
    missing_on: list[str] = []


class VersionEntry(msgspec.Struct, kw_only=True):
    """History entry of one version of the configuration."""

    version: int
    patch_id: str
    author: str
    changes: list[Change]


class ConfigurationRequest(Message, kw_only=True):
    """Request the document of a version (None: the newest) and recent history."""

    version: int | None = None
    n_history: int = 0


class ConfigurationReply(Message, kw_only=True):
    """Return a document as JSON, the history, and where its version is in force."""

    version: int
    document_json: str
    history: list[VersionEntry] = []
    in_force_on: list[str] = []
    missing_on: list[str] = []


class DrainRequest(Message, kw_only=True):
    """Drain, or resume, a backend server or an entry VM."""

    target: str
    is_draining: bool = True


class DrainReply(Message, kw_only=True):
    """Report that draining was accepted."""

    target: str
    is_draining: bool
    detail: str = ""


class HandoverRequest(Message, kw_only=True):
    """Move a primary to another instance (None: the most advanced replica)."""

    database: str
    to_instance: str | None = None


class HandoverReply(Message, kw_only=True):
    """Report that a handover was accepted."""

    database: str
    from_instance: str
    to_instance: str
    term: int


class MemberChangeRequest(Message, kw_only=True):
    """Add or remove one control node."""

    node: str
    zone: str = ""
    peer_address: str = ""
    operator_address: str = ""
    is_removal: bool = False


class MemberChangeReply(Message, kw_only=True):
    """Report the members after an accepted change."""

    members: list[str]
    is_caught_up: bool


class TimelineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One logged event; `hlc` is a hybrid logical time, `cause` names another event."""

    hlc: int
    node: str
    number: int
    subject: str = ""
    detail: str = ""
    database: str = ""
    cause: str = ""


class TimelineRequest(Message, kw_only=True):
    """Request a daemon's own events of the last `since_ms`."""

    since_ms: float
    database: str | None = None
    n_events_max: int = 5_000


class TimelineReply(Message, kw_only=True):
    """Return a daemon's own events, oldest first."""

    node: str
    events: list[TimelineEvent]
    n_dropped: int = 0
