"""Tests of a pool's connections by team, against the stand-in of a server."""

import asyncio
import random

import pytest
import pytest_asyncio
from cardamomshunt_node._backend_connection import ServerLostError
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._server_pool import ServerBusyError, ServerPool
from cardamomshunt_platform._lines import LineProtocol
from standin import Group, LineServer

_PROTOCOL = LineProtocol()
_N_CONNECTIONS = 3
_NAME_WITHOUT_TEAM = "cardamomshunt"


class PooledServer:
    """One server and the pool of its connections."""

    def __init__(self, server, n_connections=_N_CONNECTIONS, has_teams=True):
        self.server = server
        self.runs = server.group.runs
        self.pool = ServerPool(
            _PROTOCOL,
            "db",
            server.name,
            server.address,
            lambda: n_connections,
            lambda: has_teams,
        )

    async def run(self, team, request, priority=1, timeout_ms=2_000.0):
        """Run a statement on a connection of a team."""
        deadline_ms = boot_ms() + timeout_ms
        connection = await self.pool.acquire(priority, deadline_ms, {}, team)
        try:
            return await connection.send(_PROTOCOL.statement(request, "READ k1", None))
        finally:
            self.pool.release(connection)

    @property
    def requests(self):
        return [run.request for run in self.runs]

    @property
    def idle_teams(self):
        return [connection.team for connection in self.pool._idle]

    async def until(self, condition):
        async with asyncio.timeout(3.0):
            while not condition():
                await asyncio.sleep(0.01)


@pytest_asyncio.fixture
async def make_pooled(network):
    """Return the function that makes the pool of a server that listens."""
    group = Group("db", 18_143)
    server = LineServer(group, "i-1", f"127.{network}.3.1", "z1")
    group.servers.append(server)
    server.is_primary = True
    await server.start()
    made = []

    def make(**options):
        made.append(PooledServer(server, **options))
        return made[-1]

    yield make
    for pooled in made:
        pooled.pool.close("the test is over")
    await server.stop()


def start(work):
    return asyncio.get_running_loop().create_task(work)


@pytest.mark.parametrize("seed", range(4))
async def test_no_statement_runs_on_a_connection_of_another_team(make_pooled, seed):
    # Guards against a hand-over between teams, also while callers leave, connections
    # are lost and the server is full.
    pooled = make_pooled()
    source = random.Random(seed)
    pooled.server.open_s = 0.003
    teams = ["", *(f"t{number}" for number in range(8))]

    async def call(number):
        await asyncio.sleep(source.uniform(0.0, 1.0))
        team = source.choice(teams)
        timeout_ms = source.choice([20.0, 100.0, 2_000.0])
        task = start(
            pooled.run(team, f"{team}-{number}", source.randrange(3), timeout_ms)
        )
        if source.random() < 0.1:
            await asyncio.sleep(source.uniform(0.0, 0.05))
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def disturb():
        for _ in range(8):
            await asyncio.sleep(0.12)
            pooled.server.n_connections_max = source.choice([1, 2, 100])
            if source.random() < 0.4:
                pooled.server.abort_connections()
        pooled.server.n_connections_max = 100

    await asyncio.gather(disturb(), *(call(number) for number in range(300)))
    assert len(pooled.runs) > 100
    for run in pooled.runs:
        assert run.team == (run.request.split("-")[0] or _NAME_WITHOUT_TEAM)
    assert len(pooled.pool._open) <= _N_CONNECTIONS
    assert not pooled.pool._waiters
    assert not pooled.pool._in_use


async def test_single_statements_are_served_beside_a_busy_team(make_pooled):
    # Guards against a team with a long queue that keeps all connections.
    pooled = make_pooled()
    pooled.server.work_s = 0.02
    busy = [start(pooled.run("busy", f"busy-{number}")) for number in range(90)]
    await asyncio.sleep(0.05)
    single = [pooled.run(f"t{number}", f"t{number}", 1, 400.0) for number in range(3)]
    assert all(reply.is_success for reply in await asyncio.gather(*single))
    assert any(not task.done() for task in busy)
    await asyncio.gather(*busy)


async def test_without_teams_one_connection_serves_by_priority_and_arrival(make_pooled):
    # Guards against a change of the order for deployments without teams.
    pooled = make_pooled(n_connections=1, has_teams=False)
    tasks = [start(pooled.run("", "first"))]
    await asyncio.sleep(0)
    for request, priority in [("c", 2), ("a1", 0), ("b", 1), ("a2", 0)]:
        tasks.append(start(pooled.run("", request, priority)))
    await asyncio.gather(*tasks)
    assert pooled.requests == ["a1", "a2", "first", "b", "c"]
    assert (pooled.pool.n_opened, pooled.pool.n_evicted) == (1, 0)


async def test_a_full_server_is_tried_again(make_pooled):
    # Guards against waiters that fail at a full server, which is alive.
    pooled = make_pooled()
    pooled.server.n_connections_max = 0
    tasks = [start(pooled.run(team, team)) for team in ("a", "b")]
    await asyncio.sleep(0.2)
    assert not pooled.pool.is_down(boot_ms())
    pooled.server.n_connections_max = 100
    assert all(reply.is_success for reply in await asyncio.gather(*tasks))


async def test_a_full_server_makes_room_by_an_idle_connection(make_pooled):
    # Guards against statements that are refused beside an idle connection of the VM.
    pooled = make_pooled()
    await pooled.run("a", "a")
    pooled.server.n_connections_max = 1
    assert (await pooled.run("b", "b", timeout_ms=600.0)).is_success
    assert pooled.pool.n_evicted == 1


