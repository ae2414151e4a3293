"""Connection pool whose use follows the pace of its server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cardamomshunt.fleet import (
    AnswerKind,
    ServerGate,
    ServerPace,
    ServerPaces,
    ServerUse,
)

from cardamomshunt_node._backend_connection import (
    BackendConnection,
    Reply,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._server_pool import ServerBusyError, ServerPool
from cardamomshunt_node._session_protocol import ErrorCode, SessionProtocol

_REFUSED_CODES = frozenset({ErrorCode.BUSY, ErrorCode.TOO_MANY_CONNECTIONS})
_FAILED_CODES = frozenset({ErrorCode.FAILED, ErrorCode.TIMED_OUT, ErrorCode.OTHER})


def answer_kind(reply: Reply | None) -> AnswerKind:
    """Return what an answer, or None if none came, says about its server."""
    if reply is None or reply.code in _FAILED_CODES:
        return AnswerKind.FAILED
    if reply.is_success:
        return AnswerKind.ANSWERED
    return AnswerKind.REFUSED if reply.code in _REFUSED_CODES else AnswerKind.UNCOUNTED


@dataclass(slots=True, eq=False)
class _Waiting:
    priority: tuple[int, int]
    future: asyncio.Future[ServerUse]


class PacedServerPool(ServerPool):
    """Admit statements by the pace of the server, ordered by priority and team.

    No more statements are let through than there are connections, so that the others
    wait in the order of the gate.
    """

    def __init__(
        self,
        protocol: SessionProtocol,
        group: str,
        server: str,
        address: str,
        quota: Callable[[], int],
        has_teams: Callable[[], bool],
        on_opened: Callable[[], None],
        pace: ServerPace,
        paces: ServerPaces,
        team_priority: Callable[[str], int],
    ) -> None:
        super().__init__(protocol, group, server, address, quota, has_teams, on_opened)
        self._pace = pace
        self._paces = paces
        self._team_priority = team_priority
        self._gate: ServerGate[_Waiting] = ServerGate(pace)
        self._uses: dict[BackendConnection, ServerUse] = {}
        self._n_uses = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def load(self) -> int:
        """Return how many statements use a connection or wait for one."""
        return super().load + self._gate.queue.n_queued

    def may_send(self, now_ms: float, priority: int) -> bool:
        """Return whether a statement of a route's priority may be sent now."""
        return self._pace.allows(now_ms, priority)

    def on_pace_changed(self) -> None:
        """Let statements through that may start now."""
        self._wake()

    async def acquire(
        self, priority: int, deadline_ms: float, values: dict[str, str], team: str
    ) -> BackendConnection:
        """Return a team's connection; raise ServerBusyError or ServerLostError.

        What can't be served by its deadline is refused at once.
        """
        use = await self._enter(priority, deadline_ms, team)
        try:
            connection = await super().acquire(priority, deadline_ms, values, team)
        except BaseException:
            self._leave(use)
            raise
        self._uses[connection] = use
        self._paces.on_sent(self.server, use, boot_ms())
        return connection

    async def _enter(
        self, route_priority: int, deadline_ms: float, team: str
    ) -> ServerUse:
        now = boot_ms()
        priority = route_priority, self._team_priority(team)
        if self._gate.try_enter(priority, now, self._n_uses, self._quota()):
            return self._start_use(route_priority)
        retry_after_ms = self._gate.refuse_after_ms(priority, team, now, deadline_ms)
        if retry_after_ms is not None:
            raise ServerBusyError(
                f"{self.server}: no room in time", max(round(retry_after_ms), 1)
            )
        future: asyncio.Future[ServerUse] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(priority, future)
        self._gate.queue.push(priority, team, waiting)
        self._wake()
        try:
            async with asyncio.timeout(max(deadline_ms - now, 1.0) / 1_000.0):
                return await future
        except TimeoutError as error:
            self._stop_waiting(waiting, team)
            raise ServerBusyError(f"{self.server}: no room in time") from error
        except asyncio.CancelledError:
            self._stop_waiting(waiting, team)
            raise

    def _stop_waiting(self, waiting: _Waiting, team: str) -> None:
        """Leave the queue, or end a use that was assigned at the same moment."""
        self._gate.queue.remove(waiting.priority, team, waiting)
        future = waiting.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self._leave(future.result())

    def _start_use(self, priority: int) -> ServerUse:
        self._n_uses += 1
        return self._pace.enter(priority)

    def _leave(self, use: ServerUse | None) -> None:
        if use is not None:
            self._n_uses -= 1
            self._pace.leave(use, boot_ms())
            self._wake()

    def _wake(self) -> None:
        """Let statements through that may start, and look again after a pause."""
        now = boot_ms()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while True:
            waiting = self._gate.pop_ready(now, self._n_uses, self._quota())
            if waiting is None:
                break
            if not waiting.future.done():
                use = self._start_use(waiting.priority[0])
                waiting.future.set_result(use)
        wake_after_ms = self._gate.wake_after_ms(now)
        if wake_after_ms is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wake_after_ms / 1_000.0, self._wake)

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, and let the next statement through."""
        use = self._uses.pop(connection, None)
        super().release(connection)
        self._leave(use)

    def on_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection, and end its use."""
        use = self._uses.pop(connection, None)
        super().on_closed(connection)
        self._leave(use)

    def record_answer(
        self,
        connection: BackendConnection,
        statement_class: str,
        priority: int,
        elapsed_ms: float,
        reply: Reply | None,
    ) -> None:
        """Record the answer to a statement, or None if none came."""
        now = boot_ms()
        self._paces.on_answer(
            self.server,
            self._uses.get(connection),
            statement_class,
            now,
            elapsed_ms,
            answer_kind(reply),
        )
        team_priority = self._team_priority(connection.team)
        self._gate.on_answer((priority, team_priority), now, elapsed_ms)
        self._wake()

    def close(self, reason: str) -> None:
        """Close all connections, and fail the statements that wait."""
        waiting = self._gate.queue.pop_all()
        for item in waiting:
            if not item.future.done():
                item.future.set_exception(ServerLostError(reason))
        super().close(reason)
        if self._timer is not None:
            self._timer.cancel()
