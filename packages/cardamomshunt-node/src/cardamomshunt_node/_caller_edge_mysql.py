"""Caller edge for the MySQL protocol, based on the MySQL server edge."""

import asyncio
import decimal
import re
from collections.abc import AsyncIterator, Callable
from typing import Any

from cardamomshunt.classification import StatementClassifier, fingerprint_statement
from cardamomshunt.effects import RequestKind, SessionHints
from cardamomshunt.hints import NO_HINTS, parse_hint_assignment, parse_hints
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict

from cardamomshunt_node._backend_edge_answers import (
    Answer,
    ErrorAnswer,
    IncompleteRowsError,
    Row,
    RowsAnswer,
    WriteAnswer,
)
from cardamomshunt_node._caller_edge import (
    CallerEdge,
    RequestPort,
    RequestResult,
    StatementRequest,
)
from cardamomshunt_node._caller_edge_mysql_columns import forwarded_column
from cardamomshunt_node._settings import Address
from cardamomshunt_node.mysql_server import (
    MysqlServerEdge,
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    ServerLimits,
    StatementResult,
)

N_CALLERS_MAX = 10_000
_HINT_PREFIX = "cardamomshunt_"
_OUTCOME_KEY = re.compile(
    r"cardamomshunt_outcome\s*\(\s*(?:'([^'\\]*)'|\"([^\"\\]*)\")\s*\)", re.IGNORECASE
)
_SET = re.compile(r"\s*(?:/\*.*?\*/\s*)?SET\s", re.IGNORECASE | re.DOTALL)
_ERROR_CODES = {
    RefusalReason.TOO_MANY_CONNECTIONS: (1040, "08004"),
    RefusalReason.UNKNOWN_DATABASE: (1049, "42000"),
    RefusalReason.UNSUPPORTED_STATEMENT: (1235, "42000"),
    RefusalReason.SHUTTING_DOWN: (1053, "08S01"),
}
_UNKNOWN_ERROR_CODE = 1105
# Errors after which the server has rolled the transaction back: lock wait timeout,
# deadlock and failed COMMIT. The data path then waits for ROLLBACK or BEGIN.
_ROLLBACK_CODES = frozenset({1180, 1205, 1213, 3101})
_NO_DATABASE = ServerError(1046, "3D000", "No database selected")
# Statements of these kinds begin a transaction implicitly when autocommit is off.
_IMPLICIT_BEGIN_KINDS = frozenset(
    {RequestKind.READ, RequestKind.WRITE, RequestKind.SESSION_STATE}
)
_END_KINDS = frozenset(
    {RequestKind.COMMIT, RequestKind.ROLLBACK, RequestKind.IMPLICIT_COMMIT}
)
_BEGIN_KINDS = frozenset({RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY})


def error_from_refusal(refusal: Refusal) -> ServerError:
    """Return the MySQL error for a refusal.

    >>> error = error_from_refusal(
    ...     Refusal(Verdict.NOT_RUN, RefusalReason.OVERLOADED, "the queue is full")
    ... )
    >>> error.code, error.sqlstate
    (1105, '40001')
    """
    code, sqlstate = _ERROR_CODES.get(refusal.reason, (_UNKNOWN_ERROR_CODE, ""))
    if not sqlstate:
        sqlstate = "40001" if refusal.may_retry else "HY000"
    return ServerError(code, sqlstate, str(refusal))


_SHUTTING_DOWN = error_from_refusal(
    Refusal(Verdict.NOT_RUN, RefusalReason.SHUTTING_DOWN, "the entry VM is stopping")
)
_TOO_MANY_CONNECTIONS = error_from_refusal(
    Refusal(
        Verdict.NOT_RUN,
        RefusalReason.TOO_MANY_CONNECTIONS,
        "the entry VM has reached its limit of callers",
    )
)
# During this time, the next statement of an idle caller is refused. After it, idle
# callers are sent the error unsolicited and disconnected; a statement sent at the same
# moment would only see a closed connection.
IDLE_DRAIN_GRACE_MS = 500.0
_DRAIN_POLL_INTERVAL_S = 0.02


def _unsupported(detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, RefusalReason.UNSUPPORTED_STATEMENT, detail)


