"""Reads outside of transactions, hedged if the first attempt is late."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from cardamomshunt.fleet import Route, RouteKind
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_connection import (
    Reply,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import (
    LineSession,
    RefusedError,
    not_run_error,
    record_answer,
    retry_pause_ms,
    seconds_until,
    statement_deadline_ms,
)
from cardamomshunt_node._read_freshness import ReadFreshness
from cardamomshunt_node._server_pool import ServerBusyError, ServerPool
from cardamomshunt_node._session_protocol import (
    NOT_RUN_CODES,
    CallerQuery,
    ErrorCode,
)
from cardamomshunt_node._statement_sender import StatementSender
from cardamomshunt_node._team_quotas import TeamQuotaWaiter

_HEDGE_MIN_MS = 120.0
_HEDGE_LATENCY_FACTOR = 2.5
_HEDGE_BUDGET_PER_READ = 0.1
_HEDGE_BUDGET_MAX = 10.0
_N_RUNNING_ATTEMPTS_MAX = 2
# Reads that ask the primary for the first bound, for the others that wait for it.
_N_READS_WITHOUT_BOUND_MAX = 2
_BOUND_WAIT_MS = 50.0


@dataclass(slots=True)
class _Read:
    """State of one read and its attempts."""

    session: LineSession
    query: CallerQuery
    route: Route
    received_ms: float
    deadline_ms: float
    # A replica needs the bound with the statement, which may be too long for that.
    is_primary_only: bool
    # None until a position is known that proves a replica fresh enough.
    at_least: DatedPosition | None = None
    tried: set[str] = field(default_factory=set)
    # Attempts that wait for a connection.
    waiting: set[asyncio.Task[Reply]] = field(default_factory=set)
    running: set[asyncio.Task[Reply]] = field(default_factory=set)
    reason: str = "no server may serve the read"
    code: ErrorCode = ErrorCode.BUSY
    may_have_run: bool = False
    n_refused: int = 0
    # Time until a server has room, if one refused the read at once for want of it.
    retry_after_ms: int | None = None
    is_finished: bool = False

    def record_attempt(self, task: asyncio.Task[Reply]) -> Reply | None:
        """Record the result of an attempt; return the answer if it succeeded."""
        error = task.exception()
        if error is not None:
            if isinstance(error, ServerBusyError):
                self._record_busy(error)
            else:
                self.may_have_run = True
            self.reason = str(error)
            return None
        reply = task.result()
        if reply.is_success:
            return reply
        self.reason = f"server answered {reply.code}"
        if reply.code is ErrorCode.LAGGING:
            self.code = ErrorCode.LAGGING
        elif reply.code not in NOT_RUN_CODES:
            self.may_have_run = True
        return None

    def _record_busy(self, error: ServerBusyError) -> None:
        if error.retry_after_ms is not None:
            known_ms = self.retry_after_ms or error.retry_after_ms
            self.retry_after_ms = min(known_ms, error.retry_after_ms)

    @property
    def is_unservable(self) -> bool:
        """Return whether a server refused the read at once and none is asked now."""
        return self.retry_after_ms is not None and not self.running

    def refusal(self) -> RefusedError:
        """Return the error of a read without an answer."""
        if self.may_have_run or self.running:
            return RefusedError(ErrorCode.FAILED, f"no answer in time: {self.reason}")
        return not_run_error(self.code, self.reason, self.retry_after_ms)


class ReadRunner:
    """Run single reads on replicas that are fresh enough, or on the primary."""

    def __init__(
        self,
        view: FleetView,
        sender: StatementSender,
        freshness: ReadFreshness,
        log: DecisionLog,
        metrics: EntryMetrics,
        quotas: TeamQuotaWaiter,
    ) -> None:
        self._quotas = quotas
        self._view = view
        self._sender = sender
        self._freshness = freshness
        self._log = log
        self._metrics = metrics
        self._hedge_budget = _HEDGE_BUDGET_MAX
        self._latency_ms: dict[str, float] = {}
        self._n_without_bound: Counter[str] = Counter()
        self._background: set[asyncio.Task[Reply]] = set()

    async def run(
        self, session: LineSession, query: CallerQuery, route: Route, received_ms: float
    ) -> Reply:
        """Run a read and return its answer; raise RefusedError."""
        deadline_ms = statement_deadline_ms(
            route, received_ms, self._view.answer_deadline_ms
        )
        is_primary_only = (
            route.kind is RouteKind.PRIMARY
            or not self._sender.has_room_for_bound(session, query)
        )
        read = _Read(session, query, route, received_ms, deadline_ms, is_primary_only)
        self._hedge_budget = min(
            self._hedge_budget + _HEDGE_BUDGET_PER_READ, _HEDGE_BUDGET_MAX
        )
        session.may_cancel = True
        try:
            return await self._race(read)
        finally:
            session.may_cancel = False
            read.is_finished = True
            for task in read.waiting:
                task.cancel()

    async def _race(self, read: _Read) -> Reply:
        while boot_ms() < read.deadline_ms:
            if read.at_least is None and not read.is_primary_only:
                read.at_least = self._freshness.requirement(
                    read.session, read.route, read.received_ms
                )
            if not read.running and self._should_await_bound(read):
                await self._view.wait_for_change(_BOUND_WAIT_MS)
                continue
            may_hedge = self._start_attempt(read)
            if read.is_unservable:
                raise read.refusal()
            if not read.running:
                self._refuse_if_unservable(read)
                read.tried.clear()
                await self._pause(read)
                continue
            reply = await self._await_attempts(read, may_hedge)
            if reply is not None:
                self._record_latency(read.route, boot_ms() - read.received_ms)
                return reply
        raise read.refusal()

    def _should_await_bound(self, read: _Read) -> bool:
        """Return whether others already ask the primary for a bound for this read.

        After a restart no bound is known, and all reads would queue at the primary
        although replicas may serve them as soon as one of them is answered.
        """
        if read.at_least is not None or read.is_primary_only:
            return False
        return self._n_without_bound[read.route.group] >= _N_READS_WITHOUT_BOUND_MAX

    def _refuse_if_unservable(self, read: _Read) -> None:
        """Refuse a read that no replica may serve and that the primary serves too late.

        Replicas that are behind do not catch up while there is no primary.
        """
        is_behind = read.at_least is None or read.code is ErrorCode.LAGGING
        if read.may_have_run or not is_behind:
            return
        group = read.route.group
        pause_ms = self._view.retry_after_ms(group, read.deadline_ms)
        if pause_ms is not None and not self._view.read_candidates(
            group, read.at_least, set()
        ):
            raise not_run_error(ErrorCode.BUSY, read.reason, pause_ms)

    def _start_attempt(self, read: _Read) -> bool:
        """Start an attempt if the limits allow it; return whether one more may start.

        An attempt next to a running one uses up hedge budget.
        """
        n_running = len(read.running)
        if n_running and (
            self._hedge_budget < 1.0 or n_running >= _N_RUNNING_ATTEMPTS_MAX
        ):
            return False
        priority = read.route.priority
        pools = self._view.read_candidates(
            read.route.group, read.at_least, read.tried, priority
        )
        if not pools and n_running:
            # If an answer was lost, the same server may answer on another connection.
            pools = self._view.read_candidates(
                read.route.group, read.at_least, set(), priority
            )
        if not pools:
            return bool(n_running)
        # An earlier attempt may run as well, so that this one counts once more.
        is_repeated = bool(n_running) or read.may_have_run
        if is_repeated and not self._quotas.take_another(read.session.team):
            return False
        if n_running:
            self._hedge_budget -= 1.0
            self._metrics.count_hedge()
        read.tried.add(pools[0].server)
        read.running.add(self._start_read(pools[0], read))
        return len(read.running) < _N_RUNNING_ATTEMPTS_MAX

    async def _await_attempts(self, read: _Read, may_hedge: bool) -> Reply | None:
        wait_s = seconds_until(read.deadline_ms)
        if may_hedge:
            wait_s = min(wait_s, self._hedge_after_ms(read.route) / 1_000.0)
        done, read.running = await asyncio.wait(
            read.running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        replies = [read.record_attempt(task) for task in done]
        for reply in replies:
            if reply is not None:
                return reply
        if read.retry_after_ms is not None:
            # Another server may have room, and waiting would not give this one any.
            return None
        if done and read.code is not ErrorCode.LAGGING:
            await self._pause(read)
        return None

    async def _pause(self, read: _Read) -> None:
        """Back off before the next attempt, longer after each refusal."""
        left_ms = seconds_until(read.deadline_ms) * 1_000.0
        await self._view.wait_for_change(min(retry_pause_ms(read.n_refused), left_ms))
        read.n_refused += 1

    def _hedge_after_ms(self, route: Route) -> float:
        typical_ms = self._latency_ms.get(route.database, 0.0)
        return max(_HEDGE_MIN_MS, typical_ms * _HEDGE_LATENCY_FACTOR)

    def _record_latency(self, route: Route, elapsed_ms: float) -> None:
        known_ms = self._latency_ms.get(route.database, elapsed_ms)
        self._latency_ms[route.database] = known_ms + 0.1 * (elapsed_ms - known_ms)

    def _start_read(self, pool: ServerPool, read: _Read) -> asyncio.Task[Reply]:
        """Start an attempt, which releases its connection even if it is abandoned."""
        task = asyncio.get_running_loop().create_task(self._attempt_read(pool, read))
        self._background.add(task)
        read.waiting.add(task)
        task.add_done_callback(self._on_attempt_done)
        task.add_done_callback(read.waiting.discard)
        if read.at_least is None:
            group = read.route.group
            self._n_without_bound[group] += 1
            task.add_done_callback(lambda _: self._n_without_bound.subtract([group]))
        return task

    def _on_attempt_done(self, task: asyncio.Task[Reply]) -> None:
        self._background.discard(task)
        if not task.cancelled():
            # Retrieve the exception of an abandoned attempt, whose read has its result
            # from another one, as asyncio would log it otherwise.
            task.exception()

    async def _attempt_read(self, pool: ServerPool, read: _Read) -> Reply:
        route = read.route
        connection = await pool.acquire(
            route.priority, read.deadline_ms, read.session.values, read.session.team
        )
        task = asyncio.current_task()
        assert task is not None
        read.waiting.discard(task)
        try:
            if read.is_finished:
                # The session may have prepared another statement under this name.
                raise ServerBusyError("the read is already answered")
            primary = self._view.primary(route.group)
            is_primary = primary is not None and primary[0] is pool
            required = None if is_primary else read.at_least
            if not is_primary and required is None:
                raise ServerBusyError("the primary may not be used any more")
            sent_ms = boot_ms()
            future = self._sender.send(
                connection,
                read.session,
                read.query,
                required.position if required else None,
            )
            async with asyncio.timeout(seconds_until(read.deadline_ms)):
                reply = await future
            # Set before the release, which may start an attempt that waits for this
            # connection.
            read.is_finished |= reply.is_success
            record_answer(connection, route, "read", sent_ms, reply)
        except (TimeoutError, ServerLostError) as error:
            pool.failure_rate.record(boot_ms(), is_failure=True)
            record_answer(connection, route, "read", sent_ms, None)
            raise ServerLostError(f"{pool.server}: {error or 'no answer'}") from error
        finally:
            pool.release(connection)
        is_failure = not reply.is_success and reply.code not in NOT_RUN_CODES
        pool.failure_rate.record(boot_ms(), is_failure=is_failure)
        self._freshness.record_reply(pool, route, reply, required, sent_ms)
        self._metrics.count_read(is_primary)
        self._log_attempt(pool, read, required, reply, sent_ms)
        return reply

    def _log_attempt(
        self,
        pool: ServerPool,
        read: _Read,
        required: DatedPosition | None,
        reply: Reply,
        sent_ms: float,
    ) -> None:
        self._log.write_request(
            "read",
            request=read.query.request_id,
            session=read.session.session_id,
            server=pool.server,
            role="primary" if required is None else "replica",
            required=required.position if required else None,
            required_age_ms=round(sent_ms - required.since_ms) if required else None,
            position=reply.position,
            code=reply.code,
            elapsed_ms=round(boot_ms() - sent_ms, 1),
            configuration_version=self._view.table.version,
        )
