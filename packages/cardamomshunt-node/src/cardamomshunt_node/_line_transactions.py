"""Transactions, which run on one connection from the first statement to the end."""

import asyncio

from cardamomshunt.fleet import Route
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_connection import (
    Reply,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import (
    LineSession,
    RefusedError,
    Transaction,
    former_primary_error,
    not_run_error,
    record_answer,
    retry_pause_ms,
    seconds_until,
    statement_deadline_ms,
)
from cardamomshunt_node._line_writes import WriteRunner
from cardamomshunt_node._read_freshness import ReadFreshness
from cardamomshunt_node._server_pool import ServerBusyError, ServerPool
from cardamomshunt_node._session_protocol import (
    NOT_RUN_CODES,
    CallerQuery,
    ErrorCode,
    StatementKind,
    TransactionState,
)
from cardamomshunt_node._statement_sender import StatementSender
from cardamomshunt_node._team_quotas import TeamQuotaWaiter


class TransactionRunner:
    """Run transactions on the primary, or read-only ones on a fresh enough replica."""

    def __init__(
        self,
        view: FleetView,
        sender: StatementSender,
        freshness: ReadFreshness,
        writes: WriteRunner,
        log: DecisionLog,
        quotas: TeamQuotaWaiter,
    ) -> None:
        self._quotas = quotas
        self._log = log
        self._view = view
        self._sender = sender
        self._freshness = freshness
        self._writes = writes

    def begin(self, session: LineSession, route: Route, is_read_only: bool) -> None:
        """Open a transaction; its first statement chooses the server."""
        now = boot_ms()
        session.transaction = Transaction(route, is_read_only, now, last_used_ms=now)

    async def run(
        self, session: LineSession, query: CallerQuery, is_write: bool
    ) -> Reply:
        """Run a statement or a commit in the transaction; raise RefusedError."""
        transaction = session.transaction
        assert transaction is not None
        is_commit = query.statement.kind is StatementKind.COMMIT
        if is_write and transaction.is_read_only:
            raise RefusedError(ErrorCode.READ_ONLY, "the transaction is read-only")
        deadline_ms = statement_deadline_ms(
            transaction.route, boot_ms(), self._view.answer_deadline_ms
        )
        try:
            if transaction.connection is None:
                async with self._quotas.operation(session, deadline_ms):
                    await self._open_transaction(session, transaction, deadline_ms)
            reply, sent_ms = await self._run_on_server(
                session, transaction, query, deadline_ms
            )
        except RefusedError:
            self.fail(session, is_commit)
            raise
        if is_write and reply.code not in NOT_RUN_CODES:
            transaction.has_written = True
        if is_commit:
            return self._finish_commit(session, transaction, query, reply, sent_ms)
        if reply.state is not TransactionState.OPEN:
            self.fail(session, False)
        return reply

    def fail(self, session: LineSession, is_ended: bool) -> None:
        """Abort a transaction on its server by closing the connection.

        The caller sees it as failed until it ends it, unless `is_ended`.
        """
        transaction = session.transaction
        assert transaction is not None
        transaction.close_connection("the transaction failed")
        transaction.is_failed = True
        if is_ended:
            session.transaction = None

    def roll_back(self, session: LineSession) -> None:
        """Roll back the transaction; the caller does not wait for the server."""
        transaction = session.transaction
        assert transaction is not None
        session.transaction = None
        connection = transaction.connection
        if connection is None or connection.is_closed:
            return
        future = connection.send(self._sender.protocol.rollback())

        def release(done: asyncio.Future[Reply]) -> None:
            if not done.cancelled():
                done.exception()
            connection.pool.release(connection)

        future.add_done_callback(release)
        asyncio.get_running_loop().call_later(
            transaction.route.statement_timeout_ms / 1_000.0, future.cancel
        )

    async def _open_transaction(
        self, session: LineSession, transaction: Transaction, deadline_ms: float
    ) -> None:
        """Begin on a server that is fresh enough, with backoff while there is none."""
        route = transaction.route
        at_least: DatedPosition | None = None
        tried: set[str] = set()
        n_refused = 0
        busy: ServerBusyError | None = None
        while boot_ms() < deadline_ms:
            if transaction.is_read_only and at_least is None:
                at_least = self._freshness.requirement(
                    session, route, transaction.received_ms
                )
            pools = self._view.read_candidates(
                route.group, at_least, tried, route.priority
            )
            if not pools and busy is not None:
                raise not_run_error(ErrorCode.BUSY, str(busy), busy.retry_after_ms)
            if not pools:
                pause_ms = self._view.retry_after_ms(route.group, deadline_ms)
                if pause_ms is not None and at_least is None:
                    raise not_run_error(
                        ErrorCode.BUSY, "no server for the transaction", pause_ms
                    )
                tried.clear()
                await self._view.wait_for_change(retry_pause_ms(n_refused))
                n_refused += 1
                continue
            try:
                has_begun = await self._begin_on(
                    pools[0], session, transaction, at_least, deadline_ms
                )
            except ServerBusyError as error:
                busy, has_begun = error, False
            if has_begun:
                return
            tried.add(pools[0].server)
        raise not_run_error(ErrorCode.BUSY, "no server for the transaction")

    async def _begin_on(
        self,
        pool: ServerPool,
        session: LineSession,
        transaction: Transaction,
        at_least: DatedPosition | None,
        deadline_ms: float,
    ) -> bool:
        """Return whether the transaction has begun; raise ServerBusyError without room."""
        route = transaction.route
        session.may_cancel = True
        try:
            connection = await pool.acquire(
                route.priority, deadline_ms, session.values, session.team
            )
        except ServerLostError:
            return False
        except ServerBusyError as error:
            if error.retry_after_ms is not None:
                raise
            return False
        finally:
            session.may_cancel = False
        primary = self._view.primary(route.group)
        is_primary = primary is not None and primary[0] is pool
        if not is_primary and at_least is None:
            pool.release(connection)
            return False
        sent_ms = boot_ms()
        self._sender.send_values(connection, session)
        required = None if is_primary else at_least
        begin = self._sender.protocol.begin(
            transaction.is_read_only, required.position if required else None
        )
        try:
            async with asyncio.timeout(seconds_until(deadline_ms)):
                reply = await connection.send(begin)
        except (TimeoutError, ServerLostError):
            record_answer(connection, route, "begin", sent_ms, None)
            pool.release(connection)
            return False
        record_answer(connection, route, "begin", sent_ms, reply)
        self._freshness.record_reply(pool, route, reply, required, sent_ms)
        if not reply.is_success or reply.state is not TransactionState.OPEN:
            pool.release(connection)
            return False
        self._log.write_request(
            "transaction",
            session=session.session_id,
            server=pool.server,
            role="primary" if is_primary else "replica",
            required=required.position if required else None,
            position=reply.position,
            configuration_version=self._view.table.version,
        )
        transaction.connection = connection
        transaction.epoch = primary[1] if primary is not None and is_primary else -1
        return True

    async def _run_on_server(
        self,
        session: LineSession,
        transaction: Transaction,
        query: CallerQuery,
        deadline_ms: float,
    ) -> tuple[Reply, float]:
        connection = transaction.connection
        assert connection is not None
        route = transaction.route
        n_refused = 0
        while True:
            self._check_primary(transaction)
            sent_ms = boot_ms()
            try:
                future = self._sender.send(connection, session, query, None)
                async with asyncio.timeout(seconds_until(deadline_ms)):
                    reply = await future
                record_answer(connection, route, "transaction", sent_ms, reply)
            except (TimeoutError, ServerLostError) as error:
                record_answer(connection, route, "transaction", sent_ms, None)
                raise self._lost_answer_error(transaction, query) from error
            is_retried = (
                reply.code is ErrorCode.BUSY
                and reply.state is TransactionState.OPEN
                and boot_ms() + retry_pause_ms(n_refused) < deadline_ms
            )
            if not is_retried:
                return reply, sent_ms
            await asyncio.sleep(retry_pause_ms(n_refused) / 1_000.0)
            n_refused += 1

    def _check_primary(self, transaction: Transaction) -> None:
        """Raise RefusedError if the transaction's primary may not be used any more."""
        epoch = transaction.epoch
        if epoch < 0:
            return
        refusal = self._view.ack_refusal(transaction.route.group, epoch)
        if refusal is not None:
            raise former_primary_error(ErrorCode.ABORTED, refusal, epoch)

    def _lost_answer_error(
        self, transaction: Transaction, query: CallerQuery
    ) -> RefusedError:
        """Return the error for a lost answer; without a commit nothing is stored."""
        is_commit = query.statement.kind is StatementKind.COMMIT
        if is_commit and transaction.has_written:
            return RefusedError(ErrorCode.IN_DOUBT, "no answer to the commit")
        return RefusedError(ErrorCode.ABORTED, "the server did not answer")

    def _finish_commit(
        self,
        session: LineSession,
        transaction: Transaction,
        query: CallerQuery,
        reply: Reply,
        sent_ms: float,
    ) -> Reply:
        connection = transaction.connection
        assert connection is not None
        if reply.state is not TransactionState.IDLE:
            # The commit did not run, and the transaction cannot be continued.
            self.fail(session, True)
            raise RefusedError(ErrorCode.ABORTED, f"commit answered {reply.code}")
        session.transaction = None
        connection.pool.release(connection)
        if not transaction.has_written:
            return reply
        return self._writes.acknowledge(
            query.request_id,
            session,
            transaction.route,
            reply,
            transaction.epoch,
            sent_ms,
        )
