"""Random faults on a stand-in group: writes that a majority acknowledged survive."""

import asyncio
import random

import pytest
from cardamomshunt_node.mysql_server import ServerError
from cardamomshunt_testing._standin_group import StandinGroup, group_settings

SCHEMA = ["CREATE TABLE orders (order_id TEXT)"]
_N_STEPS = 40
# Faults go on for this long where syncs are slow, so that enough is acknowledged.
_N_STEPS_MAX = 400
_N_ACKNOWLEDGED_MIN = 20


class Writer:
    """Write to each instance that claims to be primary; record acknowledged writes."""

    def __init__(self, group: StandinGroup):
        self.group = group
        self.acknowledged: list[str] = []
        self._next_id = 0

    async def run(self) -> None:
        while True:
            for instance in list(self.group.instances.values()):
                if instance.is_primary and instance.faults.running.is_set():
                    await self._write(instance.member)
            await asyncio.sleep(0.001)

    async def _write(self, member) -> None:
        if not member.is_ready.is_set():
            return
        self._next_id += 1
        order_id = f"o{self._next_id}"
        try:
            member.check_writable(None)
            _, position = member.commit([], f"INSERT INTO orders VALUES ('{order_id}')")
            if await member.await_majority(position, 30):
                self.acknowledged.append(order_id)
        except ServerError:
            return


async def inject_random_fault(group: StandinGroup, source: random.Random) -> None:
    name = source.choice(list(group.settings))
    fault = source.choice(["cut", "freeze", "kill", "heal", "heal"])
    instance = group.instances[name]
    if fault == "cut":
        others = set(source.sample(sorted(instance.member.peers), 1))
        instance.partition(others, set())
    elif fault == "freeze":
        instance.freeze()
    elif fault == "kill" and may_lose_log(group, name):
        await group.kill(name)
        await group.start_instance(name)
    else:
        for item in group.instances.values():
            item.end_partitions()
            item.thaw()


def may_lose_log(group: StandinGroup, name: str) -> bool:
    """Return whether the instance may lose its log: only one may be lost at a time."""
    others = [item for key, item in group.instances.items() if key != name]
    is_persistent = group.settings[name].data_folder is not None
    return is_persistent or not any(item.member.is_recovering for item in others)


def fail_over_if_needed(group: StandinGroup, source: random.Random) -> None:
    reachable = [
        name
        for name, item in group.instances.items()
        if item.faults.running.is_set() and not item.member.is_recovering
    ]
    if len(reachable) < 2 or source.random() < 0.5:
        return
    chosen = source.sample(reachable, 2)
    term = max(item.member.term for item in group.instances.values()) + 1
    group.fail_over(term, chosen)


async def end_faults_and_converge(group: StandinGroup) -> None:
    """End all faults and wait until all instances have applied one log."""
    for item in group.instances.values():
        item.end_partitions()
        item.thaw()
    ready = [
        name for name, item in group.instances.items() if not item.member.is_recovering
    ]
    term = max(item.member.term for item in group.instances.values()) + 1
    primary = group.fail_over(term, ready)
    async with asyncio.timeout(10):
        while any(
            item.member.applied_position != primary.member.log.end
            or item.member.is_recovering
            for item in group.instances.values()
        ):
            await asyncio.sleep(0.01)


def rows_of(group: StandinGroup) -> list[list[str]]:
    sql = "SELECT order_id FROM orders ORDER BY order_id"
    return [
        [row[0] for row in item.member.engine.read(sql).rows]
        for item in group.instances.values()
    ]


@pytest.mark.parametrize("seed", range(4))
async def test_acknowledged_writes_survive_random_faults(seed, tmp_path):
    source = random.Random(seed)
    settings = group_settings(
        "orders",
        ["zone-a"],
        schema=SCHEMA,
        rejoin_quarantine_ms=60.0,
        first_start_timeout_ms=200.0,
    )
    if seed % 2:
        for item in settings:
            item.data_folder = str(tmp_path / item.instance)
    group = StandinGroup(settings)
    await group.start()
    writer = Writer(group)
    task = asyncio.create_task(writer.run())
    n_steps = 0
    while n_steps < _N_STEPS or (
        len(writer.acknowledged) <= _N_ACKNOWLEDGED_MIN and n_steps < _N_STEPS_MAX
    ):
        n_steps += 1
        await asyncio.sleep(source.uniform(0.005, 0.04))
        await inject_random_fault(group, source)
        fail_over_if_needed(group, source)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await end_faults_and_converge(group)
    states = rows_of(group)
    truncated = [item.member.n_committed_truncated for item in group.instances.values()]
    await group.stop()
    assert len(writer.acknowledged) > _N_ACKNOWLEDGED_MIN
    assert states[0] == states[1] == states[2]
    assert sorted(set(writer.acknowledged) - set(states[0])) == []
    assert truncated == [0, 0, 0]


async def test_promotion_without_a_fenced_majority_is_caught():
    group = StandinGroup(group_settings("orders", ["zone-a"], schema=SCHEMA))
    await group.start()
    primary = group.primary()
    behind, up_to_date = group.replicas()
    primary.partition({behind.settings.instance}, set())
    _, position = primary.member.commit([], "INSERT INTO orders VALUES ('o1')")
    assert await primary.member.await_majority(position, 1_000)
    async with asyncio.timeout(2):
        while up_to_date.member.committed < position.position:
            await asyncio.sleep(0.01)
    behind.member.fence(2)
    behind.member.promote(2)
    async with asyncio.timeout(2):
        while not up_to_date.member.n_committed_truncated:
            await asyncio.sleep(0.01)
    await group.stop()
