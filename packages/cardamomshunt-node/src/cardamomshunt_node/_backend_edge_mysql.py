"""Backend edge for MySQL servers, based on asyncmy."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from cardamomshunt.effects import AttemptKind as Kind
from cardamomshunt.effects import (
    AttemptOutcome,
    AttemptResult,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    OpenConnection,
    QueryOutcome,
    QueryPosition,
    StartAttempt,
)
from cardamomshunt.messages import InstanceRole
from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_edge import BackendEdge, BackendListener
from cardamomshunt_node._backend_edge_answers import (
    Column,
    ErrorAnswer,
    RowBatch,
    RowsAnswer,
)
from cardamomshunt_node._backend_edge_mysql_attempts import (
    AttemptCompletion,
    AttemptRunner,
    parse_position,
)
from cardamomshunt_node._backend_edge_mysql_connection import (
    BackendConnection,
    ConnectionLostError,
    Reply,
)
from cardamomshunt_node._backend_edge_rows import RowStream
from cardamomshunt_node._boot_clock import boot_ms

BACKEND_USER = "cardamomshunt"
# Connecting takes 10 to 30 ms; after this time it counts as failed.
CONNECT_TIMEOUT_S = 2.0
RESET_TIMEOUT_S = 2.0


@dataclass(slots=True)
class _TrackedConnection:
    """Connection, the task that uses it and the term that it is bound to."""

    connection: BackendConnection | None
    database: str
    term: int | None
    task: asyncio.Task[None] | None = None


class _HandshakeError(Exception):
    """Raised when a server accepts the connection but can't be used."""


