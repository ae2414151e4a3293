"""Execution of each kind of attempt on a MySQL connection.

The outcome depends on where an attempt ends. Before the first byte is sent it is
NOT_SENT. After that, a lost connection, a timeout or an ambiguous error of COMMIT is
LOST, because the server may have continued. An error of the statement itself is
certain, because the server rolls the statement back. Once the write is applied, any
failure to confirm that a majority has stored it is NOT_ACKNOWLEDGED, or LOST if the
connection is lost.
"""

from dataclasses import dataclass

from cardamomshunt.effects import (
    AttemptKind,
    AttemptOutcome,
    FirstAnswer,
    QueryOutcome,
    StartAttempt,
)
from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_edge_answers import (
    Answer,
    ErrorAnswer,
    RowsAnswer,
    WriteAnswer,
)
from cardamomshunt_node._backend_edge_mysql_connection import (
    BackendConnection,
    Reply,
    RowConsumer,
    StreamedRows,
)
from cardamomshunt_node._boot_clock import boot_ms, wall_ms

_FENCED_CODE = 1290
_FENCED_TEXT = "cardamomshunt_fenced"
_DUPLICATE_KEY_CODE = 1062
# A deadlock and a failed group certification roll the whole transaction back. After any
# other error of COMMIT, the transaction may or may not be in the log.
_ROLLED_BACK_CODES = frozenset({1213, 3101})
# A record is inserted as pending and gets its answer later in the same transaction. A
# pending record is visible only if the server committed it without that update; it then
# proves nothing about the statement.
_PENDING_AFFECTED_ROWS = -1
REVOKED_FINGERPRINT = "revoked"
# The server stops waiting this long before the attempt times out, so that its answer is
# still received.
_WAIT_MARGIN_MS = 20.0
_WAIT_MIN_MS = 1.0
_KEY_TABLE = "cardamomshunt_idempotency"
_N_INSERT_TRIES_MAX = 2


@dataclass(slots=True)
class AttemptCompletion:
    """Outcome of an attempt; the connection is closed unless it is reusable."""

    outcome: AttemptOutcome
    answer: Answer | None = None
    position: LogPosition | None = None
    first_answer: FirstAnswer | None = None
    query_outcome: QueryOutcome | None = None
    detail: str = ""
    is_connection_reusable: bool = True


def quote(text: str) -> str:
    r"""Return a text as a SQL string literal.

    >>> quote("it's")
    "'it\\'s'"
    """
    escaped = text.replace("\\", "\\\\").replace("'", "\\'").replace("\0", "\\0")
    return f"'{escaped}'"


def is_fenced(reply: Reply) -> bool:
    """Return whether a server refused a statement because of an outdated term."""
    return (
        isinstance(reply, ErrorAnswer)
        and reply.code == _FENCED_CODE
        and reply.message.startswith(_FENCED_TEXT)
    )


def parse_position(reply: Reply) -> tuple[LogPosition, list[bytes | None]] | None:
    """Return the position in a one-row reply, and the row; None without a position."""
    if not isinstance(reply, RowsAnswer) or len(reply.rows) != 1:  # type: ignore[arg-type]
        return None
    row = list(reply.rows[0])  # type: ignore[index]
    try:
        return LogPosition(int(row[0] or b""), int(row[1] or b"")), row
    except (ValueError, IndexError):
        return None