class CallerSession(MysqlSession):
    """Serve the statements of one caller connection."""

    __slots__ = (
        "_caller_id",
        "_default_hints",
        "_last_result",
        "_last_verdict",
        "_shared",
    )

    def __init__(self, shared: "_SharedState") -> None:
        super().__init__()
        self._shared = shared
        self._caller_id = shared.port.open_caller()
        self._default_hints: SessionHints = NO_HINTS
        self._last_result: RequestResult | None = None
        self._last_verdict: str | None = None

    async def handle_statement(self, sql: str) -> StatementResult:
        """Run a statement; raise ServerError to answer with an error."""
        if _SET.match(sql):
            assigned = parse_hint_assignment(sql, self._default_hints)
            if assigned is not None:
                self._set_default_hints(assigned)
                return Ok()
        hints = parse_hints(sql, self._default_hints)
        if isinstance(hints, Refusal):
            raise self._record_refusal(hints)
        classification = self._shared.classifier.classify(sql)
        if classification.kind is None:
            raise self._record_refusal(_unsupported(classification.unsupported))
        return await self._run(sql, classification.kind, hints)

    async def on_reset(self) -> None:
        """Start a new session on the same connection."""
        self._shared.port.close_caller(self._caller_id)
        self._caller_id = self._shared.port.open_caller()
        self._default_hints = NO_HINTS
        self._last_result = None
        self._last_verdict = None
        self.is_in_transaction = False
        self.is_autocommit = True

    async def on_disconnected(self) -> None:
        """Abandon the caller's request and roll back its transaction."""
        self._shared.port.close_caller(self._caller_id)

    async def use_database(self, name: str) -> None:
        """Change the default database; refuse to do so inside a transaction."""
        if self.is_in_transaction and name != self.database:
            raise self._record_refusal(
                _unsupported("USE inside a transaction would leave its database")
            )
        self.database = name

    async def set_autocommit(self, is_on: bool) -> None:
        """Switch autocommit; switching it on commits an open transaction."""
        if is_on and not self.is_autocommit and self.is_in_transaction:
            await self._run("COMMIT", RequestKind.COMMIT, self._default_hints)
        self.is_autocommit = is_on

    async def set_variable(self, name: str, value: Any) -> None:
        """Set a default hint, or a user variable on the backend connection."""
        literal = "NULL" if value is None else _literal(value)
        statement = f"SET @{name} = {literal}"
        if not name.startswith(_HINT_PREFIX):
            await self._run(statement, RequestKind.SESSION_STATE, self._default_hints)
            return
        assigned = parse_hint_assignment(statement, self._default_hints)
        if assigned is None:
            raise ServerError(1193, "HY000", f"Unknown variable '@{name}'")
        self._set_default_hints(assigned)

    async def get_variable(self, name: str) -> Any:
        """Return a variable of the proxy or of the backend connection."""
        if name.startswith(_HINT_PREFIX):
            return self._proxy_variable(name.removeprefix(_HINT_PREFIX))
        result = await self._run(
            f"SELECT @{name}", RequestKind.SESSION_STATE, self._default_hints
        )
        if isinstance(result, Rows) and isinstance(result.rows, list) and result.rows:
            return result.rows[0][0]
        return None

    def _proxy_variable(self, name: str) -> Any:
        if name == "watermark":
            position = self._shared.port.watermark(self._caller_id, self.database or "")
            return None if position is None else str(position)
        if name == "last_verdict":
            return self._last_verdict
        if name == "last_route":
            completion = self._last_result and self._last_result.completion
            if completion is None:
                return None
            return "replica" if completion.is_from_replica else "primary"
        field = "request_class" if name == "class" else name
        if field not in SessionHints.__struct_fields__:
            raise ServerError(
                1193, "HY000", f"Unknown variable '@{_HINT_PREFIX}{name}'"
            )
        value = getattr(self._default_hints, field)
        if value is None or isinstance(value, (str, float)):
            return value
        return getattr(value, "value", None) or str(value)

    def _set_default_hints(self, assigned: SessionHints | Refusal) -> None:
        if isinstance(assigned, Refusal):
            raise self._record_refusal(assigned)
        self._default_hints = assigned

    def _record_refusal(self, refusal: Refusal) -> ServerError:
        self._last_verdict = str(refusal)
        self._shared.on_refusal(self.database or "", refusal)
        return error_from_refusal(refusal)

    async def _run(
        self, sql: str, kind: RequestKind, hints: SessionHints
    ) -> StatementResult:
        database = self.database
        if not database:
            raise _NO_DATABASE
        if kind is RequestKind.OUTCOME_QUERY:
            hints = _with_outcome_key(sql, hints)
        elif kind is RequestKind.IMPLICIT_COMMIT and ";" in sql.rstrip("; \t\r\n"):
            # The capabilities offered to callers exclude multiple results.
            raise self._record_refusal(_unsupported("multi-statement requests"))
        if not self.is_autocommit and not self.is_in_transaction:
            await self._begin_implicitly(kind, hints)
        request = StatementRequest(
            caller_id=self._caller_id,
            database=database,
            text=sql,
            kind=kind,
            hints=hints,
            fingerprint=fingerprint_statement(sql) if hints.idempotency_key else "",
        )
        result = await self._shared.port.run(request)
        self._last_result = result
        self._update_transaction_state(kind, result)
        if isinstance(result.answer, Refusal):
            raise self._record_refusal(result.answer)
        return self._statement_result(result.answer)

    async def _begin_implicitly(self, kind: RequestKind, hints: SessionHints) -> None:
        if kind in _IMPLICIT_BEGIN_KINDS and not hints.idempotency_key:
            await self._run("BEGIN", RequestKind.BEGIN, self._default_hints)

    def _update_transaction_state(
        self, kind: RequestKind, result: RequestResult
    ) -> None:
        if isinstance(result.answer, Refusal):
            is_lost = result.answer.reason in (
                RefusalReason.TRANSACTION_LOST,
                RefusalReason.CONNECTION_LOST,
            )
            if is_lost or kind in _END_KINDS:
                self.is_in_transaction = False
        elif isinstance(result.answer, ErrorAnswer) and (
            result.answer.code in _ROLLBACK_CODES
        ):
            self.is_in_transaction = False
        elif kind in _BEGIN_KINDS:
            self.is_in_transaction = not isinstance(result.answer, ErrorAnswer)
        elif kind in _END_KINDS:
            self.is_in_transaction = False

    def _statement_result(self, answer: Answer) -> StatementResult:
        if isinstance(answer, ErrorAnswer):
            raise ServerError(answer.code, answer.sqlstate, answer.message)
        if isinstance(answer, WriteAnswer):
            return Ok(answer.n_affected_rows, answer.last_insert_id, answer.n_warnings)
        character_set = self.variables.charset
        forwarded = [forwarded_column(item, character_set) for item in answer.columns]
        columns = [column for column, _ in forwarded]
        flags = [item for _, item in forwarded]
        if isinstance(answer.rows, list):
            return Rows(columns, answer.rows, flags)
        return Rows(columns, _forward_rows(answer), flags)


