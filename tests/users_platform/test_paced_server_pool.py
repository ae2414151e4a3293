"""Tests of a pool that follows the pace of its server, against the stand-in."""

import asyncio

import pytest
import pytest_asyncio
from cardamomshunt.fleet import AnswerKind, PaceReason, ServerPaces
from cardamomshunt_node._backend_connection import Reply, ServerLostError
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._paced_server_pool import PacedServerPool, answer_kind
from cardamomshunt_node._server_pool import ServerBusyError, ServerPool
from cardamomshunt_node._session_protocol import ErrorCode
from cardamomshunt_platform._lines import LineProtocol
from msgspec import structs
from standin import Group, LineServer, make_server_report

_PROTOCOL = LineProtocol()


class PacedServer:
    """One server and the pool of its connections, with its pace."""

    def __init__(self, server, n_connections):
        self.server = server
        report = structs.replace(make_server_report(1), server=server.name, n_slots=5)
        self.paces = ServerPaces("entry-1")
        self.paces._add(report)
        self.pace = self.paces.get(server.name)
        self.pool = PacedServerPool(
            _PROTOCOL,
            "db",
            server.name,
            server.address,
            lambda: n_connections,
            lambda: True,
            lambda: None,
            self.pace,
            self.paces,
            lambda team: 0,
        )

    async def run(self, request, priority=1, team="t1", timeout_ms=2_000.0):
        """Run a statement, as the runners of statements do."""
        deadline_ms = boot_ms() + timeout_ms
        connection = await self.pool.acquire(priority, deadline_ms, {}, team)
        sent_ms = boot_ms()
        try:
            reply = await connection.send(_PROTOCOL.statement(request, "READ k", None))
            self.pool.record_answer(
                connection, "read", priority, boot_ms() - sent_ms, reply
            )
            return reply
        finally:
            self.pool.release(connection)

    @property
    def requests(self):
        return [run.request for run in self.server.group.runs]


@pytest_asyncio.fixture
async def make_paced(network):
    """Return the function that makes the paced pool of a server that listens."""
    group = Group("db", 18_144)
    server = LineServer(group, "i-1", f"127.{network}.3.1", "z1")
    group.servers.append(server)
    server.is_primary = True
    await server.start()
    made = []

    def make(n_connections=1):
        made.append(PacedServer(server, n_connections))
        return made[-1]

    yield make
    for paced in made:
        paced.pool.close("the test is over")
    await server.stop()


async def test_waiting_statements_run_by_priority_and_team_in_turn(make_paced):
    # The pool served a team with many statements before one with a single statement.
    paced = make_paced()
    paced.server.work_s = 0.01
    first = asyncio.create_task(paced.run("first"))
    await asyncio.sleep(0.0)
    tasks = [
        asyncio.create_task(paced.run(name, priority, team))
        for name, priority, team in (
            ("a1", 1, "a"),
            ("a2", 1, "a"),
            ("a3", 1, "a"),
            ("b1", 1, "b"),
            ("urgent", 0, "c"),
        )
    ]
    await asyncio.gather(first, *tasks)
    assert paced.requests == ["first", "urgent", "a1", "b1", "a2", "a3"]


async def test_what_cannot_be_served_in_time_is_refused_at_once(make_paced):
    # Statements waited until their deadline, and were then refused.
    paced = make_paced()
    paced.server.work_s = 0.05
    tasks = [asyncio.create_task(paced.run(f"r{number}")) for number in range(12)]
    await asyncio.sleep(0.2)
    started_ms = boot_ms()
    with pytest.raises(ServerBusyError) as caught:
        await paced.run("late", timeout_ms=150.0)
    assert boot_ms() - started_ms < 50.0
    assert caught.value.retry_after_ms > 0
    await asyncio.gather(*tasks)
    assert "late" not in paced.requests


async def test_a_restricted_server_runs_one_statement_at_a_time_with_pauses(make_paced):
    paced = make_paced(n_connections=4)
    paced.pace.n_sharers = 20
    paced.pace.restart(boot_ms(), 2)
    started_ms = boot_ms()
    await asyncio.gather(*(paced.run(f"r{number}", 2) for number in range(4)))
    # 10 statements at full level, an eighth of it, for 20 VMs: a pause of 15 answers.
    assert boot_ms() - started_ms > 3 * 15 * 15.0
    assert paced.pool.counts.n_opened == 1


async def test_an_idle_transaction_does_not_hold_back_other_statements(make_paced):
    paced = make_paced(n_connections=3)
    paced.pace.n_sharers = 20
    paced.pace.restart(boot_ms(), 2)
    held = await paced.pool.acquire(2, boot_ms() + 2_000.0, {}, "t1")
    with pytest.raises(ServerBusyError):
        await paced.run("held back", 2, timeout_ms=200.0)
    reply = await held.send(_PROTOCOL.begin(False, None))
    paced.pool.record_answer(held, "begin", 2, 1.0, reply)
    await paced.run("other", 2)
    paced.pool.release(held)


