"""MySQL session of a stand-in instance."""

import asyncio
import re
import sqlite3
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from cardamomshunt.position import LogPosition
from cardamomshunt_node.mysql_server import (
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    StatementResult,
)

from cardamomshunt_testing._standin_engine import Answer, ConflictError, Step
from cardamomshunt_testing._standin_member import fenced_error
from cardamomshunt_testing._standin_sql import (
    StatementKind,
    classify,
    strip_comments,
    to_server_error,
    translate,
)

if TYPE_CHECKING:
    from cardamomshunt_testing._standin_instance import StandinInstance

_STATUS = re.compile(r"select\s+\*\s+from\s+cardamomshunt_status\s*;?$", re.I)
_CALL = re.compile(
    r"call\s+cardamomshunt_(\w+)\s*\(\s*(\d*)(?:\.\d+)?\s*\)\s*;?$", re.I
)
_SLEEP = re.compile(r"select\s+sleep\s*\(\s*(\d+(?:\.\d+)?)\s*\)\s*;?$", re.I)
_READY_TIMEOUT_MS = 10_000.0
_CONFIRM_TIMEOUT_MS = 1_000.0
_STATUS_COLUMNS = (
    "group",
    "instance",
    "incarnation",
    "zone",
    "role",
    "term",
    "log_term",
    "log_position",
    "applied_term",
    "applied_position",
    "n_slots",
    "n_connections_max",
    "is_leaving",
)


