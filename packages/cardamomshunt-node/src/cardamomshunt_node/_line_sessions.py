"""Dispatch of callers' statements to reads, writes and transactions."""

import asyncio
from collections.abc import Callable

from cardamomshunt.fleet import Route
from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_connection import Reply
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_reads import ReadRunner
from cardamomshunt_node._line_session_state import (
    LineSession,
    RefusedError,
    statement_deadline_ms,
)
from cardamomshunt_node._line_transactions import TransactionRunner
from cardamomshunt_node._line_writes import WriteRunner
from cardamomshunt_node._read_freshness import ReadFreshness
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._session_protocol import (
    CallerQuery,
    ErrorCode,
    SessionProtocol,
    Statement,
    StatementKind,
)
from cardamomshunt_node._statement_sender import StatementSender
from cardamomshunt_node._team_quotas import TeamQuotaWaiter

_BEGIN_KINDS = (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY)
_SESSION_KINDS = (
    StatementKind.SET,
    StatementKind.PREPARE,
    StatementKind.DEALLOCATE,
)
_END_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


class StatementRunner:
    """Run the statements of all sessions of an entry VM.

    Statements that only change the session are completed here without a server.
    """

    def __init__(
        self,
        view: FleetView,
        protocol: SessionProtocol,
        log: DecisionLog,
        metrics: EntryMetrics,
        quotas: TeamQuotaWaiter,
        record_step: Callable[[RecoveryStep], None] = lambda step: None,
        *,
        is_statement_traced: bool = False,
    ) -> None:
        self._record_step = record_step
        self._view = view
        self._quotas = quotas
        self._protocol = protocol
        self._log = log
        self._metrics = metrics
        sender = StatementSender(protocol, log if is_statement_traced else None)
        self._sender = sender
        freshness = ReadFreshness(view)
        self._reads = ReadRunner(view, sender, freshness, log, metrics, quotas)
        self._writes = WriteRunner(view, sender, log)
        self._transactions = TransactionRunner(
            view, sender, freshness, self._writes, log, quotas
        )

    async def run(
        self,
        session: LineSession,
        query: CallerQuery,
        received_ms: float | None = None,
    ) -> bytes:
        """Run a statement; return its encoded answer."""
        received_ms = boot_ms() if received_ms is None else received_ms
        session.is_running = True
        try:
            reply = await self._dispatch(session, query, received_ms)
        except RefusedError as error:
            answer = self._refuse(session, query, error, received_ms)
        except asyncio.CancelledError:
            self._log_caller_left(session, query, received_ms)
            raise
        else:
            answer = self._answer(session, reply)
        finally:
            session.is_running = False
            if session.transaction is not None:
                session.transaction.last_used_ms = boot_ms()
        self._metrics.observe_statement(
            query.statement.kind.value, boot_ms() - received_ms
        )
        return answer

    def _log_caller_left(
        self, session: LineSession, query: CallerQuery, received_ms: float
    ) -> None:
        self._log.write_request(
            "caller_left",
            request=query.request_id,
            session=session.session_id,
            database=session.database,
            statement=query.statement.kind.value,
            elapsed_ms=round(boot_ms() - received_ms, 1),
            configuration_version=self._view.table.version,
        )

    def _answer(self, session: LineSession, reply: Reply | None) -> bytes:
        if reply is None:
            return self._protocol.completed() + self._ready_line(session, None)
        self._record_step(RecoveryStep.FIRST_ANSWER)
        return b"".join(reply.lines) + self._ready_line(session, reply.position)

    def _ready_line(self, session: LineSession, position: LogPosition | None) -> bytes:
        return self._protocol.ready(session.state, position)

    async def _dispatch(
        self, session: LineSession, query: CallerQuery, received_ms: float
    ) -> Reply | None:
        """Return a server's answer, or None if none was needed."""
        kind = query.statement.kind
        if kind is StatementKind.INVALID:
            raise RefusedError(ErrorCode.MALFORMED, "unknown statement")
        if session.transaction is not None and session.transaction.is_failed:
            return self._run_in_failed_transaction(session, kind)
        if kind in _SESSION_KINDS:
            self._sender.check_size(session, query)
            return self._change_session(session, query.statement)
        if session.transaction is not None:
            return await self._run_in_transaction(session, query)
        if kind in _BEGIN_KINDS:
            is_read_only = kind is StatementKind.BEGIN_READ_ONLY
            return self._transactions.begin(session, self._route(session), is_read_only)
        if kind in _END_KINDS:
            raise RefusedError(ErrorCode.MALFORMED, "no transaction is open")
        route = self._route(session)
        is_write = self._is_write(session, query.statement)
        self._sender.check_size(session, query)
        self._metrics.count_operation(session.team)
        deadline_ms = statement_deadline_ms(
            route, received_ms, self._view.answer_deadline_ms
        )
        async with self._quotas.operation(session, deadline_ms):
            if is_write:
                return await self._writes.write(session, query, route, received_ms)
            return await self._reads.run(session, query, route, received_ms)

    async def _run_in_transaction(
        self, session: LineSession, query: CallerQuery
    ) -> Reply | None:
        kind = query.statement.kind
        if kind in _BEGIN_KINDS:
            raise RefusedError(ErrorCode.MALFORMED, "a transaction is open")
        if kind is StatementKind.ROLLBACK:
            return self._transactions.roll_back(session)
        is_write = self._is_write(session, query.statement)
        self._sender.check_size(session, query)
        if session.transaction is not None and session.transaction.connection is None:
            self._metrics.count_operation(session.team)
        return await self._transactions.run(session, query, is_write)

    def _route(self, session: LineSession) -> Route:
        route = self._view.table.route_of(session.database)
        if route is None:
            raise RefusedError(
                ErrorCode.UNKNOWN_DATABASE, f"no route for {session.database}"
            )
        return route

    def _is_write(self, session: LineSession, statement: Statement) -> bool:
        if statement.kind is not StatementKind.EXECUTE:
            return statement.kind is StatementKind.WRITE
        shape = session.prepared.get(statement.name)
        if shape is None:
            raise RefusedError(ErrorCode.UNKNOWN_NAME, statement.name)
        return shape.is_write

    def _refuse(
        self,
        session: LineSession,
        query: CallerQuery,
        error: RefusedError,
        received_ms: float,
    ) -> bytes:
        self._metrics.count_refusal(error.code.value)
        self._log.write_request(
            "refused",
            request=query.request_id,
            session=session.session_id,
            database=session.database,
            statement=query.statement.kind.value,
            code=error.code.value,
            reason=str(error),
            elapsed_ms=round(boot_ms() - received_ms, 1),
            configuration_version=self._view.table.version,
        )
        return self._protocol.error(error.code, str(error)) + self._ready_line(
            session, None
        )

    def _change_session(self, session: LineSession, statement: Statement) -> None:
        if statement.kind is StatementKind.SET:
            session.values[statement.name] = statement.value
        elif statement.kind is StatementKind.PREPARE:
            assert statement.prepared is not None
            session.prepared[statement.name] = statement.prepared
        elif session.prepared.pop(statement.name, None) is None:
            raise RefusedError(ErrorCode.UNKNOWN_NAME, statement.name)

    def _run_in_failed_transaction(
        self, session: LineSession, kind: StatementKind
    ) -> None:
        if kind not in _END_KINDS:
            raise RefusedError(ErrorCode.MALFORMED, "the transaction has failed")
        self._transactions.fail(session, True)
        if kind is StatementKind.COMMIT:
            raise RefusedError(ErrorCode.ABORTED, "the transaction has failed")

    def abandon(self, session: LineSession) -> None:
        """Roll back the open transaction of a caller that disconnected."""
        if session.transaction is not None:
            self._transactions.fail(session, True)

    def end_idle_transaction(self, session: LineSession, now_ms: float) -> None:
        """Fail a transaction that has been idle for longer than the limit."""
        idle_ms = self._view.table.transaction_idle_ms
        if session.is_transaction_idle(idle_ms, now_ms):
            self._log.write("transaction_idle", session=session.session_id)
            self._transactions.fail(session, False)
