"""Slow disks and failed elections show in the log and in the metrics."""

import asyncio
import json
import os
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from cardamomshunt.consensus import Member, Vote
from cardamomshunt.control_effects import EmitEvent, PersistVote
from cardamomshunt.events import EventNumber
from cardamomshunt_node import _storage_task, _storage_watch
from cardamomshunt_node._consensus_host import ConsensusHost
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._log_storage import LogStorage, StorageFullError
from cardamomshunt_node._storage_task import StorageTask, WriteTimes
from cardamomshunt_node._storage_watch import StorageWatch
from cardamomshunt_node._stream_transport import StreamTransport
from cardamomshunt_testing._ports import free_ports

_ELECTION_EVENTS = [
    EventNumber.LEADER_ELECTED,
    EventNumber.LEADER_STEPPED_DOWN,
    EventNumber.ELECTION_STARTED,
    EventNumber.ELECTION_FAILED,
    EventNumber.PRE_VOTE_FAILED,
]


class _Clock:
    """Clock of the storage task, which only a write or a test advances."""

    def __init__(self) -> None:
        self.now_ms = 5_000.0

    def read(self) -> float:
        return self.now_ms


class _FakeStorage:
    """Storage whose writes take a given time each, fail, or block until released."""

    def __init__(self, clock: _Clock) -> None:
        self._clock = clock
        self.write_times_ms: list[float] = []
        self.errors: list[OSError | StorageFullError] = []
        self.is_released = threading.Event()
        self.is_released.set()

    def write(self, effects: list[PersistVote]) -> int:
        assert self.is_released.wait(60.0)
        if self.write_times_ms:
            self._clock.now_ms += self.write_times_ms.pop(0)
        if self.errors:
            raise self.errors.pop(0)
        return effects[-1].sequence


