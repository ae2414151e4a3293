"""Metrics and events of requests, around the port that serves them."""

from collections.abc import Callable

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
from cardamomshunt_node._caller_edge import RequestEnd, RequestPort, StatementRequest
from cardamomshunt_node._event_log import EventLog
from cardamomshunt_node._metrics import NodeMetrics, ReadBound, ReadRoute

_WRITE_KINDS = frozenset({RequestKind.WRITE, RequestKind.COMMIT})
# Reasons that a write gets only when its database has no working primary.
_CERTAIN_REASONS = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.NO_BACKEND,
        RefusalReason.NOT_ACKNOWLEDGED,
    }
)
# These also come from a single broken connection, so they start a gap without an event.
_POSSIBLE_REASONS = frozenset(
    {RefusalReason.CONNECTION_LOST, RefusalReason.TRANSACTION_LOST}
)
# Shorter gaps are single broken connections.
_GAP_NOTED_MS = 100.0


class MeasuredRequestPort(RequestPort):
    """Serve requests by another port, and note how they end.

    A write gap starts with a write that ends for want of a primary, or that is open
    while the topology has none; it ends with the next acknowledged write.
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
        self._n_open_writes: dict[str, int] = {}
        self._without_primary: set[str] = set()
        self._gap_events: dict[str, str] = {}

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
        """Note which databases have no primary."""
        self._without_primary = {
            item.database
            for item in topology.databases
            if item.primary_instance is None or item.step is not FailoverStep.SERVING
        }
        for database in self._without_primary:
            if self._n_open_writes.get(database):
                self._on_blocked(database)

    async def run(self, request: StatementRequest) -> RequestEnd:
        """Run a request and note its end."""
        database = request.database
        started_ms = self._clock_ms()
        is_write = request.kind in _WRITE_KINDS
        if is_write:
            self._n_open_writes[database] = self._n_open_writes.get(database, 0) + 1
            if database in self._without_primary:
                self._on_blocked(database)
        try:
            end = await self._port.run(request)
        finally:
            if is_write:
                self._n_open_writes[database] -= 1
        self._metrics.observe_duration(
            database, _class_of(request), self._clock_ms() - started_ms
        )
        if isinstance(end.answer, Refusal):
            self._on_refused(request, end.answer)
        elif end.completion is not None:
            self._on_completed(request, end, end.completion)
        return end

    def _on_refused(self, request: StatementRequest, refusal: Refusal) -> None:
        self._emit(
            EventNumber.REQUEST_REFUSED,
            request.database,
            subject=refusal.reason.value,
            detail=str(refusal),
        )
        if request.kind not in _WRITE_KINDS:
            return
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            self._emit(
                EventNumber.WRITE_OUTCOME_UNKNOWN,
                request.database,
                subject=refusal.reason.value,
            )
        if refusal.reason in _CERTAIN_REASONS:
            self._on_blocked(request.database)
        elif refusal.reason in _POSSIBLE_REASONS:
            self._metrics.on_write_blocked(request.database, self._clock_ms())

    def _on_completed(
        self, request: StatementRequest, end: RequestEnd, completion: CompleteRequest
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

    def _on_blocked(self, database: str) -> None:
        self._metrics.on_write_blocked(database, self._clock_ms())
        if database not in self._gap_events:
            event = self._emit(EventNumber.WRITES_HELD, database)
            self._gap_events[database] = event

    def _on_acknowledged(self, database: str) -> None:
        gap_ms = self._metrics.on_write_acknowledged(database, self._clock_ms())
        cause = self._gap_events.pop(database, "")
        if gap_ms is not None and (cause or gap_ms >= _GAP_NOTED_MS):
            self._emit(
                EventNumber.WRITES_RESUMED,
                database,
                detail=f"no write succeeded for {gap_ms:.0f} ms",
                cause=cause,
            )

    def _emit(
        self,
        number: EventNumber,
        database: str,
        subject: str = "",
        detail: str = "",
        cause: str = "",
    ) -> str:
        self._metrics.count_event(number)
        return self._events.emit(number, subject, detail, database, cause)


def _class_of(request: StatementRequest) -> RequestClass:
    if request.hints.request_class is not None:
        return request.hints.request_class
    is_read = request.kind is RequestKind.READ
    return RequestClass.LOOKUP if is_read else RequestClass.ORDER
