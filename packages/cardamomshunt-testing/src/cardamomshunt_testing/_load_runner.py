"""Open-loop load with a bounded number of operations."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from cardamomshunt_testing._load_client import Balancer, CallerSession, now_ms
from cardamomshunt_testing._load_history import (
    Operation,
    OperationKind,
    OperationVerdict,
)
from cardamomshunt_testing._load_mixes import N_ITEMS, Mix

_LATENCY_MAX_US = 60_000_000
_N_RECENT_ORDERS_MAX = 5
_READ_BACK_SHARE = 0.5
_N_VERSIONS_PER_SEED = 100_000


class LoadSettings(msgspec.Struct, kw_only=True):
    """Describe a run: rate and length bound the number of operations.

    `has_idempotency` lets callers repeat an order that may have run under its key.
    """

    entry_vms: list[tuple[str, int]]
    rate: float
    duration_s: float
    seed: int = 1
    n_sessions: int = 60
    roaming_share: float = 0.5
    roam_probability: float = 0.02
    timeout_ms: float = 8_000.0
    n_attempts_max: int = 6
    n_read_attempts_max: int = 2
    retry_pause_ms: float = 100.0
    restock_rate: float = 10.0
    has_idempotency: bool = True
    queries_route: bool = True
    lookup_deadline_ms: float | None = None
    weights: dict[OperationKind, float] | None = None


class LoadRun:
    """Issue operations at a rate and record them."""

    def __init__(self, mix: Mix, settings: LoadSettings):
        self.mix = mix
        self.settings = settings
        self.operations: list[Operation] = []
        self.latency = HdrHistogram(1, _LATENCY_MAX_US, 3)
        self.n_not_issued = 0
        self.n_answered = 0
        self.started_ms = 0.0
        self._random = random.Random(settings.seed)
        self._balancer = Balancer(settings.entry_vms)
        self._idle_sessions = [
            self._create_session(index) for index in range(settings.n_sessions)
        ]
        self._sessions = list(self._idle_sessions)
        self._n_writes = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def _create_session(self, index: int) -> CallerSession:
        share = self.settings.roaming_share
        return CallerSession(
            f"s{self.settings.seed}-{index}",
            self._balancer,
            is_roaming=index < share * self.settings.n_sessions,
            timeout_ms=self.settings.timeout_ms,
        )

    async def run(self) -> None:
        """Issue all operations, and wait for the last answers."""
        restock = asyncio.create_task(self._run_restock())
        start = asyncio.get_running_loop().time()
        self.started_ms = now_ms()
        n_operations = int(self.settings.rate * self.settings.duration_s)
        weights_by_kind = self.settings.weights or self.mix.weights
        kinds = list(weights_by_kind)
        weights = list(weights_by_kind.values())
        for index in range(n_operations):
            due = start + index / self.settings.rate
            delay_s = due - asyncio.get_running_loop().time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self._issue(self._random.choices(kinds, weights)[0])
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self._drain_timeout_s())
        restock.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(restock, *self._tasks, return_exceptions=True)
        for session in self._sessions:
            session.roam()

    def _drain_timeout_s(self) -> float:
        n_attempts = self.settings.n_attempts_max
        pause_ms = self.settings.timeout_ms + self.settings.retry_pause_ms
        return min(n_attempts * pause_ms / 1_000, 15.0)

    def _issue(self, kind: OperationKind) -> None:
        if not self._idle_sessions:
            # A caller has one operation at a time; all callers still wait.
            self.n_not_issued += 1
            return
        session = self._idle_sessions.pop(
            self._random.randrange(len(self._idle_sessions))
        )
        task = asyncio.create_task(self._run_operation(session, kind))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_operation(self, session: CallerSession, kind: OperationKind) -> None:
        try:
            roams = self._random.random() < self.settings.roam_probability
            if session.is_roaming and roams:
                session.roam()
            if kind is OperationKind.OWN_READ and not session.orders:
                kind = OperationKind.LOOKUP
            started_ms = now_ms()
            if kind is OperationKind.LOOKUP:
                is_answered = await self._lookup(session)
            elif kind is OperationKind.OWN_READ:
                is_answered = await self._own_read(
                    session, self._random.choice(session.orders)
                )
            else:
                is_answered = await self._write(session, kind)
            if is_answered:
                self.n_answered += 1
                elapsed_us = int((now_ms() - started_ms) * 1_000)
                self.latency.record_value(min(max(elapsed_us, 1), _LATENCY_MAX_US))
        finally:
            self._idle_sessions.append(session)

    def _hints(self, session: CallerSession, class_name: str, **hints: Any) -> str:
        deadline_ms = self.settings.lookup_deadline_ms
        if deadline_ms is not None and class_name == "lookup":
            hints["deadline_ms"] = int(deadline_ms)
        return session.hints(**{"class": class_name}, **hints)

    async def _lookup(self, session: CallerSession) -> bool:
        item = self._random.randrange(N_ITEMS)
        max_age_ms = self.mix.max_age_ms
        hints = self._hints(session, "lookup", max_age_ms=int(max_age_ms))
        sql = f"{hints}SELECT version FROM stock WHERE item_id = {item}"
        for _ in range(self.settings.n_read_attempts_max):
            operation = Operation(
                kind=OperationKind.LOOKUP,
                session=session.name,
                start_ms=now_ms(),
                key=f"item-{item}",
                max_age_ms=max_age_ms,
            )
            rows = await self._run(session, operation, "stock", sql)
            if rows:
                operation.value = rows[0][0]
            if operation.verdict is OperationVerdict.ANSWERED:
                return True
        return False

    async def _record_order(self, session: CallerSession, key: str) -> None:
        """Note an order and, for every second one, read it back at once."""
        session.orders = [*session.orders[1 - _N_RECENT_ORDERS_MAX :], key]
        if self._random.random() < _READ_BACK_SHARE:
            await self._own_read(session, key)

    async def _own_read(self, session: CallerSession, key: str) -> bool:
        hints = self._hints(session, "lookup")
        sql = f"{hints}SELECT COUNT(*) FROM orders WHERE order_id = '{key}'"
        for _ in range(self.settings.n_read_attempts_max):
            operation = Operation(
                kind=OperationKind.OWN_READ,
                session=session.name,
                start_ms=now_ms(),
                key=key,
            )
            rows = await self._run(session, operation, "orders", sql)
            if rows:
                operation.value = rows[0][0]
            if operation.verdict is OperationVerdict.ANSWERED:
                return True
        return False

    async def _write(self, session: CallerSession, kind: OperationKind) -> bool:
        self._n_writes += 1
        key = f"{kind.value}-{self.settings.seed}-{self._n_writes}"
        if kind is OperationKind.ORDER:
            database, table = "orders", f"orders VALUES ('{key}', '{session.name}', 1)"
        else:
            database = self.mix.dispatch_database
            table = f"dispatches VALUES ('{key}', '{session.name}')"
        hints = self._hints(session, kind.value, idempotency_key=key)
        for _ in range(self.settings.n_attempts_max):
            operation = Operation(
                kind=kind, session=session.name, start_ms=now_ms(), key=key
            )
            sql = f"{hints}INSERT INTO {table}"
            await self._run(session, operation, database, sql)
            if operation.verdict is OperationVerdict.ANSWERED:
                if kind is OperationKind.ORDER:
                    await self._record_order(session, key)
                return True
            may_have_run = operation.verdict is not OperationVerdict.NOT_RUN
            if may_have_run and not self.settings.has_idempotency:
                return False
            if not may_have_run and not operation.may_retry:
                return False
            await asyncio.sleep(self.settings.retry_pause_ms / 1_000)
        return False

    async def _run(
        self, session: CallerSession, operation: Operation, database: str, sql: str
    ) -> list[tuple[int, ...]]:
        is_read = operation.kind in (OperationKind.LOOKUP, OperationKind.OWN_READ)
        asks_route = is_read and self.settings.queries_route
        # Recorded before it runs, so that a cancelled one stays as unknown.
        self.operations.append(operation)
        return await session.run(operation, database, sql, queries_route=asks_route)

    async def _run_restock(self) -> None:
        """Write growing versions, one writer for all items."""
        session = CallerSession(
            f"r{self.settings.seed}",
            self._balancer,
            is_roaming=False,
            timeout_ms=self.settings.timeout_ms,
        )
        self._sessions.append(session)
        # Versions of later runs on the same site are larger.
        version = self.settings.seed * _N_VERSIONS_PER_SEED
        while self.settings.restock_rate:
            await asyncio.sleep(1 / self.settings.restock_rate)
            version += 1
            item = version % N_ITEMS
            operation = Operation(
                kind=OperationKind.RESTOCK,
                session=session.name,
                start_ms=now_ms(),
                key=f"item-{item}",
                value=version,
            )
            hints = session.hints(**{"class": "order"})
            sql = f"{hints}UPDATE stock SET version = {version} WHERE item_id = {item}"
            await self._run(session, operation, "stock", sql)

    def replica_share(self, kind: OperationKind) -> tuple[float, int]:
        """Return the share of answered reads with a route that replicas served."""
        routes = Counter(
            item.route for item in self.operations if item.kind is kind and item.route
        )
        n_reads = sum(routes.values())
        return (routes["replica"] / n_reads if n_reads else 0.0), n_reads

    def write_gap_ms(self, after_ms: float) -> float | None:
        """Return the longest time without an acknowledged order that begins `after_ms`.

        The gap is that between two acknowledgements in a row, counted from the moment
        of the fault; None without any acknowledgement afterwards.
        """
        return write_gap_ms(self.operations, after_ms)

    def n_answered_within(
        self, kind: OperationKind, start_ms: float, end_ms: float
    ) -> int:
        """Count the answers of a kind that arrived in a time span of the run."""
        first_ms = self.started_ms + start_ms
        last_ms = self.started_ms + end_ms
        return sum(
            item.kind is kind
            and item.verdict is OperationVerdict.ANSWERED
            and first_ms <= item.end_ms <= last_ms
            for item in self.operations
        )

    def n_unanswered(self, kind: OperationKind) -> int:
        """Count the attempts that ended without an answer."""
        return sum(
            item.kind is kind and item.verdict is not OperationVerdict.ANSWERED
            for item in self.operations
        )


def write_gap_ms(operations: Sequence[Operation], after_ms: float) -> float | None:
    """Return the time from a fault to the first acknowledged write begun after it.

    Writes begun before the fault do not count, as their answer may have been on its way.
    """
    ends = [
        item.end_ms
        for item in operations
        if item.kind is OperationKind.ORDER
        and item.verdict is OperationVerdict.ANSWERED
        and item.end_ms > after_ms
        and item.start_ms > after_ms
    ]
    return min(ends) - after_ms if ends else None
