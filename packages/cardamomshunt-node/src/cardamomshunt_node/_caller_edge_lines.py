"""Caller edge for the line protocol."""

import asyncio
import itertools
from collections import deque

from cardamomshunt.fleet import key_digest

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_buffer import LineBuffer, LineTooLongError
from cardamomshunt_node._line_session_state import LineSession
from cardamomshunt_node._line_sessions import StatementRunner
from cardamomshunt_node._session_protocol import (
    MESSAGE_SIZE_MAX_BYTES,
    CallerEnd,
    CallerMessage,
    CallerOpen,
    CallerQuery,
    ErrorCode,
    SessionProtocol,
    TransactionState,
)
from cardamomshunt_node._session_relay import ForwardedSession, SessionRelay
from cardamomshunt_node._stream_transport import host_and_port

_N_PENDING_LINES_MAX = 64


class _CallerConnection(asyncio.Protocol):
    """Serve one caller's connection; its statements run one at a time."""

    def __init__(self, edge: "LineEdge", session_id: int) -> None:
        self._edge = edge
        self._session_id = session_id
        self.session: LineSession | None = None
        # None where this entry VM runs the statements itself.
        self._forwarded: ForwardedSession | None = None
        self._transport: asyncio.Transport | None = None
        self._buffer = LineBuffer(MESSAGE_SIZE_MAX_BYTES)
        self._lines: deque[bytes] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._is_denied = False
        self.last_used_ms = boot_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the edge."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._edge.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back an open transaction, after a running statement has ended.

        A statement that no server has yet is cancelled: nobody waits for its answer.
        """
        self._transport = None
        self._edge.connections.discard(self)
        if self.session is None:
            return
        if self._worker is None:
            self._abandon(self.session)
        elif self._forwarded is not None:
            # A worker that is cancelled before its first step ends nothing itself.
            self._forwarded.close()
            self._worker.cancel()
        elif self.session.may_cancel:
            self._worker.cancel()

    def _abandon(self, session: LineSession) -> None:
        self._edge.runner.abandon(session)
        if self._forwarded is not None:
            self._forwarded.close()

    def data_received(self, data: bytes) -> None:
        """Split the data into lines and start to process them."""
        try:
            self._lines += self._buffer.feed(data)
        except LineTooLongError as error:
            self._close_with_error(ErrorCode.TOO_LARGE, str(error))
            return
        if len(self._lines) > _N_PENDING_LINES_MAX:
            self._close_with_error(ErrorCode.TOO_LARGE, "too many messages wait")
            return
        if self._lines and self._worker is None:
            self._worker = asyncio.get_running_loop().create_task(self._process_lines())

    @property
    def is_idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return (
            self._worker is None
            and self._buffer.is_empty
            and (self.session is None or self.session.transaction is None)
            and (self._forwarded is None or self._forwarded.is_idle)
        )

    async def _process_lines(self) -> None:
        try:
            while self._lines and self._transport is not None and not self._is_denied:
                await self._handle(self._lines.popleft())
        finally:
            self._worker = None
            self.last_used_ms = boot_ms()
            is_over = self._transport is None or self._is_denied
            if is_over and self.session is not None:
                self._abandon(self.session)
            if self._is_denied or self._is_owner_gone:
                self.close()

    @property
    def _is_owner_gone(self) -> bool:
        return self._forwarded is not None and self._forwarded.is_closed

    async def _handle(self, line: bytes) -> None:
        try:
            message: CallerMessage = self._edge.protocol.parse_caller_line(line)
        except ValueError as error:
            self._close_with_error(ErrorCode.MALFORMED, str(error))
            return
        match message:
            case CallerOpen():
                await self._open(message)
            case CallerQuery():
                await self._run(line, message)
            case CallerEnd():
                self.close()

    async def _open(self, message: CallerOpen) -> None:
        if self.session is not None:
            self._close_with_error(ErrorCode.MALFORMED, "the session is already open")
            return
        if not await self._edge.wait_until_configured():
            self._close_with_error(
                ErrorCode.BUSY, "no configuration has been received yet"
            )
            return
        table = self._edge.view.table
        route = table.route_of(message.database)
        if route is None:
            self._refuse_session(message, ErrorCode.UNKNOWN_DATABASE, message.database)
            return
        digest = key_digest(message.key)
        team = table.team_of_session(route, digest)
        if team is None:
            self._refuse_session(message, ErrorCode.DENIED, "the key is not known")
            return
        self.session = LineSession(self._session_id, message.database, team, digest)
        self._forwarded = await self._edge.relay.open(
            self.session, route.group, self._on_owner_closed
        )
        self._write(self._edge.protocol.ready(TransactionState.IDLE, None))

    def _refuse_session(self, message: CallerOpen, code: ErrorCode, text: str) -> None:
        self._edge.log.write_request(
            "session_refused",
            database=message.database,
            code=code.value,
            configuration_version=self._edge.view.table.version,
        )
        self._close_with_error(code, text)

    async def _run(self, line: bytes, message: CallerQuery) -> None:
        if self.session is None:
            self._close_with_error(ErrorCode.MALFORMED, "no session is open")
            return
        if self._forwarded is None:
            self._write(await self._edge.runner.run(self.session, message))
            return
        self._write(await self._forwarded.run(line, message))
        if self._is_owner_gone:
            self.close()

    def _on_owner_closed(self) -> None:
        """Close the connection, unless a statement is still to be answered."""
        if self._worker is None:
            self.close()

    def end_if_denied(self) -> bool:
        """Close the session if its key is no longer valid; return whether it is not.

        A running statement still gets its answer. An open transaction is rolled back.
        """
        if self.session is None or self._edge.is_allowed(self.session):
            return False
        if self._worker is None:
            self._abandon(self.session)
            self.close()
        else:
            self._is_denied = True
        return True

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _close_with_error(self, code: ErrorCode, text: str) -> None:
        self._write(self._edge.protocol.error(code, text))
        self.close()

    def close(self) -> None:
        """Close the connection after pending data is written."""
        if self._transport is not None:
            self._transport.close()


class LineEdge:
    """Accept callers of the line protocol and track their connections."""

    def __init__(
        self,
        address: str,
        protocol: SessionProtocol,
        view: FleetView,
        runner: StatementRunner,
        log: DecisionLog,
        relay: SessionRelay,
    ) -> None:
        self.relay = relay
        self._address = address
        self.protocol = protocol
        self.view = view
        self.runner = runner
        self.log = log
        self.connections: set[_CallerConnection] = set()
        self._session_ids = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""
        host, port = host_and_port(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerConnection(self, self.next_session_id()),
            host,
            port,
            backlog=1_024,
        )

    def next_session_id(self) -> int:
        """Return an id that no other session of this process has."""
        return next(self._session_ids)

    async def wait_until_configured(self) -> bool:
        """Wait up to 1.5 s for the first configuration; return whether there is one."""
        for _ in range(5):
            if self.view.table.version:
                return True
            await self.view.wait_for_change(300.0)
        return bool(self.view.table.version)

    def end_idle_transactions(self) -> None:
        """End transactions that have been idle for too long."""
        now = boot_ms()
        for connection in list(self.connections):
            if connection.session is not None:
                self.runner.end_idle_transaction(connection.session, now)

    def is_allowed(self, session: LineSession) -> bool:
        """Return whether the key of a session is valid for its team and route.

        A session whose route is gone stays open: its statements say so.
        """
        table = self.view.table
        route = table.route_of(session.database)
        if route is None:
            return True
        return table.team_of_session(route, session.key_digest) == session.team

    def end_denied_sessions(self) -> None:
        """End the sessions whose keys the newest configuration has taken away."""
        n_ended = sum(item.end_if_denied() for item in list(self.connections))
        if n_ended:
            self.log.write(
                "sessions_denied",
                n_sessions=n_ended,
                configuration_version=self.view.table.version,
            )

    def close_idle(self, idle_ms: float) -> int:
        """Close idle sessions, so that callers reconnect elsewhere; return how many."""
        now = boot_ms()
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle and now > connection.last_used_ms + idle_ms
        ]
        for connection in idle:
            connection.close()
        return len(idle)

    @property
    def n_busy(self) -> int:
        """Return the number of sessions with a statement or an open transaction."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()
