"""Tests of the stand-in database group."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import aiohttp
import asyncmy
import asyncmy.errors
import msgspec
import pytest
from aiohttp import web
from cardamomshunt.messages import Announcement
from cardamomshunt.position import LogPosition
from cardamomshunt_testing._standin_group import StandinGroup, group_settings
from cardamomshunt_testing._standin_messages import AppendReply
from cardamomshunt_testing.standin import AnnouncementTarget, StandinInstance

SCHEMA = [
    "CREATE TABLE orders (order_id TEXT PRIMARY KEY, quantity INTEGER)",
    "CREATE TABLE events (event_id INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT)",
]


async def start_group(**options: object) -> StandinGroup:
    zones = ["zone-a", "zone-b", "zone-c"]
    options.setdefault("rejoin_quarantine_ms", 50.0)
    group = StandinGroup(group_settings("orders", zones, schema=SCHEMA, **options))
    await group.start()
    return group


@pytest.fixture
async def group() -> AsyncIterator[StandinGroup]:
    started = await start_group()
    yield started
    await started.stop()


async def connect(instance: StandinInstance, port: int = 0) -> asyncmy.Connection:
    return await asyncmy.connect(
        host="127.0.0.1", port=port or instance.port, user="test", autocommit=True
    )


async def run(connection: asyncmy.Connection, sql: str) -> list:
    async with connection.cursor() as cursor:
        n_affected = await cursor.execute(sql)
        if cursor.description is None:
            return [n_affected, cursor.lastrowid]
        return list(await cursor.fetchall())


async def query(instance: StandinInstance, *statements: str) -> list:
    connection = await connect(instance)
    answer: list = []
    for sql in statements:
        answer = await run(connection, sql)
    connection.close()
    return answer


async def wait_until(is_met: Callable[[], bool], timeout_s: float = 3.0) -> None:
    deadline = time.monotonic() + timeout_s
    while not is_met():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.005)


async def get_error(instance: StandinInstance, *statements: str) -> tuple:
    with pytest.raises(asyncmy.errors.Error) as caught:
        await query(instance, *statements)
    return caught.value.args


async def test_write_reaches_replicas_after_the_majority(group):
    answer = await query(
        group.primary(),
        "INSERT INTO orders VALUES ('o1', 2)",
        "CALL cardamomshunt_await_majority(1000)",
    )
    assert answer == [(1, 2, 1)]
    for replica in group.replicas():
        await wait_until(lambda r=replica: r.member.applied == 2)
        assert await query(replica, "SELECT * FROM orders") == [("o1", 2)]


async def test_status_has_the_published_columns(group):
    connection = await connect(group.primary())
    async with connection.cursor() as cursor:
        await cursor.execute("SELECT * FROM cardamomshunt_status")
        names = [column[0] for column in cursor.description]
        row = dict(zip(names, (await cursor.fetchall())[0], strict=True))
    connection.close()
    assert row["role"] == "primary"
    assert (row["term"], row["log_term"], row["log_position"]) == (1, 1, 1)
    assert (row["n_slots"], row["n_connections_max"], row["is_leaving"]) == (5, 35, 0)


@pytest.mark.parametrize(
    ("statement", "code"),
    [
        ("INSERT INTO orders VALUES ('o1', 1)", 1062),
        ("SELECT * FROM missing", 1146),
        ("SELECT missing FROM orders", 1054),
        ("SELEC 1", 1064),
        ("CALL cardamomshunt_missing()", 1305),
    ],
)
async def test_errors_have_their_mysql_codes(group, statement, code):
    await query(group.primary(), "INSERT INTO orders VALUES ('o1', 1)")
    assert (await get_error(group.primary(), statement))[0] == code


async def test_quotes_and_escapes_survive_translation(group):
    connection = await connect(group.primary())
    text = 'it\'s \\ "quoted" /* not a comment */ \n'
    async with connection.cursor() as cursor:
        await cursor.execute("INSERT INTO events (name) VALUES (%s)", (text,))
        assert cursor.lastrowid == 1
        await cursor.execute("SELECT name FROM events WHERE name = %s", (text,))
        assert list(await cursor.fetchall()) == [(text,)]
    connection.close()


async def test_transactions_see_own_writes_and_isolate_them(group):
    writer = await connect(group.primary())
    reader = await connect(group.primary())
    await run(writer, "BEGIN")
    await run(writer, "INSERT INTO orders VALUES ('o1', 1)")
    assert await run(writer, "SELECT quantity FROM orders") == [(1,)]
    assert await run(reader, "SELECT quantity FROM orders") == []
    await run(writer, "COMMIT")
    assert await run(reader, "SELECT quantity FROM orders") == [(1,)]
    await run(writer, "BEGIN")
    await run(writer, "UPDATE orders SET quantity = 9")
    await run(writer, "ROLLBACK")
    assert await run(reader, "SELECT quantity FROM orders") == [(1,)]
    writer.close()
    reader.close()


async def test_lost_connection_rolls_back(group):
    writer = await connect(group.primary())
    await run(writer, "BEGIN")
    await run(writer, "INSERT INTO orders VALUES ('o1', 1)")
    writer.close()
    await asyncio.sleep(0.02)
    assert await query(group.primary(), "SELECT * FROM orders") == []


async def test_conflicting_transaction_is_rolled_back_as_a_whole(group):
    first = await connect(group.primary())
    second = await connect(group.primary())
    for connection in (first, second):
        await run(connection, "BEGIN")
        await run(connection, "INSERT INTO orders VALUES ('o1', 1)")
    await run(first, "COMMIT")
    with pytest.raises(asyncmy.errors.Error) as caught:
        await run(second, "COMMIT")
    assert caught.value.args[0] == 1213
    assert await run(second, "SELECT COUNT(*) FROM orders") == [(1,)]
    first.close()
    second.close()


@pytest.mark.parametrize("term", [0, 2])
async def test_write_on_a_connection_of_another_term_is_fenced(group, term):
    code, text = await get_error(
        group.primary(),
        f"SET @cardamomshunt_term = {term}",
        "INSERT INTO orders VALUES ('o1', 1)",
    )
    assert code == 1290
    assert text.startswith("cardamomshunt_fenced")


async def test_write_on_a_replica_is_fenced(group):
    code, _ = await get_error(group.replicas()[0], "DELETE FROM orders")
    assert code == 1290


async def test_transaction_across_a_term_change_is_fenced(group):
    primary = group.primary()
    connection = await connect(primary)
    await run(connection, "BEGIN")
    await run(connection, "INSERT INTO orders VALUES ('o1', 1)")
    primary.member.fence(2)
    primary.member.promote(2)
    with pytest.raises(asyncmy.errors.Error) as caught:
        await run(connection, "COMMIT")
    assert caught.value.args[0] == 1290
    connection.close()


async def test_old_primary_gets_no_majority_and_its_tail_is_truncated(group):
    old = group.primary()
    others = [item.settings.instance for item in group.replicas()]
    old.partition(set(others), set())
    for name in others:
        group.instances[name].partition({old.settings.instance}, set())
    answer = await query(
        old,
        "INSERT INTO orders VALUES ('lost', 1)",
        "CALL cardamomshunt_await_majority(100)",
    )
    assert answer[0][2] == 0
    new = group.fail_over(2, others)
    answer = await query(
        new,
        "INSERT INTO orders VALUES ('kept', 1)",
        "CALL cardamomshunt_await_majority(1000)",
    )
    assert answer[0][2] == 1
    assert (await get_error(old, "CALL cardamomshunt_confirmed_position()"))[0] == 1290
    for item in group.instances.values():
        item.end_partitions()
    await wait_until(lambda: old.member.applied_position == new.member.log.end)
    assert not old.is_primary
    assert await query(old, "SELECT order_id FROM orders") == [("kept",)]


async def test_fenced_majority_ends_the_old_primary_before_a_new_one_exists(group):
    primary = group.primary()
    for replica in group.replicas():
        assert replica.member.fence(2)[0]
    await wait_until(lambda: not primary.is_primary)
    assert (await get_error(primary, "DELETE FROM orders"))[0] == 1290


async def test_fence_and_promote_refuse_older_terms_and_repeat_safely(group):
    replica = group.replicas()[0]
    assert await query(replica, "CALL cardamomshunt_fence(3)") == [(1, 3, 1, 1)]
    assert await query(replica, "CALL cardamomshunt_fence(3)") == [(1, 3, 1, 1)]
    assert (await query(replica, "CALL cardamomshunt_fence(2)"))[0][:2] == (0, 3)
    assert (await query(replica, "CALL cardamomshunt_promote(2)"))[0][0] == 0
    assert await query(replica, "CALL cardamomshunt_promote(3)") == [(1, 3, 2)]
    assert await query(replica, "CALL cardamomshunt_promote(3)") == [(1, 3, 2)]


async def test_replica_serves_nothing_that_no_majority_stores():
    group = await start_group(n_instances=5)
    primary = group.primary()
    reached, *others = group.replicas()
    primary.partition({item.settings.instance for item in others}, set())
    await query(primary, "INSERT INTO orders VALUES ('o1', 1)")
    await wait_until(lambda: reached.member.log.end == LogPosition(1, 2))
    await asyncio.sleep(0.1)
    assert await query(reached, "SELECT * FROM orders") == []
    await group.stop()


async def test_primary_reads_can_wait_for_the_majority():
    # Without the setting, a read may return a write that a failover rolls back.
    group = await start_group(reads_wait_for_majority=True)
    primary = group.primary()
    primary.partition({item.settings.instance for item in group.replicas()}, set())
    await query(primary, "INSERT INTO orders VALUES ('o1', 1)")
    reading = asyncio.create_task(query(primary, "SELECT order_id FROM orders"))
    await asyncio.sleep(0.1)
    assert not reading.done()
    primary.end_partitions()
    assert await asyncio.wait_for(reading, 2) == [("o1",)]
    await group.stop()


async def test_lag_delays_replicas_but_not_the_majority(group):
    replica = group.replicas()[0]
    replica.set_lag(300)
    started = time.monotonic()
    answer = await query(
        group.primary(),
        "INSERT INTO orders VALUES ('o1', 1)",
        "CALL cardamomshunt_await_majority(1000)",
    )
    assert answer[0][2] == 1
    assert time.monotonic() - started < 0.25
    await wait_until(lambda: replica.member.applied == 2)
    assert time.monotonic() - started > 0.28


async def test_instance_with_a_lost_log_is_not_counted_until_it_has_caught_up(group):
    name = group.replicas()[0].settings.instance
    before = group.instances[name].member.incarnation
    await group.kill(name)
    group.settings[name].rejoin_quarantine_ms = 400.0
    instance = await group.start_instance(name)
    assert instance.member.incarnation > before
    assert instance.member.is_recovering
    accepted, _, position = instance.member.fence(1)
    assert (accepted, position) == (False, LogPosition(0, 0))
    await wait_until(lambda: not instance.member.is_recovering)
    assert instance.member.log.end == group.primary().member.log.end


async def test_killed_first_primary_does_not_start_a_second_log(group):
    name = group.primary().settings.instance
    await query(group.primary(), "INSERT INTO orders VALUES ('o1', 1)")
    await group.kill(name)
    instance = await group.start_instance(name)
    assert not instance.is_primary
    assert instance.member.term == 0


async def test_data_folder_restores_term_and_log(tmp_path):
    settings = group_settings("orders", ["zone-a"], schema=SCHEMA)
    for item in settings:
        item.data_folder = str(tmp_path / item.instance)
    group = StandinGroup(settings)
    await group.start()
    await query(group.primary(), "INSERT INTO orders VALUES ('o1', 1)")
    name = group.primary().settings.instance
    await group.kill(name)
    with (tmp_path / name / "log").open("ab") as file:
        file.write(b"\x40\0\0\0torn")
    instance = await group.start_instance(name)
    assert instance.member.log.end == LogPosition(1, 2)
    assert not instance.is_primary
    group.fail_over(2, list(group.instances))
    rows = await query(group.primary(), "SELECT order_id FROM orders")
    assert rows == [("o1",)]
    await group.stop()


async def test_slots_limit_concurrency_and_keep_the_order(group):
    group.primary().settings.service_time_ms = 40
    connections = [await connect(group.primary()) for _ in range(11)]
    started = time.monotonic()
    ended: dict[int, float] = {}

    async def read(index: int) -> None:
        await run(connections[index], "SELECT 1")
        ended[index] = time.monotonic() - started

    tasks = []
    for index in range(11):
        tasks.append(asyncio.create_task(read(index)))
        await asyncio.sleep(0.001)
    await asyncio.gather(*tasks)
    assert ended[4] < 0.08 <= ended[6]
    assert ended[10] >= 0.12
    assert list(ended) == sorted(ended)
    for connection in connections:
        connection.close()


async def test_connections_past_the_limit_are_refused_with_1040():
    group = await start_group(n_connections_max=2)
    open_connections = [await connect(group.primary()) for _ in range(2)]
    zone_port = next(iter(group.primary().settings.zone_ports.values()))
    with pytest.raises(asyncmy.errors.Error) as caught:
        await connect(group.primary(), zone_port)
    assert caught.value.args[0] == 1040
    for connection in open_connections:
        connection.close()
    await group.stop()


async def post(instance: StandinInstance, path: str, body: dict | None = None) -> None:
    url = f"http://127.0.0.1:{instance.control.port}/{path}"
    async with (
        aiohttp.ClientSession() as client,
        client.post(url, json=body or {}) as response,
    ):
        assert response.status == 200


async def test_blackholed_connections_stay_unresponsive_while_new_ones_work(group):
    primary = group.primary()
    old = await connect(primary)
    await post(primary, "cut-connections")
    assert await query(primary, "SELECT 1") == [(1,)]
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(run(old, "SELECT 1"), 0.1)


async def test_freeze_answers_nothing_until_thaw(group):
    primary = group.primary()
    old = await connect(primary)
    await post(primary, "freeze")
    with pytest.raises(asyncio.TimeoutError):
        await asyncio.wait_for(connect(primary), 0.1)
    waiting = asyncio.create_task(run(old, "SELECT 1"))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await post(primary, "thaw")
    assert await asyncio.wait_for(waiting, 1) == [(1,)]
    old.close()


async def test_zone_partition_affects_only_callers_of_that_zone(group):
    primary = group.primary()
    partitioned_port = primary.port_for_zone("zone-b")
    old = await connect(primary, partitioned_port)
    await post(primary, "cut", {"zones": ["zone-b"]})
    assert await query(primary, "SELECT 1") == [(1,)]
    new = await connect(primary, partitioned_port)
    for connection in (old, new):
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(run(connection, "SELECT 1"), 0.1)
    await post(primary, "heal")
    connection = await connect(primary, partitioned_port)
    assert await run(connection, "SELECT 1") == [(1,)]
    connection.close()


@pytest.mark.parametrize("port_zone", ["zone-a", "zone-b"])
@pytest.mark.parametrize(
    ("zones", "is_answered"), [(["zone-b"], True), (["zone-b", "zone-c"], False)]
)
async def test_control_reaches_an_instance_unless_all_zones_are_partitioned(
    group, zones, is_answered, port_zone
):
    # Control may use the port of any zone, but is itself on the side of the majority.
    replica = group.instances["orders-1"]
    await post(replica, "cut", {"zones": zones})
    connection = await connect(replica, replica.port_for_zone(port_zone))
    call = run(connection, "CALL cardamomshunt_fence(5)")
    if is_answered:
        assert (await asyncio.wait_for(call, 1))[0][0] == 1
    else:
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(call, 0.1)


class EntryVm:
    """Receive announcements and issue numbered tokens."""

    def __init__(self) -> None:
        self.issued: dict[str, float] = {}
        self.received: list[tuple[float, Announcement]] = []

    async def start(self) -> str:
        application = web.Application()
        application.router.add_post("/v1/announcement", self._on_announcement)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def _on_announcement(self, request: web.Request) -> web.Response:
        announcement = msgspec.json.decode(await request.read(), type=Announcement)
        self.received.append((time.monotonic(), announcement))
        token = f"t{len(self.issued)}"
        self.issued[token] = time.monotonic()
        return web.json_response({"token": token})

    def echoes(self) -> list[tuple[float, float, LogPosition]]:
        return [
            (at, self.issued[item.echo.token], item.echo.position)
            for at, item in self.received
            if item.echo is not None
        ]


@pytest.fixture
async def announced() -> AsyncIterator[tuple[StandinGroup, EntryVm]]:
    entry_vm = EntryVm()
    address = await entry_vm.start()
    group = await start_group(
        announce_to=[AnnouncementTarget(zone="zone-a", address=address)]
    )
    yield group, entry_vm
    await group.stop()
    await entry_vm.runner.cleanup()


async def test_echo_covers_every_write_acknowledged_before_its_token(announced):
    group, entry_vm = announced
    connection = await connect(group.primary())
    acknowledged = []
    for index in range(30):
        await run(connection, f"INSERT INTO orders VALUES ('o{index}', 1)")
        row = (await run(connection, "CALL cardamomshunt_await_majority(500)"))[0]
        acknowledged.append((time.monotonic(), LogPosition(row[0], row[1])))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    connection.close()
    echoes = entry_vm.echoes()
    assert len(echoes) > 3
    for _, issued, position in echoes:
        before = [item for at, item in acknowledged if at < issued]
        assert position >= max(before, default=LogPosition(0, 0))


async def test_old_primary_confirms_no_token_issued_after_the_fence(announced):
    group, entry_vm = announced
    old = group.primary()
    others = [item.settings.instance for item in group.replicas()]
    await wait_until(lambda: len(entry_vm.echoes()) > 0)
    # The old primary still reaches the entry VM, but no other instance.
    old.partition(set(others), set())
    for name in others:
        group.instances[name].partition({old.settings.instance}, set())
    group.fail_over(2, others)
    fenced_at = time.monotonic()
    await asyncio.sleep(0.4)
    name = old.settings.instance
    own = [item for _, item in entry_vm.received if item.instance == name]
    assert own[-1].role.value == "primary"
    late = [
        item
        for item in own
        if item.echo is not None and entry_vm.issued[item.echo.token] > fenced_at
    ]
    assert late == []


async def test_change_of_role_and_leaving_are_announced_at_once(announced):
    group, entry_vm = announced
    replica = group.replicas()[0]
    replica.set_leaving(True)
    await wait_until(
        lambda: any(item.is_leaving for _, item in entry_vm.received), 0.06
    )


async def test_a_late_reply_of_an_earlier_incarnation_does_not_count(group):
    # Otherwise the primary counts entries that a replica stored before it restarted
    # with an empty log, when a reply from before the restart arrives late.
    primary = group.primary().member
    name = next(iter(primary.peers))
    peer = primary.peers[name]
    await wait_until(lambda: peer.incarnation > 0)
    position, incarnation = peer.match_position, peer.incarnation
    late = AppendReply(
        instance=name,
        incarnation=incarnation - 1,
        term=primary.term,
        round=primary.round,
        is_accepted=True,
        is_counted=True,
        match_position=position + 100,
    )
    primary.on_reply(late)
    assert peer.incarnation == incarnation
    assert peer.match_position < position + 100