class AttemptRunner:
    """Run one attempt; ConnectionLostError, TimeoutError and cancellation pass through.

    `is_sent` is whether a statement was sent before an interruption.
    """

    __slots__ = (
        "_connection",
        "_consume_rows",
        "_effect",
        "_started_ms",
        "_statement",
        "is_sent",
    )

    def __init__(
        self,
        connection: BackendConnection,
        effect: StartAttempt,
        statement: str,
        consume_rows: RowConsumer,
    ) -> None:
        self._connection = connection
        self._effect = effect
        self._statement = statement
        self._consume_rows = consume_rows
        self._started_ms = boot_ms()
        self.is_sent = False

    async def run(self) -> AttemptCompletion:
        """Run the attempt and return its completion."""
        match self._effect.kind:
            case AttemptKind.PLAIN:
                return await self._run_plain()
            case AttemptKind.ACKNOWLEDGED_WRITE | AttemptKind.ACKNOWLEDGED_COMMIT:
                return await self._run_acknowledged()
            case AttemptKind.IDEMPOTENT_WRITE:
                return await self._run_idempotent()
            case AttemptKind.QUERY_OUTCOME:
                return await self._run_outcome_query()

    async def _send(self, *statements: str) -> None:
        await self._connection.send(*statements)
        self.is_sent = True

    async def _query(self, *statements: str) -> list[Reply]:
        await self._send(*statements)
        return [await self._connection.read() for _ in statements]

    def _majority_wait_statement(self) -> str:
        spent_ms = boot_ms() - self._started_ms
        wait_ms = self._effect.timeout_ms - spent_ms - _WAIT_MARGIN_MS
        if self._effect.await_majority_ms > 0:
            wait_ms = min(wait_ms, self._effect.await_majority_ms)
        return f"CALL cardamomshunt_await_majority({max(_WAIT_MIN_MS, wait_ms):.0f})"

    async def _run_plain(self) -> AttemptCompletion:
        await self._send(self._statement)
        return _statement_completion(await self._connection.read(self._consume_rows))

    async def _run_acknowledged(self) -> AttemptCompletion:
        await self._send(self._statement, self._majority_wait_statement())
        reply = await self._connection.read(self._consume_rows)
        majority_reply = await self._connection.read()
        if isinstance(reply, ErrorAnswer):
            if self._effect.kind is AttemptKind.ACKNOWLEDGED_COMMIT:
                return _failed_commit_completion(reply)
            return _statement_completion(reply)
        return _applied_write_completion(majority_reply, reply)

    async def _run_idempotent(self) -> AttemptCompletion:
        for _ in range(_N_INSERT_TRIES_MAX):
            begin_reply, insert_reply = await self._query(
                "BEGIN", self._insert_statement(_PENDING_AFFECTED_ROWS)
            )
            if isinstance(begin_reply, ErrorAnswer):
                return _completion_with_close(AttemptOutcome.LOST, begin_reply.message)
            if not isinstance(insert_reply, ErrorAnswer):
                return await self._run_keyed_statement()
            if insert_reply.code != _DUPLICATE_KEY_CODE:
                await self._query("ROLLBACK")
                return _statement_completion(insert_reply)
            completion = await self._read_first_answer()
            if completion is not None:
                return completion
        return _completion_with_close(
            AttemptOutcome.LOST,
            "the record of the idempotency key appears and disappears",
        )

    async def _run_keyed_statement(self) -> AttemptCompletion:
        await self._send(self._statement)
        reply = await self._connection.read(self._consume_rows)
        if isinstance(reply, ErrorAnswer):
            await self._query("ROLLBACK")
            return _statement_completion(reply)
        update_reply, commit_reply, majority_reply = await self._query(
            self._update_statement(reply), "COMMIT", self._majority_wait_statement()
        )
        if isinstance(commit_reply, ErrorAnswer):
            return _failed_commit_completion(commit_reply)
        if (
            not isinstance(update_reply, WriteAnswer)
            or update_reply.n_affected_rows != 1
        ):
            # A deadlock here rolls everything back, and the COMMIT is empty. Any other
            # error leaves the write committed with a pending record.
            return _completion_with_close(
                AttemptOutcome.LOST,
                "the record of the idempotency key was not updated",
            )
        return _applied_write_completion(majority_reply, reply)

    async def _read_first_answer(self) -> AttemptCompletion | None:
        """Return the completion for a used key; None if its record is gone again."""
        rollback_reply, record_reply, majority_reply = await self._query(
            "ROLLBACK", self._select_statement(), self._majority_wait_statement()
        )
        if isinstance(rollback_reply, ErrorAnswer):
            return _completion_with_close(AttemptOutcome.LOST, rollback_reply.message)
        if isinstance(record_reply, ErrorAnswer):
            return _completion_with_close(AttemptOutcome.LOST, record_reply.message)
        record = _parse_record(record_reply)
        if record is None:
            return None
        fingerprint, answer = record
        completion = _applied_write_completion(
            majority_reply, WriteAnswer(*_answer_counts(answer))
        )
        if completion.outcome is not AttemptOutcome.OK:
            # A record that no majority has stored may be lost, so it proves nothing.
            return completion
        if fingerprint == REVOKED_FINGERPRINT:
            return AttemptCompletion(AttemptOutcome.KEY_REVOKED)
        if fingerprint != self._effect.fingerprint:
            return AttemptCompletion(AttemptOutcome.KEY_REUSED)
        if answer.n_affected_rows == _PENDING_AFFECTED_ROWS:
            return AttemptCompletion(
                AttemptOutcome.NOT_ACKNOWLEDGED,
                detail="the record of the idempotency key has no answer",
            )
        completion.first_answer = answer
        return completion

    async def _run_outcome_query(self) -> AttemptCompletion:
        insert_reply, record_reply, majority_reply = await self._query(
            self._insert_statement(0, REVOKED_FINGERPRINT),
            self._select_statement(),
            self._majority_wait_statement(),
        )
        if is_fenced(insert_reply):
            return _statement_completion(insert_reply)
        is_key_used = (
            isinstance(insert_reply, ErrorAnswer)
            and insert_reply.code == _DUPLICATE_KEY_CODE
        )
        if isinstance(insert_reply, ErrorAnswer) and not is_key_used:
            return _statement_completion(insert_reply)
        completion = _applied_write_completion(majority_reply, WriteAnswer())
        if completion.outcome is not AttemptOutcome.OK:
            completion.query_outcome = QueryOutcome.UNKNOWN
            return completion
        completion.answer = None
        completion.query_outcome = _recorded_outcome(record_reply)
        return completion

    def _insert_statement(self, n_affected_rows: int, fingerprint: str = "") -> str:
        key = quote(self._effect.idempotency_key or "")
        fingerprint_text = quote(fingerprint or self._effect.fingerprint)
        created_at_ms = wall_ms()
        return (
            f"INSERT INTO {_KEY_TABLE} (idempotency_key, fingerprint, affected_rows, "
            f"last_insert_id, created_at_ms) "
            f"VALUES ({key}, {fingerprint_text}, {n_affected_rows}, 0, {created_at_ms})"
        )

    def _update_statement(self, reply: Reply) -> str:
        n_affected_rows, last_insert_id = 0, 0
        if isinstance(reply, WriteAnswer):
            n_affected_rows = reply.n_affected_rows
            last_insert_id = reply.last_insert_id
        return (
            f"UPDATE {_KEY_TABLE} SET affected_rows = {n_affected_rows}, "
            f"last_insert_id = {last_insert_id} "
            f"WHERE idempotency_key = {quote(self._effect.idempotency_key or '')}"
        )

    def _select_statement(self) -> str:
        return (
            f"SELECT fingerprint, affected_rows, last_insert_id FROM {_KEY_TABLE} "
            f"WHERE idempotency_key = {quote(self._effect.idempotency_key or '')}"
        )