class _Site:
    """Storage task on a fake storage, with its log and metrics."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = _Clock()
        monkeypatch.setattr(_storage_task, "boot_ms", self.clock.read)
        monkeypatch.setattr(_storage_watch, "boot_ms", self.clock.read)
        # The timer of a stall runs on the clock of the event loop.
        monkeypatch.setattr(_storage_task, "_STALLED_WRITE_MS", 1e9)
        self.storage = _FakeStorage(self.clock)
        self.metrics = ControlMetrics()
        self._reader, self._writer = os.pipe()
        self.log = DecisionLog("control-1", self._writer)
        self.watch = StorageWatch(self.log, self.metrics.storage)
        self.reports: asyncio.Queue[object] = asyncio.Queue()
        self.task = StorageTask(
            self.storage,  # type: ignore[arg-type]
            self.reports.put_nowait,
            self.watch.observe,
        )
        self._n_effects = 0

    def put(self) -> None:
        self._n_effects += 1
        self.task.put(PersistVote(sequence=self._n_effects, vote=Vote()))

    async def write_each(self) -> None:
        """Write the effects of a test one by one."""
        runner = asyncio.create_task(self.task.run())
        for _ in range(len(self.storage.write_times_ms)):
            self.put()
            await self.reports.get()
        await _cancel(runner)

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self._reader, False)
        try:
            data = os.read(self._reader, 1_000_000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def series(self, name: str) -> float:
        return _series(self.metrics, name)

    def close(self) -> None:
        os.close(self._reader)
        os.close(self._writer)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _series(metrics: ControlMetrics, name: str) -> float:
    for line in metrics.render().decode().splitlines():
        if line.startswith(f"cardamomshunt_{name} "):
            return float(line.rpartition(" ")[2])
    raise AssertionError(name)


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Iterator[_Site]:
    site = _Site(monkeypatch)
    yield site
    site.close()


@pytest.mark.parametrize(
    ("write_times_ms", "logged_ms", "n_at_most_100_ms"),
    [
        ([0.5, 1.0, 2.0] * 20, [], 60),
        ([100.0], [], 1),
        ([100.1], [100.1], 0),
        ([2.0, 250.0, 2.0], [250.0], 2),
        ([150.0] * 10, [150.0, 150.0], 0),
        ([700.0] * 4, [700.0, 700.0], 0),
    ],
    ids=["calm", "limit", "slow", "one_of_three", "all_slow", "very_slow"],
)
async def test_a_slow_write_shows(
    site: _Site,
    write_times_ms: list[float],
    logged_ms: list[float],
    n_at_most_100_ms: int,
) -> None:
    """Guards against an incident that does not show whether disks are slow.

    Lines are one a second at most, however many writes are slow.
    """
    site.storage.write_times_ms = list(write_times_ms)
    await site.write_each()
    lines = site.lines()
    assert {line["event"] for line in lines} <= {"slow_write"}
    assert [line["elapsed_ms"] for line in lines] == logged_ms
    n_at_most = site.series('storage_write_ms_bucket{le="100.0"}')
    assert n_at_most == n_at_most_100_ms
    assert site.series("storage_write_ms_count") == len(write_times_ms)
    assert site.series("storage_write_ms_sum") == pytest.approx(sum(write_times_ms))


async def test_a_line_counts_the_slow_writes_without_one(site: _Site) -> None:
    """Guards against a limit of lines that hides how many writes were slow."""
    site.storage.write_times_ms = [150.0] * 8
    await site.write_each()
    assert [line["n_unlogged"] for line in site.lines()] == [0, 6]


async def test_a_batch_is_measured_as_one_write(site: _Site) -> None:
    """Guards against a wait that counts as slowness of the disk, and the reverse."""
    site.put()
    site.clock.now_ms += 40.0
    site.put()
    site.clock.now_ms += 30.0
    assert site.task.oldest_age_ms == 70.0
    site.storage.write_times_ms = [200.0]
    runner = asyncio.create_task(site.task.run())
    await site.reports.get()
    await _cancel(runner)
    [line] = site.lines()
    fields = {name: line[name] for name in ("elapsed_ms", "waited_ms", "n_effects")}
    assert fields == {"elapsed_ms": 200.0, "waited_ms": 70.0, "n_effects": 2}
    assert site.task.oldest_age_ms == 0.0
    assert site.task.is_idle


@pytest.mark.parametrize("error", [None, OSError("input/output error")])
async def test_a_stalled_write_shows_before_it_ends(
    site: _Site, monkeypatch: pytest.MonkeyPatch, error: OSError | None
) -> None:
    """Guards against a disk that hangs without a line or a metric."""
    monkeypatch.setattr(_storage_task, "_STALLED_WRITE_MS", 20.0)
    site.storage.is_released.clear()
    site.put()
    runner = asyncio.create_task(site.task.run())
    try:
        stalled = await _await_lines(site)
        site.clock.now_ms += 60_000.0
        assert site.task.oldest_age_ms == 60_000.0
        # Many times the time of a stall, which has one line.
        await asyncio.sleep(0.2)
        assert site.lines() == []
        if error is not None:
            site.storage.errors.append(error)
        site.storage.is_released.set()
        await site.reports.get()
    finally:
        site.storage.is_released.set()
        await _cancel(runner)
    assert [line["event"] for line in stalled] == ["write_stalled"]
    [ended] = site.lines()
    assert (ended["event"], ended["n_effects"]) == ("slow_write", 1)
    assert site.series("storage_write_ms_count") == 1.0
    # The write of a broken disk never becomes durable.
    assert site.task.oldest_age_ms == (0.0 if error is None else 60_000.0)


async def _await_lines(site: _Site) -> list[dict[str, object]]:
    while True:
        lines = site.lines()
        if lines:
            return lines
        await asyncio.sleep(0.01)


def test_lines_are_bounded_while_writes_are_slow_and_stall(site: _Site) -> None:
    """Guards against a log that a slow disk fills."""
    n_seconds = 60
    end_ms = site.clock.now_ms + n_seconds * 1_000.0
    while site.clock.now_ms < end_ms:
        for elapsed_ms in (101.0, 150.0, 300.0, 999.0):
            site.clock.now_ms += elapsed_ms
            site.watch.observe(WriteTimes(1, 0.0, elapsed_ms, is_ended=True))
        site.clock.now_ms += 1_000.0
        site.watch.observe(WriteTimes(1, 0.0, 1_000.0, is_ended=False))
        site.watch.observe(WriteTimes(1, 0.0, 1_000.0, is_ended=True))
    lines = site.lines()
    assert 0 < len(lines) <= 3 * n_seconds


async def test_a_full_disk_ages_the_oldest_write(
    site: _Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against retries of a full disk that look like new writes."""
    monkeypatch.setattr(_storage_task, "_FULL_RETRY_S", 0.0)
    site.storage.errors.append(StorageFullError("no space left"))
    site.storage.write_times_ms = [150.0, 350.0]
    site.put()
    runner = asyncio.create_task(site.task.run())
    await site.reports.get()
    assert not site.task.is_idle
    assert site.task.oldest_age_ms >= 150.0
    await site.reports.get()
    await _cancel(runner)
    assert site.task.oldest_age_ms == 0.0
    assert site.series("storage_write_ms_count") == 2.0


