"""Core of the proxy: connects the data path with the caller and backend edges."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.data_path import AbstractDataPath
from cardamomshunt.effects import (
    AttemptOutcome,
    AttemptResult,
    CallerId,
    CloseConnection,
    CompleteRequest,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    DataPathEffect,
    EmitEvent,
    OpenConnection,
    QueryPosition,
    RefuseRequest,
    Request,
    RequestId,
    ResetConnection,
    StartAttempt,
)
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict

from cardamomshunt_node._backend_edge import BackendEdge, BackendListener
from cardamomshunt_node._backend_edge_answers import (
    Answer,
    Column,
    ErrorAnswer,
    RowsAnswer,
    WriteAnswer,
)
from cardamomshunt_node._backend_edge_rows import RowStream
from cardamomshunt_node._caller_edge import RequestPort, RequestResult, StatementRequest

_REFUSAL_CODE = 1105
_TIMER_DELAY_MIN_S = 0.001
_OUTCOME_COLUMN = Column("cardamomshunt_outcome", 253, 45)


@dataclass(slots=True)
class _OpenRequest:
    """State of a request until it is completed, refused or abandoned."""

    request: StatementRequest
    done: asyncio.Future[RequestResult]
    answers: dict[int, Answer | None] = field(default_factory=dict)
    stream: RowStream | None = None
    stream_attempt: int = 0


EventSink = Callable[[int, str, str], None]


class ProxyCore(RequestPort, BackendListener):
    """Pass events to the data path and execute the effects that it returns.

    All methods run on one event loop, so that the data path handles one event at a
    time.
    """

    def __init__(
        self,
        data_path: AbstractDataPath,
        backend: BackendEdge,
        clock_ms: Callable[[], float],
        on_event: EventSink,
        on_fault: Callable[[Exception], None],
    ) -> None:
        self.data_path = data_path
        self._backend = backend
        self._clock_ms = clock_ms
        self._on_event = on_event
        self._on_fault = on_fault
        self._open_requests: dict[RequestId, _OpenRequest] = {}
        self._last_request_by_caller: dict[CallerId, RequestId] = {}
        self._last_request_id = 0
        self._last_caller_id = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = 0.0
        backend.set_listener(self)

    def now_ms(self) -> float:
        """Return the time of the data path's clock in milliseconds."""
        return self._clock_ms()

    def stop(self) -> None:
        """Cancel the timer of the data path."""
        if self._timer is not None:
            self._timer.cancel()

    # Requests from callers.

    def open_caller(self) -> CallerId:
        """Return the id of a new caller connection."""
        self._last_caller_id += 1
        return self._last_caller_id

    def close_caller(self, caller_id: CallerId) -> None:
        """Abandon a caller's request and roll back its transaction."""
        request_id = self._last_request_by_caller.pop(caller_id, 0)
        open_request = self._open_requests.pop(request_id, None)
        if open_request is not None and open_request.stream is not None:
            open_request.stream.close()
        self.apply(self.data_path.on_caller_disconnected, caller_id)

    async def run(self, request: StatementRequest) -> RequestResult:
        """Run a request and return its result; cancelling the call abandons it."""
        self._last_request_id += 1
        request_id = self._last_request_id
        done: asyncio.Future[RequestResult] = asyncio.get_running_loop().create_future()
        self._open_requests[request_id] = _OpenRequest(request, done)
        self._last_request_by_caller[request.caller_id] = request_id
        submitted = Request(
            request_id=request_id,
            caller_id=request.caller_id,
            database=request.database,
            kind=request.kind,
            hints=request.hints,
            fingerprint=request.fingerprint,
        )
        if not self.apply(self.data_path.submit, submitted):
            self._refuse(
                request_id,
                Refusal(
                    Verdict.NOT_RUN,
                    RefusalReason.NO_BACKEND,
                    "internal error in the proxy",
                ),
            )
        try:
            return await done
        except asyncio.CancelledError:
            self.abandon(request_id)
            raise

    def abandon(self, request_id: RequestId) -> None:
        """Cancel a request whose caller no longer waits for it."""
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None:
            return
        if open_request.stream is not None:
            open_request.stream.close()
        self.apply(self.data_path.cancel, request_id)

    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""
        return self.data_path.watermark(caller_id, database)

    # Events from backend connections.

    def on_connection_opened(self, opened: ConnectionOpened) -> None:
        """Pass an opened connection to the data path."""
        self.apply(self.data_path.on_connection_opened, opened)

    def on_connection_failed(
        self, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> None:
        """Report to the data path that a connection could not be opened."""
        self.apply(
            self.data_path.on_connection_failed, connection_id, is_refused, detail
        )

    def on_connection_closed(self, connection_id: ConnectionId, detail: str) -> None:
        """Report to the data path that a connection is closed."""
        self.apply(self.data_path.on_connection_closed, connection_id, detail)

    def on_connection_reset(self, connection_id: ConnectionId) -> None:
        """Report to the data path that a connection has no session state."""
        self.apply(self.data_path.on_connection_reset, connection_id)

    def on_attempt_ended(self, result: AttemptResult, answer: Answer | None) -> None:
        """Process the result of an attempt, and its answer if there is one."""
        open_request = self._open_requests.get(result.request_id)
        if open_request is not None:
            open_request.answers[result.attempt] = answer
            if self._is_stream_lost(open_request, result):
                self._abort_stream(result, open_request, answer)
        self.apply(self.data_path.on_attempt_result, result)

    def on_rows_started(
        self, request_id: RequestId, attempt: int, columns: list[Column]
    ) -> RowStream | None:
        """Start streaming a result that is too large to buffer.

        Return None if the request is gone or already has a result.
        """
        open_request = self._open_requests.get(request_id)
        if open_request is None or open_request.done.done():
            return None
        stream = RowStream()
        open_request.stream = stream
        open_request.stream_attempt = attempt
        open_request.done.set_result(RequestResult(RowsAnswer(columns, stream)))
        return stream

    def on_position_answered(self, database: str, bound: ConfirmedBound | None) -> None:
        """Pass on the answer to a position query; None if the query failed."""
        self.apply(self.data_path.on_confirmed_bound, bound, database)

    @staticmethod
    def _is_stream_lost(open_request: _OpenRequest, result: AttemptResult) -> bool:
        return (
            open_request.stream is not None
            and open_request.stream_attempt == result.attempt
            and result.outcome is not AttemptOutcome.OK
        )

    def _abort_stream(
        self, result: AttemptResult, open_request: _OpenRequest, answer: Answer | None
    ) -> None:
        """End a partly delivered result with an error.

        Another attempt can't replace rows that the caller has already received.
        """
        if open_request.stream is None:
            return
        self._fail_stream(open_request, open_request.stream, answer)
        del self._open_requests[result.request_id]
        self.apply(self.data_path.cancel, result.request_id)

    @staticmethod
    def _fail_stream(
        open_request: _OpenRequest, stream: RowStream, answer: Answer | None
    ) -> None:
        if not isinstance(answer, ErrorAnswer):
            verdict = Verdict.MAY_HAVE_RUN
            detail = "the remaining rows of the result are lost"
            answer = _error_from_refusal(
                Refusal(verdict, RefusalReason.CONNECTION_LOST, detail)
            )
        stream.fail(answer)

    # The data path and its effects.

    def apply(
        self, method: Callable[..., list[DataPathEffect]], *arguments: object
    ) -> bool:
        """Pass an event to the data path and apply its effects; False if one raised."""
        try:
            effects = method(self._clock_ms(), *arguments)
            for effect in effects:
                self._apply_effect(effect)
            self._set_timer()
        except Exception as error:
            self._on_fault(error)
            return False
        return True

    def _apply_effect(self, effect: DataPathEffect) -> None:
        match effect:
            case StartAttempt():
                self._start_attempt(effect)
            case CompleteRequest():
                self._complete(effect)
            case RefuseRequest():
                self._refuse(effect.request_id, effect.refusal)
            case OpenConnection():
                self._backend.open_connection(effect)
            case CloseConnection():
                self._backend.close_connection(effect.connection_id, effect.reason)
            case ResetConnection():
                self._backend.reset_connection(effect.connection_id)
            case QueryPosition():
                self._backend.query_position(effect)
            case EmitEvent():
                self._on_event(effect.number, effect.subject, effect.detail)

    def _start_attempt(self, effect: StartAttempt) -> None:
        open_request = self._open_requests.get(effect.request_id)
        if open_request is not None and open_request.stream is None:
            self._backend.start_attempt(effect, open_request.request.text)
            return
        # Deferred, because the data path is not reentrant.
        call_soon = asyncio.get_running_loop().call_soon
        if open_request is None:
            call_soon(self._report_unstarted, effect, AttemptOutcome.NOT_SENT)
        elif open_request.stream_attempt in open_request.answers:
            # All rows were sent, but the data path requires fresher ones.
            call_soon(self._refuse_stale_stream, effect.request_id)
        else:
            # Another attempt is streaming already. This outcome releases the connection
            # without counting as a failure of the server.
            call_soon(self._report_unstarted, effect, AttemptOutcome.BACKEND_ERROR)

    def _report_unstarted(self, effect: StartAttempt, outcome: AttemptOutcome) -> None:
        result = AttemptResult(
            request_id=effect.request_id,
            attempt=effect.attempt,
            connection_id=effect.connection_id,
            outcome=outcome,
            detail="the request needs no further attempt",
        )
        self.on_attempt_ended(result, None)

    def _refuse_stale_stream(self, request_id: RequestId) -> None:
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None or open_request.stream is None:
            return
        detail = "the rows exceeded the maximum age while they were sent"
        refusal = Refusal(Verdict.NOT_RUN, RefusalReason.TOO_STALE, detail)
        open_request.stream.fail(_error_from_refusal(refusal))
        self.apply(self.data_path.cancel, request_id)

    def _complete(self, effect: CompleteRequest) -> None:
        open_request = self._open_requests.pop(effect.request_id, None)
        if open_request is None:
            return
        if open_request.stream is not None:
            if effect.attempt != open_request.stream_attempt:
                self._fail_stream(open_request, open_request.stream, None)
                return
            result = open_request.done.result()
            result.completion = effect
            open_request.stream.finish()
            self._set_result(open_request, result)
            return
        answer = _completed_answer(effect, open_request.answers.get(effect.attempt))
        self._set_result(open_request, RequestResult(answer, effect))

    def _refuse(self, request_id: RequestId, refusal: Refusal) -> None:
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None:
            return
        if open_request.stream is not None:
            open_request.stream.fail(_error_from_refusal(refusal))
        self._set_result(open_request, RequestResult(refusal))

    @staticmethod
    def _set_result(open_request: _OpenRequest, result: RequestResult) -> None:
        if not open_request.done.done():
            open_request.done.set_result(result)

    def _set_timer(self) -> None:
        deadline_ms = self.data_path.next_deadline_ms()
        if self._timer is not None:
            if deadline_ms is not None and self._timer_ms <= deadline_ms:
                # An early call is harmless and cheaper than a new timer each time.
                return
            self._timer.cancel()
            self._timer = None
        if deadline_ms is None:
            return
        delay_s = max(_TIMER_DELAY_MIN_S, (deadline_ms - self._clock_ms()) / 1_000.0)
        self._timer_ms = deadline_ms
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        deadline_ms = self.data_path.next_deadline_ms()
        if deadline_ms is not None and deadline_ms > self._clock_ms():
            self._set_timer()
            return
        if not self.apply(self.data_path.tick):
            # An exception must not stop the timer of all other requests.
            self._timer = asyncio.get_running_loop().call_later(0.1, self._on_timer)


def _completed_answer(effect: CompleteRequest, answer: Answer | None) -> Answer:
    if effect.query_outcome is not None:
        value = effect.query_outcome.value.encode()
        return RowsAnswer([_OUTCOME_COLUMN], [[value]])
    if effect.first_answer is not None:
        first = effect.first_answer
        return WriteAnswer(first.n_affected_rows, first.last_insert_id)
    return WriteAnswer() if answer is None else answer


def _error_from_refusal(refusal: Refusal) -> ErrorAnswer:
    sqlstate = "40001" if refusal.may_retry else "HY000"
    return ErrorAnswer(_REFUSAL_CODE, sqlstate, str(refusal))