async def test_a_team_waits_at_a_full_server_until_its_deadline(make_pooled):
    # Guards against a full server that is taken for a dead one.
    pooled = make_pooled()
    pooled.server.n_connections_max = 0
    with pytest.raises(ServerBusyError):
        await pooled.run("a", "a", timeout_ms=150.0)


async def test_a_waiter_is_served_by_another_connection_of_its_team(make_pooled):
    # Guards against a waiter that is bound to the connection that was opened for it.
    pooled = make_pooled()
    pooled.server.work_s = 0.05
    first = start(pooled.run("a", "a1"))
    await pooled.until(lambda: pooled.pool._in_use)
    pooled.server.n_connections_max = 1
    assert (await pooled.run("a", "a2", timeout_ms=400.0)).is_success
    await first
    assert pooled.pool.n_opened == 1


@pytest.mark.parametrize("n_connections", [1, 3])
async def test_a_team_whose_opening_fails_fails_alone(make_pooled, n_connections):
    # Guards against statements that fail for the connection of another team.
    pooled = make_pooled(n_connections=n_connections)
    pooled.server.denied_teams.add("a")
    results = await asyncio.gather(
        *(pooled.run(team, f"{team}{n}") for n in (1, 2) for team in ("a", "b")),
        return_exceptions=True,
    )
    assert [isinstance(item, ServerLostError) for item in results] == [True, False] * 2
    assert not pooled.pool.is_down(boot_ms())


async def test_an_eviction_whose_opening_fails_costs_one_connection(make_pooled):
    # Guards against a team that gets no connection after it lost one to a failure.
    pooled = make_pooled(n_connections=1)
    await pooled.run("b", "b1")
    pooled.server.denied_teams.add("a")
    with pytest.raises(ServerLostError):
        await pooled.run("a", "a1")
    assert (pooled.pool.n_evicted, len(pooled.pool._open)) == (1, 0)
    assert (await pooled.run("b", "b2")).is_success


async def test_a_replacement_that_fails_does_not_fail_those_that_wait(make_pooled):
    # Guards against waiters without a connection after theirs was closed for a better
    # waiter whose opening then failed.
    pooled = make_pooled(n_connections=1)
    pooled.server.work_s = 0.03
    tasks = [start(pooled.run("b", f"b{number}")) for number in range(3)]
    await pooled.until(lambda: pooled.pool._in_use)
    pooled.server.denied_teams.add("a")
    with pytest.raises(ServerLostError):
        await pooled.run("a", "a1", priority=0)
    assert all(reply.is_success for reply in await asyncio.gather(*tasks))


async def test_a_lost_connection_is_replaced_for_those_that_wait(make_pooled):
    # Guards against waiters of all teams that wait for a connection that is gone.
    pooled = make_pooled(n_connections=1)
    pooled.server.work_s = 0.1
    lost = start(pooled.run("a", "a1"))
    await pooled.until(lambda: pooled.pool._in_use)
    tasks = [start(pooled.run(team, team)) for team in ("b", "c")]
    await asyncio.sleep(0.02)
    pooled.server.abort_connections()
    with pytest.raises(ServerLostError):
        await lost
    assert all(reply.is_success for reply in await asyncio.gather(*tasks))


async def test_an_opening_serves_another_team_once_its_waiters_left(make_pooled):
    # Guards against a connection that is opened for nobody while others wait.
    pooled = make_pooled(n_connections=1)
    pooled.pool.connect_after_ms = boot_ms() + 100.0
    left = start(pooled.run("a", "a"))
    await asyncio.sleep(0)
    waits = start(pooled.run("b", "b"))
    await asyncio.sleep(0.01)
    left.cancel()
    assert (await waits).is_success
    assert pooled.pool.n_opened == 1


async def test_an_opening_ends_with_its_pool(make_pooled):
    # Guards against connections that stay open at a server whose pool was closed.
    pooled = make_pooled()
    pooled.server.open_s = 0.05
    waits = start(pooled.run("a", "a"))
    await pooled.until(lambda: pooled.server.n_connections)
    pooled.pool.close("the server moved")
    with pytest.raises(ServerLostError):
        await waits
    await pooled.until(lambda: not pooled.server.n_connections)


@pytest.mark.parametrize(("has_teams", "idle"), [(True, []), (False, [""])])
async def test_a_probe_leaves_no_connection_without_a_team(
    make_pooled, has_teams, idle
):
    # Guards against scarce connections that no statement may use.
    pooled = make_pooled(has_teams=has_teams)
    pooled.pool.down_since_ms = boot_ms()
    pooled.pool.probe()
    await pooled.until(lambda: pooled.pool.n_opened)
    assert pooled.pool.down_since_ms is None
    assert pooled.idle_teams == idle


@pytest.mark.parametrize(("is_newest_kept", "kept"), [(False, []), (True, ["b"])])
async def test_idle_connections_of_teams_stay_until_others_need_them(
    make_pooled, is_newest_kept, kept
):
    # Guards against a short idle timeout, after which a team never finds its connection
    # again, and against a long one while the server is full.
    pooled = make_pooled()
    for team in ("a", "b"):
        await pooled.run(team, team)
    await asyncio.sleep(0.4)
    pooled.pool.close_idle(is_newest_kept)
    assert pooled.idle_teams == ["a", "b"]
    pooled.pool.shorten_idle_timeout()
    pooled.pool.close_idle(is_newest_kept)
    assert pooled.idle_teams == kept
