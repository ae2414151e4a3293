"""State of requests, transactions and callers on the data path."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cardamomshunt._configuration.document import ClassSettings
from cardamomshunt._data_path.effects import (
    CallerId,
    Request,
    RequestClass,
    RequestKind,
)
from cardamomshunt._data_path.freshness import ReadRequirement
from cardamomshunt._data_path.pool import Connection, InstanceState
from cardamomshunt._data_path.retries import RepeatRule
from cardamomshunt._data_path.sessions import Session
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.state_chart import StateChart

if TYPE_CHECKING:
    from cardamomshunt._data_path.admission import AdmissionQueue
    from cardamomshunt._data_path.group import DatabaseGroup

_CHART = StateChart.load("request")


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """One running attempt; `applied_position` is that of its instance at the start."""

    pending: "PendingRequest"
    number: int
    connection: Connection
    started_ms: float
    applied_position: LogPosition
    is_from_replica: bool


@dataclass(slots=True, eq=False)
class Transaction:
    """An open transaction, which is pinned to one connection."""

    group: "DatabaseGroup"
    connection: Connection
    is_read_only: bool
    session: Session
    last_used_ms: float
    is_lost: bool = False
    is_loss_reported: bool = False


@dataclass(slots=True, eq=False)
class CallerState:
    """State of a caller that outlives its requests."""

    caller_id: CallerId
    pending: "PendingRequest | None" = None
    transaction: Transaction | None = None
    sessions: dict[str, Session] = field(default_factory=dict)
    session_name: str | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """State of a request until its completion or refusal."""

    request: Request
    kind: RequestKind
    caller: CallerState
    group: "DatabaseGroup"
    session: Session
    request_class: RequestClass
    settings: ClassSettings
    received_ms: float
    deadline_ms: float
    repeat_rule: RepeatRule
    requirement: ReadRequirement | None = None
    transaction: Transaction | None = None
    state: str = _CHART.initial
    queue: "AdmissionQueue[PendingRequest] | None" = None
    running_attempts: list[RunningAttempt] = field(default_factory=list)
    n_attempts: int = 0
    may_have_run: bool = False
    catch_up_until_ms: float | None = None
    hedge_at_ms: float | None = None
    needs_primary: bool = False
    tried_instances: list[InstanceState] = field(default_factory=list)

    @property
    def fairness_key(self) -> str | CallerId:
        """Return the key that identifies a caller in fair queueing."""
        return self.request.hints.session or self.request.caller_id

    def transition(self, event: str) -> None:
        """Apply an event of the state chart."""
        self.state = _CHART.next_state(self.state, event)

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time to the deadline in milliseconds."""
        return self.deadline_ms - now_ms
