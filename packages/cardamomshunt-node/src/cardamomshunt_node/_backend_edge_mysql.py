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
    AttemptEnd,
    AttemptRunner,
    read_position,
)
from cardamomshunt_node._backend_edge_mysql_connection import (
    BackendConnection,
    LinkLostError,
    Reply,
)
from cardamomshunt_node._backend_edge_rows import RowStream

BACKEND_USER = "cardamomshunt"
# A dial that takes longer than this is no better than a refused one: connection set-up
# takes 10 to 30 ms.
DIAL_TIMEOUT_S = 2.0
RESET_TIMEOUT_S = 2.0


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1_000.0


@dataclass(slots=True)
class _Slot:
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
        self._slots: dict[ConnectionId, _Slot] = {}

    @property
    def n_connections(self) -> int:
        """Count connections, those being dialled included."""
        return len(self._slots)

    def set_listener(self, listener: BackendListener) -> None:
        """Set who is told."""
        self._listener = listener

    def open_connection(self, effect: OpenConnection) -> None:
        """Dial a server, read its status and bind the connection to the term."""
        slot = _Slot(None, effect.database, effect.term)
        self._slots[effect.connection_id] = slot
        self._run(slot, self._open(effect, slot))

    def close_connection(self, connection_id: ConnectionId, reason: str) -> None:
        """Close a connection at once, whatever runs on it."""
        slot = self._slots.pop(connection_id, None)
        if slot is None:
            return
        if slot.connection is not None:
            slot.connection.close()
        if slot.task is not None:
            slot.task.cancel()

    def reset_connection(self, connection_id: ConnectionId) -> None:
        """Roll back and clear session state."""
        slot = self._slots.get(connection_id)
        if slot is None or slot.connection is None:
            self._tell_soon(
                self._listener.on_connection_closed, connection_id, "already closed"
            )
            return
        self._run(slot, self._reset(connection_id, slot, slot.connection))

    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        """Run a statement in the way that the attempt's kind asks for."""
        slot = self._slots.get(effect.connection_id)
        if slot is None or slot.connection is None:
            end = AttemptEnd(AttemptOutcome.NOT_SENT, detail="the connection is closed")
            self._tell_soon(self._report, effect, end, self._clock_ms())
            return
        self._run(slot, self._attempt(effect, statement, slot, slot.connection))

    def query_position(self, effect: AskPosition) -> None:
        """Ask a primary for a position that a majority confirmed."""
        slot = self._slots.get(effect.connection_id)
        if slot is None or slot.connection is None:
            self._tell_soon(self._listener.on_position_answered, effect.database, None)
            return
        self._run(slot, self._ask(effect, slot, slot.connection))

    async def stop(self) -> None:
        """Close all connections."""
        tasks = [slot.task for slot in self._slots.values() if slot.task is not None]
        for connection_id in list(self._slots):
            self.close_connection(connection_id, "stopping")
        await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    def _tell_soon(callback: Callable[..., None], *arguments: object) -> None:
        # The listener is not reentrant: commands come from within its calls.
        asyncio.get_running_loop().call_soon(callback, *arguments)

    def _run(self, slot: _Slot, work: Coroutine[Any, Any, None]) -> None:
        slot.task = asyncio.create_task(work)

    def _on_socket_closed(self, connection_id: ConnectionId, slot: _Slot) -> None:
        # A running command finds the closed socket itself and reports its outcome.
        is_busy = slot.task is not None and not slot.task.done()
        if self._slots.get(connection_id) is slot and not is_busy:
            self._drop(connection_id, "closed by the server")

    def _drop(self, connection_id: ConnectionId, detail: str) -> None:
        """Forget a connection that can't be used, and report it."""
        slot = self._slots.pop(connection_id, None)
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

    async def _open(self, effect: OpenConnection, slot: _Slot) -> None:
        started_ms = self._clock_ms()
        connection_id = effect.connection_id
        try:
            slot.connection = await BackendConnection.dial(
                effect.address, effect.database, self._user, DIAL_TIMEOUT_S
            )
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                opened = await self._greet(effect, slot.connection, started_ms)
        except Exception as error:
            # Whatever a server answers, the dial must not stay open for ever.
            if self._slots.pop(connection_id, None) is None:
                return
            if slot.connection is not None:
                slot.connection.close()
            is_refused = _is_refused(error)
            detail = str(error) or "timed out"
            self._listener.on_connection_failed(connection_id, is_refused, detail)
            return
        slot.task = None
        slot.connection.call_when_closed(
            lambda: self._on_socket_closed(connection_id, slot)
        )
        self._listener.on_connection_opened(opened)

    async def _greet(
        self, effect: OpenConnection, connection: BackendConnection, started_ms: float
    ) -> ConnectionOpened:
        statements = ["SELECT * FROM cardamomshunt_status", *_bind(effect.term)]
        replies = await connection.query(*statements)
        for reply in replies:
            if isinstance(reply, ErrorAnswer):
                raise _HandshakeError(reply.message)
        status = _read_status(replies[0])
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
        self, connection_id: ConnectionId, slot: _Slot, connection: BackendConnection
    ) -> None:
        try:
            async with asyncio.timeout(RESET_TIMEOUT_S):
                replies = await connection.reset(*_bind(slot.term))
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

    async def _ask(
        self, effect: AskPosition, slot: _Slot, connection: BackendConnection
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
        parsed = read_position(reply)
        bound = parsed and ConfirmedBound(
            database=effect.database, position=parsed[0], as_of_ms=asked_ms
        )
        slot.task = None
        self._listener.on_position_answered(effect.database, bound)
        self._drop_if_closed(effect.connection_id, connection)

    async def _attempt(
        self,
        effect: StartAttempt,
        statement: str,
        slot: _Slot,
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
            if self._slots.get(effect.connection_id) is slot:
                raise
            # The core closed the connection and expects no result.
            return
        except Exception as error:
            end = _end_of_broken(effect, runner.is_sent, error)
        if end.is_clean and connection.is_usable:
            slot.task = None
            self._report(effect, end, started_ms)
            return
        # The socket is closed first, so that a late reply can't reach another request.
        connection.close()
        slot.task = None
        self._report(effect, end, started_ms)
        self._drop(effect.connection_id, end.detail)

    def _report(self, effect: StartAttempt, end: AttemptEnd, started_ms: float) -> None:
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


def _end_of_broken(effect: StartAttempt, is_sent: bool, error: Exception) -> AttemptEnd:
    # A send that broke half way through a group of statements counts as sent, and so
    # does anything that a malformed reply causes.
    is_expected = isinstance(error, (LinkLostError, TimeoutError))
    is_sent = is_sent or not is_expected or getattr(error, "is_sent", False)
    outcome = AttemptOutcome.LOST if is_sent else AttemptOutcome.NOT_SENT
    is_query = effect.kind is Kind.QUERY_OUTCOME
    return AttemptEnd(
        outcome,
        query_outcome=QueryOutcome.UNKNOWN if is_query else None,
        detail=str(error) or "timed out",
        is_clean=False,
    )


def _is_refused(error: BaseException) -> bool:
    """Tell whether the dial was refused, as by a host whose server is down."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__
    return False


def _bind(term: int | None) -> list[str]:
    return [] if term is None else [f"SET @cardamomshunt_term = {term}"]


def _read_status(reply: Reply) -> dict[str, str]:
    if not isinstance(reply, RowsAnswer) or len(reply.rows) != 1:  # type: ignore[arg-type]
        raise _HandshakeError("expected one row in cardamomshunt_status")
    row = reply.rows[0]  # type: ignore[index]
    return {
        column.name: (value or b"").decode("utf-8", "replace")
        for column, value in zip(reply.columns, row, strict=True)
    }
