"""Transactions, each of which is pinned to one connection."""

from cardamomshunt._data_path.dispatch import Dispatch
from cardamomshunt._data_path.effects import (
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    RequestKind,
)
from cardamomshunt._data_path.path_state import (
    BEGIN_KINDS,
    END_KINDS,
    READ_KINDS,
    not_run_refusal,
)
from cardamomshunt._data_path.request_state import (
    PendingRequest,
    RunningAttempt,
    Transaction,
)
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

# 1180: error during commit; 1205: lock wait timeout, which may roll the transaction
# back; 1213: deadlock, which does; 3101: rollback by the replication layer.
ROLLBACK_ERROR_CODES = frozenset({1180, 1205, 1213, 3101})


class Transactions(Dispatch):
    """Run the statements of open transactions, and raise the watermarks of sessions."""

    def _submit_in_transaction(
        self, now_ms: float, pending: PendingRequest, transaction: Transaction
    ) -> None:
        pending.transaction = transaction
        if transaction.is_lost:
            self._submit_in_lost_transaction(now_ms, pending, transaction)
            return
        refusal = self._refusal_in_transaction(pending, transaction)
        if refusal is not None:
            self._refuse(pending, refusal)
            return
        kind = AttemptKind.PLAIN
        if pending.kind is RequestKind.COMMIT and not transaction.is_read_only:
            kind = AttemptKind.ACKNOWLEDGED_COMMIT
        transaction.last_used_ms = now_ms
        transaction.connection.transition("start")
        pending.transition("start")
        timeout_ms = pending.remaining_ms(now_ms)
        self._start_attempt(now_ms, pending, transaction.connection, kind, timeout_ms)

    def _submit_in_lost_transaction(
        self, now_ms: float, pending: PendingRequest, transaction: Transaction
    ) -> None:
        """Refuse statements until the caller ends the lost transaction.

        Otherwise the rest of its statements would run outside of a transaction.
        """
        if pending.kind is RequestKind.ROLLBACK:
            self._end_transaction(pending.caller)
            self._complete_locally(pending)
            return
        if pending.kind in BEGIN_KINDS and transaction.is_loss_reported:
            self._end_transaction(pending.caller)
            pending.transaction = None
            self._admit(now_ms, pending)
            return
        if pending.kind is RequestKind.COMMIT:
            self._end_transaction(pending.caller)
        transaction.is_loss_reported = True
        detail = "the transaction was rolled back; end it with ROLLBACK"
        self._refuse(pending, not_run_refusal(RefusalReason.TRANSACTION_LOST, detail))

    def _refusal_in_transaction(
        self, pending: PendingRequest, transaction: Transaction
    ) -> Refusal | None:
        kind = pending.kind
        detail = ""
        if pending.group is not transaction.group:
            detail = "the open transaction belongs to another database"
        elif kind in BEGIN_KINDS:
            detail = "a transaction is open; COMMIT or ROLLBACK it first"
        elif kind in (RequestKind.IMPLICIT_COMMIT, RequestKind.OUTCOME_QUERY):
            detail = "the statement is not supported inside a transaction"
        elif kind is RequestKind.WRITE and transaction.is_read_only:
            detail = "the open transaction is read only"
        if not detail:
            return None
        return not_run_refusal(RefusalReason.UNSUPPORTED_STATEMENT, detail)

    def _begin_transaction(self, now_ms: float, attempt: RunningAttempt) -> None:
        pending = attempt.pending
        attempt.connection.transition("finish_in_transaction")
        transaction = Transaction(
            pending.group,
            attempt.connection,
            pending.kind is RequestKind.BEGIN_READ_ONLY,
            pending.session,
            now_ms,
        )
        pending.caller.transaction = transaction
        self._transactions[pending.caller.caller_id] = transaction

    def _on_transaction_attempt(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        result: AttemptResult,
        transaction: Transaction,
    ) -> None:
        pending = attempt.pending
        transaction.last_used_ms = now_ms
        outcome = result.outcome
        if outcome in (AttemptOutcome.OK, AttemptOutcome.BACKEND_ERROR):
            self._complete_in_transaction(now_ms, attempt, result, transaction)
            return
        self._pool.close(attempt.connection, "the transaction is lost")
        if pending.kind is RequestKind.ROLLBACK:
            # The server rolls back when the connection is closed.
            self._end_transaction(pending.caller)
            self._complete_locally(pending)
        elif pending.kind is RequestKind.COMMIT:
            self._end_transaction(pending.caller)
            self._refuse(pending, _commit_refusal(outcome, transaction, result.detail))
        else:
            transaction.is_lost = True
            transaction.is_loss_reported = True
            detail = result.detail or "the connection of the transaction was lost"
            self._refuse(
                pending, not_run_refusal(RefusalReason.TRANSACTION_LOST, detail)
            )

    def _complete_in_transaction(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        result: AttemptResult,
        transaction: Transaction,
    ) -> None:
        pending = attempt.pending
        connection = attempt.connection
        is_ok = result.outcome is AttemptOutcome.OK
        if pending.kind in END_KINDS:
            self._end_transaction(pending.caller)
            if is_ok:
                self._pool.release(now_ms, connection, needs_reset=True)
            else:
                self._pool.close(connection, "the transaction's end failed")
        elif not is_ok and result.error_code in ROLLBACK_ERROR_CODES:
            transaction.is_lost = True
            transaction.is_loss_reported = True
            self._pool.close(connection, "the server rolled the transaction back")
        else:
            connection.attempt = None
            connection.transition("finish_in_transaction")
        if is_ok:
            self._record_success(now_ms, attempt, result)
        age_ms = self._age_ms(now_ms, attempt)
        self._complete(attempt, result, age_ms)

    def _record_success(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Raise the watermark of the session after a successful statement."""
        pending = attempt.pending
        session = pending.session
        instance = attempt.connection.instance
        is_in_transaction = pending.transaction is not None
        is_acknowledged = pending.kind is RequestKind.COMMIT or not is_in_transaction
        if pending.kind in READ_KINDS or not is_acknowledged:
            if result.position is not None and attempt.is_from_replica:
                self._record_applied_position(attempt, result.position)
            if pending.requirement is not None:
                session.position = max(session.position, pending.requirement.position)
            session.on_read(
                now_ms,
                instance.applied_position
                if attempt.is_from_replica
                else attempt.applied_position,
                instance.name,
                attempt.connection.incarnation,
                instance.term,
            )
        elif pending.kind not in (*BEGIN_KINDS, RequestKind.OUTCOME_QUERY):
            is_read_only = (
                pending.transaction is not None and pending.transaction.is_read_only
            )
            if not is_read_only:
                session.on_write(result.position, now_ms)

    def _record_applied_position(
        self, attempt: RunningAttempt, position: LogPosition
    ) -> None:
        instance = attempt.connection.instance
        if attempt.connection.incarnation == instance.incarnation:
            instance.applied_position = max(instance.applied_position, position)


def _commit_refusal(
    outcome: AttemptOutcome, transaction: Transaction, detail: str
) -> Refusal:
    """Return the refusal of a COMMIT that was not answered."""
    if transaction.is_read_only or outcome in (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.FENCED,
    ):
        text = detail or "the transaction was rolled back"
        return not_run_refusal(RefusalReason.TRANSACTION_LOST, text)
    is_lost = outcome is AttemptOutcome.LOST
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        RefusalReason.CONNECTION_LOST if is_lost else RefusalReason.NOT_ACKNOWLEDGED,
        detail or "the answer to COMMIT did not arrive",
    )
