"""Connections to backend servers, and who waits for one."""

import asyncio
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.fleet import FailureRate
from cardamomshunt.position import LogPosition

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._session_protocol import (
    MESSAGE_SIZE_MAX_BYTES,
    ErrorCode,
    LineKind,
    PreparedStatement,
    SessionProtocol,
    TransactionState,
)
from cardamomshunt_node._stream_transport import host_and_port, set_tcp_user_timeout

_CONNECT_TIMEOUT_S = 0.6
_OPEN_TIMEOUT_S = 1.0
_SILENCE_TIMEOUT_MS = 700
_REDIAL_PAUSE_MS = 120.0
_FULL_PAUSE_MS = (60.0, 200.0)
# How long an idle connection is kept while connections are scarce: shorter after each
# refusal for want of connections, slowly longer while there is none.
_KEEP_START_MS = 300.0
_KEEP_MIN_MS = 60.0
_KEEP_MAX_MS = 20_000.0
_KEEP_GROWTH = 1.05
_LAG_MIN_MS = 50.0
_LAG_MAX_MS = 5_000.0
_LAG_MARGIN = 1.5
_LAG_HALF_LIFE_MS = 400.0
_LATE_AFTER_MS = 200.0
# A server that took statements and answered none for this long counts as silent.
UNRESPONSIVE_AFTER_MS = 450.0


class ServerLostError(Exception):
    """Say that a connection ended or could not be opened."""


class ServerBusyError(Exception):
    """Say that no connection became free in time; nothing was sent."""


@dataclass(slots=True)
class Reply:
    """Hold a whole answer; `lines` are the rows and the completion as received."""

    lines: list[bytes] = field(default_factory=list)
    rows: list[str] = field(default_factory=list)
    code: ErrorCode | None = None
    is_complete: bool = False
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None

    @property
    def is_success(self) -> bool:
        """Tell whether the statement was completed without an error."""
        return self.is_complete and self.code is None


