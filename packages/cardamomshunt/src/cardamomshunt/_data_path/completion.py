"""Completion and refusal of requests, with correct verdicts."""

from cardamomshunt._data_path.effects import (
    AttemptResult,
    CompleteRequest,
    FirstAnswer,
    QueryOutcome,
    RefuseRequest,
    RequestKind,
)
from cardamomshunt._data_path.group import POSITION_MAX
from cardamomshunt._data_path.path_state import (
    BEGIN_KINDS,
    END_KINDS,
    READ_KINDS,
    PathState,
    not_run_refusal,
)
from cardamomshunt._data_path.request_state import (
    PendingRequest,
    RunningAttempt,
)
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

_EMPTY_ANSWER = FirstAnswer(0, 0)


class Completion(PathState):
    """Complete, refuse and abandon requests."""

    def _age_ms(self, now_ms: float, attempt: RunningAttempt) -> float | None:
        """Return the maximum age of an answer, or None if no bound limits it."""
        group = attempt.pending.group
        if attempt.is_from_replica:
            as_of_ms = group.bounds.as_of_ms(attempt.applied_position)
            return None if as_of_ms is None else now_ms - as_of_ms
        position = LogPosition(attempt.connection.bound_term or 0, POSITION_MAX)
        as_of_ms = group.bounds.as_of_ms(position)
        if as_of_ms is None:
            return None
        # The primary may have answered before it confirmed a bound that is later than
        # the start of the attempt.
        return now_ms - min(as_of_ms, attempt.started_ms)

    def _complete(
        self, attempt: RunningAttempt, result: AttemptResult, age_ms: float | None
    ) -> None:
        pending = attempt.pending
        is_read = pending.kind is RequestKind.READ
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=attempt.number,
                is_from_replica=is_read and attempt.is_from_replica,
                age_ms=age_ms if is_read else None,
                watermark=pending.session.position,
                first_answer=result.first_answer,
                query_outcome=result.query_outcome,
            )
        )

    def _complete_locally(self, pending: PendingRequest) -> None:
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=0,
                first_answer=_EMPTY_ANSWER,
            )
        )

    def _complete_as_unknown(self, pending: PendingRequest) -> None:
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=0,
                query_outcome=QueryOutcome.UNKNOWN,
            )
        )

    def _refuse(self, pending: PendingRequest, refusal: Refusal) -> None:
        self._close_request(pending, "refuse")
        self._outbox.effects.append(
            RefuseRequest(request_id=pending.request.request_id, refusal=refusal)
        )

    def _close_request(self, pending: PendingRequest, event: str) -> None:
        self._remove_from_queue(pending)
        self._stop_waiting(pending)
        pending.transition(event)
        self._requests.pop(pending.request.request_id, None)
        if pending.caller.pending is pending:
            pending.caller.pending = None

    def _remove_from_queue(self, pending: PendingRequest) -> None:
        if pending.queue is not None:
            pending.queue.remove(pending.request_class, pending.fairness_key, pending)
            pending.queue = None

    def _stop_waiting(self, pending: PendingRequest) -> None:
        pending.group.waiting_reads.pop(pending.request.request_id, None)

    def _refuse_expired(self, now_ms: float, pending: PendingRequest) -> None:
        """End a request whose deadline has passed, with the correct verdict."""
        if pending.kind is RequestKind.OUTCOME_QUERY:
            self._close_running_attempts(now_ms, pending, "the deadline has passed")
            self._complete_as_unknown(pending)
            return
        reason, detail = self._expiry_reason(now_ms, pending)
        self._abort(now_ms, pending, reason, detail)

    def _expiry_reason(
        self, now_ms: float, pending: PendingRequest
    ) -> tuple[RefusalReason, str]:
        group = pending.group
        if pending.state == "waiting":
            return RefusalReason.TOO_STALE, "no instance became fresh enough in time"
        if pending.state == "queued" and pending.queue is group.primary_queue:
            is_read = pending.kind in READ_KINDS
            if group.usable_primary(now_ms, for_write=not is_read) is None:
                return RefusalReason.NO_PRIMARY, "no primary accepted requests in time"
        if pending.state == "queued" and not any(
            instance.n_connections > instance.n_opening
            for instance in group.instances.values()
        ):
            return RefusalReason.NO_BACKEND, "no backend server could be reached"
        return RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed"

    def _abort(
        self,
        now_ms: float,
        pending: PendingRequest,
        reason: RefusalReason,
        detail: str,
    ) -> None:
        """Refuse a request, and close the connections on which its attempts run."""
        transaction = pending.transaction
        is_running = bool(pending.running_attempts)
        self._close_running_attempts(now_ms, pending, detail)
        is_end = pending.kind in END_KINDS
        if transaction is not None and is_running:
            if is_end:
                self._end_transaction(pending.caller)
            transaction.is_lost = True
            transaction.is_loss_reported = True
            if pending.kind is RequestKind.ROLLBACK:
                self._complete_locally(pending)
                return
            if pending.kind is not RequestKind.COMMIT or transaction.is_read_only:
                refusal = not_run_refusal(RefusalReason.TRANSACTION_LOST, detail)
                self._refuse(pending, refusal)
                return
        may_have_run = pending.may_have_run or (
            is_running and pending.kind not in BEGIN_KINDS
        )
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        self._refuse(pending, Refusal(verdict, reason, detail))

    def _close_running_attempts(
        self, now_ms: float, pending: PendingRequest, detail: str
    ) -> None:
        for attempt in pending.running_attempts:
            instance = attempt.connection.instance
            instance.n_running -= 1
            attempt.connection.attempt = None
            self._pool.close(attempt.connection, detail)
        pending.running_attempts.clear()