@pytest.mark.parametrize("has_closed", [False, True])
async def test_uses_end_with_the_statement(make_paced, has_closed):
    # A use that is never ended blocks the server for good.
    paced = make_paced()
    paced.server.work_s = 0.02
    tasks = [asyncio.create_task(paced.run(f"r{number}")) for number in range(5)]
    await asyncio.sleep(0.01)
    tasks[0].cancel()
    tasks[3].cancel()
    if has_closed:
        await asyncio.sleep(0.015)
        paced.server.abort_connections()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert sum(isinstance(item, Reply) for item in results) >= 2
    await paced.run("last")
    assert paced.pool._n_uses == 0
    assert paced.pool.load == 0


async def test_statements_that_wait_fail_when_the_pool_closes(make_paced):
    # They would otherwise wait until their deadline, although there is a new primary.
    paced = make_paced()
    paced.server.work_s = 0.2
    tasks = [asyncio.create_task(paced.run(f"r{number}")) for number in range(3)]
    await asyncio.sleep(0.05)
    paced.pool.close("the primary is being replaced")
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(item, ServerLostError) for item in results)


@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (None, AnswerKind.FAILED),
        (Reply(is_complete=True), AnswerKind.ANSWERED),
        (Reply(code=ErrorCode.BUSY), AnswerKind.REFUSED),
        # An answer without work is fast and would make all others look slow.
        (Reply(code=ErrorCode.LAGGING), AnswerKind.UNCOUNTED),
        (Reply(code=ErrorCode.FAILED), AnswerKind.FAILED),
    ],
)
def test_answers_say_what_they_mean_for_the_server(reply, kind):
    assert answer_kind(reply) is kind


def _make_view(is_load_managed):
    view = FleetView("entry-1", "z1", _PROTOCOL, is_load_managed)
    for number in (1, 2, 3):
        view.merge_report(make_server_report(number))
    return view


async def test_without_load_management_pools_and_messages_are_as_before():
    view = _make_view(False)
    pool = view.pool(view.registry.get("i-1", "db"))
    assert type(pool) is ServerPool
    assert view.pace_report() is None
    assert view.adapt_paces() == []


async def test_a_restarted_server_gets_a_slow_start_at_a_new_pool():
    view = _make_view(True)
    assert {change.reason for change in view.adapt_paces()} >= {PaceReason.NEW}
    assert view.pace_levels() == {"i-1": 0.5, "i-2": 0.5, "i-3": 0.5}
    restarted = structs.replace(
        make_server_report(1), started_ms=2, address="127.0.0.1:9", warm_up_ms=3_000.0
    )
    view.merge_report(restarted)
    assert view.pace_levels()["i-1"] < 0.2
    change = view.adapt_paces()[0]
    assert change.reason is PaceReason.WARM_UP
    assert change.is_notable
    assert isinstance(view.pool(restarted), PacedServerPool)


def _level(deployment, node, server="i-1"):
    return deployment.entries[node]._view.pace_levels()[server]


@pytest.mark.parametrize(
    "deployment", [{"zone": "z1", "is_load_managed": True}], indirect=True
)
async def test_a_failing_server_is_known_in_the_zone_and_regains_its_share(deployment):
    # Guards against a limit that one VM alone learns, and that stays after a recovery.
    replica = next(item for item in deployment.group.servers if item.name == "i-1")

    async def read():
        while True:
            await deployment.execute_until_success("entry-1", "stock", "READ k1")
            await asyncio.sleep(0.02)

    callers = [asyncio.create_task(read()) for _ in range(6)]
    try:
        await deployment.until(lambda: _level(deployment, "entry-1") == 1.0, 20.0)
        await deployment.until(lambda: _level(deployment, "entry-2") == 1.0, 20.0)
        replica.lost_share = 1.0
        for node in ("entry-1", "entry-2"):
            await deployment.until(lambda node=node: _level(deployment, node) < 1.0)
        replica.lost_share = 0.0
        for node in ("entry-1", "entry-2"):
            await deployment.until(
                lambda node=node: _level(deployment, node) == 1.0, timeout_s=20.0
            )
    finally:
        for task in callers:
            task.cancel()
    events = deployment.events("entry-1")
    found = [
        item["level"]
        for item in events
        if item["event"] == "server_pace" and item["server"] == "i-1"
    ]
    assert min(found) < 1.0
    assert found[-1] == 1.0
