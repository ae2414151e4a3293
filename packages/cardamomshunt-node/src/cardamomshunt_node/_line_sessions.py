"""Sessions of callers, and how their statements run on backend servers."""

import asyncio
import itertools
from dataclasses import dataclass, field

from cardamomshunt.fleet import Route, RouteKind
from cardamomshunt.freshness import DatedPosition
from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_pool import (
    BackendConnection,
    Reply,
    ServerBusyError,
    ServerLostError,
    ServerPool,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._session_protocol import (
    NOT_RUN_CODES,
    CallerQuery,
    ErrorCode,
    SessionProtocol,
    Shape,
    Statement,
    StatementKind,
    TransactionState,
)

# The answer has to reach the caller before its own limit for the statement.
_ANSWER_MARGIN_MS = 30.0
# A bound may be this much younger than the age that a route accepts.
_AGE_MARGIN_MS = 60.0
_RETRY_PAUSE_MS = 30.0
_HEDGE_MIN_MS = 120.0
_HEDGE_FACTOR = 2.5
_HEDGE_BUDGET_SHARE = 0.1
_HEDGE_BUDGET_MAX = 10.0
_RETRY_AFTER_MS = 250
_COMMIT_TEXT_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


class _RefusedError(Exception):
    """Carry the refusal of a statement that kept nothing, or may have."""

    def __init__(self, code: ErrorCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


@dataclass(slots=True)
class Transaction:
    """Hold an open transaction; it has no connection before its first statement."""

    route: Route
    is_read_only: bool
    arrived_ms: float
    connection: BackendConnection | None = None
    epoch: int = -1
    has_written: bool = False
    is_failed: bool = False
    used_ms: float = 0.0


@dataclass(slots=True)
class LineSession:
    """Hold the state of one caller's session."""

    session_id: int
    database: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Shape] = field(default_factory=dict)
    positions: dict[str, DatedPosition] = field(default_factory=dict)
    transaction: Transaction | None = None

    @property
    def state(self) -> TransactionState:
        """Return the state that the caller sees."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.is_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN


class StatementRunner:
    """Run the statements of all sessions of an entry VM."""

    def __init__(
        self,
        view: FleetView,
        protocol: SessionProtocol,
        log: DecisionLog,
        metrics: EntryMetrics,
    ) -> None:
        self._view = view
        self._protocol = protocol
        self._log = log
        self._metrics = metrics
        self._names: dict[Shape, str] = {}
        self._name_numbers = itertools.count(1)
        self._hedge_budget = _HEDGE_BUDGET_MAX
        self._latency_ms: dict[str, float] = {}
        self._background: set[asyncio.Task[Reply]] = set()

    # Entry

    async def run(self, session: LineSession, query: CallerQuery) -> bytes:
        """Run a statement; return the whole answer."""
        arrived_ms = boot_ms()
        statement = query.statement
        try:
            answer = await self._dispatch(session, query, arrived_ms)
        except _RefusedError as error:
            answer = self._refuse(session, query, error, arrived_ms)
        elapsed_ms = boot_ms() - arrived_ms
        self._metrics.observe_statement(statement.kind.value, elapsed_ms)
        return answer

    async def _dispatch(
        self, session: LineSession, query: CallerQuery, arrived_ms: float
    ) -> bytes:
        kind = query.statement.kind
        transaction = session.transaction
        if kind is StatementKind.INVALID:
            raise _RefusedError(ErrorCode.MALFORMED, "unknown statement")
        if transaction is not None and transaction.is_failed:
            return self._after_failure(session, kind)
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return self._begin(session, query.statement, arrived_ms)
        if kind in (
            StatementKind.SET,
            StatementKind.PREPARE,
            StatementKind.DEALLOCATE,
        ):
            return self._change_session(session, query.statement)
        if transaction is not None:
            return await self._run_in_transaction(session, query, arrived_ms)
        if kind in _COMMIT_TEXT_KINDS:
            raise _RefusedError(ErrorCode.MALFORMED, "no transaction is open")
        route = self._route(session)
        if self._is_write(session, query.statement):
            return await self._write(session, query, route, arrived_ms)
        return await self._read(session, query, route, arrived_ms)

    def _route(self, session: LineSession) -> Route:
        route = self._view.table.route_of(session.database)
        if route is None:
            raise _RefusedError(
                ErrorCode.UNKNOWN_DATABASE, f"no route for {session.database}"
            )
        return route

    def _is_write(self, session: LineSession, statement: Statement) -> bool:
        if statement.kind is not StatementKind.EXECUTE:
            return statement.kind is StatementKind.WRITE
        shape = session.prepared.get(statement.name)
        if shape is None:
            raise _RefusedError(ErrorCode.UNKNOWN_NAME, statement.name)
        return shape.is_write

    def _refuse(
        self,
        session: LineSession,
        query: CallerQuery,
        error: _RefusedError,
        arrived_ms: float,
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
            elapsed_ms=round(boot_ms() - arrived_ms, 1),
            configuration_version=self._view.table.version,
        )
        return self._protocol.error(error.code, str(error)) + self._end(session)

    def _end(self, session: LineSession, position: LogPosition | None = None) -> bytes:
        return self._protocol.ready(session.state, position)

    def _done(self, session: LineSession) -> bytes:
        return self._protocol.completed() + self._end(session)

    # Session state

    def _change_session(self, session: LineSession, statement: Statement) -> bytes:
        if statement.kind is StatementKind.SET:
            session.values[statement.name] = statement.value
        elif statement.kind is StatementKind.PREPARE:
            assert statement.shape is not None
            session.prepared[statement.name] = statement.shape
        elif session.prepared.pop(statement.name, None) is None:
            raise _RefusedError(ErrorCode.UNKNOWN_NAME, statement.name)
        return self._done(session)

    def _begin(
        self, session: LineSession, statement: Statement, arrived_ms: float
    ) -> bytes:
        if session.transaction is not None:
            raise _RefusedError(ErrorCode.MALFORMED, "a transaction is open")
        session.transaction = Transaction(
            self._route(session),
            statement.kind is StatementKind.BEGIN_READ_ONLY,
            arrived_ms,
            used_ms=arrived_ms,
        )
        return self._done(session)

    def _after_failure(self, session: LineSession, kind: StatementKind) -> bytes:
        if kind is StatementKind.ROLLBACK:
            session.transaction = None
            return self._done(session)
        if kind is StatementKind.COMMIT:
            session.transaction = None
            raise _RefusedError(ErrorCode.ABORTED, "the transaction failed before")
        raise _RefusedError(ErrorCode.MALFORMED, "the transaction failed before")

    def _canonical_name(self, shape: Shape) -> str:
        name = self._names.get(shape)
        if name is None:
            name = self._names[shape] = f"p{next(self._name_numbers)}"
        return name

    def _send_statement(
        self,
        connection: BackendConnection,
        session: LineSession,
        query: CallerQuery,
        at_least: LogPosition | None,
    ) -> asyncio.Future[Reply]:
        """Send what the session needs on the connection, then the statement."""
        self._send_values(connection, session)
        statement = query.statement
        text = statement.text
        if statement.kind is StatementKind.EXECUTE:
            shape = session.prepared[statement.name]
            name = self._canonical_name(shape)
            if name not in connection.prepared:
                connection.prepared[name] = shape
                self._send_own(connection, self._protocol.prepare(name, shape))
            text = self._protocol.execute_text(name, statement.arguments)
        return connection.send(
            self._protocol.statement(query.request_id, text, at_least)
        )

    def _send_values(self, connection: BackendConnection, session: LineSession) -> None:
        if not connection.values.keys() <= session.values.keys():
            connection.values.clear()
            connection.prepared.clear()
            self._send_own(connection, self._protocol.reset())
        for name, value in session.values.items():
            if connection.values.get(name) != value:
                connection.values[name] = value
                self._send_own(connection, self._protocol.set_value(name, value))

    def _send_own(self, connection: BackendConnection, data: bytes) -> None:
        """Send a statement of the proxy; close the connection unless it succeeds."""

        def check(future: asyncio.Future[Reply]) -> None:
            if future.cancelled() or future.exception() is not None:
                return
            if not future.result().is_success:
                connection.close("a statement of the proxy failed")

        connection.send(data).add_done_callback(check)

    # Single reads

    def _requirement(
        self, session: LineSession, route: Route, arrived_ms: float
    ) -> DatedPosition | None:
        """Return what a replica's log must hold, and since when that is known.

        None means that nothing proves a replica fresh enough.
        """
        if route.kind is RouteKind.PRIMARY:
            return None
        since_ms = arrived_ms - route.max_age_ms + _AGE_MARGIN_MS
        bound = self._view.bound_since(route.group, since_ms)
        own = session.positions.get(route.group)
        if (
            bound is not None
            and route.kind is RouteKind.READ_YOUR_WRITES
            and own is not None
            and own.position > bound.position
        ):
            return own
        return bound

    async def _read(
        self,
        session: LineSession,
        query: CallerQuery,
        route: Route,
        arrived_ms: float,
    ) -> bytes:
        deadline_ms = arrived_ms + route.statement_timeout_ms - _ANSWER_MARGIN_MS
        at_least = self._requirement(session, route, arrived_ms)
        self._hedge_budget = min(
            self._hedge_budget + _HEDGE_BUDGET_SHARE, _HEDGE_BUDGET_MAX
        )
        tried: set[str] = set()
        running: set[asyncio.Task[Reply]] = set()
        reason = "no server may serve the read"
        code = ErrorCode.BUSY
        was_sent = False
        while (now := boot_ms()) < deadline_ms:
            may_start = not running or (self._hedge_budget >= 1.0 and len(running) < 2)
            if may_start:
                pools = self._view.readers(route.group, at_least, tried)
                if running and pools:
                    self._hedge_budget -= 1.0
                    self._metrics.count_hedge()
                if pools:
                    tried.add(pools[0].server)
                    running.add(
                        self._start_read(
                            pools[0], session, query, route, at_least, deadline_ms
                        )
                    )
                elif not running:
                    tried.clear()
                    await self._view.wait_change(
                        min(_RETRY_PAUSE_MS, deadline_ms - now)
                    )
                    continue
            wait_ms = deadline_ms - now
            if len(running) < 2 and may_start:
                wait_ms = min(wait_ms, self._hedge_after_ms(route))
            done, running = await asyncio.wait(
                running,
                timeout=wait_ms / 1_000.0,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                error = task.exception()
                if error is not None:
                    was_sent = was_sent or not isinstance(error, ServerBusyError)
                    reason = str(error)
                    continue
                reply = task.result()
                if reply.is_success:
                    self._note_latency(route, boot_ms() - arrived_ms)
                    return b"".join(reply.lines) + self._end(session, reply.position)
                reason = f"server answered {reply.code}"
                if reply.code is ErrorCode.LAGGING:
                    code = ErrorCode.LAGGING
                elif reply.code not in NOT_RUN_CODES:
                    was_sent = True
                if reply.code is ErrorCode.BUSY:
                    await asyncio.sleep(_RETRY_PAUSE_MS / 1_000.0)
        if was_sent or running:
            raise _RefusedError(ErrorCode.FAILED, f"no answer in time: {reason}")
        raise _RefusedError(code, f"{reason}; retry_after_ms={_RETRY_AFTER_MS}")

    def _hedge_after_ms(self, route: Route) -> float:
        typical_ms = self._latency_ms.get(route.database, 0.0)
        return max(_HEDGE_MIN_MS, typical_ms * _HEDGE_FACTOR)

    def _note_latency(self, route: Route, elapsed_ms: float) -> None:
        known_ms = self._latency_ms.get(route.database, elapsed_ms)
        self._latency_ms[route.database] = known_ms + 0.1 * (elapsed_ms - known_ms)

    def _start_read(
        self,
        pool: ServerPool,
        session: LineSession,
        query: CallerQuery,
        route: Route,
        at_least: DatedPosition | None,
        deadline_ms: float,
    ) -> asyncio.Task[Reply]:
        """Start an attempt, which gives its connection back even if abandoned."""
        task = asyncio.get_running_loop().create_task(
            self._attempt_read(pool, session, query, route, at_least, deadline_ms)
        )
        self._background.add(task)
        task.add_done_callback(self._forget_attempt)
        return task

    def _forget_attempt(self, task: asyncio.Task[Reply]) -> None:
        self._background.discard(task)
        if not task.cancelled():
            # An abandoned attempt's failure was already answered for by another.
            task.exception()

    async def _attempt_read(
        self,
        pool: ServerPool,
        session: LineSession,
        query: CallerQuery,
        route: Route,
        at_least: DatedPosition | None,
        deadline_ms: float,
    ) -> Reply:
        connection = await pool.acquire(route.priority, deadline_ms, session.values)
        try:
            primary = self._view.primary(route.group)
            is_primary = primary is not None and primary[0] is pool
            if not is_primary and at_least is None:
                raise ServerBusyError("the primary may not be used any more")
            sent_ms = boot_ms()
            required = None if is_primary or at_least is None else at_least.position
            future = self._send_statement(connection, session, query, required)
            async with asyncio.timeout(max(deadline_ms - sent_ms, 1.0) / 1_000.0):
                reply = await future
        except TimeoutError as error:
            raise ServerLostError(f"{pool.server}: no answer in time") from error
        finally:
            pool.release(connection)
        self._learn(pool, route, reply, None if is_primary else at_least, sent_ms)
        self._metrics.count_read(is_primary)
        self._log.write_request(
            "read",
            request=query.request_id,
            session=session.session_id,
            server=pool.server,
            role="primary" if is_primary else "replica",
            required=required,
            position=reply.position,
            code=reply.code,
            elapsed_ms=round(boot_ms() - sent_ms, 1),
            configuration_version=self._view.table.version,
        )
        return reply

    def _learn(
        self,
        pool: ServerPool,
        route: Route,
        reply: Reply,
        required: DatedPosition | None,
        sent_ms: float,
    ) -> None:
        """Learn a bound from the primary, or how far a replica is behind."""
        if required is None:
            if reply.position is not None and reply.code is not ErrorCode.READ_ONLY:
                self._view.add_bound(route.group, reply.position, sent_ms)
            return
        if reply.code is ErrorCode.LAGGING:
            pool.note_behind(sent_ms - required.since_ms)

    # Single writes

    async def _write(
        self,
        session: LineSession,
        query: CallerQuery,
        route: Route,
        arrived_ms: float,
    ) -> bytes:
        deadline_ms = arrived_ms + route.statement_timeout_ms - _ANSWER_MARGIN_MS
        while True:
            connection, epoch = await self._acquire_primary(session, route, deadline_ms)
            sent_ms = boot_ms()
            try:
                future = self._send_statement(connection, session, query, None)
                async with asyncio.timeout(max(deadline_ms - sent_ms, 1.0) / 1_000.0):
                    reply = await future
            except (TimeoutError, ServerLostError) as error:
                raise _RefusedError(
                    ErrorCode.IN_DOUBT, f"no answer of {connection.pool.server}"
                ) from error
            finally:
                connection.pool.release(connection)
            if reply.code in NOT_RUN_CODES and boot_ms() < deadline_ms:
                await self._view.wait_change(_RETRY_PAUSE_MS)
                continue
            return self._finish_write(session, route, reply, epoch, sent_ms)

    async def _acquire_primary(
        self, session: LineSession, route: Route, deadline_ms: float
    ) -> tuple[BackendConnection, int]:
        """Return a connection to the primary that may be used now."""
        reason = "no primary may be used"
        while (now := boot_ms()) < deadline_ms:
            primary = self._view.primary(route.group)
            if primary is None:
                await self._view.wait_change(deadline_ms - now)
                continue
            pool, epoch = primary
            try:
                connection = await pool.acquire(
                    route.priority, deadline_ms, session.values
                )
            except ServerBusyError as error:
                reason = str(error)
                break
            except ServerLostError as error:
                reason = str(error)
                await self._view.wait_change(_RETRY_PAUSE_MS)
                continue
            current = self._view.primary(route.group)
            if current is not None and current[1] == epoch:
                return connection, epoch
            pool.release(connection)
        raise _RefusedError(
            ErrorCode.BUSY, f"{reason}; retry_after_ms={_RETRY_AFTER_MS}"
        )

    def _finish_write(
        self,
        session: LineSession,
        route: Route,
        reply: Reply,
        epoch: int,
        sent_ms: float,
    ) -> bytes:
        """Return the answer of a write or commit, if it may still be acknowledged."""
        if not reply.is_success:
            return b"".join(reply.lines) + self._end(session, reply.position)
        if not self._view.may_acknowledge(route.group, epoch):
            raise _RefusedError(
                ErrorCode.IN_DOUBT, f"the primary of epoch {epoch} was replaced"
            )
        if reply.position is not None:
            self._view.add_bound(route.group, reply.position, sent_ms)
            session.positions[route.group] = DatedPosition(reply.position, boot_ms())
        return b"".join(reply.lines) + self._end(session, reply.position)

    # Transactions

    async def _run_in_transaction(
        self, session: LineSession, query: CallerQuery, arrived_ms: float
    ) -> bytes:
        transaction = session.transaction
        assert transaction is not None
        transaction.used_ms = arrived_ms
        kind = query.statement.kind
        if kind is StatementKind.ROLLBACK:
            return self._roll_back(session)
        is_write = self._is_write(session, query.statement)
        if is_write and transaction.is_read_only:
            raise _RefusedError(ErrorCode.READ_ONLY, "the transaction only reads")
        deadline_ms = (
            arrived_ms + transaction.route.statement_timeout_ms - _ANSWER_MARGIN_MS
        )
        try:
            if transaction.connection is None:
                await self._open_transaction(session, transaction, deadline_ms)
            reply, sent_ms = await self._run_on_transaction(
                session, transaction, query, deadline_ms
            )
        except _RefusedError:
            self._fail(session, kind is StatementKind.COMMIT)
            raise
        if is_write and reply.code not in NOT_RUN_CODES:
            transaction.has_written = True
        if kind is StatementKind.COMMIT:
            return self._finish_commit(session, transaction, reply, sent_ms)
        if reply.state is not TransactionState.OPEN:
            self._fail(session, False)
        return b"".join(reply.lines) + self._end(session, reply.position)

    def _fail(self, session: LineSession, is_over: bool) -> None:
        """End a transaction on its server; the caller's goes on until it ends it."""
        transaction = session.transaction
        assert transaction is not None
        if transaction.connection is not None:
            transaction.connection.close("the transaction failed")
            transaction.connection = None
        transaction.is_failed = True
        if is_over:
            session.transaction = None

    def _roll_back(self, session: LineSession) -> bytes:
        transaction = session.transaction
        assert transaction is not None
        session.transaction = None
        connection = transaction.connection
        if connection is None or connection.is_closed:
            return self._done(session)
        future = connection.send(self._protocol.rollback())

        def give_back(done: asyncio.Future[Reply]) -> None:
            if not done.cancelled():
                done.exception()
            connection.pool.release(connection)

        future.add_done_callback(give_back)
        asyncio.get_running_loop().call_later(
            transaction.route.statement_timeout_ms / 1_000.0, future.cancel
        )
        return self._done(session)

    async def _open_transaction(
        self, session: LineSession, transaction: Transaction, deadline_ms: float
    ) -> None:
        """Begin on a server that holds what the transaction has to see."""
        route = transaction.route
        at_least = self._requirement(session, route, transaction.arrived_ms)
        if not transaction.is_read_only:
            at_least = None
        tried: set[str] = set()
        while boot_ms() < deadline_ms:
            pools = self._view.readers(route.group, at_least, tried)
            if not pools:
                tried.clear()
                await self._view.wait_change(_RETRY_PAUSE_MS)
                continue
            if await self._begin_on(
                pools[0], session, transaction, at_least, deadline_ms
            ):
                return
            tried.add(pools[0].server)
        raise _RefusedError(
            ErrorCode.BUSY,
            f"no server for the transaction; retry_after_ms={_RETRY_AFTER_MS}",
        )

    async def _begin_on(
        self,
        pool: ServerPool,
        session: LineSession,
        transaction: Transaction,
        at_least: DatedPosition | None,
        deadline_ms: float,
    ) -> bool:
        route = transaction.route
        try:
            connection = await pool.acquire(route.priority, deadline_ms, session.values)
        except (ServerBusyError, ServerLostError):
            return False
        primary = self._view.primary(route.group)
        is_primary = primary is not None and primary[0] is pool
        if not is_primary and at_least is None:
            pool.release(connection)
            return False
        sent_ms = boot_ms()
        self._send_values(connection, session)
        required = None if is_primary else at_least
        begin = self._protocol.begin(
            transaction.is_read_only, required.position if required else None
        )
        try:
            async with asyncio.timeout(max(deadline_ms - sent_ms, 1.0) / 1_000.0):
                reply = await connection.send(begin)
        except (TimeoutError, ServerLostError):
            pool.release(connection)
            return False
        self._learn(pool, route, reply, required, sent_ms)
        if not reply.is_success or reply.state is not TransactionState.OPEN:
            pool.release(connection)
            return False
        transaction.connection = connection
        transaction.epoch = primary[1] if primary is not None and is_primary else -1
        return True

    async def _run_on_transaction(
        self,
        session: LineSession,
        transaction: Transaction,
        query: CallerQuery,
        deadline_ms: float,
    ) -> tuple[Reply, float]:
        connection = transaction.connection
        assert connection is not None
        group = transaction.route.group
        while True:
            if transaction.epoch >= 0 and not self._view.may_acknowledge(
                group, transaction.epoch
            ):
                raise _RefusedError(
                    ErrorCode.ABORTED, "the primary of the transaction was replaced"
                )
            sent_ms = boot_ms()
            try:
                future = self._send_statement(connection, session, query, None)
                async with asyncio.timeout(max(deadline_ms - sent_ms, 1.0) / 1_000.0):
                    reply = await future
            except (TimeoutError, ServerLostError) as error:
                raise self._lost_in_transaction(transaction, query) from error
            is_retried = (
                reply.code is ErrorCode.BUSY
                and reply.state is TransactionState.OPEN
                and boot_ms() + _RETRY_PAUSE_MS < deadline_ms
            )
            if not is_retried:
                return reply, sent_ms
            await asyncio.sleep(_RETRY_PAUSE_MS / 1_000.0)

    def _lost_in_transaction(
        self, transaction: Transaction, query: CallerQuery
    ) -> _RefusedError:
        """Tell what a lost answer means; without a commit nothing can be kept."""
        is_commit = query.statement.kind is StatementKind.COMMIT
        if is_commit and transaction.has_written:
            return _RefusedError(ErrorCode.IN_DOUBT, "no answer to the commit")
        return _RefusedError(ErrorCode.ABORTED, "the server did not answer")

    def _finish_commit(
        self,
        session: LineSession,
        transaction: Transaction,
        reply: Reply,
        sent_ms: float,
    ) -> bytes:
        connection = transaction.connection
        assert connection is not None
        if reply.state is not TransactionState.IDLE:
            # The commit did not run and the transaction can't be used any more.
            self._fail(session, True)
            raise _RefusedError(ErrorCode.ABORTED, f"commit answered {reply.code}")
        session.transaction = None
        connection.pool.release(connection)
        if not transaction.has_written:
            return b"".join(reply.lines) + self._end(session, reply.position)
        return self._finish_write(
            session, transaction.route, reply, transaction.epoch, sent_ms
        )

    # Ends

    def abandon(self, session: LineSession) -> None:
        """Roll back what a caller left open."""
        if session.transaction is not None:
            self._fail(session, True)

    def end_idle_transaction(self, session: LineSession, now_ms: float) -> None:
        """End a transaction on its server that its caller left idle too long."""
        transaction = session.transaction
        if transaction is None or transaction.is_failed:
            return
        if now_ms > transaction.used_ms + self._view.table.transaction_idle_ms:
            self._log.write("transaction_idle", session=session.session_id)
            self._fail(session, False)