@pytest.fixture
def open_host(tmp_path: Path) -> Iterator[Callable[[], tuple[ConsensusHost, _Site]]]:
    """Return a function that opens a host that is its own group."""
    storage = LogStorage(tmp_path / "log")
    patch = pytest.MonkeyPatch()
    site = _Site(patch)
    patch.undo()

    def open_once() -> tuple[ConsensusHost, _Site]:
        [port] = free_ports(1)
        address = f"127.0.0.1:{port}"
        host = ConsensusHost(
            "control-1",
            [
                Member(
                    node="control-1", zone="", peer_address=address, operator_address=""
                )
            ],
            storage.open(1),
            storage,
            StreamTransport("control-1", address, lambda message: None),
            site.log,
            site.metrics,
            lambda index, payload: True,
            lambda data: None,
            lambda: b"",
            "",
            True,
            0,
            None,
        )
        return host, site

    yield open_once
    storage.close()
    site.close()


@pytest.mark.parametrize("number", [*_ELECTION_EVENTS, EventNumber.DISK_FULL])
async def test_counters_follow_the_events(
    open_host: Callable[[], tuple[ConsensusHost, _Site]], number: EventNumber
) -> None:
    """Guards against an election that fails without a trace in the metrics."""
    host, site = open_host()
    before = {other: _count(site, other) for other in _ELECTION_EVENTS}
    assert set(before.values()) == {0.0}
    host._run_effects([EmitEvent(number=number, subject="control-1")] * 3)
    assert _count(site, number) == 3.0
    assert [line["event"] for line in site.lines()] == [number.name.lower()] * 3
    others = [other for other in _ELECTION_EVENTS if other is not number]
    assert [_count(site, other) for other in others] == [0.0] * len(others)


async def test_an_election_on_a_real_disk_is_counted(
    open_host: Callable[[], tuple[ConsensusHost, _Site]],
) -> None:
    """Guards against a host whose metrics are not those that are served."""
    host, site = open_host()
    host.start()
    try:
        while not host.may_act:
            await asyncio.sleep(0.01)
    finally:
        await host.stop()
    events = [line["event"] for line in site.lines()]
    for number in _ELECTION_EVENTS:
        assert _count(site, number) == events.count(number.name.lower())
    assert _count(site, EventNumber.LEADER_ELECTED) >= 1.0
    assert site.series("storage_write_ms_count") >= 1.0


def _count(site: _Site, number: EventNumber) -> float:
    return site.series(f'events_total{{number="{int(number)}"}}')