class MysqlBackendEdge(BackendEdge):
    """Run attempts on MySQL connections, one task for each command."""

    def __init__(
        self, user: str = BACKEND_USER, clock_ms: Callable[[], float] = boot_ms
    ) -> None:
        self._user = user
        self._clock_ms = clock_ms
        self._listener: BackendListener
        self._tracked_connections: dict[ConnectionId, _TrackedConnection] = {}

    @property
    def n_connections(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._tracked_connections)

    def set_listener(self, listener: BackendListener) -> None:
        """Set the listener that receives the events."""
        self._listener = listener

    def open_connection(self, effect: OpenConnection) -> None:
        """Connect to a server, read its status and bind the connection to the term."""
        tracked = _TrackedConnection(None, effect.database, effect.term)
        self._tracked_connections[effect.connection_id] = tracked
        self._start_task(tracked, self._open(effect, tracked))

    def close_connection(self, connection_id: ConnectionId, reason: str) -> None:
        """Close a connection immediately, even during a command."""
        tracked = self._tracked_connections.pop(connection_id, None)
        if tracked is None:
            return
        if tracked.connection is not None:
            tracked.connection.close()
        if tracked.task is not None:
            tracked.task.cancel()

    def reset_connection(self, connection_id: ConnectionId) -> None:
        """Roll back and clear the session state."""
        tracked = self._tracked_connections.get(connection_id)
        if tracked is None or tracked.connection is None:
            self._call_soon(
                self._listener.on_connection_closed, connection_id, "already closed"
            )
            return
        self._start_task(
            tracked, self._reset(connection_id, tracked, tracked.connection)
        )

    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        """Run a statement as the kind of the attempt requires."""
        tracked = self._tracked_connections.get(effect.connection_id)
        if tracked is None or tracked.connection is None:
            completion = AttemptCompletion(
                AttemptOutcome.NOT_SENT, detail="the connection is closed"
            )
            self._call_soon(self._report_attempt, effect, completion, self._clock_ms())
            return
        self._start_task(
            tracked, self._run_attempt(effect, statement, tracked, tracked.connection)
        )

    def query_position(self, effect: QueryPosition) -> None:
        """Query a primary for a position that a majority has confirmed."""
        tracked = self._tracked_connections.get(effect.connection_id)
        if tracked is None or tracked.connection is None:
            self._call_soon(self._listener.on_position_answered, effect.database, None)
            return
        self._start_task(
            tracked, self._run_position_query(effect, tracked, tracked.connection)
        )

    async def stop(self) -> None:
        """Close all connections."""
        tasks = [
            tracked.task
            for tracked in self._tracked_connections.values()
            if tracked.task is not None
        ]
        for connection_id in list(self._tracked_connections):
            self.close_connection(connection_id, "stopping")
        await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    def _call_soon(callback: Callable[..., None], *arguments: object) -> None:
        # The listener is not reentrant, and it issues commands during its calls.
        asyncio.get_running_loop().call_soon(callback, *arguments)

    def _start_task(
        self, tracked: _TrackedConnection, work: Coroutine[Any, Any, None]
    ) -> None:
        tracked.task = asyncio.create_task(work)

    def _on_socket_closed(
        self, connection_id: ConnectionId, tracked: _TrackedConnection
    ) -> None:
        # A running command detects the closed socket itself and reports its outcome.
        is_busy = tracked.task is not None and not tracked.task.done()
        if self._tracked_connections.get(connection_id) is tracked and not is_busy:
            self._drop(connection_id, "closed by the server")

    def _drop(self, connection_id: ConnectionId, detail: str) -> None:
        """Close and remove an unusable connection, and report it as closed."""
        tracked = self._tracked_connections.pop(connection_id, None)
        if tracked is None:
            return
        if tracked.connection is not None:
            tracked.connection.close()
        self._listener.on_connection_closed(connection_id, detail)

    def _drop_if_closed(
        self, connection_id: ConnectionId, connection: BackendConnection
    ) -> None:
        if not connection.is_usable:
            self._drop(connection_id, "closed by the server")

    async def _open(self, effect: OpenConnection, tracked: _TrackedConnection) -> None:
        started_ms = self._clock_ms()
        connection_id = effect.connection_id
        try:
            tracked.connection = await BackendConnection.connect(
                effect.address, effect.database, self._user, CONNECT_TIMEOUT_S
            )
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await self._perform_handshake(
                    effect, tracked.connection, started_ms
                )
        except Exception as error:
            # The connection must not stay in progress, whatever the server answers.
            if self._tracked_connections.pop(connection_id, None) is None:
                return
            if tracked.connection is not None:
                tracked.connection.close()
            is_refused = _is_connection_refused(error)
            detail = str(error) or "timed out"
            self._listener.on_connection_failed(connection_id, is_refused, detail)
            return
        tracked.task = None
        tracked.connection.add_close_callback(
            lambda: self._on_socket_closed(connection_id, tracked)
        )
        self._listener.on_connection_opened(opened)

    async def _perform_handshake(
        self, effect: OpenConnection, connection: BackendConnection, started_ms: float
    ) -> ConnectionOpened:
        statements = [
            "SELECT * FROM cardamomshunt_status",
            *_term_statements(effect.term),
        ]
        replies = await connection.query(*statements)
        for reply in replies:
            if isinstance(reply, ErrorAnswer):
                raise _HandshakeError(reply.message)
        status = _parse_status(replies[0])
        if status.get("instance") != effect.instance:
            raise _HandshakeError(
                f"the server identifies itself as {status.get('instance')!r}"
            )
        try:
            return ConnectionOpened(
                connection_id=effect.connection_id,
                instance=effect.instance,
                incarnation=int(status["incarnation"]),
                role=InstanceRole(status["role"].lower()),
                term=int(status["term"]),
                applied_position=LogPosition(
                    int(status["applied_term"]), int(status["applied_position"])
                ),
                elapsed_ms=self._clock_ms() - started_ms,
            )
        except (KeyError, ValueError) as error:
            raise _HandshakeError(f"malformed status: {error!r}") from error

    async def _reset(
        self,
        connection_id: ConnectionId,
        tracked: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        try:
            async with asyncio.timeout(RESET_TIMEOUT_S):
                replies = await connection.reset(*_term_statements(tracked.term))
        except Exception as error:
            self._drop(connection_id, f"reset failed: {error!r}")
            return
        for reply in replies:
            if isinstance(reply, ErrorAnswer):
                self._drop(connection_id, f"reset failed: {reply.message}")
                return
        tracked.task = None
        self._listener.on_connection_reset(connection_id)
        self._drop_if_closed(connection_id, connection)

    async def _run_position_query(
        self,
        effect: QueryPosition,
        tracked: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        sent_ms = self._clock_ms()
        try:
            async with asyncio.timeout(effect.timeout_ms / 1_000.0):
                reply = (
                    await connection.query("CALL cardamomshunt_confirmed_position()")
                )[0]
        except Exception as error:
            self._listener.on_position_answered(effect.database, None)
            self._drop(effect.connection_id, f"position query failed: {error!r}")
            return
        parsed = parse_position(reply)
        bound = parsed and ConfirmedBound(
            database=effect.database, position=parsed[0], as_of_ms=sent_ms
        )
        tracked.task = None
        self._listener.on_position_answered(effect.database, bound)
        self._drop_if_closed(effect.connection_id, connection)

    async def _run_attempt(
        self,
        effect: StartAttempt,
        statement: str,
        tracked: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        started_ms = self._clock_ms()
        stream: RowStream | None = None

        async def consume_rows(columns: list[Column], batch: RowBatch) -> bool:
            nonlocal stream
            if stream is None:
                stream = self._listener.on_rows_started(
                    effect.request_id, effect.attempt, columns
                )
            return stream is not None and await stream.put(batch)

        runner = AttemptRunner(connection, effect, statement, consume_rows)
        try:
            async with asyncio.timeout(effect.timeout_ms / 1_000.0):
                completion = await runner.run()
        except asyncio.CancelledError:
            if self._tracked_connections.get(effect.connection_id) is tracked:
                raise
            # close_connection cancelled the attempt; no result is expected.
            return
        except Exception as error:
            completion = _failed_completion(effect, runner.is_sent, error)
        if completion.is_connection_reusable and connection.is_usable:
            tracked.task = None
            self._report_attempt(effect, completion, started_ms)
            return
        # Closed before the report, so that a late reply can't reach another request.
        connection.close()
        tracked.task = None
        self._report_attempt(effect, completion, started_ms)
        self._drop(effect.connection_id, completion.detail)

    def _report_attempt(
        self, effect: StartAttempt, completion: AttemptCompletion, started_ms: float
    ) -> None:
        result = AttemptResult(
            request_id=effect.request_id,
            attempt=effect.attempt,
            connection_id=effect.connection_id,
            outcome=completion.outcome,
            position=completion.position,
            first_answer=completion.first_answer,
            query_outcome=completion.query_outcome,
            elapsed_ms=self._clock_ms() - started_ms,
            detail=completion.detail,
            error_code=completion.answer.code
            if isinstance(completion.answer, ErrorAnswer)
            else 0,
        )
        self._listener.on_attempt_ended(result, completion.answer)


def _failed_completion(
    effect: StartAttempt, is_sent: bool, error: Exception
) -> AttemptCompletion:
    # A group of statements that was sent only in part counts as sent, and so does any
    # error that a malformed reply causes.
    is_expected = isinstance(error, (ConnectionLostError, TimeoutError))
    is_sent = is_sent or not is_expected or getattr(error, "is_sent", False)
    outcome = AttemptOutcome.LOST if is_sent else AttemptOutcome.NOT_SENT
    is_query = effect.kind is Kind.QUERY_OUTCOME
    return AttemptCompletion(
        outcome,
        query_outcome=QueryOutcome.UNKNOWN if is_query else None,
        detail=str(error) or "timed out",
        is_connection_reusable=False,
    )


def _is_connection_refused(error: BaseException) -> bool:
    """Return whether the host refused the connection, as if its server is down."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__
    return False


def _term_statements(term: int | None) -> list[str]:
    return [] if term is None else [f"SET @cardamomshunt_term = {term}"]


def _parse_status(reply: Reply) -> dict[str, str]:
    if not isinstance(reply, RowsAnswer) or len(reply.rows) != 1:  # type: ignore[arg-type]
        raise _HandshakeError("expected one row from cardamomshunt_status")
    row = reply.rows[0]  # type: ignore[index]
    return {
        column.name: (value or b"").decode("utf-8", "replace")
        for column, value in zip(reply.columns, row, strict=True)
    }
