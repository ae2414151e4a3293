"""How each kind of attempt runs on a MySQL connection, and what its end proves.

The outcome is fixed by where an attempt ends. Before the first byte leaves it is
NOT_SENT. From then on a broken link, a timeout or an ambiguous error of COMMIT is LOST,
as the server may have gone on. An error of the statement itself is definite, since the
server rolls the statement back. Once the write is applied, every failure to see it held
by a majority is NOT_ACKNOWLEDGED, or LOST if the link broke.
"""

import time
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

_FENCED_CODE = 1290
_FENCED_TEXT = "cardamomshunt_fenced"
_DUPLICATE_KEY_CODE = 1062
# A deadlock and a failed group certification roll the whole transaction back; any other
# error of COMMIT leaves open whether the transaction is in the log.
_ROLLED_BACK_CODES = frozenset({1213, 3101})
# A record is written first as pending, and gets its answer in the same transaction. A
# pending record is only ever seen if the server committed it against this order, and
# then proves nothing.
_PENDING_AFFECTED_ROWS = -1
REVOKED_FINGERPRINT = "revoked"
# The server's own wait ends before ours, so that its answer still reaches us.
_MAJORITY_WAIT_MARGIN_MS = 20.0
_MAJORITY_WAIT_MIN_MS = 1.0
_IDEMPOTENCY_TABLE = "cardamomshunt_idempotency"
_N_INSERT_TRIES_MAX = 2


@dataclass(slots=True)
class AttemptCompletion:
    """Hold how an attempt ended; a connection that is not clean must be closed."""

    outcome: AttemptOutcome
    answer: Answer | None = None
    position: LogPosition | None = None
    first_answer: FirstAnswer | None = None
    query_outcome: QueryOutcome | None = None
    detail: str = ""
    is_connection_reusable: bool = True


def quote(text: str) -> str:
    r"""Return a string literal.

    >>> quote("it's")
    "'it\\'s'"
    """
    escaped = text.replace("\\", "\\\\").replace("'", "\\'").replace("\0", "\\0")
    return f"'{escaped}'"


def is_fenced(reply: Reply) -> bool:
    """Tell whether a server refused a statement for its term."""
    return (
        isinstance(reply, ErrorAnswer)
        and reply.code == _FENCED_CODE
        and reply.message.startswith(_FENCED_TEXT)
    )


def parse_position(reply: Reply) -> tuple[LogPosition, list[bytes | None]] | None:
    """Return term and position of a one-row reply, and the row; None if it is none."""
    if not isinstance(reply, RowsAnswer) or len(reply.rows) != 1:  # type: ignore[arg-type]
        return None
    row = list(reply.rows[0])  # type: ignore[index]
    try:
        return LogPosition(int(row[0] or b""), int(row[1] or b"")), row
    except (ValueError, IndexError):
        return None


