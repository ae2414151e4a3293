"""Tests of the MySQL server edge against a stock client."""

import asyncio
import tracemalloc
from collections.abc import AsyncIterator

import asyncmy
import asyncmy.errors
import pytest
from cardamomshunt_node.mysql_server import (
    MysqlServerEdge,
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    ServerLimits,
    StatementResult,
)


class EchoSession(MysqlSession):
    """Answer by the statement's first word and record the calls."""

    calls: list[str] = []

    def __init__(self) -> None:
        super().__init__()
        self.variables_set: dict[str, object] = {}

    async def handle_statement(self, sql: str) -> StatementResult:
        self.calls.append(sql)
        if sql.startswith("INSERT"):
            return Ok(n_affected_rows=3, last_insert_id=70_000)
        if sql.startswith("FAIL"):
            raise ServerError(1290, "HY000", "cardamomshunt_fenced: older term")
        if sql.startswith("WAIT"):
            try:
                await asyncio.sleep(0.3)
            except asyncio.CancelledError:
                self.calls.append("cancelled")
                raise
        if sql.startswith("MANY"):
            return Rows(["n", "text"], self.many_rows(int(sql.split()[1])))
        return Rows(["text", "n", "nothing"], [(sql, 5, None)])

    async def many_rows(self, n_rows: int) -> AsyncIterator[tuple[int, str]]:
        for number in range(n_rows):
            yield number, "x" * 1_000

    async def on_reset(self) -> None:
        self.calls.append("reset")

    async def set_variable(self, name: str, value: object) -> None:
        self.variables_set[name] = value

    async def get_variable(self, name: str) -> object:
        return self.variables_set.get(name)


async def start_edge(**options: object) -> MysqlServerEdge:
    EchoSession.calls = []
    edge = MysqlServerEdge(EchoSession, **options)  # type: ignore[arg-type]
    await edge.start("127.0.0.1", 0)
    return edge


async def connect(edge: MysqlServerEdge, **options: object) -> asyncmy.Connection:
    return await asyncmy.connect(
        host="127.0.0.1", port=edge.port, user="caller", **options
    )


async def run(connection: asyncmy.Connection, sql: str, *args: object) -> list:
    async with connection.cursor() as cursor:
        await cursor.execute(sql, *args)
        return list(await cursor.fetchall())


async def test_ok_packet_carries_counts_of_the_handler():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    async with connection.cursor() as cursor:
        n_affected = await cursor.execute("INSERT INTO t VALUES (1)")
        assert (n_affected, cursor.lastrowid) == (3, 70_000)
    connection.close()
    await edge.stop()


async def test_error_packet_carries_code_and_text_and_connection_goes_on():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    with pytest.raises(asyncmy.errors.Error) as caught:
        await run(connection, "FAIL")
    assert caught.value.args == (1290, "cardamomshunt_fenced: older term")
    assert await run(connection, "SELECT 1") == [("SELECT 1", 5, None)]
    connection.close()
    await edge.stop()


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("SET NAMES utf8mb4", []),
        ("SET NAMES 'utf8mb4' COLLATE 'utf8mb4_general_ci'", []),
        ("SET SESSION autocommit=ON", []),
        ("SELECT @@version_comment LIMIT 1", [("cardamomshunt",)]),
        (
            "SELECT @@session.autocommit AS a, @@max_allowed_packet",
            [(1, 67_108_864)],
        ),
        ("SELECT DATABASE()", [("orders",)]),
        ("SHOW WARNINGS", []),
    ],
)
async def test_statements_of_stock_clients_never_reach_the_handler(statement, expected):
    edge = await start_edge()
    connection = await connect(edge, autocommit=True, db="orders")
    assert await run(connection, statement) == expected
    assert EchoSession.calls == []
    connection.close()
    await edge.stop()


async def test_user_variables_keep_quotes_and_backslashes():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    await run(connection, "SET @Cardamomshunt_session = %s", ("it's \\ s1",))
    assert await run(connection, "SELECT @cardamomshunt_session") == [("it's \\ s1",)]
    connection.close()
    await edge.stop()


async def test_reset_and_init_db_and_ping():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    await connection.ping(reconnect=False)
    await connection.select_db("stock")
    assert await run(connection, "SELECT DATABASE()") == [("stock",)]
    connection.close()
    await edge.stop()


async def test_large_result_is_streamed_with_bounded_memory():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    tracemalloc.start()
    n_rows = 0
    async with connection.cursor(asyncmy.cursors.SSCursor) as cursor:
        await cursor.execute("MANY 20000")
        while await cursor.fetchmany(100):
            n_rows += 100
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert n_rows == 20_000
    # The result has 20 MB; held as a whole it would exceed the bound.
    assert peak_bytes < 4_000_000
    connection.close()
    await edge.stop()


async def test_connection_limit_is_refused_with_1040():
    edge = await start_edge(limits=ServerLimits(n_connections_max=1))
    first = await connect(edge)
    with pytest.raises(asyncmy.errors.Error) as caught:
        await connect(edge)
    assert caught.value.args[0] == 1040
    first.close()
    await edge.stop()