class BackendConnection(asyncio.Protocol):
    """Own one connection; answers come in the order of the statements."""

    def __init__(self, protocol: SessionProtocol, pool: "ServerPool") -> None:
        self._protocol = protocol
        self.pool = pool
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.state = TransactionState.IDLE
        self.last_used_ms = boot_ms()
        self._transport: asyncio.Transport | None = None
        self._outstanding: deque[tuple[float, asyncio.Future[Reply]]] = deque()
        self._reply = Reply()
        self._buffer = bytearray()
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_tcp_user_timeout(transport.get_extra_info("socket"), _SILENCE_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all statements that have no answer."""
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
        """Send one message; the future gives its answer."""
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
        """Return when the oldest unanswered message was sent."""
        return self._outstanding[0][0] if self._outstanding else None

    @property
    def is_reusable(self) -> bool:
        """Tell whether every message was answered outside of a transaction."""
        return not self._outstanding and self.state is TransactionState.IDLE

    def data_received(self, data: bytes) -> None:
        """Collect lines into answers."""
        buffer = self._buffer
        buffer += data
        while not self.is_closed:
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > MESSAGE_SIZE_MAX_BYTES:
                    self.close("a line is too long")
                return
            line = bytes(buffer[: end + 2])
            del buffer[: end + 2]
            self._handle_line(line)

    def _handle_line(self, line: bytes) -> None:
        try:
            parsed = self._protocol.parse_server_line(line[:-2])
        except ValueError as error:
            self.close(f"malformed answer: {error}")
            return
        reply = self._reply
        match parsed.kind:
            case LineKind.ROW:
                reply.lines.append(line)
                reply.rows.append(parsed.text)
            case LineKind.COMPLETE:
                reply.lines.append(line)
                reply.is_complete = True
            case LineKind.ERROR:
                reply.lines.append(line)
                reply.code = parsed.code
            case LineKind.READY:
                reply.state = self.state = parsed.state
                reply.position = parsed.position
                self._finish_reply()

    def _finish_reply(self) -> None:
        reply, self._reply = self._reply, Reply()
        self.pool.on_reply()
        if not self._outstanding:
            self.close("an answer to nothing")
            return
        _, future = self._outstanding.popleft()
        if not future.done():
            future.set_result(reply)

    @property
    def refusal(self) -> ErrorCode | None:
        """Return the error of an answer that the server ended by closing."""
        return self._reply.code


@dataclass(slots=True, order=True)
class _Waiter:
    priority: int
    order: int
    future: asyncio.Future[BackendConnection] = field(compare=False)


class ServerPool:
    """Own the connections to one life of a backend server."""

    def __init__(
        self,
        protocol: SessionProtocol,
        group: str,
        server: str,
        address: str,
        limit: Callable[[], int],
    ) -> None:
        self._protocol = protocol
        self.group = group
        self.server = server
        self.address = address
        self._limit = limit
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._in_use: set[BackendConnection] = set()
        self._n_opening = 0
        self._waiters: list[_Waiter] = []
        self._orders = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_reply_ms = boot_ms()
        self.down_since_ms: float | None = None
        self.connect_after_ms = 0.0
        self.full_until_ms = 0.0
        self._n_full_refusals = 0
        self._idle_timeout_ms = _KEEP_START_MS
        self.outcomes = FailureRate()
        self._lag_ms = 0.0
        self._lag_recorded_ms = 0.0
        self.n_opened = 0

    @property
    def load(self) -> int:
        """Return how many connections are in use or waited for."""
        return len(self._in_use) + len(self._waiters)

    def is_down(self, now_ms: float) -> bool:
        """Tell whether the server was last found to refuse or not to answer."""
        return self.down_since_ms is not None or self.is_unresponsive(now_ms)

    def is_unresponsive(self, now_ms: float) -> bool:
        """Tell whether statements wait while nothing at all is answered."""
        if now_ms < self.last_reply_ms + UNRESPONSIVE_AFTER_MS:
            return False
        return any(
            connection.oldest_sent_ms is not None
            and now_ms > connection.oldest_sent_ms + UNRESPONSIVE_AFTER_MS
            for connection in self._open
        )

    def expected_lag_ms(self, now_ms: float) -> float:
        """Return how far this replica is expected to be behind.

        What was found once fades, so that a replica that caught up is used again.
        """
        age_ms = now_ms - self._lag_recorded_ms
        return float(self._lag_ms * 0.5 ** (age_ms / _LAG_HALF_LIFE_MS))

    def record_lag(self, known_ms: float) -> None:
        """Note that the server lacked a position known for `known_ms`."""
        now = boot_ms()
        found_ms = min(known_ms * _LAG_MARGIN, _LAG_MAX_MS)
        self._lag_ms = max(self.expected_lag_ms(now), found_ms, _LAG_MIN_MS)
        self._lag_recorded_ms = now

    async def acquire(
        self, priority: int, deadline_ms: float, values: dict[str, str]
    ) -> BackendConnection:
        """Return a connection; raise ServerBusyError or ServerLostError."""
        connection = self._pop_idle(values)
        if connection is not None:
            self._in_use.add(connection)
            return connection
        future: asyncio.Future[BackendConnection] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(self._waiters, _Waiter(priority, next(self._orders), future))
        self._connect_for_waiters()
        try:
            async with asyncio.timeout(max(deadline_ms - boot_ms(), 1.0) / 1_000.0):
                return await future
        except TimeoutError as error:
            self._cancel_wait(future)
            raise ServerBusyError(f"{self.server}: no connection is free") from error
        except asyncio.CancelledError:
            self._cancel_wait(future)
            raise

    def _cancel_wait(self, future: asyncio.Future[BackendConnection]) -> None:
        """Stop waiting; a connection that came at the same moment goes back."""
        self._waiters = [item for item in self._waiters if item.future is not future]
        heapq.heapify(self._waiters)
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _pop_idle(self, values: dict[str, str]) -> BackendConnection | None:
        """Take the connection that needs the fewest changes, else the newest."""
        if not self._idle:
            return None
        for number in range(len(self._idle) - 1, -1, -1):
            if self._idle[number].values == values:
                return self._idle.pop(number)
        for number in range(len(self._idle) - 1, -1, -1):
            if self._idle[number].values.keys() <= values.keys():
                return self._idle.pop(number)
        return self._idle.pop()

    def _connect_for_waiters(self) -> None:
        n_wanted = min(
            len(self._waiters) - self._n_opening,
            self._limit() - len(self._open) - self._n_opening,
        )
        for _ in range(n_wanted):
            self._start_connect()

    async def _connect(self) -> None:
        connection = BackendConnection(self._protocol, self)
        pause_ms = self.connect_after_ms - boot_ms()
        try:
            if pause_ms > 0.0:
                await asyncio.sleep(pause_ms / 1_000.0)
            await self._open_connection(connection)
        except (OSError, TimeoutError, ServerLostError) as error:
            self._n_opening -= 1
            connection.close(str(error))
            self._on_connect_failed(str(error) or "no answer", connection.refusal)
            return
        self._n_opening -= 1
        self.n_opened += 1
        self._n_full_refusals = 0
        self.down_since_ms = None
        self._open.add(connection)
        self._in_use.add(connection)
        self.release(connection)

    async def _open_connection(self, connection: BackendConnection) -> None:
        host, port = host_and_port(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await loop.create_connection(lambda: connection, host, port)
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            reply = await connection.send(
                self._protocol.open_server(self.group, self.server)
            )
        if reply.code is not None:
            raise ServerLostError(f"refused: {reply.code.value}")

    def _on_connect_failed(self, reason: str, refusal: ErrorCode | None) -> None:
        now = boot_ms()
        self.connect_after_ms = now + _REDIAL_PAUSE_MS
        if refusal is not None:
            self.last_reply_ms = now
        if refusal is ErrorCode.TOO_MANY_CONNECTIONS:
            # Other entry VMs hold all connections and give idle ones back soon.
            pause_ms = random.uniform(*_FULL_PAUSE_MS) * 2.0 ** min(
                self._n_full_refusals, 2
            )
            self._n_full_refusals += 1
            self.connect_after_ms = now + pause_ms
            self.full_until_ms = self.connect_after_ms
            self.shorten_idle_timeout()
            self._connect_for_waiters()
            return
        if self._open:
            return
        if self.down_since_ms is None:
            self.down_since_ms = now
        self._fail_waiters(reason)

    def _fail_waiters(self, reason: str) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_exception(ServerLostError(reason))

    def release(self, connection: BackendConnection) -> None:
        """Take a connection back, closing it unless it is quiet."""
        self._in_use.discard(connection)
        if connection.is_closed:
            return
        if not connection.is_reusable:
            connection.close("given back in the middle of a statement")
            return
        if len(self._open) > self._limit():
            connection.close("more connections than the share")
            return
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if not waiter.future.done():
                self._in_use.add(connection)
                waiter.future.set_result(connection)
                return
        self._idle.append(connection)

    def on_reply(self) -> None:
        """Note that the server answers."""
        self.last_reply_ms = boot_ms()
        self.down_since_ms = None

    def on_closed(self, connection: BackendConnection) -> None:
        """Forget a closed connection."""
        self._open.discard(connection)
        self._in_use.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiters:
            self._connect_for_waiters()

    def shorten_idle_timeout(self) -> None:
        """Keep idle connections for half as long, as the server has too many."""
        self._idle_timeout_ms = max(self._idle_timeout_ms / 2.0, _KEEP_MIN_MS)

    def close_idle(self) -> None:
        """Close connections that nobody used for a time, for others to open."""
        now = boot_ms()
        self._idle_timeout_ms = min(self._idle_timeout_ms * _KEEP_GROWTH, _KEEP_MAX_MS)
        for connection in list(self._idle):
            if now > connection.last_used_ms + self._idle_timeout_ms:
                connection.close("idle while connections are scarce")

    def probe(self) -> None:
        """Dial once if the server is down and nobody waits for it."""
        if self.down_since_ms is not None and not self._n_opening and not self._open:
            self._start_connect()

    def warm_up(self) -> bool:
        """Open a first connection before anyone waits for it; return whether it does.

        A new connection takes a slot of the server, so that all entry VMs at once
        would hold up the first statements at a new primary.
        """
        if self._open or self._n_opening or self.connect_after_ms > boot_ms():
            return False
        self._start_connect()
        return True

    def probe_if_late(self) -> None:
        """Dial once if statements are late, which tells a slow server from a dead one."""
        now = boot_ms()
        oldest_ms = min(
            (item.oldest_sent_ms for item in self._open if item.oldest_sent_ms),
            default=now,
        )
        is_late = now > max(oldest_ms, self.last_reply_ms) + _LATE_AFTER_MS
        if is_late and not self._n_opening:
            self._start_connect()

    def _start_connect(self) -> None:
        self._n_opening += 1
        task = asyncio.get_running_loop().create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, reason: str) -> None:
        """Close all connections."""
        self._fail_waiters(reason)
        for connection in list(self._open):
            connection.close(reason)
        for task in list(self._tasks):
            task.cancel()
