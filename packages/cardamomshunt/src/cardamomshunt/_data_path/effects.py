"""Inputs and effects of the data path."""

import enum
from typing import TypeAlias

import msgspec

from cardamomshunt._shared.messages import InstanceAddress, InstanceRole
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.verdict import Refusal

CallerId: TypeAlias = int
RequestId: TypeAlias = int
ConnectionId: TypeAlias = int


class RequestClass(enum.Enum):
    """Class of a request; each class has its own limits."""

    ORDER = "order"
    LOOKUP = "lookup"
    DISPATCH = "dispatch"


class RequestKind(enum.Enum):
    """Kind of a statement by its effect on data and on the caller's transaction.

    SESSION_STATE reads or changes state of its connection. IMPLICIT_COMMIT may end
    an open transaction, as data definition and stored procedures do.
    """

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SESSION_STATE = "session_state"
    IMPLICIT_COMMIT = "implicit_commit"
    OUTCOME_QUERY = "outcome_query"


class SessionHints(msgspec.Struct, frozen=True, kw_only=True):
    """Hints of one request; None if a hint is not given."""

    session: str | None = None
    max_age_ms: float | None = None
    idempotency_key: str | None = None
    deadline_ms: float | None = None
    request_class: RequestClass | None = None
    watermark: LogPosition | None = None


class Request(msgspec.Struct, kw_only=True):
    """One statement of a caller, without its text, which only the caller edge has."""

    request_id: RequestId
    caller_id: CallerId
    database: str
    kind: RequestKind
    hints: SessionHints
    fingerprint: str = ""


class AttemptKind(enum.Enum):
    """Way in which the backend edge runs an attempt.

    PLAIN: run the statement. ACKNOWLEDGED_WRITE: run the statement and wait for a
    majority. IDEMPOTENT_WRITE: as ACKNOWLEDGED_WRITE, and write the idempotency record
    in the same transaction. ACKNOWLEDGED_COMMIT: commit the open transaction and wait
    for a majority. QUERY_OUTCOME: look up an idempotency key, and revoke it if absent.
    """

    PLAIN = "plain"
    ACKNOWLEDGED_WRITE = "acknowledged_write"
    IDEMPOTENT_WRITE = "idempotent_write"
    ACKNOWLEDGED_COMMIT = "acknowledged_commit"
    QUERY_OUTCOME = "query_outcome"


class QueryOutcome(enum.Enum):
    """Outcome of the write with an idempotency key."""

    RAN = "RAN"
    NOT_RUN = "NOT_RUN"
    UNKNOWN = "UNKNOWN"


class AttemptOutcome(enum.Enum):
    """Outcome of an attempt, as far as the backend edge can prove it.

    OK: answered, and acknowledged if the kind requires it. BACKEND_ERROR: error of the
    server itself, statement not applied. FENCED: refused because of its term, not
    applied. NOT_SENT: nothing was sent. LOST: connection lost or timed out after
    sending; a write may have run. NOT_ACKNOWLEDGED: applied by the primary, but not
    acknowledged by a majority in time. KEY_REUSED: the key belongs to another
    statement. KEY_REVOKED: an outcome query revoked the key before this attempt.
    """

    OK = "ok"
    BACKEND_ERROR = "backend_error"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    LOST = "lost"
    NOT_ACKNOWLEDGED = "not_acknowledged"
    KEY_REUSED = "key_reused"
    KEY_REVOKED = "key_revoked"


class FirstAnswer(msgspec.Struct, frozen=True):
    """Stored answer of a write that ran before with the same idempotency key."""

    n_affected_rows: int
    last_insert_id: int


class AttemptResult(msgspec.Struct, kw_only=True):
    """Result of an attempt; `position` is set for acknowledged writes.

    For a read, `position` may be the position that the server had applied when it
    answered. `error_code` is the code of the server if the outcome is BACKEND_ERROR.
    """

    request_id: RequestId
    attempt: int
    connection_id: ConnectionId
    outcome: AttemptOutcome
    position: LogPosition | None = None
    first_answer: FirstAnswer | None = None
    query_outcome: QueryOutcome | None = None
    elapsed_ms: float = 0.0
    detail: str = ""
    error_code: int = 0


class ConnectionOpened(msgspec.Struct, kw_only=True):
    """New backend connection with the server's state from the handshake."""

    connection_id: ConnectionId
    instance: str
    incarnation: int
    role: InstanceRole
    term: int
    applied_position: LogPosition
    elapsed_ms: float


class ConfirmedBound(msgspec.Struct, frozen=True, kw_only=True):
    """Position that includes all writes acknowledged before `as_of_ms`."""

    database: str
    position: LogPosition
    as_of_ms: float


class DataPathEffect(msgspec.Struct, kw_only=True):
    """Base class of the effects that the host has to carry out."""


class OpenConnection(DataPathEffect, kw_only=True):
    """Open a connection to an instance; bind it to `term` if that is given."""

    connection_id: ConnectionId
    database: str
    instance: str
    address: InstanceAddress
    term: int | None


class CloseConnection(DataPathEffect, kw_only=True):
    """Close a backend connection immediately, even if an attempt runs on it."""

    connection_id: ConnectionId
    reason: str


class ResetConnection(DataPathEffect, kw_only=True):
    """Roll back and clear session state before another session uses a connection.

    The host responds with `on_connection_reset` or `on_connection_closed`.
    """

    connection_id: ConnectionId


class StartAttempt(DataPathEffect, kw_only=True):
    """Run a request's statement on a connection within `timeout_ms`.

    A write that is applied waits at most `await_majority_ms` for a majority.
    """

    request_id: RequestId
    attempt: int
    connection_id: ConnectionId
    kind: AttemptKind
    timeout_ms: float
    await_majority_ms: float = 0.0
    idempotency_key: str | None = None
    fingerprint: str = ""


class QueryPosition(DataPathEffect, kw_only=True):
    """Query the confirmed position of the primary.

    The host responds with `on_confirmed_bound`.
    """

    database: str
    connection_id: ConnectionId
    timeout_ms: float


class CompleteRequest(DataPathEffect, kw_only=True):
    """Send the answer of an attempt to the caller.

    `is_from_replica` and `age_ms` are set for reads. `watermark` is the watermark of
    the session after the request. If `first_answer` is set, it is the answer.
    """

    request_id: RequestId
    attempt: int
    is_from_replica: bool = False
    age_ms: float | None = None
    watermark: LogPosition | None = None
    first_answer: FirstAnswer | None = None
    query_outcome: QueryOutcome | None = None


class RefuseRequest(DataPathEffect, kw_only=True):
    """End a request with a refusal."""

    request_id: RequestId
    refusal: Refusal


class EmitEvent(DataPathEffect, kw_only=True):
    """Log a numbered event of the catalogue in docs/events.md."""

    number: int
    subject: str = ""
    detail: str = ""