async def test_unauthenticated_time_is_bounded():
    edge = await start_edge(limits=ServerLimits(handshake_timeout_ms=50))
    reader, writer = await asyncio.open_connection("127.0.0.1", edge.port)
    await asyncio.wait_for(reader.read(), 2)
    writer.close()
    assert edge.n_connections == 0
    await edge.stop()


async def test_wrong_password_ends_the_connection():
    # mysql-mimic's own server runs statements after it refused the login.
    edge = await start_edge()
    with pytest.raises(asyncmy.errors.Error) as caught:
        await connect(edge, password="wrong")
    assert caught.value.args[0] == 1045
    await asyncio.sleep(0.05)
    assert edge.n_connections == 0
    await edge.stop()


async def test_packet_size_is_bounded():
    edge = await start_edge(limits=ServerLimits(packet_size_max_bytes=2_000))
    connection = await connect(edge, autocommit=True)
    with pytest.raises(asyncmy.errors.Error):
        await run(connection, "SELECT '" + "x" * 3_000 + "'")
    assert EchoSession.calls == []
    await edge.stop()


async def test_running_statement_is_cancelled_when_its_client_leaves():
    edge = await start_edge()
    connection = await connect(edge, autocommit=True)
    statement = asyncio.create_task(run(connection, "WAIT"))
    await asyncio.sleep(0.05)
    connection.close()
    await asyncio.gather(statement, return_exceptions=True)
    await asyncio.sleep(0.1)
    assert EchoSession.calls == ["WAIT", "cancelled"]
    await edge.stop()


async def test_graceful_stop_finishes_statements_then_answers_1053():
    edge = await start_edge()
    busy = await connect(edge, autocommit=True)
    idle = await connect(edge, autocommit=True)
    statement = asyncio.create_task(run(busy, "WAIT"))
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(edge.stop(grace_ms=1_000))
    await asyncio.sleep(0.05)
    with pytest.raises(asyncmy.errors.Error) as caught:
        await run(idle, "SELECT 1")
    assert caught.value.args[0] == 1053
    assert await statement == [("WAIT", 5, None)]
    busy.close()
    await asyncio.wait_for(stopping, 3)


async def test_silenced_connections_stay_silent_while_new_ones_work():
    edge = await start_edge()
    old = await connect(edge, autocommit=True)
    edge.pause_open_connections(edge.ports())
    new = await connect(edge, autocommit=True)
    assert await run(new, "SELECT 2")
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(run(old, "SELECT 1"), 0.1)
    new.close()
    await edge.stop()


async def run_prepared(edge: MysqlServerEdge, sql: str, value: str) -> None:
    """Run a prepared statement with one string parameter over a bare socket."""
    reader, writer = await asyncio.open_connection("127.0.0.1", edge.port)

    async def read_packet() -> bytes:
        header = await reader.readexactly(4)
        return await reader.readexactly(int.from_bytes(header[:3], "little"))

    def send(body: bytes, sequence: int = 0) -> None:
        writer.write(len(body).to_bytes(3, "little") + bytes([sequence]) + body)

    await read_packet()
    # CLIENT_PROTOCOL_41, CLIENT_SECURE_CONNECTION and CLIENT_PLUGIN_AUTH, utf8mb4.
    login = (0x88200).to_bytes(4, "little") + (1 << 24).to_bytes(4, "little")
    login += b"\xff" + bytes(23) + b"caller\0" + b"\0" + b"mysql_native_password\0"
    send(login, 1)
    assert (await read_packet())[0] == 0
    send(b"\x16" + sql.encode())
    statement_id = (await read_packet())[1:5]
    await read_packet()
    await read_packet()
    encoded = value.encode()
    parameters = b"\0\1\xfd\0" + bytes([len(encoded)]) + encoded
    send(b"\x17" + statement_id + b"\0\1\0\0\0" + parameters)
    assert (await read_packet())[0] == 0
    writer.close()


async def test_prepared_parameters_cannot_end_their_literal():
    edge = await start_edge()
    await run_prepared(edge, "INSERT INTO t VALUES (?, '?')", "a' OR \\ ?")
    assert EchoSession.calls == ["INSERT INTO t VALUES ('a'' OR \\\\ ?', '?')"]
    await edge.stop()


async def test_refused_session_gets_its_error_at_connect():
    class RefusedSession(EchoSession):
        async def on_connected(self) -> None:
            raise ServerError(1049, "42000", f"Unknown database '{self.database}'")

    edge = MysqlServerEdge(RefusedSession)
    await edge.start("127.0.0.1", 0)
    connection = None
    with pytest.raises(asyncmy.errors.Error) as caught:
        connection = await connect(edge, autocommit=True, db="missing")
        await run(connection, "SELECT 1")
    assert caught.value.args == (1049, "Unknown database 'missing'")
    await edge.stop()
