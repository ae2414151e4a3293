"""A caller's session: one MySQL connection per database, dealt over the entry VMs."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

import asyncmy
import asyncmy.errors

from cardamomshunt_testing._load_history import (
    Operation,
    OperationVerdict,
    parse_refusal,
)

_CONNECT_TIMEOUT_S = 3


def now_ms() -> float:
    """Return the monotonic time."""
    return time.monotonic() * 1_000


class Balancer:
    """Deal each new connection to the next entry VM."""

    def __init__(self, addresses: Sequence[tuple[str, int]]):
        self._address_cycle = itertools.cycle(addresses)

    def next_address(self) -> tuple[str, int]:
        """Return where the next connection goes."""
        return next(self._address_cycle)


class CallerSession:
    """Run one operation at a time; a roaming session changes its entry VM."""

    def __init__(
        self, name: str, balancer: Balancer, *, is_roaming: bool, timeout_ms: float
    ):
        self.name = name
        self.is_roaming = is_roaming
        self.orders: list[str] = []
        self._balancer = balancer
        self._timeout_ms = timeout_ms
        self._connections: dict[str, asyncmy.Connection] = {}
        self._n_connections: Counter[str] = Counter()

    def identity(self, database: str) -> str:
        """Name the session that the proxy sees; an unnamed one is its connection."""
        if self.is_roaming:
            return self.name
        return f"{self.name}#{database}#{self._n_connections[database]}"

    def hints(self, **hints: Any) -> str:
        """Return the hint comment of a statement."""
        if self.is_roaming:
            hints = {"session": self.name, **hints}
        given = ", ".join(f"{name}={value}" for name, value in hints.items())
        return f"/* cardamomshunt: {given} */ " if given else ""

    async def run(
        self,
        operation: Operation,
        database: str,
        sql: str,
        *,
        queries_route: bool = False,
    ) -> list[tuple[Any, ...]]:
        """Run a statement; the operation records how it ended."""
        operation.start_ms = now_ms()
        is_sent = False
        rows: list[tuple[Any, ...]] = []
        try:
            async with asyncio.timeout(self._timeout_ms / 1_000):
                connection = await self._connection(database)
                operation.session = self.identity(database)
                is_sent = True
                rows = await self._execute(connection, sql)
            operation.end_ms = now_ms()
            operation.verdict = OperationVerdict.ANSWERED
            if queries_route:
                asked = "SELECT @cardamomshunt_last_route"
                async with asyncio.timeout(self._timeout_ms / 1_000):
                    route = await self._execute(connection, asked)
                operation.route = str(route[0][0])
        except asyncmy.errors.Error as error:
            self._record_error(operation, database, error)
        except (OSError, TimeoutError, RuntimeError, AttributeError) as error:
            self.drop(database)
            if operation.verdict is OperationVerdict.ANSWERED:
                return rows
            operation.end_ms = now_ms()
            operation.detail = repr(error)
            operation.reason = "no_answer"
            if not is_sent:
                operation.verdict = OperationVerdict.NOT_RUN
                operation.may_retry = True
        return rows

    def _record_error(
        self, operation: Operation, database: str, error: Exception
    ) -> None:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        if operation.verdict is OperationVerdict.ANSWERED:
            self.drop(database)
            return
        operation.end_ms = now_ms()
        refusal = parse_refusal(code, str(error))
        operation.verdict = refusal.verdict
        operation.reason = refusal.reason
        operation.may_retry = refusal.may_retry
        operation.detail = str(error)
        is_lost = code == 0 or code in (1040, 1053) or 2000 <= code < 2100
        if is_lost:
            self.drop(database)

    async def _connection(self, database: str) -> asyncmy.Connection:
        known = self._connections.get(database)
        if known is not None:
            return known
        host, port = self._balancer.next_address()
        connection = await asyncmy.connect(
            host=host,
            port=port,
            user=self.name,
            db=database,
            autocommit=True,
            connect_timeout=_CONNECT_TIMEOUT_S,
        )
        self._connections[database] = connection
        self._n_connections[database] += 1
        return connection

    @staticmethod
    async def _execute(
        connection: asyncmy.Connection, sql: str
    ) -> list[tuple[Any, ...]]:
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            return list(await cursor.fetchall()) if cursor.description else []

    def drop(self, database: str) -> None:
        """Close a connection; the next one goes to the next entry VM."""
        connection = self._connections.pop(database, None)
        if connection is not None:
            connection.close()

    def roam(self) -> None:
        """Leave the entry VMs of all connections."""
        for database in list(self._connections):
            self.drop(database)
