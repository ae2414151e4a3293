"""Connection pools for backend servers, with queues of waiting statements."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.fleet import (
    OVERDUE_OPENING_MS,
    FailureRate,
    ReconnectOrder,
    RefusalHistory,
    WaitingOrder,
    full_server_pause_ms,
)

from cardamomshunt_node._backend_connection import (
    BackendConnection,
    ConnectionOwner,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._session_protocol import ErrorCode, SessionProtocol
from cardamomshunt_node._stream_transport import host_and_port

_CONNECT_TIMEOUT_S = 0.6
_OPEN_TIMEOUT_S = 1.0
_RECONNECT_PAUSE_MS = 120.0
# Idle timeout while connections are scarce: halved after each refusal by a full
# server, and slowly raised while there is none.
_IDLE_TIMEOUT_START_MS = 300.0
_IDLE_TIMEOUT_MIN_MS = 60.0
_IDLE_TIMEOUT_MAX_MS = 20_000.0
_IDLE_TIMEOUT_GROWTH = 1.05
_LAG_MIN_MS = 50.0
_LAG_MAX_MS = 5_000.0
_LAG_MARGIN = 1.5
_LAG_HALF_LIFE_MS = 400.0
_LATE_ANSWER_MS = 200.0
# A server counts as unresponsive if it answers nothing for this long while statements
# are outstanding.
UNRESPONSIVE_AFTER_MS = 450.0


class ServerBusyError(Exception):
    """Raised when no connection became free in time; nothing was sent."""


@dataclass(slots=True, order=True)
class _Waiter:
    order: WaitingOrder
    future: asyncio.Future[BackendConnection] = field(compare=False)


class ServerPool(ConnectionOwner):
    """Manage the connections to one incarnation of a backend server."""

    def __init__(
        self,
        protocol: SessionProtocol,
        group: str,
        server: str,
        address: str,
        quota: Callable[[], int],
        on_opened: Callable[[], None] = lambda: None,
    ) -> None:
        self._protocol = protocol
        self.group = group
        self.server = server
        self.address = address
        self._quota = quota
        self._on_opened = on_opened
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._in_use: set[BackendConnection] = set()
        self._n_opening = 0
        self._reconnect = ReconnectOrder()
        self._waiters: list[_Waiter] = []
        self._orders = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_reply_ms = boot_ms()
        self.down_since_ms: float | None = None
        self.connect_after_ms = 0.0
        self.full_until_ms = 0.0
        self._n_full_refusals = 0
        self._idle_timeout_ms = _IDLE_TIMEOUT_START_MS
        self.failure_rate = FailureRate()
        self.refusals = RefusalHistory()
        self._lag_ms = 0.0
        self._lag_recorded_ms = 0.0
        self.n_opened = 0

    @property
    def load(self) -> int:
        """Return how many statements use a connection or wait for one."""
        return len(self._in_use) + len(self._waiters)

    def is_down(self, now_ms: float) -> bool:
        """Return whether the server refuses connections or does not answer."""
        return self.down_since_ms is not None or self.is_unresponsive(now_ms)

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether statements are overdue and the server answers none at all."""
        if now_ms < self.last_reply_ms + UNRESPONSIVE_AFTER_MS:
            return False
        return any(
            connection.oldest_sent_ms is not None
            and now_ms > connection.oldest_sent_ms + UNRESPONSIVE_AFTER_MS
            for connection in self._open
        )

    def expected_lag_ms(self, now_ms: float) -> float:
        """Return how far this replica is expected to lag behind the primary.

        The estimate decays, so that a replica that caught up is used again.
        """
        age_ms = now_ms - self._lag_recorded_ms
        return float(self._lag_ms * 0.5 ** (age_ms / _LAG_HALF_LIFE_MS))

    def record_lag(self, known_ms: float) -> None:
        """Record that the server lacked a position that was known for `known_ms`."""
        now = boot_ms()
        found_ms = min(known_ms * _LAG_MARGIN, _LAG_MAX_MS)
        self._lag_ms = max(self.expected_lag_ms(now), found_ms, _LAG_MIN_MS)
        self._lag_recorded_ms = now

    async def acquire(
        self, priority: int, deadline_ms: float, values: dict[str, str], team: str
    ) -> BackendConnection:
        """Return a connection; raise ServerBusyError or ServerLostError."""
        connection = self._pop_idle(values)
        if connection is not None:
            self._in_use.add(connection)
            return connection
        future: asyncio.Future[BackendConnection] = (
            asyncio.get_running_loop().create_future()
        )
        order = WaitingOrder(priority, deadline_ms, next(self._orders))
        waiter = _Waiter(order, future)
        heapq.heappush(self._waiters, waiter)
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
        """Stop waiting; release a connection that was assigned at the same moment."""
        self._waiters = [item for item in self._waiters if item.future is not future]
        heapq.heapify(self._waiters)
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _pop_idle(self, values: dict[str, str]) -> BackendConnection | None:
        """Pop the idle connection that needs the fewest SETs, else the newest one."""
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
        now = boot_ms()
        n_to_start = self._reconnect.n_to_start(
            now,
            [item.order.deadline_ms for item in self._waiters],
            len(self._open),
            self._n_opening,
            self._quota(),
        )
        if not self._open:
            self._refuse_unservable(now)
        for _ in range(n_to_start):
            self._start_connect()

    def _refuse_unservable(self, now_ms: float) -> None:
        """Refuse the statements that no connection can be opened for in time."""
        for waiter in self._waiters:
            if not (
                waiter.future.done()
                or self._reconnect.is_servable(waiter.order.deadline_ms, now_ms)
            ):
                waiter.future.set_exception(
                    ServerBusyError(f"{self.server}: no connection opens in time")
                )
        self._waiters = [item for item in self._waiters if not item.future.done()]
        heapq.heapify(self._waiters)

    async def _connect(self) -> None:
        connection = BackendConnection(self._protocol, self)
        connect_ms = max(self.connect_after_ms, self._reconnect.next_opening_ms)
        pause_ms = connect_ms - boot_ms()
        if pause_ms > 0.0:
            await asyncio.sleep(pause_ms / 1_000.0)
        started_ms = boot_ms()
        self._reconnect.record_started(started_ms)
        asyncio.get_running_loop().call_later(
            OVERDUE_OPENING_MS / 1_000.0, self._connect_for_waiters
        )
        try:
            await self._open_connection(connection)
        except (OSError, TimeoutError, ServerLostError) as error:
            self._n_opening -= 1
            self._reconnect.record_failed(started_ms)
            connection.close(str(error))
            self._on_connect_failed(str(error) or "no answer", connection.refusal)
            return
        self._n_opening -= 1
        self.n_opened += 1
        self._on_opened()
        self._reconnect.record_opened(boot_ms(), started_ms)
        self._n_full_refusals = 0
        self.down_since_ms = None
        self._open.add(connection)
        self._in_use.add(connection)
        self.release(connection)
        self._connect_for_waiters()

    async def _open_connection(self, connection: BackendConnection) -> None:
        host, port = host_and_port(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await loop.create_connection(lambda: connection, host, port)
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            reply = await connection.send(
                self._protocol.open_server(self.group, self.server, "")
            )
        if reply.code is not None:
            raise ServerLostError(f"refused: {reply.code.value}")

    def _on_connect_failed(self, reason: str, refusal: ErrorCode | None) -> None:
        now = boot_ms()
        self.connect_after_ms = now + _RECONNECT_PAUSE_MS
        if refusal is not None:
            self.last_reply_ms = now
        if refusal is ErrorCode.TOO_MANY_CONNECTIONS:
            # Other entry VMs use all connections and will close idle ones soon.
            pause_ms = full_server_pause_ms(
                self._n_full_refusals, self._earliest_deadline_ms - now
            )
            self._n_full_refusals += 1
            self.connect_after_ms = now + pause_ms
            self.full_until_ms = self.connect_after_ms
            self.refusals.record(now)
            self.shorten_idle_timeout()
            self._connect_for_waiters()
            return
        if self._open:
            self._connect_for_waiters()
            return
        if self.down_since_ms is None:
            self.down_since_ms = now
        self._fail_waiters(reason)

    @property
    def _earliest_deadline_ms(self) -> float:
        return min(
            (item.order.deadline_ms for item in self._waiters), default=float("inf")
        )

    def _fail_waiters(self, reason: str) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_exception(ServerLostError(reason))

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        self._in_use.discard(connection)
        if connection.is_closed:
            return
        if not connection.is_reusable:
            connection.close("released in the middle of a statement or transaction")
            return
        if len(self._open) > self._quota():
            connection.close("more connections than the quota")
            return
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if not waiter.future.done():
                self._in_use.add(connection)
                waiter.future.set_result(connection)
                return
        self._idle.append(connection)

    def on_reply(self, code: ErrorCode | None) -> None:
        """Record that the server answers, and whether it refused work."""
        self.last_reply_ms = boot_ms()
        if code is ErrorCode.BUSY:
            self.refusals.record(self.last_reply_ms)
        self.down_since_ms = None

    def on_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection, and open another one for those that wait."""
        self._open.discard(connection)
        self._in_use.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if not self._open:
            self._reconnect.record_all_lost()
        if self._waiters:
            self._connect_for_waiters()

    def shorten_idle_timeout(self) -> None:
        """Halve the idle timeout, as the server has too many connections."""
        self._idle_timeout_ms = max(self._idle_timeout_ms / 2.0, _IDLE_TIMEOUT_MIN_MS)

    def close_idle(self) -> None:
        """Close connections past the idle timeout, so that others may open some."""
        now = boot_ms()
        self._idle_timeout_ms = min(
            self._idle_timeout_ms * _IDLE_TIMEOUT_GROWTH, _IDLE_TIMEOUT_MAX_MS
        )
        for connection in list(self._idle):
            if now > connection.last_used_ms + self._idle_timeout_ms:
                connection.close("idle while connections are scarce")

    def probe(self) -> None:
        """Try to connect if the server is down and no attempt is under way."""
        if self.down_since_ms is not None and not self._n_opening and not self._open:
            self._start_connect()

    def warm_up(self) -> bool:
        """Start to open a first connection in advance; return whether it does.

        Opening a connection occupies a slot of the server. If all entry VMs did so at
        once at a new primary, they would delay its first statements.
        """
        if self._open or self._n_opening or self.connect_after_ms > boot_ms():
            return False
        self._start_connect()
        return True

    def probe_if_late(self) -> None:
        """Try to connect if answers are late, to tell a slow server from a dead one."""
        now = boot_ms()
        oldest_ms = min(
            (item.oldest_sent_ms for item in self._open if item.oldest_sent_ms),
            default=now,
        )
        is_late = now > max(oldest_ms, self.last_reply_ms) + _LATE_ANSWER_MS
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
