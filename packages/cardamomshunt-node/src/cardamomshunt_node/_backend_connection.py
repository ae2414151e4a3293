"""Connections to backend servers."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

from cardamomshunt.position import LogPosition

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._line_buffer import LINE_END, LineBuffer, LineTooLongError
from cardamomshunt_node._session_protocol import (
    MESSAGE_SIZE_MAX_BYTES,
    ErrorCode,
    LineKind,
    PreparedStatement,
    SessionProtocol,
    TransactionState,
)
from cardamomshunt_node._stream_transport import set_tcp_user_timeout

_UNACKNOWLEDGED_TIMEOUT_MS = 700


class ServerLostError(Exception):
    """Raised when a connection ended or could not be opened."""


@dataclass(slots=True)
class Reply:
    """Complete answer; `lines` are the rows and the completion as received."""

    lines: list[bytes] = field(default_factory=list)
    rows: list[str] = field(default_factory=list)
    code: ErrorCode | None = None
    is_complete: bool = False
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the statement completed without an error."""
        return self.is_complete and self.code is None


class ConnectionOwner(ABC):
    """Receive the end and the answers of the connections to one server."""

    server: str

    @abstractmethod
    def on_reply(self, code: ErrorCode | None) -> None:
        """Record that the server answers, and with which error."""

    @abstractmethod
    def on_closed(self, connection: "BackendConnection") -> None:
        """Remove a closed connection."""

    @abstractmethod
    def record_answer(
        self,
        connection: "BackendConnection",
        statement_class: str,
        priority: int,
        elapsed_ms: float,
        reply: Reply | None,
    ) -> None:
        """Record the answer to a statement, or None if none came in time."""

    @abstractmethod
    def release(self, connection: "BackendConnection") -> None:
        """Take a connection back that a statement no longer uses."""


class BackendConnection(asyncio.Protocol):
    """Send statements on one connection and match the answers, which are in order.

    A connection serves only the team that it was opened for.
    """

    def __init__(
        self, protocol: SessionProtocol, pool: ConnectionOwner, team: str = ""
    ) -> None:
        self._protocol = protocol
        self.pool = pool
        self._team = team
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.state = TransactionState.IDLE
        self.last_used_ms = boot_ms()
        self._transport: asyncio.Transport | None = None
        self._outstanding: deque[tuple[float, asyncio.Future[Reply]]] = deque()
        self._reply = Reply()
        self._buffer = LineBuffer(MESSAGE_SIZE_MAX_BYTES)
        self.is_closed = False

    @property
    def team(self) -> str:
        """Return the team of the connection, empty for callers without a team."""
        return self._team

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its timeout for unacknowledged data."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_tcp_user_timeout(
            transport.get_extra_info("socket"), _UNACKNOWLEDGED_TIMEOUT_MS
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all statements without an answer."""
        was_closed, self.is_closed = self.is_closed, True
        self._fail_outstanding(str(exc or "closed by the server"))
        if not was_closed:
            self.pool.on_closed(self)

    def _fail_outstanding(self, reason: str) -> None:
        while self._outstanding:
            _, future = self._outstanding.popleft()
            if not future.done():
                future.set_exception(ServerLostError(reason))

    def close(self, reason: str) -> None:
        """Close at once; the server rolls back an open transaction."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
        self._fail_outstanding(reason)
        self.pool.on_closed(self)

    def send(self, data: bytes) -> asyncio.Future[Reply]:
        """Send one message; return a future of its answer."""
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        if self.is_closed or self._transport is None:
            future.set_exception(ServerLostError("the connection is closed"))
            return future
        now = boot_ms()
        self.last_used_ms = now
        self._outstanding.append((now, future))
        self._transport.write(data)
        return future

    @property
    def oldest_sent_ms(self) -> float | None:
        """Return when the oldest unanswered message was sent, or None."""
        return self._outstanding[0][0] if self._outstanding else None

    @property
    def is_reusable(self) -> bool:
        """Return whether nothing is outstanding and no transaction is open."""
        return not self._outstanding and self.state is TransactionState.IDLE

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into lines and collect them into answers."""
        try:
            lines = self._buffer.feed(data)
        except LineTooLongError as error:
            self.close(str(error))
            return
        for line in lines:
            if self.is_closed:
                return
            self._handle_line(line)

    def _handle_line(self, line: bytes) -> None:
        try:
            parsed = self._protocol.parse_server_line(line)
        except ValueError as error:
            self.close(f"malformed answer: {error}")
            return
        reply = self._reply
        match parsed.kind:
            case LineKind.ROW:
                reply.lines.append(line + LINE_END)
                reply.rows.append(parsed.text)
            case LineKind.COMPLETE:
                reply.lines.append(line + LINE_END)
                reply.is_complete = True
            case LineKind.ERROR:
                reply.lines.append(line + LINE_END)
                reply.code = parsed.code
            case LineKind.READY:
                reply.state = self.state = parsed.state
                reply.position = parsed.position
                self._finish_reply()

    def _finish_reply(self) -> None:
        reply, self._reply = self._reply, Reply()
        self.pool.on_reply(reply.code)
        if not self._outstanding:
            self.close("the server sent an answer without a statement")
            return
        _, future = self._outstanding.popleft()
        if not future.done():
            future.set_result(reply)

    @property
    def refusal(self) -> ErrorCode | None:
        """Return the error code of an answer that the server cut off by closing."""
        return self._reply.code
