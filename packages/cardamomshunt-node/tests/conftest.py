"""Fixtures: a scripted backend server and the settings of a proxy."""

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from cardamomshunt.messages import Announcement, InstanceAddress, InstanceRole, NodeRole
from cardamomshunt.position import LogPosition
from cardamomshunt_node.mysql_server import (
    MysqlServerEdge,
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    StatementResult,
)
from cardamomshunt_node.settings import Address, ControlNodeAddress, DaemonSettings
from cardamomshunt_testing._ports import free_ports
from proxy_site import Site, start_site, stop_site

_RECORD = re.compile(r"VALUES \('(\w+)', '(\w*)', (-?\d+),")
_ANSWER = re.compile(r"affected_rows = (\d+), last_insert_id = (\d+) .*'(\w+)'$")
_KEY = re.compile(r"idempotency_key = '(\w+)'$")


@dataclass
class FakeBackend:
    """Backend server with a table of idempotency keys and scripted faults.

    `faults` maps the prefix of a statement to an action: `close` (without running the
    statement), `run_and_close`, `hang`, or an error to return.
    """

    role: InstanceRole = InstanceRole.PRIMARY
    term: int = 3
    position: int = 100
    is_held: bool = True
    faults: dict[str, Any] = field(default_factory=dict)
    statements: list[str] = field(default_factory=list)
    records: dict[str, list[Any]] = field(default_factory=dict)
    n_writes: int = 0
    n_round_trips: int = 0
    n_rows: int = 1
    # Second value of each row, or None for a text of some size.
    row_value: bytes | None = None
    is_broken_in_rows: bool = False
    instance: str = "orders-1"

    def __post_init__(self) -> None:
        self.edge = MysqlServerEdge(lambda: _FakeSession(self))

    @property
    def address(self) -> InstanceAddress:
        return InstanceAddress(host="127.0.0.1", port=self.edge.port)

    def announcement(self, **changes: Any) -> Announcement:
        position = LogPosition(self.term, self.position)
        fields: dict[str, Any] = {
            "group": "orders",
            "instance": self.instance,
            "incarnation": 1,
            "zone": "nairobi-a",
            "address": self.address,
            "role": self.role,
            "term": self.term,
            "log_position": position,
            "applied_position": position,
            "committed_position": position,
            "n_slots": 5,
            "n_connections_max": 35,
        }
        return Announcement(**{**fields, **changes})


class _FakeSession(MysqlSession):
    def __init__(self, backend: FakeBackend) -> None:
        super().__init__()
        self.backend = backend
        self.undo: list[Callable[[], None]] = []

    async def set_variable(self, name: str, value: Any) -> None:
        self.backend.statements.append(f"SET @{name} = {value}")

    async def on_disconnected(self) -> None:
        self._roll_back()

    async def on_reset(self) -> None:
        self._roll_back()

    def _roll_back(self) -> None:
        for action in reversed(self.undo):
            action()
        self.undo.clear()
        self.is_in_transaction = False

    async def handle_statement(self, sql: str) -> StatementResult:
        self.backend.statements.append(sql)
        self.backend.n_round_trips += not self.is_pipelined
        for prefix, action in self.backend.faults.items():
            if sql.startswith(prefix):
                return await self._fail(sql, action)
        return self._answer(sql)

    async def _fail(self, sql: str, action: Any) -> StatementResult:
        if action == "hang":
            await asyncio.sleep(60)
        if action == "run_and_close":
            self._answer(sql)
        if isinstance(action, ServerError):
            raise action
        raise ConnectionError("scripted")

    def _answer(self, sql: str) -> StatementResult:
        backend = self.backend
        if sql.startswith("CALL cardamomshunt_"):
            return Rows(
                ["term", "position", "held"],
                [(backend.term, backend.position, int(backend.is_held))],
            )
        if sql == "SELECT * FROM cardamomshunt_status":
            return self._status()
        if sql in ("BEGIN", "COMMIT", "ROLLBACK"):
            if sql == "ROLLBACK":
                self._roll_back()
            self.undo.clear()
            self.is_in_transaction = sql == "BEGIN"
            return Ok()
        if "cardamomshunt_idempotency" in sql:
            return self._answer_key(sql)
        if sql.startswith("SELECT"):
            return Rows(["id", "name"], self._rows())
        self._change(self._count_write, self._uncount_write)
        return Ok(n_affected_rows=2, last_insert_id=7)

    def _count_write(self) -> None:
        self.backend.n_writes += 1

    def _uncount_write(self) -> None:
        self.backend.n_writes -= 1

    def _change(self, action: Callable[[], None], undo: Callable[[], None]) -> None:
        action()
        if self.is_in_transaction:
            self.undo.append(undo)

    def _status(self) -> Rows:
        backend = self.backend
        values = {
            "group": "orders",
            "instance": backend.instance,
            "incarnation": 1,
            "role": backend.role.value,
            "term": backend.term,
            "applied_term": backend.term,
            "applied_position": backend.position,
        }
        return Rows(list(values), [tuple(values.values())])

    async def _rows(self) -> AsyncIterator[tuple[Any, ...]]:
        for index in range(self.backend.n_rows):
            if self.backend.is_broken_in_rows and index == self.backend.n_rows // 2:
                raise ConnectionError("scripted")
            value = self.backend.row_value
            yield (index, f"name {index} " + "x" * 100 if value is None else value)

    def _answer_key(self, sql: str) -> StatementResult:
        records = self.backend.records
        if sql.startswith("SELECT"):
            found = records.get(_KEY.search(sql)[1])  # type: ignore[index]
            columns = ["fingerprint", "affected_rows", "last_insert_id"]
            return Rows(columns, [tuple(found)] if found else [])
        if sql.startswith("UPDATE"):
            n_rows, insert_id, key = _ANSWER.search(sql).groups()  # type: ignore[union-attr]
            records[key][1:] = [int(n_rows), int(insert_id)]
            return Ok(n_affected_rows=1)
        key, fingerprint, n_rows = _RECORD.search(sql).groups()  # type: ignore[union-attr]
        if key in records:
            raise ServerError(1062, "23000", f"Duplicate entry '{key}'")
        self._change(
            lambda: records.update({key: [fingerprint, int(n_rows), 0]}),
            lambda: records.pop(key),
        )
        return Ok(n_affected_rows=1)


@pytest.fixture
async def fake_backend() -> AsyncIterator[FakeBackend]:
    backend = FakeBackend()
    await backend.edge.start("127.0.0.1", 0)
    yield backend
    await backend.edge.stop()


def free_address() -> Address:
    return Address("127.0.0.1", free_ports(1)[0])


@pytest.fixture
def proxy_settings(tmp_path: Path) -> DaemonSettings:
    return DaemonSettings(
        node="proxy-1",
        role=NodeRole.PROXY,
        zone="nairobi-a",
        peer_address=free_address(),
        operator_address=free_address(),
        metrics_address=free_address(),
        control_nodes=(
            ControlNodeAddress(
                "control-1", "nairobi-a", free_address(), free_address()
            ),
        ),
        caller_address=free_address(),
        announcement_address=free_address(),
        data_folder=tmp_path,
        log_file=tmp_path / "proxy.log",
    )


@pytest.fixture
async def site(
    proxy_settings: DaemonSettings, fake_backend: Any
) -> AsyncIterator[Site]:
    site = await start_site(proxy_settings, fake_backend)
    yield site
    await stop_site(site)


async def _wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def wait_until() -> Callable[..., Awaitable[None]]:
    return _wait_until