class StandinSession(MysqlSession):
    """Run statements of one client against an instance."""

    def __init__(self, instance: "StandinInstance"):
        super().__init__()
        self._instance = instance
        self._member = instance.member
        self._bound_term: int | None = None
        self._last_position: LogPosition | None = None
        self._steps: list[Step] = []
        self._is_read_only = False
        self._epoch = 0
        self._user_variables: dict[str, Any] = {}

    async def on_connected(self) -> None:
        await self._instance.wait_zone_delay(self.local_port, n_delays=4)

    async def on_reset(self) -> None:
        self._end_transaction()
        self._bound_term = None
        self._last_position = None
        self._user_variables.clear()
        self.is_autocommit = True

    async def on_disconnected(self) -> None:
        self._end_transaction()

    async def set_autocommit(self, is_on: bool) -> None:
        if is_on and self.is_in_transaction:
            await self._commit()
        self.is_autocommit = is_on

    async def set_variable(self, name: str, value: Any) -> None:
        if name == "cardamomshunt_term":
            if value is not None and not isinstance(value, int):
                raise ServerError(1232, "42000", "cardamomshunt_term must be a number")
            self._bound_term = value
        self._user_variables[name] = value

    async def get_variable(self, name: str) -> Any:
        return self._user_variables.get(name)

    async def handle_statement(self, sql: str) -> StatementResult:
        instance = self._instance
        if not self.is_pipelined:
            # Pipelined commands share one trip through the network.
            await instance.wait_zone_delay(self.local_port, n_delays=2)
        await instance.wait_while_partitioned(self.local_port, sql)
        try:
            return await self._run_translating_errors(sql)
        finally:
            await instance.wait_while_partitioned(self.local_port, sql)

    async def _run_translating_errors(self, sql: str) -> StatementResult:
        text = strip_comments(sql)
        try:
            return await self._run(text, classify(text))
        except ConflictError:
            self._end_transaction()
            raise ServerError(
                1213,
                "40001",
                "Deadlock found when trying to get lock; try restarting transaction",
            ) from None
        except (sqlite3.Error, sqlite3.Warning) as error:
            # The row behind a duplicate key may not be replicated yet, so that a wait
            # for the majority has to cover the whole log.
            self._last_position = self._member.log.end
            raise to_server_error(error) from None  # type: ignore[arg-type]

    async def _run(self, text: str, kind: StatementKind) -> StatementResult:
        if kind in (StatementKind.READ, StatementKind.LOCKING_READ):
            return await self._read(text, kind)
        if kind is StatementKind.WRITE:
            return await self._write(text)
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            await self._commit()
            self._begin(kind is StatementKind.BEGIN_READ_ONLY)
            return Ok()
        if kind is StatementKind.COMMIT:
            await self._commit()
            return Ok()
        if kind is StatementKind.ROLLBACK:
            self._end_transaction()
            return Ok()
        if kind is StatementKind.CALL:
            return await self._call(text)
        if kind is StatementKind.SETTING:
            return Ok()
        if text.lower().startswith("show tables"):
            names = sorted(self._member.engine.count_rows())
            return Rows(["Tables"], [(name,) for name in names])
        raise ServerError(1064, "42000", f"Unsupported statement: {text[:60]}")

    def _begin(self, is_read_only: bool) -> None:
        self.is_in_transaction = True
        self._is_read_only = is_read_only
        self._epoch = self._member.epoch
        self._steps = []

    def _end_transaction(self) -> None:
        self.is_in_transaction = False
        self._is_read_only = False
        self._steps = []

    def _begin_implicitly(self) -> None:
        if not self.is_autocommit and not self.is_in_transaction:
            self._begin(False)

    async def _read(self, text: str, kind: StatementKind) -> StatementResult:
        if _STATUS.match(text):
            return self._status()
        found = _SLEEP.match(text)
        if found:
            await self._instance.occupy_slot(float(found[1]) * 1_000)
            return Rows(["sleep"], [(0,)])
        is_locking = kind is StatementKind.LOCKING_READ
        if is_locking:
            self._member.check_writable(self._bound_term)
        self._begin_implicitly()
        await self._occupy_slot()
        self._instance.counters.n_reads += 1
        sql = translate(text)
        if not self.is_in_transaction or not (self._steps or is_locking):
            rows = self._member.engine.read(sql)
            await self._wait_for_majority()
            return rows
        self._member.check_writable(self._bound_term, self._epoch)
        answer = self._member.engine.run(self._steps, sql, is_commit=False)
        if is_locking and answer is not None:
            self._steps.append(Step(sql, answer, is_write=False))
        return answer or Ok()

    async def _wait_for_majority(self) -> None:
        """Wait until no failover can roll back what a read of the primary returned.

        Only with the setting `reads_wait_for_majority`.
        """
        member = self._member
        if not (member.settings.reads_wait_for_majority and member.is_primary):
            return
        if not await member.await_majority(member.log.end, _READY_TIMEOUT_MS):
            raise fenced_error("the state that was read may be rolled back")

    async def _occupy_slot(self) -> None:
        await self._instance.occupy_slot(self._instance.service_time_ms())
        try:
            async with asyncio.timeout(_READY_TIMEOUT_MS / 1_000):
                await self._member.is_ready.wait()
        except TimeoutError:
            raise ServerError(1205, "HY000", "The state is being rebuilt") from None

    async def _write(self, text: str) -> StatementResult:
        member = self._member
        member.check_writable(self._bound_term)
        if self._is_read_only:
            raise ServerError(
                1792, "25006", "Cannot execute statement in a READ ONLY transaction."
            )
        self._begin_implicitly()
        sql = translate(text)
        epoch = self._epoch if self.is_in_transaction else member.epoch
        await self._occupy_slot()
        member.check_writable(self._bound_term, epoch)
        self._instance.counters.n_writes += 1
        answer: Answer | None
        if self.is_in_transaction:
            answer = member.engine.run(self._steps, sql, is_commit=False)
            if answer is not None:
                self._steps.append(Step(sql, answer, is_write=True))
        else:
            answer, self._last_position = member.commit([], sql)
        return answer or Ok()

    async def _commit(self) -> None:
        steps = self._steps
        has_writes = any(step.is_write for step in steps)
        epoch = self._epoch
        self._end_transaction()
        if not has_writes:
            return
        self._member.check_writable(self._bound_term, epoch)
        await self._member.is_ready.wait()
        self._member.check_writable(self._bound_term, epoch)
        _, self._last_position = self._member.commit(steps)

    def _status(self) -> Rows:
        member = self._member
        settings = member.settings
        row = (
            settings.group,
            settings.instance,
            member.incarnation,
            settings.zone,
            member.role.value,
            member.term,
            member.log_position.term,
            member.log_position.position,
            member.applied_position.term,
            member.applied_position.position,
            settings.n_slots,
            settings.n_connections_max,
            int(member.faults.is_leaving),
        )
        return Rows(_STATUS_COLUMNS, [row])

    async def _call(self, text: str) -> Rows:
        found = _CALL.match(text)
        calls: dict[str, Callable[[int], Awaitable[Rows]]] = {
            "await_majority": self._await_majority,
            "confirmed_position": self._confirmed_position,
            "fence": self._fence,
            "promote": self._promote,
        }
        call = calls.get(found[1].lower()) if found else None
        if found is None or call is None:
            raise ServerError(1305, "42000", f"PROCEDURE does not exist: {text[:60]}")
        return await call(int(found[2] or 0))

    async def _await_majority(self, timeout_ms: int) -> Rows:
        member = self._member
        position = self._last_position or member.log.end
        is_replicated = False
        # An entry that a newer primary has truncated must never count as replicated.
        is_own = member.log.contains(position)
        if is_own and member.is_primary and self._bound_term in (None, member.term):
            is_replicated = await member.await_majority(position, timeout_ms)
        columns = ["term", "position", "held"]
        return Rows(columns, [(position.term, position.position, int(is_replicated))])

    async def _confirmed_position(self, _: int) -> Rows:
        position = await self._member.confirm_position(_CONFIRM_TIMEOUT_MS)
        return Rows(["term", "position"], [(position.term, position.position)])

    async def _fence(self, term: int) -> Rows:
        is_accepted, current, position = self._member.fence(term)
        columns = ["accepted", "term", "log_term", "log_position"]
        row = (int(is_accepted), current, position.term, position.position)
        return Rows(columns, [row])

    async def _promote(self, term: int) -> Rows:
        is_accepted, current, position = self._member.promote(term)
        return Rows(
            ["accepted", "term", "log_position"],
            [(int(is_accepted), current, position.position)],
        )
