"""State of callers' sessions, and errors and deadlines of their statements."""

import random
from dataclasses import dataclass, field

from cardamomshunt.fleet import AckRefusal, Route
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_connection import BackendConnection, Reply
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._session_protocol import (
    ErrorCode,
    PreparedStatement,
    TransactionState,
)

_RETRY_PAUSE_MIN_MS = 30.0
_RETRY_PAUSE_MAX_MS = 200.0
# Callers that are refused together retry over a range, not all at once.
_RETRY_AFTER_RANGE_MS = (200.0, 350.0)
# Waiting statements check this often whether they can still be served.
SERVABILITY_CHECK_MS = 100.0
# The answer has to reach the caller before the caller's own timeout.
_ANSWER_MARGIN_MS = 30.0


class RefusedError(Exception):
    """Raised when a statement has no answer; `code` says whether it may have run."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def not_run_error(
    code: ErrorCode, reason: str, retry_after_ms: float | None = None
) -> RefusedError:
    """Return the error of a statement that did not run and may be retried."""
    if retry_after_ms is None:
        retry_after_ms = random.uniform(*_RETRY_AFTER_RANGE_MS)
    return RefusedError(code, f"{reason}; retry_after_ms={round(retry_after_ms)}")


def former_primary_error(
    code: ErrorCode, refusal: AckRefusal, epoch: int
) -> RefusedError:
    """Return the error of a statement of an epoch that may not be used any more."""
    reason = f"the primary of epoch {epoch} was replaced"
    if refusal is AckRefusal.LEASE_LAPSED:
        reason = f"no lease on the primary of epoch {epoch}"
    return RefusedError(code, reason)


def record_answer(
    connection: BackendConnection,
    route: Route,
    kind: str,
    sent_ms: float,
    reply: Reply | None,
) -> None:
    """Record the answer to a statement at its server, or None if none came in time.

    Answers to statements of one route and kind take a similar time.
    """
    connection.pool.record_answer(
        connection,
        f"{route.database}/{kind}",
        route.priority,
        boot_ms() - sent_ms,
        reply,
    )


def retry_pause_ms(n_refused: int) -> float:
    """Return the exponential backoff after `n_refused` refusals, with jitter.

    Frequent retries make servers with full queues refuse even more statements.
    """
    pause_ms = _RETRY_PAUSE_MIN_MS * 2.0 ** min(n_refused, 8)
    return min(pause_ms, _RETRY_PAUSE_MAX_MS) * random.uniform(0.6, 1.0)


def statement_deadline_ms(
    route: Route, received_ms: float, answer_deadline_ms: float
) -> float:
    """Return the time by which a statement has to be answered.

    `answer_deadline_ms` is the time by which this process answers all statements.
    """
    deadline_ms = received_ms + route.statement_timeout_ms - _ANSWER_MARGIN_MS
    return min(deadline_ms, answer_deadline_ms)


def seconds_until(deadline_ms: float) -> float:
    """Return the seconds left until a deadline, at least 0.001."""
    return max(deadline_ms - boot_ms(), 1.0) / 1_000.0


@dataclass(slots=True)
class Transaction:
    """Open transaction; it has no connection before its first statement."""

    route: Route
    is_read_only: bool
    received_ms: float
    connection: BackendConnection | None = None
    epoch: int = -1
    has_written: bool = False
    is_failed: bool = False
    last_used_ms: float = 0.0

    def close_connection(self, reason: str) -> None:
        """Roll back on the server by closing the connection, if there is one."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close(reason)


@dataclass(slots=True)
class LineSession:
    """State of one caller's session; `team` is empty where callers have no teams.

    `key_digest` is the digest of the key that the session was opened with.
    `is_running` says that a statement of the caller has no answer yet.
    `may_cancel` says that the running statement has sent nothing that a server would
    have to undo, so that it may end when its caller disconnects.
    """

    session_id: int
    database: str
    team: str = ""
    key_digest: bytes = field(default=b"", repr=False)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    positions: dict[str, DatedPosition] = field(default_factory=dict)
    transaction: Transaction | None = None
    is_running: bool = False
    may_cancel: bool = False

    def is_transaction_idle(self, idle_ms: float, now_ms: float) -> bool:
        """Return whether an open transaction has been unused for some time.

        It is in use while a statement runs, also while that waits for a connection.
        """
        transaction = self.transaction
        if transaction is None or transaction.is_failed or self.is_running:
            return False
        return now_ms > transaction.last_used_ms + idle_ms

    @property
    def state(self) -> TransactionState:
        """Return the transaction state that is reported to the caller."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.is_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN
