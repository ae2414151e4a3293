"""A running proxy daemon: callers, announcements, control, drain and restart."""

import asyncio
import dataclasses
import socket
from typing import Any

import aiohttp
import asyncmy
import msgspec
import pytest
from asyncmy.cursors import SSCursor
from cardamomshunt.configuration import ClusterConfiguration, DatabaseSettings
from cardamomshunt.messages import (
    Change,
    ConfigurationUpdate,
    DrainInstance,
    TopologyUpdate,
)
from cardamomshunt.operator_messages import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)
from cardamomshunt_node._caller_edge_mysql import MysqlCallerEdge
from cardamomshunt_node.keys import KeyRing
from cardamomshunt_node.mysql_server import ServerError
from cardamomshunt_node.operator_link import send_request
from cardamomshunt_node.proxy_role import ProxyDaemon
from cardamomshunt_node.settings import Address, DaemonSettings
from proxy_site import TOPOLOGY, Site, query, start_site, stop_site

_RECEIVE_BUFFER_BYTES = 64 * 1024


async def test_read_write_and_variables(site: Site) -> None:
    connection = await site.connect()
    rows = await query(connection, "SELECT id, name FROM t")
    assert rows[0][0] == 0
    assert await query(connection, "SELECT @cardamomshunt_last_route") == (
        ("primary",),
    )
    async with connection.cursor() as cursor:
        await cursor.execute("UPDATE stock SET n = 1")
        assert cursor.rowcount == 2
    watermark = await query(connection, "SELECT @cardamomshunt_watermark")
    assert watermark == (("3:100",),)
    assert await query(connection, "SELECT cardamomshunt_outcome('k9')") == (
        ("NOT_RUN",),
    )


@pytest.mark.parametrize(
    ("sql", "code", "text"),
    [
        ("/* cardamomshunt: max_age=5 */ SELECT 1", 1105, "reason=bad_hint"),
        ("SET @cardamomshunt_deadline_ms = 'x'", 1105, "reason=bad_hint"),
        ("SET @cardamomshunt_nothing = 1", 1105, "reason=bad_hint"),
        ("KILL 5", 1235, "reason=unsupported_statement"),
        ("UPDATE t SET a = 1; UPDATE t SET a = 2", 1235, "multi-statement"),
    ],
)
async def test_refusals_name_verdict_and_reason(
    site: Site, sql: str, code: int, text: str
) -> None:
    connection = await site.connect()
    with pytest.raises(asyncmy.errors.Error) as raised:
        await query(connection, sql)
    assert raised.value.args[0] == code
    assert "verdict=NOT_RUN" in raised.value.args[1]
    assert text in raised.value.args[1]
    last = await query(connection, "SELECT @cardamomshunt_last_verdict")
    assert last[0][0] == raised.value.args[1]
    assert site.backend.n_writes == 0


async def test_backend_errors_pass_through(site: Site) -> None:
    site.backend.faults["UPDATE"] = ServerError(1062, "23000", "Duplicate entry '1'")
    connection = await site.connect()
    with pytest.raises(asyncmy.errors.IntegrityError) as raised:
        await query(connection, "UPDATE t SET a = 1")
    assert raised.value.args == (1062, "Duplicate entry '1'")
    assert raised.value.sqlstate == "23000"


async def test_keyed_write_runs_once(site: Site) -> None:
    connection = await site.connect()
    sql = "/* cardamomshunt: idempotency_key=k1 */ UPDATE stock SET n = 1"
    for _ in range(3):
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            assert cursor.rowcount == 2
    assert site.backend.n_writes == 1
    assert await query(connection, "SELECT cardamomshunt_outcome('k1')") == (("RAN",),)


@pytest.mark.parametrize("uses_autocommit", [True, False])
async def test_transactions(site: Site, uses_autocommit: bool) -> None:
    connection = await site.connect()
    if uses_autocommit:
        await query(connection, "BEGIN")
    else:
        await query(connection, "SET autocommit = 0")
    await query(connection, "UPDATE stock SET n = 1")
    assert site.backend.statements.count("BEGIN") == 1
    await query(connection, "ROLLBACK")
    assert site.backend.n_writes == 0
    await query(connection, "BEGIN")
    await query(connection, "UPDATE stock SET n = 1")
    await query(connection, "COMMIT")
    assert site.backend.n_writes == 1


async def test_caller_gone_in_transaction(site: Site, wait_until: Any) -> None:
    """Guards against a transaction that stays open after its caller disconnects."""
    connection = await site.connect()
    await query(connection, "BEGIN")
    await query(connection, "UPDATE stock SET n = 1")
    connection.close()
    await wait_until(lambda: site.backend.n_writes == 0)
    assert site.daemon.core.data_path.n_open_requests() == 0


async def test_caller_gone_while_a_statement_runs(site: Site, wait_until: Any) -> None:
    site.backend.faults["UPDATE"] = "hang"
    connection = await site.connect()
    task = asyncio.create_task(query(connection, "UPDATE stock SET n = 1"))
    await wait_until(lambda: "UPDATE stock SET n = 1" in site.backend.statements)
    connection.close()
    await wait_until(lambda: site.daemon.core.data_path.n_open_requests() == 0)
    await asyncio.gather(task, return_exceptions=True)
    site.backend.faults.clear()
    other = await site.connect()
    assert (await query(other, "SELECT id FROM t"))[0][0] == 0


@pytest.mark.parametrize("is_broken", [False, True])
async def test_large_results_stream(site: Site, is_broken: bool) -> None:
    """Guards against a truncated result that looks complete."""
    site.backend.n_rows = 20_000
    site.backend.is_broken_in_rows = is_broken
    connection = await site.connect()
    async with connection.cursor(SSCursor) as cursor:
        if is_broken:
            with pytest.raises(asyncmy.errors.Error):
                await cursor.execute("SELECT id, name FROM t")
                await cursor.fetchall()
            return
        await cursor.execute("SELECT id, name FROM t")
        rows = await cursor.fetchall()
    assert len(rows) == 20_000
    assert rows[-1][0] == 19_999


async def test_caller_gone_in_a_stream(site: Site, wait_until: Any) -> None:
    """Guards against requests and connections retained for a disconnected caller."""
    site.backend.n_rows = 200_000
    connection = await site.connect()
    cursor = connection.cursor(SSCursor)
    await cursor.execute("SELECT id, name FROM t")
    assert await cursor.fetchone()
    assert site.daemon.core._open_requests
    connection.close()
    await wait_until(lambda: not site.daemon.core._open_requests)
    await wait_until(lambda: site.daemon.core.data_path.n_open_requests() == 0)
    site.backend.n_rows = 1
    other = await site.connect()
    assert len(await query(other, "SELECT id FROM t")) == 1


def _connect_slow_caller(address: Address) -> socket.socket:
    """Connect with a receive buffer that the kernel does not let grow."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    caller.connect((address.host, address.port))
    caller.setblocking(False)
    return caller


async def test_buffer_for_a_slow_caller_is_bounded(site: Site) -> None:
    """Guards against a result that is buffered completely for a slow caller."""
    site.backend.n_rows = 200_000
    address = site.settings.caller_address
    assert address is not None
    connection = await site.connect(sock=_connect_slow_caller(address))
    cursor = connection.cursor(SSCursor)
    await cursor.execute("SELECT id, name FROM t")
    # The library reads all that comes, whether or not rows are fetched.
    connection._transport.pause_reading()
    await asyncio.sleep(0.5)
    open_request = next(iter(site.daemon.core._open_requests.values()))
    assert open_request.stream is not None
    buffered_bytes = sum(batch.size_bytes for batch in open_request.stream._batches)
    assert 0 < buffered_bytes < 512 * 1024


@pytest.mark.parametrize(
    ("target", "is_draining", "is_stopping"),
    [("proxy-1", True, True), ("proxy-1", False, False), ("orders-1", True, False)],
    ids=["this entry VM", "resumed", "a backend server"],
)
async def test_drain_command_from_control(
    site: Site, target: str, is_draining: bool, is_stopping: bool, wait_until: Any
) -> None:
    """Guards against an entry VM that ignores the command to drain itself."""
    transport = site.daemon._transport
    n_before = transport.counters.n_received
    site.control.send(DrainInstance(instance=target, is_draining=is_draining))
    await wait_until(lambda: transport.counters.n_received > n_before)
    await asyncio.sleep(0.05)
    assert site.daemon._stop_requested.is_set() == is_stopping


async def test_configuration_never_goes_back(site: Site, wait_until: Any) -> None:
    """Guards against a late or repeated update that reverts a newer one."""
    state = site.daemon.state
    document = ClusterConfiguration(version=7, databases={"orders": DatabaseSettings()})
    site.control.send(
        ConfigurationUpdate(version=7, base_version=None, snapshot=document.to_json())
    )
    await wait_until(lambda: state.configuration.version == 7)
    change = Change(path="databases.orders.lookup.max_age_ms", value=500.0)
    newer = ConfigurationUpdate(version=8, base_version=7, changes=[change])
    for update in (
        newer,
        ConfigurationUpdate(version=7, base_version=None, snapshot=document.to_json()),
        ConfigurationUpdate(version=12, base_version=11, changes=[change]),
        ConfigurationUpdate(version=13, base_version=None, snapshot="{broken"),
        newer,
        TopologyUpdate(version=2, databases=[]),
    ):
        site.control.send(update)
    await wait_until(lambda: state.configuration.version == 8)
    await asyncio.sleep(0.1)
    assert state.configuration.version == 8
    assert state.configuration.database("orders").lookup.max_age_ms == 500.0
    assert state.topology.version == 5
    await wait_until(lambda: site.control.heartbeats()[-1].configuration_version == 8)


async def test_restart_without_control_serves(
    proxy_settings: DaemonSettings, fake_backend: Any
) -> None:
    """Guards against a proxy that can't serve after a restart without control."""
    assert proxy_settings.data_folder is not None
    folder = proxy_settings.data_folder / "new" / "folder"
    proxy_settings = dataclasses.replace(proxy_settings, data_folder=folder)
    await stop_site(await start_site(proxy_settings, fake_backend))
    site = await start_site(proxy_settings, fake_backend, sends_state=False)
    try:
        connection = await site.connect()
        assert (await query(connection, "SELECT id FROM t"))[0][0] == 0
    finally:
        await stop_site(site)


@pytest.mark.parametrize("content", [b"", b"garbage", b"x" * 64])
async def test_broken_state_file_is_ignored(
    proxy_settings: DaemonSettings, fake_backend: Any, content: bytes
) -> None:
    folder = proxy_settings.data_folder
    assert folder is not None
    (folder / "proxy-topology").write_bytes(content)
    await stop_site(await start_site(proxy_settings, fake_backend))


async def test_too_many_callers(site: Site) -> None:
    edge = MysqlCallerEdge(Address("127.0.0.1", 0), site.daemon.core, n_callers_max=1)
    await edge.start()
    options = {"host": "127.0.0.1", "port": edge._server.port, "user": "caller"}
    first = await asyncmy.connect(**options, autocommit=None)
    with pytest.raises(asyncmy.errors.OperationalError) as raised:
        await asyncmy.connect(**options, autocommit=None)
    assert raised.value.args[0] == 1040
    assert "verdict=NOT_RUN reason=too_many_connections" in raised.value.args[1]
    first.close()
    await edge.drain(0.0)


async def test_term_change(site: Site, wait_until: Any) -> None:
    """Guards against writes on connections that are bound to an older term."""
    connection = await site.connect()
    await query(connection, "UPDATE stock SET n = 1")
    site.backend.term = 4
    databases = [msgspec.structs.replace(TOPOLOGY.databases[0], term=4)]
    site.control.send(TopologyUpdate(version=6, databases=databases))
    await wait_until(lambda: site.daemon.state.topology.version == 6)
    site.backend.statements.clear()
    await query(connection, "UPDATE stock SET n = 1")
    assert "SET @cardamomshunt_term = 4" in site.backend.statements


async def test_metrics_of_requests(site: Site) -> None:
    """Guards against metrics that are registered but never updated."""
    connection = await site.connect()
    await query(connection, "SELECT id FROM t")
    await query(connection, "UPDATE stock SET n = 1")
    url = f"http://{site.settings.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    for name in (
        "reads_total",
        "request_duration_seconds_count",
        "caller_connections",
        "control_cpu_seconds_total",
        "control_bytes_total",
    ):
        lines = [line for line in text.splitlines() if f"_{name}{{" in line]
        assert any(float(line.split()[-1]) > 0 for line in lines), name


async def test_drain_lets_a_transaction_end(site: Site) -> None:
    """Guards against a planned stop that interrupts open transactions."""
    busy = await site.connect()
    idle = await site.connect()
    await query(busy, "BEGIN")
    drain = asyncio.create_task(site.daemon.drain())
    await asyncio.sleep(0.05)
    with pytest.raises(asyncmy.errors.Error) as raised:
        await query(idle, "SELECT id FROM t")
    assert raised.value.args[0] == 1053
    assert "verdict=NOT_RUN reason=shutting_down" in raised.value.args[1]
    with pytest.raises(asyncmy.errors.OperationalError):
        await site.connect()
    await asyncio.sleep(0.6)
    await query(busy, "UPDATE stock SET n = 1")
    await query(busy, "COMMIT")
    await drain
    assert site.backend.n_writes == 1
    async with asyncio.timeout(2):
        while not site.control.heartbeats()[-1].is_draining:
            await asyncio.sleep(0.02)


async def test_drain_is_bounded(site: Site) -> None:
    connection = await site.connect()
    await query(connection, "BEGIN")
    async with asyncio.timeout(5):
        await site.daemon.drain()
    log = site.settings.log_file
    assert log is not None
    assert "PROXY_DRAIN_TIMED_OUT" in log.read_text()


async def test_operator_requests(site: Site) -> None:
    url = site.settings.operator_address.url
    status = await send_request(url, StatusRequest(), KeyRing([]), 2_000)
    assert isinstance(status, StatusReply)
    assert not status.is_authoritative
    assert status.databases[0].instances[0].instance == "orders-1"
    timeline = await send_request(
        url, TimelineRequest(since_ms=60_000), KeyRing([]), 2_000
    )
    assert isinstance(timeline, TimelineReply)
    assert timeline.events
    reply = await send_request(url, DrainRequest(target="proxy-1"), KeyRing([]), 2_000)
    assert isinstance(reply, DrainReply)


async def test_malformed_announcement_gets_a_reason(site: Site) -> None:
    url = f"http://{site.settings.announcement_address}/v1/announcement"
    async with aiohttp.ClientSession() as session:
        for body in (b"", b"{}", b"\xff\xfe", b'{"group": 5}', b"[" * 5_000):
            async with session.post(url, data=body) as response:
                assert response.status == 400
                assert (await response.json())["reason"]
    assert site.last_status == 200


async def test_statements_before_any_backend(proxy_settings: DaemonSettings) -> None:
    """Guards against a hang or a wrong verdict before the first topology."""
    daemon = ProxyDaemon(proxy_settings)
    await daemon.start()
    try:
        address = proxy_settings.caller_address
        assert address is not None
        connection = await asyncmy.connect(
            host=address.host, port=address.port, user="c", autocommit=None
        )
        with pytest.raises(asyncmy.errors.Error) as raised:
            await query(connection, "UPDATE t SET a = 1")
        assert raised.value.args[0] == 1046
        await connection.select_db("orders")
        with pytest.raises(asyncmy.errors.Error) as raised:
            await query(connection, "UPDATE t SET a = 1")
        assert "verdict=NOT_RUN" in raised.value.args[1]
        connection.close()
    finally:
        await daemon.stop()
