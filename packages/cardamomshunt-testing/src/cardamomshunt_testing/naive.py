"""Naive baseline proxies: `python -m cardamomshunt_testing.naive --settings FILE`.

`naive-primary` sends everything to the configured primary. `naive-split` sends plain
SELECTs to the replicas in turn and the rest to the primary; after failures in a row it
goes down a static promotion list. Neither knows positions, terms, retries or deadlines.
"""

import asyncio
import itertools
import signal
from pathlib import Path
from typing import Any

import asyncmy
import asyncmy.errors
import click
import msgspec
import yaml
from cardamomshunt_node.mysql_server import (
    MysqlServerEdge,
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    StatementResult,
)

from cardamomshunt_testing._standin_sql import StatementKind, classify, strip_comments

_STATEMENT_TIMEOUT_MS = 10_000.0
_N_FAILURES_BEFORE_PROMOTION = 3


class NaiveInstance(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Locate a backend server."""

    instance: str
    host: str = "127.0.0.1"
    port: int


class NaiveSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Describe one naive proxy; the first instance of a database is its primary."""

    system: str
    caller_address: str
    n_connections_per_instance: int = 4
    databases: dict[str, list[NaiveInstance]]


class Pool:
    """Share a fixed number of connections to one instance, in arrival order."""

    def __init__(self, address: NaiveInstance, n_connections: int):
        self.address = address
        self._idle_connections: asyncio.LifoQueue[asyncmy.Connection | None] = (
            asyncio.LifoQueue()
        )
        for _ in range(n_connections):
            self._idle_connections.put_nowait(None)

    async def acquire(self) -> asyncmy.Connection:
        """Wait for a connection and open it if needed."""
        connection = await self._idle_connections.get()
        if connection is not None:
            return connection
        try:
            return await asyncmy.connect(
                host=self.address.host,
                port=self.address.port,
                user="naive",
                autocommit=True,
                connect_timeout=2,
            )
        except BaseException:
            self._idle_connections.put_nowait(None)
            raise

    def release(self, connection: asyncmy.Connection, is_usable: bool) -> None:
        """Return a connection; a bad one is closed and opened anew later."""
        if not is_usable:
            connection.close()
        self._idle_connections.put_nowait(connection if is_usable else None)


class Database:
    """Route statements of one database."""

    def __init__(self, instances: list[NaiveInstance], n_connections: int):
        self._pools = [Pool(item, n_connections) for item in instances]
        self._replica_turns = itertools.count()
        self._n_failures = 0
        self._primary_index = 0

    def choose_pool(self, is_replica_read: bool) -> Pool:
        """Return the primary's pool, or that of the next replica."""
        others = [
            pool
            for index, pool in enumerate(self._pools)
            if index != self._primary_index
        ]
        if is_replica_read and others:
            return others[next(self._replica_turns) % len(others)]
        return self._pools[self._primary_index]

    def is_primary(self, pool: Pool) -> bool:
        """Tell whether a pool is that of the primary."""
        return pool is self._pools[self._primary_index]

    async def record_result(
        self, pool: Pool, is_usable: bool, may_promote: bool
    ) -> None:
        """Count failures of the primary, and promote the next of the list."""
        if not self.is_primary(pool):
            return
        self._n_failures = 0 if is_usable else self._n_failures + 1
        if may_promote and self._n_failures >= _N_FAILURES_BEFORE_PROMOTION:
            self._n_failures = 0
            self._primary_index = (self._primary_index + 1) % len(self._pools)
            await _promote(self._pools[self._primary_index].address)


async def _promote(address: NaiveInstance) -> None:
    """Make an instance the primary, without asking the rest of the group."""
    try:
        async with asyncio.timeout(_STATEMENT_TIMEOUT_MS / 1_000):
            connection = await asyncmy.connect(
                host=address.host, port=address.port, user="naive", autocommit=True
            )
            status = (await _query(connection, "SELECT * FROM cardamomshunt_status"))[0]
            if status[4] != "primary":
                term = status[5] + 1
                await _query(connection, f"CALL cardamomshunt_fence({term})")
                await _query(connection, f"CALL cardamomshunt_promote({term})")
            connection.close()
    except (OSError, TimeoutError, asyncmy.errors.Error):
        return


async def _query(connection: asyncmy.Connection, sql: str) -> list[tuple[Any, ...]]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


class NaiveSession(MysqlSession):
    """Pass a caller's statements on."""

    def __init__(self, proxy: "NaiveProxy"):
        super().__init__()
        self._proxy = proxy
        self._pinned: tuple[Pool, asyncmy.Connection] | None = None
        self._last_route = ""

    async def set_variable(self, name: str, value: Any) -> None:
        """Ignore hints."""

    async def get_variable(self, name: str) -> Any:
        """Tell where the last statement went."""
        return self._last_route if name == "cardamomshunt_last_route" else None

    async def on_reset(self) -> None:
        """Drop a pinned connection."""
        self._unpin(is_usable=False)

    async def on_disconnected(self) -> None:
        """Drop a pinned connection."""
        self._unpin(is_usable=False)

    def _unpin(self, is_usable: bool) -> None:
        self.is_in_transaction = False
        if self._pinned is not None:
            pool, connection = self._pinned
            self._pinned = None
            pool.release(connection, is_usable)

    async def handle_statement(self, sql: str) -> StatementResult:
        """Pass one statement on."""
        database = self._proxy.databases.get(self.database or "")
        if database is None:
            raise ServerError(1049, "42000", f"Unknown database '{self.database}'")
        kind = classify(strip_comments(sql))
        if self._pinned is not None:
            return await self._run_pinned(sql, kind)
        is_split = self._proxy.is_split and kind is StatementKind.READ
        pool = database.choose_pool(is_replica_read=is_split)
        self._last_route = "primary" if database.is_primary(pool) else "replica"
        is_good = False
        try:
            connection = await pool.acquire()
            try:
                answer = await self._run(connection, sql)
                is_good = True
            except ServerError:
                is_good = True
                raise
            finally:
                is_begin = kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY)
                if is_good and is_begin:
                    self._pinned = (pool, connection)
                    self.is_in_transaction = True
                else:
                    pool.release(connection, is_good)
            return answer
        except (OSError, TimeoutError, asyncmy.errors.Error) as error:
            raise ServerError(2013, "HY000", f"Lost connection: {error!r}") from None
        finally:
            await database.record_result(
                pool, is_good, may_promote=self._proxy.is_split
            )

    async def _run_pinned(self, sql: str, kind: StatementKind) -> StatementResult:
        assert self._pinned is not None
        try:
            answer = await self._run(self._pinned[1], sql)
        except ServerError:
            raise
        except (OSError, TimeoutError, asyncmy.errors.Error) as error:
            self._unpin(is_usable=False)
            raise ServerError(2013, "HY000", f"Lost connection: {error!r}") from None
        if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self._unpin(is_usable=True)
        return answer

    async def _run(self, connection: asyncmy.Connection, sql: str) -> StatementResult:
        try:
            async with (
                asyncio.timeout(_STATEMENT_TIMEOUT_MS / 1_000),
                connection.cursor() as cursor,
            ):
                n_affected = await cursor.execute(sql)
                if cursor.description is None:
                    return Ok(n_affected, cursor.lastrowid or 0)
                rows = await cursor.fetchall()
                return Rows([column[0] for column in cursor.description], list(rows))
        except asyncmy.errors.Error as error:
            code = error.args[0] if error.args else 0
            if not isinstance(code, int) or code in (0, 1053) or 2000 <= code < 2100:
                raise
            raise ServerError(code, "HY000", str(error.args[-1])) from None


class NaiveProxy:
    """Run a naive proxy inside the current event loop."""

    def __init__(self, settings: NaiveSettings):
        self.settings = settings
        self.is_split = settings.system == "naive-split"
        self.databases = {
            name: Database(instances, settings.n_connections_per_instance)
            for name, instances in settings.databases.items()
        }
        self.edge = MysqlServerEdge(lambda: NaiveSession(self))

    async def start(self) -> None:
        """Listen for callers."""
        host, _, port = self.settings.caller_address.rpartition(":")
        await self.edge.start(host, int(port))

    async def stop(self) -> None:
        """Stop at once."""
        await self.edge.stop()


async def _run(settings: NaiveSettings) -> None:
    proxy = NaiveProxy(settings)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    await proxy.start()
    print(f"{settings.system} ready on {settings.caller_address}", flush=True)
    await stopped.wait()
    await proxy.stop()


@click.command()
@click.option("--settings", type=click.Path(path_type=Path, exists=True), required=True)
def main(settings: Path) -> None:
    """Run one naive proxy in the foreground until SIGTERM."""
    document = yaml.safe_load(settings.read_text())
    asyncio.run(_run(msgspec.convert(document, NaiveSettings)))


if __name__ == "__main__":
    main()