class _SharedState:
    """State shared by all sessions of an edge, to keep idle sessions small."""

    __slots__ = ("classifier", "on_refusal", "port")

    def __init__(
        self, port: RequestPort, on_refusal: Callable[[str, Refusal], None]
    ) -> None:
        self.port = port
        self.on_refusal = on_refusal
        self.classifier = StatementClassifier()


async def _forward_rows(answer: RowsAnswer) -> AsyncIterator[Row]:
    """Yield rows; a truncated result ends with an error packet."""
    try:
        async for row in answer.rows:  # type: ignore[union-attr]
            yield row
    except IncompleteRowsError as error:
        raise ServerError(
            error.answer.code, error.answer.sqlstate, error.answer.message
        ) from None


def _literal(value: Any) -> str:
    if isinstance(value, decimal.Decimal):
        # Without an exponent, which would make it a number of double precision.
        return format(value, "f")
    if not isinstance(value, str):
        return str(value)
    escaped = value.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"


def _with_outcome_key(sql: str, hints: SessionHints) -> SessionHints:
    match = _OUTCOME_KEY.search(sql)
    key = (match[1] or match[2] or "") if match else ""
    fields = {name: getattr(hints, name) for name in SessionHints.__struct_fields__}
    return SessionHints(**{**fields, "idempotency_key": key})


class MysqlCallerEdge(CallerEdge):
    """Accept MySQL callers on one address."""

    def __init__(
        self,
        address: Address,
        port: RequestPort,
        *,
        n_callers_max: int = N_CALLERS_MAX,
        on_refusal: Callable[[str, Refusal], None] = lambda database, refusal: None,
        on_fault: Callable[[Exception], None] = lambda error: None,
        on_limit: Callable[[], None] = lambda: None,
    ) -> None:
        self._address = address
        shared = _SharedState(port, on_refusal)
        self._server = MysqlServerEdge(
            lambda: CallerSession(shared),
            limits=ServerLimits(n_connections_max=n_callers_max),
            on_fault=on_fault,
        )
        self._server.on_limit = on_limit
        self._server.limit_error = _TOO_MANY_CONNECTIONS

    async def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""
        await self._server.start(self._address.host, self._address.port)

    @property
    def n_callers(self) -> int:
        """Return the number of open caller connections."""
        return self._server.n_connections

    async def drain(self, drain_ms: float) -> bool:
        """Refuse new callers, let transactions finish and close all connections."""
        self._server.stop_accepting(_SHUTTING_DOWN)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        idle_until_s = start_s + min(drain_ms, IDLE_DRAIN_GRACE_MS) / 1_000.0
        while self._server.n_connections and loop.time() < start_s + drain_ms / 1_000.0:
            if loop.time() >= idle_until_s:
                await self._server.close_idle()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        is_complete = self._server.n_connections == 0
        await self._server.stop()
        return is_complete
