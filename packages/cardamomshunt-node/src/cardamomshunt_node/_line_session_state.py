"""State of callers' sessions, and the refusal of a statement."""

import random
from dataclasses import dataclass, field

from cardamomshunt.fleet import Route
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_pool import BackendConnection
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._session_protocol import (
    ErrorCode,
    PreparedStatement,
    TransactionState,
)

_RETRY_PAUSE_MIN_MS = 30.0
_RETRY_PAUSE_MAX_MS = 200.0
RETRY_AFTER_MS = 250
# The answer has to reach the caller before its own limit for the statement.
_ANSWER_MARGIN_MS = 30.0


class RefusedError(Exception):
    """Carry the refusal of a statement that kept nothing, or may have."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def not_run_error(code: ErrorCode, reason: str) -> RefusedError:
    """Return the refusal of a statement that may be asked again."""
    return RefusedError(code, f"{reason}; retry_after_ms={RETRY_AFTER_MS}")


def retry_pause_ms(n_refused: int) -> float:
    """Return how long to wait after so many refusals; it doubles, with jitter.

    Servers whose queues are full refuse all the faster the more often they are asked.
    """
    pause_ms = _RETRY_PAUSE_MIN_MS * 2.0 ** min(n_refused, 8)
    return min(pause_ms, _RETRY_PAUSE_MAX_MS) * random.uniform(0.6, 1.0)


def statement_deadline_ms(
    route: Route, received_ms: float, answer_deadline_ms: float
) -> float:
    """Return until when a statement has to be answered.

    `answer_deadline_ms` is when this process has to have answered all statements.
    """
    deadline_ms = received_ms + route.statement_timeout_ms - _ANSWER_MARGIN_MS
    return min(deadline_ms, answer_deadline_ms)


def seconds_until(deadline_ms: float) -> float:
    """Return the time left as asyncio takes it, at least a moment."""
    return max(deadline_ms - boot_ms(), 1.0) / 1_000.0


@dataclass(slots=True)
class Transaction:
    """Hold an open transaction; it has no connection before its first statement."""

    route: Route
    is_read_only: bool
    received_ms: float
    connection: BackendConnection | None = None
    epoch: int = -1
    has_written: bool = False
    is_failed: bool = False
    last_used_ms: float = 0.0


@dataclass(slots=True)
class LineSession:
    """Hold the state of one caller's session."""

    session_id: int
    database: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    positions: dict[str, DatedPosition] = field(default_factory=dict)
    transaction: Transaction | None = None

    @property
    def state(self) -> TransactionState:
        """Return the state that the caller sees."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.is_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN
