"""Connection pools for backend servers, with queues of waiting statements."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.fleet import (
    OVERDUE_OPENING_MS,
    AcquireAction,
    FailureRate,
    ReconnectOrder,
    RefusalHistory,
    ReleaseAction,
    ReleaseRule,
    TeamWaiter,
    best_uncovered_waiter,
    choose_acquire_action,
    choose_evicted,
    full_server_pause_ms,
)

from cardamomshunt_node._backend_connection import (
    BackendConnection,
    ConnectionOwner,
    Reply,
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
    """Raised when no connection became free in time; nothing was sent.

    `retry_after_ms` is the time until there is room, if it is known because the
    statement was refused at once.
    """

    def __init__(self, reason: str, retry_after_ms: int | None = None) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms


@dataclass(slots=True, order=True)
class _Waiter(TeamWaiter):
    future: asyncio.Future[BackendConnection] = field(compare=False)


@dataclass(slots=True)
class ConnectionCounts:
    """Connections opened, uses of open ones, and those closed for another team."""

    n_opened: int = 0
    n_reused: int = 0
    n_evicted: int = 0

    def add(self, other: "ConnectionCounts") -> None:
        """Add the counts of another pool."""
        self.n_opened += other.n_opened
        self.n_reused += other.n_reused
        self.n_evicted += other.n_evicted


def _no_teams() -> bool:
    return False


class ServerPool(ConnectionOwner):
    """Manage the connections to one incarnation of a backend server, by team."""

    def __init__(
        self,
        protocol: SessionProtocol,
        group: str,
        server: str,
        address: str,
        quota: Callable[[], int],
        has_teams: Callable[[], bool] = _no_teams,
        on_opened: Callable[[], None] = lambda: None,
    ) -> None:
        self._protocol = protocol
        self.group = group
        self.server = server
        self.address = address
        self._quota = quota
        self._has_teams = has_teams
        self._on_opened = on_opened
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._in_use: set[BackendConnection] = set()
        self._n_opening: Counter[str] = Counter()
        self._release_rule = ReleaseRule()
        self._reconnect = ReconnectOrder()
        self._waiters: list[_Waiter] = []
        self._orders = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.last_reply_ms = boot_ms()
        self.down_since_ms: float | None = None
        self.connect_after_ms = 0.0
        self.full_until_ms = 0.0
        self._n_full_refusals = 0
        self._idle_timeout_ms = (
            _IDLE_TIMEOUT_MAX_MS if has_teams() else _IDLE_TIMEOUT_START_MS
        )
        self.failure_rate = FailureRate()
        self.refusals = RefusalHistory()
        self._lag_ms = 0.0
        self._lag_recorded_ms = 0.0
        self.counts = ConnectionCounts()

    @property
    def load(self) -> int:
        """Return how many statements use a connection or wait for one."""
        return len(self._in_use) + len(self._waiters)

    @property
    def n_in_use(self) -> int:
        """Return how many connections statements or transactions use."""
        return len(self._in_use)

    @property
    def has_connections(self) -> bool:
        """Return whether a connection is open or being opened."""
        return bool(self._open) or self._n_opening.total() > 0

    def may_send(self, now_ms: float, priority: int) -> bool:
        """Return whether a statement of a route's priority may be sent now."""
        return True

    def on_pace_changed(self) -> None:
        """Let statements through that may start now."""

    def record_answer(
        self,
        connection: BackendConnection,
        statement_class: str,
        priority: int,
        elapsed_ms: float,
        reply: Reply | None,
    ) -> None:
        """Record the answer to a statement, or None if none came."""

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
        """Return a team's connection; raise ServerBusyError or ServerLostError."""
        action = choose_acquire_action(team, self._idle, self._n_free)
        if action is AcquireAction.REUSE:
            connection = self._pop_idle(values, team)
            self._in_use.add(connection)
            self.counts.n_reused += 1
            return connection
        future: asyncio.Future[BackendConnection] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(
            priority, deadline_ms, next(self._orders), team, boot_ms(), future
        )
        self._waiters.append(waiter)
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
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result())

    def _pop_idle(self, values: dict[str, str], team: str) -> BackendConnection:
        """Pop the team's connection that needs the fewest SETs, else the newest one."""
        newest_first = [item for item in reversed(self._idle) if item.team == team]
        found = next(
            (item for item in newest_first if item.values == values), None
        ) or next(
            (item for item in newest_first if item.values.keys() <= values.keys()),
            newest_first[0],
        )
        self._idle.remove(found)
        return found

    @property
    def _waiting(self) -> list[_Waiter]:
        """Return the waiters without those that are being cancelled."""
        return [item for item in self._waiters if not item.future.done()]

    def _best_uncovered(self) -> _Waiter | None:
        return best_uncovered_waiter(self._waiting, self._n_opening)

    @property
    def _n_free(self) -> int:
        """Return how many connections may still be opened."""
        return self._quota() - len(self._open) - self._n_opening.total()

    def _connect_for_waiters(self) -> None:
        """Open connections for the waiters, evicting idle ones of other teams."""
        now = boot_ms()
        if not self._open:
            self._refuse_unservable(now)
        while self._may_open(now):
            waiter = self._best_uncovered()
            if waiter is None:
                return
            action = choose_acquire_action(waiter.team, self._idle, self._n_free)
            if action is AcquireAction.OPEN:
                self._start_connect(waiter.team)
            elif action is not AcquireAction.EVICT or not self._evict(waiter.team):
                return

    def _may_open(self, now_ms: float) -> bool:
        """Return whether the server keeps up with one more opening."""
        deadlines_ms = [waiter.deadline_ms for waiter in self._waiting]
        return self._reconnect.may_start(
            now_ms, deadlines_ms, len(self._open), self._n_opening.total()
        )

    def _refuse_unservable(self, now_ms: float) -> None:
        """Refuse the statements that no connection can be opened for in time."""
        for waiter in self._waiting:
            if not self._reconnect.is_servable(waiter.deadline_ms, now_ms):
                waiter.future.set_exception(
                    ServerBusyError(f"{self.server}: no connection opens in time")
                )
        self._waiters = self._waiting

    def _evict(self, team: str) -> bool:
        """Close an idle connection of another team; return whether there was one."""
        evicted = choose_evicted(team, self._idle)
        if evicted is None:
            return False
        self.counts.n_evicted += 1
        evicted.close("idle while another team waits")
        return True

    async def _connect(self, planned_team: str) -> None:
        team = await self._pause(planned_team)
        if team is None:
            return
        connection = BackendConnection(self._protocol, self, team)
        started_ms = boot_ms()
        self._reconnect.record_started(started_ms)
        asyncio.get_running_loop().call_later(
            OVERDUE_OPENING_MS / 1_000.0, self._connect_for_waiters
        )
        try:
            await self._open_connection(connection)
        except asyncio.CancelledError:
            connection.close("the pool was closed")
            raise
        except (OSError, TimeoutError, ServerLostError, ValueError) as error:
            self._n_opening[team] -= 1
            self._reconnect.record_failed(started_ms)
            connection.close(str(error))
            self._on_connect_failed(team, str(error) or "no answer", connection.refusal)
            return
        self._n_opening[team] -= 1
        self.counts.n_opened += 1
        self._on_opened()
        self._reconnect.record_opened(boot_ms(), started_ms)
        self._n_full_refusals = 0
        self.down_since_ms = None
        self._open.add(connection)
        self._in_use.add(connection)
        self._place_opened(connection)
        self._connect_for_waiters()

    async def _pause(self, team: str) -> str | None:
        """Wait until an attempt may be made; return its team, or None to make none.

        Where all waiters of the team have left meanwhile, the attempt is made for another
        one. Without a team it is made in any case, as a probe or in advance.
        """
        connect_ms = max(self.connect_after_ms, self._reconnect.next_opening_ms)
        pause_ms = connect_ms - boot_ms()
        if pause_ms <= 0.0:
            return team
        await asyncio.sleep(pause_ms / 1_000.0)
        if not team or any(waiter.team == team for waiter in self._waiting):
            return team
        self._n_opening[team] -= 1
        waiter = self._best_uncovered()
        if waiter is None:
            return None
        self._n_opening[waiter.team] += 1
        return waiter.team

    async def _open_connection(self, connection: BackendConnection) -> None:
        host, port = host_and_port(self.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await loop.create_connection(lambda: connection, host, port)
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            reply = await connection.send(
                self._protocol.open_server(self.group, self.server, connection.team)
            )
        if reply.code is not None:
            raise ServerLostError(f"refused: {reply.code.value}")
        if connection.is_closed:
            raise ServerLostError("closed after it was opened")

    def _on_connect_failed(
        self, team: str, reason: str, refusal: ErrorCode | None
    ) -> None:
        now = boot_ms()
        self.connect_after_ms = now + _RECONNECT_PAUSE_MS
        if refusal is not None:
            self.last_reply_ms = now
        if refusal is ErrorCode.TOO_MANY_CONNECTIONS:
            self._on_full(now)
            return
        if not self._open and self.down_since_ms is None:
            self.down_since_ms = now
        if not self._has_open(team):
            self._fail_waiters(reason, team)
        if self._open or self._has_teams():
            # Open connections of other teams will not serve those that still wait.
            self._connect_for_waiters()

    def _on_full(self, now: float) -> None:
        """Back off, as other entry VMs use all connections and will close idle ones."""
        pause_ms = full_server_pause_ms(
            self._n_full_refusals, self._earliest_deadline_ms - now
        )
        self._n_full_refusals += 1
        self.connect_after_ms = now + pause_ms
        self.full_until_ms = self.connect_after_ms
        self.refusals.record(now)
        self.shorten_idle_timeout()
        waiter = self._best_uncovered()
        if waiter is not None:
            # The server has room for the next attempt once one is closed.
            self._evict(waiter.team)
        self._connect_for_waiters()

    def _has_open(self, team: str) -> bool:
        return any(connection.team == team for connection in self._open)

    @property
    def _earliest_deadline_ms(self) -> float:
        return min((item.deadline_ms for item in self._waiters), default=float("inf"))

    def _fail_waiters(self, reason: str, team: str | None = None) -> None:
        """Fail the waiters of one team, or of all teams."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if team is not None and waiter.team != team:
                self._waiters.append(waiter)
            elif not waiter.future.done():
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
        now = boot_ms()
        action, waiter = self._release_rule.decide(
            connection.team,
            self._waiting,
            self._n_opening,
            now,
            is_backing_off=now < self.connect_after_ms,
        )
        if waiter is None:
            self._idle.append(connection)
        elif action is ReleaseAction.HAND_OVER:
            self.counts.n_reused += 1
            self._hand_over(connection, waiter)
        else:
            self._start_connect(waiter.team)
            self.counts.n_evicted += 1
            connection.close("a statement of another team goes first")

    def _place_opened(self, connection: BackendConnection) -> None:
        """Give a new connection to its team, whoever else began to wait meanwhile."""
        own = [item for item in self._waiting if item.team == connection.team]
        if own and len(self._open) <= self._quota():
            self._in_use.discard(connection)
            self._hand_over(connection, min(own))
        elif not own and not connection.team and self._has_teams():
            connection.close("opened to probe the server")
        else:
            self.release(connection)

    def _hand_over(self, connection: BackendConnection, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        self._in_use.add(connection)
        waiter.future.set_result(connection)

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
        shorter_ms = max(self._idle_timeout_ms / 2.0, _IDLE_TIMEOUT_MIN_MS)
        if self._has_teams():
            # Halving the long timeout of teams would take several refusals to help.
            shorter_ms = min(shorter_ms, _IDLE_TIMEOUT_START_MS)
        self._idle_timeout_ms = shorter_ms

    def close_idle(self, is_newest_kept: bool = False) -> None:
        """Close connections past the idle timeout, so that others may open some.

        With `is_newest_kept` the most recently used one stays.
        """
        now = boot_ms()
        self._idle_timeout_ms = min(
            self._idle_timeout_ms * _IDLE_TIMEOUT_GROWTH, _IDLE_TIMEOUT_MAX_MS
        )
        oldest_first = sorted(self._idle, key=lambda item: item.last_used_ms)
        for connection in oldest_first[:-1] if is_newest_kept else oldest_first:
            if now > connection.last_used_ms + self._idle_timeout_ms:
                connection.close("idle while connections are scarce")

    def probe(self) -> None:
        """Try to connect if the server is down and no attempt is under way."""
        if self.down_since_ms is None or self._n_opening.total() or self._open:
            return
        waiter = self._best_uncovered()
        self._start_connect(waiter.team if waiter is not None else "")

    def warm_up(self) -> bool:
        """Start to open a first connection in advance; return whether it does.

        Opening a connection occupies a slot of the server. If all entry VMs did so at
        once at a new primary, they would delay its first statements.
        """
        if self._open or self._n_opening.total() or self.connect_after_ms > boot_ms():
            return False
        self._start_connect("")
        return True

    def probe_if_late(self) -> None:
        """Try to connect if answers are late, to tell a slow server from a dead one."""
        now = boot_ms()
        oldest_ms = min(
            (item.oldest_sent_ms for item in self._open if item.oldest_sent_ms),
            default=now,
        )
        is_late = now > max(oldest_ms, self.last_reply_ms) + _LATE_ANSWER_MS
        if is_late and not self._n_opening.total():
            self._start_connect("")

    def _start_connect(self, team: str) -> None:
        self._n_opening[team] += 1
        task = asyncio.get_running_loop().create_task(self._connect(team))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, reason: str) -> None:
        """Close all connections."""
        self._fail_waiters(reason)
        for connection in list(self._open):
            connection.close(reason)
        for task in list(self._tasks):
            task.cancel()
