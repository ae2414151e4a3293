"""Backend edge for MySQL servers, on asyncmy."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from cardamomshunt.effects import (
    AskPosition,
    AttemptOutcome,
    AttemptResult,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    OpenConnection,
    QueryOutcome,
    StartAttempt,
)
from cardamomshunt.effects import AttemptKind as Kind
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

BACKEND_USER = "cardamomshunt"
# A dial that takes longer than this is no better than a refused one: connection set-up
# takes 10 to 30 ms.
CONNECT_TIMEOUT_S = 2.0
RESET_TIMEOUT_S = 2.0


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1_000.0


@dataclass(slots=True)
class _TrackedConnection:
    """Hold a connection, the task that uses it and the term that it is bound to."""

    connection: BackendConnection | None
    database: str
    term: int | None
    task: asyncio.Task[None] | None = None


class _HandshakeError(Exception):
    """Say why a server that accepted the connection can't be used."""


class MysqlBackendEdge(BackendEdge):
    """Run attempts on MySQL connections, one task for each command."""

    def __init__(
        self, user: str = BACKEND_USER, clock_ms: Callable[[], float] = monotonic_ms
    ) -> None:
        self._user = user
        self._clock_ms = clock_ms
        self._listener: BackendListener
        self._tracked_connections: dict[ConnectionId, _TrackedConnection] = {}

    @property
    def n_connections(self) -> int:
        """Count connections, those being dialled included."""
        return len(self._tracked_connections)

    def set_listener(self, listener: BackendListener) -> None:
        """Set who is told."""
        self._listener = listener

    def open_connection(self, effect: OpenConnection) -> None:
        """Dial a server, read its status and bind the connection to the term."""
        slot = _TrackedConnection(None, effect.database, effect.term)
        self._tracked_connections[effect.connection_id] = slot
        self._start_task(slot, self._open(effect, slot))

    def close_connection(self, connection_id: ConnectionId, reason: str) -> None:
        """Close a connection at once, whatever runs on it."""
        slot = self._tracked_connections.pop(connection_id, None)
        if slot is None:
            return
        if slot.connection is not None:
            slot.connection.close()
        if slot.task is not None:
            slot.task.cancel()

    def reset_connection(self, connection_id: ConnectionId) -> None:
        """Roll back and clear session state."""
        slot = self._tracked_connections.get(connection_id)
        if slot is None or slot.connection is None:
            self._call_soon(
                self._listener.on_connection_closed, connection_id, "already closed"
            )
            return
        self._start_task(slot, self._reset(connection_id, slot, slot.connection))

    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        """Run a statement in the way that the attempt's kind asks for."""
        slot = self._tracked_connections.get(effect.connection_id)
        if slot is None or slot.connection is None:
            end = AttemptCompletion(
                AttemptOutcome.NOT_SENT, detail="the connection is closed"
            )
            self._call_soon(self._report_attempt, effect, end, self._clock_ms())
            return
        self._start_task(
            slot, self._run_attempt(effect, statement, slot, slot.connection)
        )

    def query_position(self, effect: AskPosition) -> None:
        """Ask a primary for a position that a majority confirmed."""
        slot = self._tracked_connections.get(effect.connection_id)
        if slot is None or slot.connection is None:
            self._call_soon(self._listener.on_position_answered, effect.database, None)
            return
        self._start_task(slot, self._run_position_query(effect, slot, slot.connection))

    async def stop(self) -> None:
        """Close all connections."""
        tasks = [
            slot.task
            for slot in self._tracked_connections.values()
            if slot.task is not None
        ]
        for connection_id in list(self._tracked_connections):
            self.close_connection(connection_id, "stopping")
        await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    def _call_soon(callback: Callable[..., None], *arguments: object) -> None:
        # The listener is not reentrant: commands come from within its calls.
        asyncio.get_running_loop().call_soon(callback, *arguments)

    def _start_task(
        self, slot: _TrackedConnection, work: Coroutine[Any, Any, None]
    ) -> None:
        slot.task = asyncio.create_task(work)

    def _on_socket_closed(
        self, connection_id: ConnectionId, slot: _TrackedConnection
    ) -> None:
        # A running command finds the closed socket itself and reports its outcome.
        is_busy = slot.task is not None and not slot.task.done()
        if self._tracked_connections.get(connection_id) is slot and not is_busy:
            self._drop(connection_id, "closed by the server")

    def _drop(self, connection_id: ConnectionId, detail: str) -> None:
        """Forget a connection that can't be used, and report it."""
        slot = self._tracked_connections.pop(connection_id, None)
        if slot is None:
            return
        if slot.connection is not None:
            slot.connection.close()
        self._listener.on_connection_closed(connection_id, detail)

    def _drop_if_closed(
        self, connection_id: ConnectionId, connection: BackendConnection
    ) -> None:
        if not connection.is_usable:
            self._drop(connection_id, "closed by the server")

    async def _open(self, effect: OpenConnection, slot: _TrackedConnection) -> None:
        started_ms = self._clock_ms()
        connection_id = effect.connection_id
        try:
            slot.connection = await BackendConnection.connect(
                effect.address, effect.database, self._user, CONNECT_TIMEOUT_S
            )
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await self._perform_handshake(
                    effect, slot.connection, started_ms
                )
        except Exception as error:
            # Whatever a server answers, the dial must not stay open for ever.
            if self._tracked_connections.pop(connection_id, None) is None:
                return
            if slot.connection is not None:
                slot.connection.close()
            is_refused = _is_connection_refused(error)
            detail = str(error) or "timed out"
            self._listener.on_connection_failed(connection_id, is_refused, detail)
            return
        slot.task = None
        slot.connection.add_close_callback(
            lambda: self._on_socket_closed(connection_id, slot)
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
            raise _HandshakeError(f"the server says it is {status.get('instance')!r}")
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
        slot: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        try:
            async with asyncio.timeout(RESET_TIMEOUT_S):
                replies = await connection.reset(*_term_statements(slot.term))
        except Exception as error:
            self._drop(connection_id, f"reset failed: {error!r}")
            return
        for reply in replies:
            if isinstance(reply, ErrorAnswer):
                self._drop(connection_id, f"reset failed: {reply.message}")
                return
        slot.task = None
        self._listener.on_connection_reset(connection_id)
        self._drop_if_closed(connection_id, connection)

    async def _run_position_query(
        self,
        effect: AskPosition,
        slot: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        asked_ms = self._clock_ms()
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
            database=effect.database, position=parsed[0], as_of_ms=asked_ms
        )
        slot.task = None
        self._listener.on_position_answered(effect.database, bound)
        self._drop_if_closed(effect.connection_id, connection)

    async def _run_attempt(
        self,
        effect: StartAttempt,
        statement: str,
        slot: _TrackedConnection,
        connection: BackendConnection,
    ) -> None:
        started_ms = self._clock_ms()
        stream: RowStream | None = None

        async def take_rows(columns: list[Column], batch: RowBatch) -> bool:
            nonlocal stream
            if stream is None:
                stream = self._listener.on_rows_started(
                    effect.request_id, effect.attempt, columns
                )
            return stream is not None and await stream.put(batch)

        runner = AttemptRunner(connection, effect, statement, take_rows)
        try:
            async with asyncio.timeout(effect.timeout_ms / 1_000.0):
                end = await runner.run()
        except asyncio.CancelledError:
            if self._tracked_connections.get(effect.connection_id) is slot:
                raise
            # The core closed the connection and expects no result.
            return
        except Exception as error:
            end = _failed_completion(effect, runner.is_sent, error)
        if end.is_connection_reusable and connection.is_usable:
            slot.task = None
            self._report_attempt(effect, end, started_ms)
            return
        # The socket is closed first, so that a late reply can't reach another request.
        connection.close()
        slot.task = None
        self._report_attempt(effect, end, started_ms)
        self._drop(effect.connection_id, end.detail)

    def _report_attempt(
        self, effect: StartAttempt, end: AttemptCompletion, started_ms: float
    ) -> None:
        result = AttemptResult(
            request_id=effect.request_id,
            attempt=effect.attempt,
            connection_id=effect.connection_id,
            outcome=end.outcome,
            position=end.position,
            first_answer=end.first_answer,
            query_outcome=end.query_outcome,
            elapsed_ms=self._clock_ms() - started_ms,
            detail=end.detail,
            error_code=end.answer.code if isinstance(end.answer, ErrorAnswer) else 0,
        )
        self._listener.on_attempt_ended(result, end.answer)


def _failed_completion(
    effect: StartAttempt, is_sent: bool, error: Exception
) -> AttemptCompletion:
    # A send that broke half way through a group of statements counts as sent, and so
    # does anything that a malformed reply causes.
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
    """Tell whether the dial was refused, as by a host whose server is down."""
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
        raise _HandshakeError("expected one row in cardamomshunt_status")
    row = reply.rows[0]  # type: ignore[index]
    return {
        column.name: (value or b"").decode("utf-8", "replace")
        for column, value in zip(reply.columns, row, strict=True)
    }