class AttemptRunner:
    """Run one attempt; LinkLostError, TimeoutError and cancellation pass through.

    `is_sent` and `is_applied` tell how far the attempt came when it was interrupted.
    """

    __slots__ = (
        "_connection",
        "_effect",
        "_started_s",
        "_statement",
        "_consume_rows",
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
        self._started_s = time.monotonic()
        self.is_sent = False

    async def run(self) -> AttemptCompletion:
        """Run the attempt to its end."""
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
        spent_ms = (time.monotonic() - self._started_s) * 1_000.0
        wait_ms = self._effect.timeout_ms - spent_ms - _MAJORITY_WAIT_MARGIN_MS
        if self._effect.await_majority_ms > 0:
            wait_ms = min(wait_ms, self._effect.await_majority_ms)
        return f"CALL cardamomshunt_await_majority({max(_MAJORITY_WAIT_MIN_MS, wait_ms):.0f})"

    async def _run_plain(self) -> AttemptCompletion:
        await self._send(self._statement)
        return _statement_completion(await self._connection.read(self._consume_rows))

    async def _run_acknowledged(self) -> AttemptCompletion:
        await self._send(self._statement, self._majority_wait_statement())
        reply = await self._connection.read(self._consume_rows)
        held = await self._connection.read()
        if isinstance(reply, ErrorAnswer):
            if self._effect.kind is AttemptKind.ACKNOWLEDGED_COMMIT:
                return _failed_commit_completion(reply)
            return _statement_completion(reply)
        return _applied_write_completion(held, reply)

    async def _run_idempotent(self) -> AttemptCompletion:
        for _ in range(_N_INSERT_TRIES_MAX):
            begun, inserted = await self._query(
                "BEGIN", self._insert_statement(_PENDING_AFFECTED_ROWS)
            )
            if isinstance(begun, ErrorAnswer):
                return _completion_with_close(AttemptOutcome.LOST, begun.message)
            if not isinstance(inserted, ErrorAnswer):
                return await self._run_keyed_statement()
            if inserted.code != _DUPLICATE_KEY_CODE:
                await self._query("ROLLBACK")
                return _statement_completion(inserted)
            end = await self._read_first_answer()
            if end is not None:
                return end
        return _completion_with_close(
            AttemptOutcome.LOST, "the record of the key comes and goes"
        )

    async def _run_keyed_statement(self) -> AttemptCompletion:
        await self._send(self._statement)
        reply = await self._connection.read(self._consume_rows)
        if isinstance(reply, ErrorAnswer):
            await self._query("ROLLBACK")
            return _statement_completion(reply)
        updated, committed, held = await self._query(
            self._update_statement(reply), "COMMIT", self._majority_wait_statement()
        )
        if isinstance(committed, ErrorAnswer):
            return _failed_commit_completion(committed)
        if not isinstance(updated, WriteAnswer) or updated.n_affected_rows != 1:
            # A deadlock here rolls everything back and the commit is empty; any other
            # error leaves the write committed under a pending record.
            return _completion_with_close(
                AttemptOutcome.LOST, "the record of the key was not written"
            )
        return _applied_write_completion(held, reply)

    async def _read_first_answer(self) -> AttemptCompletion | None:
        """Return the end for a key that is taken; None if its record is gone again."""
        rolled_back, found, held = await self._query(
            "ROLLBACK", self._select_statement(), self._majority_wait_statement()
        )
        if isinstance(rolled_back, ErrorAnswer):
            return _completion_with_close(AttemptOutcome.LOST, rolled_back.message)
        if isinstance(found, ErrorAnswer):
            return _completion_with_close(AttemptOutcome.LOST, found.message)
        record = _parse_record(found)
        if record is None:
            return None
        fingerprint, answer = record
        end = _applied_write_completion(held, WriteAnswer(*_answer_counts(answer)))
        if end.outcome is not AttemptOutcome.OK:
            # A record that a majority does not hold may vanish and proves nothing.
            return end
        if fingerprint == REVOKED_FINGERPRINT:
            return AttemptCompletion(AttemptOutcome.KEY_REVOKED)
        if fingerprint != self._effect.fingerprint:
            return AttemptCompletion(AttemptOutcome.KEY_REUSED)
        if answer.n_affected_rows == _PENDING_AFFECTED_ROWS:
            return AttemptCompletion(
                AttemptOutcome.NOT_ACKNOWLEDGED, detail="the record has no answer"
            )
        end.first_answer = answer
        return end

    async def _run_outcome_query(self) -> AttemptCompletion:
        inserted, found, held = await self._query(
            self._insert_statement(0, REVOKED_FINGERPRINT),
            self._select_statement(),
            self._majority_wait_statement(),
        )
        if is_fenced(inserted):
            return _statement_completion(inserted)
        is_taken = (
            isinstance(inserted, ErrorAnswer) and inserted.code == _DUPLICATE_KEY_CODE
        )
        if isinstance(inserted, ErrorAnswer) and not is_taken:
            return _statement_completion(inserted)
        end = _applied_write_completion(held, WriteAnswer())
        if end.outcome is not AttemptOutcome.OK:
            end.query_outcome = QueryOutcome.UNKNOWN
            return end
        end.answer = None
        end.query_outcome = _recorded_outcome(found)
        return end

    def _insert_statement(self, n_affected_rows: int, fingerprint: str = "") -> str:
        key = quote(self._effect.idempotency_key or "")
        mark = quote(fingerprint or self._effect.fingerprint)
        created_at_ms = int(time.time() * 1_000)
        return (
            f"INSERT INTO {_IDEMPOTENCY_TABLE} (idempotency_key, fingerprint, affected_rows, "
            f"last_insert_id, created_at_ms) "
            f"VALUES ({key}, {mark}, {n_affected_rows}, 0, {created_at_ms})"
        )

    def _update_statement(self, reply: Reply) -> str:
        n_affected_rows, last_insert_id = 0, 0
        if isinstance(reply, WriteAnswer):
            n_affected_rows = reply.n_affected_rows
            last_insert_id = reply.last_insert_id
        return (
            f"UPDATE {_IDEMPOTENCY_TABLE} SET affected_rows = {n_affected_rows}, "
            f"last_insert_id = {last_insert_id} "
            f"WHERE idempotency_key = {quote(self._effect.idempotency_key or '')}"
        )

    def _select_statement(self) -> str:
        return (
            f"SELECT fingerprint, affected_rows, last_insert_id FROM {_IDEMPOTENCY_TABLE} "
            f"WHERE idempotency_key = {quote(self._effect.idempotency_key or '')}"
        )


def _answer_counts(answer: FirstAnswer) -> tuple[int, int]:
    return answer.n_affected_rows, answer.last_insert_id


def _completion_with_close(outcome: AttemptOutcome, detail: str) -> AttemptCompletion:
    return AttemptCompletion(outcome, detail=detail, is_connection_reusable=False)


def _statement_completion(reply: Reply) -> AttemptCompletion:
    """Return the end of an attempt whose statement decides it."""
    if not isinstance(reply, ErrorAnswer):
        answer = None if isinstance(reply, StreamedRows) else reply
        return AttemptCompletion(AttemptOutcome.OK, answer)
    if is_fenced(reply):
        return AttemptCompletion(AttemptOutcome.FENCED, reply, detail=reply.message)
    return AttemptCompletion(AttemptOutcome.BACKEND_ERROR, reply, detail=reply.message)


def _failed_commit_completion(reply: ErrorAnswer) -> AttemptCompletion:
    if is_fenced(reply) or reply.code in _ROLLED_BACK_CODES:
        end = _statement_completion(reply)
        # The server may have left the transaction open; closing rolls it back.
        end.is_connection_reusable = False
        return end
    return _completion_with_close(
        AttemptOutcome.LOST, f"COMMIT failed: {reply.message}"
    )


def _applied_write_completion(held: Reply, reply: Reply) -> AttemptCompletion:
    """Return the end of a write that the primary has applied."""
    parsed = parse_position(held)
    if parsed is None:
        detail = held.message if isinstance(held, ErrorAnswer) else "malformed reply"
        return AttemptCompletion(AttemptOutcome.NOT_ACKNOWLEDGED, detail=detail)
    position, row = parsed
    if len(row) < 3 or row[2] != b"1":
        return AttemptCompletion(
            AttemptOutcome.NOT_ACKNOWLEDGED, detail="not held by a majority in time"
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


def _recorded_outcome(found: Reply) -> QueryOutcome:
    record = _parse_record(found)
    if record is None:
        return QueryOutcome.UNKNOWN
    fingerprint, answer = record
    if fingerprint == REVOKED_FINGERPRINT:
        return QueryOutcome.NOT_RUN
    if answer.n_affected_rows == _PENDING_AFFECTED_ROWS:
        return QueryOutcome.UNKNOWN
    return QueryOutcome.RAN
