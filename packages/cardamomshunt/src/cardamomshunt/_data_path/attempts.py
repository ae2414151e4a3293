"""Results of attempts: complete, repeat or refuse the request."""

from cardamomshunt._data_path.effects import (
    AttemptOutcome,
    AttemptResult,
    RequestKind,
)
from cardamomshunt._data_path.group import FENCED_BACKOFF_MS
from cardamomshunt._data_path.path_state import BEGIN_KINDS, READ_KINDS
from cardamomshunt._data_path.request_state import (
    PendingRequest,
    RunningAttempt,
    Transaction,
)
from cardamomshunt._data_path.retries import (
    Action,
)
from cardamomshunt._data_path.transactions import Transactions
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

# Share of the time limit after which an answer counts as late.
LATE_DEADLINE_SHARE = 0.4


class Attempts(Transactions):
    """Process the results of attempts and repeat requests where that is safe."""

    def _record_result(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        instance = attempt.connection.instance
        outcome = result.outcome
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_SENT):
            instance.breaker.on_failure(now_ms)
            if outcome is AttemptOutcome.LOST:
                self._record_duration(now_ms, attempt)
                instance.limit.on_timeout()
                self._pool.probe_all(now_ms, instance)
            return
        if outcome is AttemptOutcome.NOT_ACKNOWLEDGED:
            # The entry VM may have stopped waiting for the majority by itself, so this
            # does not prove that the instance responds.
            return
        instance.last_heard_ms = now_ms
        instance.breaker.on_success()
        if outcome is not AttemptOutcome.OK:
            return
        elapsed_ms = now_ms - attempt.started_ms
        pending = attempt.pending
        is_write = pending.kind not in READ_KINDS
        if not is_write:
            instance.delay_ms += 0.1 * (elapsed_ms - instance.delay_ms)
        if pending.transaction is None:
            time_limit_ms = pending.deadline_ms - pending.received_ms
            instance.limit.on_sample(
                elapsed_ms,
                instance.n_running,
                is_write=is_write,
                is_late=elapsed_ms > LATE_DEADLINE_SHARE * time_limit_ms,
            )
            self._record_duration(now_ms, attempt)

    def _record_duration(self, now_ms: float, attempt: RunningAttempt) -> None:
        """Record the service time; a lost attempt counts with its time until then."""
        group = attempt.pending.group
        queue = group.replica_queue if attempt.is_from_replica else group.primary_queue
        queue.on_service(now_ms - attempt.started_ms)

    def _end_attempt(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        outcome: AttemptOutcome,
        detail: str,
    ) -> None:
        """End an attempt for which the host has reported no result."""
        result = AttemptResult(
            request_id=attempt.pending.request.request_id,
            attempt=attempt.number,
            connection_id=attempt.connection.connection_id,
            outcome=outcome,
            detail=detail,
        )
        self._finish_attempt(now_ms, attempt, result)

    def _finish_attempt(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        pending = attempt.pending
        attempt.connection.instance.n_running -= 1
        attempt.connection.attempt = None
        pending.running_attempts.remove(attempt)
        if pending.transaction is not None:
            self._on_transaction_attempt(now_ms, attempt, result, pending.transaction)
            return
        self._release_connection(now_ms, attempt, result)
        if pending.state != "running":
            return  # the other attempt of a hedged read has ended the request
        if result.outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_ACKNOWLEDGED):
            pending.tried_instances.append(attempt.connection.instance)
        if result.outcome is not AttemptOutcome.OK and pending.running_attempts:
            return  # the other attempt of a hedged read decides
        self._decide(now_ms, attempt, result)

    def _release_connection(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Pin, release or close the connection of an attempt."""
        pending = attempt.pending
        connection = attempt.connection
        outcome = result.outcome
        if connection.state == "closed":
            return
        if outcome in (
            AttemptOutcome.LOST,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.FENCED,
            AttemptOutcome.NOT_ACKNOWLEDGED,
        ):
            self._pool.close(connection, f"the attempt ended as {outcome.value}")
        elif (
            outcome is AttemptOutcome.OK
            and pending.kind in BEGIN_KINDS
            and pending.state == "running"
        ):
            self._begin_transaction(now_ms, attempt)
        else:
            needs_reset = pending.kind is not RequestKind.READ
            self._pool.release(now_ms, connection, needs_reset=needs_reset)

    def _decide(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        pending = attempt.pending
        group = pending.group
        outcome = result.outcome
        decision = self._retry_policy.decide(
            outcome,
            pending.repeat_rule,
            n_attempts=pending.n_attempts,
            may_have_run=pending.may_have_run,
            budget=group.budget,
            detail=result.detail,
        )
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_ACKNOWLEDGED):
            pending.may_have_run |= pending.kind not in BEGIN_KINDS
        if decision.action is Action.COMPLETE:
            self._complete_or_read_again(now_ms, attempt, result)
        elif decision.action is Action.REFUSE:
            assert decision.refusal is not None
            self._refuse_attempted(pending, decision.refusal)
        else:
            if decision.action is Action.REPEAT_IN_NEW_TERM:
                group.fenced_until_ms = now_ms + FENCED_BACKOFF_MS
                self._wake_at(group.fenced_until_ms)
            self._repeat(now_ms, pending)

    def _refuse_attempted(self, pending: PendingRequest, refusal: Refusal) -> None:
        if pending.kind is RequestKind.OUTCOME_QUERY:
            self._complete_as_unknown(pending)
            return
        if pending.kind in BEGIN_KINDS:
            refusal = Refusal(Verdict.NOT_RUN, refusal.reason, refusal.detail)
        self._refuse(pending, refusal)

    def _repeat(self, now_ms: float, pending: PendingRequest) -> None:
        pending.transition("retry")
        if pending.kind in READ_KINDS:
            self._schedule_read(now_ms, pending)
        else:
            self._enqueue(now_ms, pending, pending.group.primary_queue)

    def _complete_or_read_again(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Complete a request, or repeat a read whose answer has become too old."""
        pending = attempt.pending
        requirement = pending.requirement
        is_ok = result.outcome is AttemptOutcome.OK
        age_ms = self._age_ms(now_ms, attempt) if requirement is not None else None
        if is_ok and requirement is not None and requirement.is_too_old(age_ms):
            self._read_again(now_ms, pending)
            return
        if is_ok:
            self._record_success(now_ms, attempt, result)
        self._complete(attempt, result, age_ms)

    def _read_again(self, now_ms: float, pending: PendingRequest) -> None:
        transaction = pending.caller.transaction
        if transaction is not None:
            self._pool.release(now_ms, transaction.connection, needs_reset=True)
            self._end_transaction(pending.caller)
        if pending.needs_primary:
            detail = "the answer is older than max_age_ms allows"
            self._refuse(
                pending,
                Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.TOO_STALE, detail),
            )
            return
        pending.needs_primary = True
        pending.may_have_run = True
        self._repeat(now_ms, pending)

    def _lose_transaction(
        self, now_ms: float, transaction: Transaction, detail: str
    ) -> None:
        """Mark a transaction as lost, unless its COMMIT is in progress."""
        if transaction.is_lost:
            return
        attempt = transaction.connection.attempt
        if isinstance(attempt, RunningAttempt):
            if attempt.pending.kind is RequestKind.COMMIT:
                return
            self._pool.close(transaction.connection, detail)
            self._end_attempt(now_ms, attempt, AttemptOutcome.LOST, detail)
            return
        transaction.is_lost = True
        self._pool.close(transaction.connection, detail)
