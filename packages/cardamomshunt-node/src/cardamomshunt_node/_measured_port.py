"""Request port that records metrics and events of the requests it forwards."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.effects import (
    CallerId,
    CompleteRequest,
    RequestClass,
    RequestKind,
)
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import FailoverStep, TopologyUpdate
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict

from cardamomshunt_node._backend_edge_answers import ErrorAnswer
from cardamomshunt_node._caller_edge import RequestPort, RequestResult, StatementRequest
from cardamomshunt_node._event_log import EventLog
from cardamomshunt_node._metrics import NodeMetrics, ReadBound, ReadRoute

_WRITE_KINDS = frozenset(
    {RequestKind.WRITE, RequestKind.IMPLICIT_COMMIT, RequestKind.COMMIT}
)
# Reasons for which a write is refused only if its database has no working primary.
_NO_PRIMARY_REASONS = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.NO_BACKEND,
        RefusalReason.NOT_ACKNOWLEDGED,
    }
)
# A single broken connection causes these too. They only move the start of a gap back
# once one of the reasons above has confirmed it.
_CONNECTION_REASONS = frozenset(
    {RefusalReason.CONNECTION_LOST, RefusalReason.TRANSACTION_LOST}
)

# An overload ends when no request has been shed for this long. Shorter pauses occur
# during a single overload.
_OVERLOAD_END_MS = 5_000.0


@dataclass(slots=True)
class _WriteHistory:
    """Times of writes to one database, which determine when a write gap started."""

    pending_since_ms: dict[int, float] = field(default_factory=dict)
    failed_since_ms: float = math.inf
    last_acknowledged_ms: float = -math.inf

    def gap_start_ms(self, now_ms: float) -> float:
        """Return when the oldest write that has not succeeded was received."""
        oldest_ms = min(now_ms, self.failed_since_ms, *self.pending_since_ms.values())
        return max(oldest_ms, self.last_acknowledged_ms)


class MeasuredRequestPort(RequestPort):
    """Forward requests to another port, and record their outcomes.

    A write gap is confirmed by a write that fails because there is no primary, or that is
    pending while the topology has none. It starts when the first write that did not
    succeed was received, and ends with the next acknowledged write.
    """

    def __init__(
        self,
        port: RequestPort,
        metrics: NodeMetrics,
        events: EventLog,
        clock_ms: Callable[[], float],
        default_max_age_ms: Callable[[str, RequestClass], float],
    ) -> None:
        self._port = port
        self._metrics = metrics
        self._events = events
        self._clock_ms = clock_ms
        self._default_max_age_ms = default_max_age_ms
        self._writes: dict[str, _WriteHistory] = {}
        self._write_ids = itertools.count()
        self._databases_without_primary: set[str] = set()
        self._gap_events: dict[str, str] = {}
        self._last_overloaded_ms: dict[str, float] = {}
        self._overload_events: dict[str, str] = {}

    def open_caller(self) -> CallerId:
        """Return the id of a new caller connection."""
        return self._port.open_caller()

    def close_caller(self, caller_id: CallerId) -> None:
        """Abandon a caller's requests and roll back its transaction."""
        self._port.close_caller(caller_id)

    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""
        return self._port.watermark(caller_id, database)

    def on_topology(self, topology: TopologyUpdate) -> None:
        """Record which databases have no primary."""
        self._databases_without_primary = {
            item.database
            for item in topology.databases
            if item.primary_instance is None or item.step is not FailoverStep.SERVING
        }
        for database in self._databases_without_primary:
            if database in self._writes and self._writes[database].pending_since_ms:
                self._on_blocked(database)

    async def run(self, request: StatementRequest) -> RequestResult:
        """Run a request and record its outcome."""
        started_ms = self._clock_ms()
        if request.kind in _WRITE_KINDS:
            end = await self._run_write(request, started_ms)
        else:
            end = await self._port.run(request)
        elapsed_ms = self._clock_ms() - started_ms
        self._end_overload(request.database)
        self._metrics.observe_duration(request.database, _class_of(request), elapsed_ms)
        if isinstance(end.answer, Refusal):
            self._on_refused(request, end.answer)
        elif end.completion is not None:
            self._on_completed(request, end, end.completion)
        return end

    async def _run_write(
        self, request: StatementRequest, started_ms: float
    ) -> RequestResult:
        writes = self._writes.setdefault(request.database, _WriteHistory())
        write_id = next(self._write_ids)
        writes.pending_since_ms[write_id] = started_ms
        if request.database in self._databases_without_primary:
            self._on_blocked(request.database)
        is_completed = False
        try:
            end = await self._port.run(request)
            is_completed = not _is_lost(end)
            return end
        finally:
            del writes.pending_since_ms[write_id]
            if not is_completed:
                writes.failed_since_ms = min(writes.failed_since_ms, started_ms)

    def _on_refused(self, request: StatementRequest, refusal: Refusal) -> None:
        self._emit(
            EventNumber.REQUEST_REFUSED,
            request.database,
            subject=refusal.reason.value,
            detail=str(refusal),
        )
        if refusal.reason is RefusalReason.OVERLOADED:
            self._on_overloaded(request.database)
        elif refusal.reason is RefusalReason.TRANSACTION_LOST:
            self._emit(EventNumber.TRANSACTION_LOST, request.database)
        if request.kind not in _WRITE_KINDS:
            return
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            self._emit(
                EventNumber.WRITE_OUTCOME_UNKNOWN,
                request.database,
                subject=refusal.reason.value,
            )
        if refusal.reason in _NO_PRIMARY_REASONS:
            self._on_blocked(request.database)

    def _on_completed(
        self, request: StatementRequest, end: RequestResult, completion: CompleteRequest
    ) -> None:
        if completion.attempt > 1:
            self._metrics.count_retry(request.database)
            self._emit(
                EventNumber.REQUEST_RETRIED,
                request.database,
                subject=request.kind.value,
                detail=f"answered by attempt {completion.attempt}",
            )
        if isinstance(end.answer, ErrorAnswer):
            return
        if request.kind is RequestKind.READ:
            self._count_read(request, completion)
        elif request.kind in _WRITE_KINDS and completion.attempt:
            self._on_acknowledged(request.database)

    def _count_read(
        self, request: StatementRequest, completion: CompleteRequest
    ) -> None:
        max_age_ms = request.hints.max_age_ms
        if max_age_ms is None:
            max_age_ms = self._default_max_age_ms(request.database, _class_of(request))
        self._metrics.count_read(
            request.database,
            ReadRoute.REPLICA if completion.is_from_replica else ReadRoute.PRIMARY,
            ReadBound.AGE if max_age_ms > 0 else ReadBound.SESSION,
        )

    def _on_overloaded(self, database: str) -> None:
        self._last_overloaded_ms[database] = self._clock_ms()
        if database not in self._overload_events:
            event = self._emit(EventNumber.OVERLOAD_STARTED, database)
            self._overload_events[database] = event

    def _end_overload(self, database: str) -> None:
        """Report the end of an overload if no request was shed for long enough."""
        cause = self._overload_events.get(database)
        if cause is None:
            return
        if self._clock_ms() - self._last_overloaded_ms[database] > _OVERLOAD_END_MS:
            del self._overload_events[database]
            self._emit(EventNumber.OVERLOAD_ENDED, database, cause=cause)

    def _on_blocked(self, database: str) -> None:
        writes = self._writes.setdefault(database, _WriteHistory())
        start_ms = writes.gap_start_ms(self._clock_ms())
        self._metrics.on_write_blocked(database, start_ms)
        if database not in self._gap_events:
            event = self._emit(EventNumber.WRITES_HELD, database)
            self._gap_events[database] = event

    def _on_acknowledged(self, database: str) -> None:
        now_ms = self._clock_ms()
        writes = self._writes.setdefault(database, _WriteHistory())
        writes.failed_since_ms = math.inf
        writes.last_acknowledged_ms = now_ms
        gap_ms = self._metrics.on_write_acknowledged(database, now_ms)
        if gap_ms is None:
            return
        self._emit(
            EventNumber.WRITES_RESUMED,
            database,
            detail=f"no write succeeded for {gap_ms:.0f} ms",
            cause=self._gap_events.pop(database, ""),
        )

    def _emit(
        self,
        number: EventNumber,
        database: str,
        subject: str = "",
        detail: str = "",
        cause: str = "",
    ) -> str:
        return self._events.emit(number, subject, detail, database, cause)


def _is_lost(end: RequestResult) -> bool:
    """Return whether a write ended without a reply from a working primary."""
    reasons = _NO_PRIMARY_REASONS | _CONNECTION_REASONS
    return isinstance(end.answer, Refusal) and end.answer.reason in reasons


def _class_of(request: StatementRequest) -> RequestClass:
    if request.hints.request_class is not None:
        return request.hints.request_class
    is_read = request.kind is RequestKind.READ
    return RequestClass.LOOKUP if is_read else RequestClass.ORDER