def _answer_counts(answer: FirstAnswer) -> tuple[int, int]:
    return answer.n_affected_rows, answer.last_insert_id


def _completion_with_close(outcome: AttemptOutcome, detail: str) -> AttemptCompletion:
    """Return a completion after which the connection must be closed."""
    return AttemptCompletion(outcome, detail=detail, is_connection_reusable=False)


def _statement_completion(reply: Reply) -> AttemptCompletion:
    """Return the completion of an attempt that the statement's reply decides."""
    if not isinstance(reply, ErrorAnswer):
        answer = None if isinstance(reply, StreamedRows) else reply
        return AttemptCompletion(AttemptOutcome.OK, answer)
    if is_fenced(reply):
        return AttemptCompletion(AttemptOutcome.FENCED, reply, detail=reply.message)
    return AttemptCompletion(AttemptOutcome.BACKEND_ERROR, reply, detail=reply.message)


def _failed_commit_completion(reply: ErrorAnswer) -> AttemptCompletion:
    if is_fenced(reply) or reply.code in _ROLLED_BACK_CODES:
        completion = _statement_completion(reply)
        # The transaction may still be open; closing the connection rolls it back.
        completion.is_connection_reusable = False
        return completion
    return _completion_with_close(
        AttemptOutcome.LOST, f"COMMIT failed: {reply.message}"
    )


def _applied_write_completion(majority_reply: Reply, reply: Reply) -> AttemptCompletion:
    """Return the completion of a write that the primary has applied."""
    parsed = parse_position(majority_reply)
    if parsed is None:
        detail = (
            majority_reply.message
            if isinstance(majority_reply, ErrorAnswer)
            else "malformed reply"
        )
        return AttemptCompletion(AttemptOutcome.NOT_ACKNOWLEDGED, detail=detail)
    position, row = parsed
    if len(row) < 3 or row[2] != b"1":
        return AttemptCompletion(
            AttemptOutcome.NOT_ACKNOWLEDGED,
            detail="not confirmed by a majority in time",
        )
    answer = None if isinstance(reply, StreamedRows) else reply
    return AttemptCompletion(AttemptOutcome.OK, answer, position=position)


def _parse_record(reply: Reply) -> tuple[str, FirstAnswer] | None:
    if not isinstance(reply, RowsAnswer) or not reply.rows:
        return None
    fingerprint, n_affected_rows, last_insert_id = reply.rows[0]  # type: ignore[index]
    answer = FirstAnswer(
        int(n_affected_rows or _PENDING_AFFECTED_ROWS), int(last_insert_id or 0)
    )
    return (fingerprint or b"").decode("utf-8", "replace"), answer


def _recorded_outcome(record_reply: Reply) -> QueryOutcome:
    record = _parse_record(record_reply)
    if record is None:
        return QueryOutcome.UNKNOWN
    fingerprint, answer = record
    if fingerprint == REVOKED_FINGERPRINT:
        return QueryOutcome.NOT_RUN
    if answer.n_affected_rows == _PENDING_AFFECTED_ROWS:
        return QueryOutcome.UNKNOWN
    return QueryOutcome.RAN
