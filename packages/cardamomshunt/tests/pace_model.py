"""Queueing calculation of entry VMs of one zone that use the servers of one group."""

import heapq
import itertools
import zlib
from collections import Counter
from dataclasses import dataclass, field

from cardamomshunt.fleet import (
    AnswerKind,
    FailureRate,
    ReadCandidate,
    RefusalHistory,
    ServerGate,
    ServerPaces,
    ServerReport,
    ServerState,
    ZonePaces,
    order_of_reads,
)
from cardamomshunt.messages import InstanceRole

EXCHANGE_MS = 250.0
N_WAITING_MAX = 30
REFUSED_ANSWER_MS = 1.0
RETRY_PAUSE_MS = 24.0


@dataclass
class Load:
    """Statements that arrive evenly in time, at the VMs in turn."""

    name: str
    per_s: float
    work_ms: float
    objective_ms: float
    priority: int = 0
    team: str = "t"
    since_ms: float = 0.0
    until_ms: float = 8_000.0


@dataclass
class ModelServer:
    """Server with slots and a bounded queue; `factor` multiplies its work."""

    name: str
    n_slots: int = 5
    factor: object = lambda server, now_ms: 1.0
    fails: object = lambda server, now_ms: False
    free_ms: list = field(default_factory=list)
    starts_ms: list = field(default_factory=list)
    busy_ms: float = 0.0

    def answer(self, now_ms, work_ms):
        """Return when the answer to a statement comes, and what it is."""
        if self.fails(self, now_ms):
            return now_ms + REFUSED_ANSWER_MS, AnswerKind.FAILED
        self.starts_ms = [item for item in self.starts_ms if item > now_ms]
        if len(self.starts_ms) >= N_WAITING_MAX:
            return now_ms + REFUSED_ANSWER_MS, AnswerKind.REFUSED
        self.free_ms = self.free_ms or [0.0] * self.n_slots
        start_ms = max(now_ms, heapq.heappop(self.free_ms))
        end_ms = start_ms + work_ms * self.factor(self, start_ms)
        heapq.heappush(self.free_ms, end_ms)
        self.starts_ms.append(start_ms)
        self.busy_ms += end_ms - start_ms
        return end_ms, AnswerKind.ANSWERED


@dataclass
class _Statement:
    load: Load
    vm: int
    arrived_ms: float
    server: ModelServer | None = None
    use: object = None
    sent_ms: float = 0.0
    failed: set = field(default_factory=set)


class Zone:
    """Entry VMs with or without the limit; `timely` counts answers in time by load."""

    def __init__(
        self, servers, loads, n_vms=21, is_limited=True, n_connections=2, started_ms=0
    ):
        self.servers = {server.name: server for server in servers}
        self.loads, self.n_vms, self.is_limited = loads, n_vms, is_limited
        self.n_connections = n_connections
        self.timely, self.arrived = Counter(), Counter()
        self.refused, self.used, self.failed = Counter(), Counter(), Counter()
        self.samples = ZonePaces()
        self.changes = []
        self._events, self._numbers = [], itertools.count()
        self.paces = [ServerPaces(f"vm-{number}") for number in range(n_vms)]
        self.gates, self._health = {}, {}
        self.n_at, self._fifo = Counter(), {}
        for name in self.servers:
            self.report(name, 0.0, started_ms)
        for vm, name in itertools.product(range(n_vms), self.servers):
            pace = self.paces[vm].get(name)
            pace.n_sharers = n_vms
            self.gates[vm, name] = ServerGate(pace)
            self._health[vm, name] = FailureRate(), RefusalHistory()

    def report(self, name, now_ms, started_ms, warm_up_ms=0.0):
        """Send a server's report to all VMs; without the limit it changes nothing."""
        report = ServerReport(
            server=name,
            group="g",
            address="",
            zone="z",
            state=ServerState.READY,
            role=InstanceRole.REPLICA,
            started_ms=started_ms,
            sequence=1,
            n_slots=self.servers[name].n_slots,
            warm_up_ms=warm_up_ms,
        )
        for paces in self.paces:
            if paces.get(name) is None:
                paces._add(report)
            elif self.is_limited:
                paces.on_report(report, now_ms)

    def at(self, time_ms, call, *values):
        """Call a function at a time."""
        heapq.heappush(self._events, (time_ms, next(self._numbers), call, values))

    def run(self, until_ms):
        """Run all events until a time; return the shares of timely answers by load."""
        for load in self.loads:
            n_all = int((load.until_ms - load.since_ms) * load.per_s / 1_000.0)
            for number in range(n_all):
                time_ms = load.since_ms + number * 1_000.0 / load.per_s
                vm = (number * 8 + zlib.crc32(load.name.encode())) % self.n_vms
                item = _Statement(load, vm, time_ms)
                self.at(time_ms, self._arrive, item)
        for number in range(int(until_ms / EXCHANGE_MS)):
            self.at(number * EXCHANGE_MS, self._exchange)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, call, values = heapq.heappop(self._events)
            call(*values)
        return {
            name: round(self.timely[name] / n_all, 2)
            for name, n_all in self.arrived.items()
        }

    def _exchange(self):
        for vm, paces in enumerate(self.paces):
            self.samples.receive(f"vm-{vm}", paces.report(self.now_ms), self.now_ms)
            others = self.samples.of_others(f"vm-{vm}", self.now_ms)
            paces.receive(others, self.now_ms)
            if self.is_limited:
                self.changes += [
                    (self.now_ms, vm, item) for item in paces.adapt(self.now_ms, set())
                ]

    def _arrive(self, item):
        self.arrived[item.load.name] += not item.failed
        priority, now_ms = (item.load.priority, 0), self.now_ms
        for name in self._order(item):
            key = item.vm, name
            item.server = self.servers[name]
            if not self.is_limited:
                if self.n_at[key] < self.n_connections:
                    return self._send(item)
                waiting = self._fifo.setdefault(key, [])
                rank = item.load.priority, next(self._numbers)
                return heapq.heappush(waiting, (*rank, item))
            gate = self.gates[key]
            if gate.try_enter(priority, now_ms, self.n_at[key], self.n_connections):
                return self._send(item)
            deadline_ms = item.arrived_ms + item.load.objective_ms
            if gate.refuse_after_ms(priority, item.load.team, now_ms, deadline_ms):
                continue
            gate.queue.push(priority, item.load.team, item)
            return self._wake_later(key)
        self.refused[item.load.name] += 1
        return None

    def _order(self, item):
        found = []
        for name in self.servers:
            if name in item.failed:
                continue
            key = item.vm, name
            rate, refusals = self._health[key]
            pace = self.paces[item.vm].get(name)
            is_allowed = pace.allows(self.now_ms, item.load.priority)
            candidate = ReadCandidate(
                name,
                is_unreliable=rate.is_unreliable(self.now_ms),
                is_busy=refusals.should_avoid(self.now_ms) or not is_allowed,
                n_in_flight=self.n_at[key] + self.gates[key].queue.n_queued,
            )
            found.append(candidate)
        return order_of_reads(f"vm-{item.vm}", found, is_primary_reserved=False)

    def _send(self, item):
        name, key = item.server.name, (item.vm, item.server.name)
        self.n_at[key] += 1
        self.used[name] += 1
        item.use, item.sent_ms = (
            self.gates[key].pace.enter(item.load.priority),
            self.now_ms,
        )
        self.paces[item.vm].on_sent(name, item.use, self.now_ms)
        end_ms, kind = item.server.answer(self.now_ms, item.load.work_ms)
        self.at(end_ms, self._answer, item, kind)

    def _answer(self, item, kind):
        key = item.vm, item.server.name
        self.n_at[key] -= 1
        now_ms, load = self.now_ms, item.load
        elapsed_ms = now_ms - item.sent_ms
        self.gates[key].pace.leave(item.use, now_ms)
        self.paces[item.vm].on_answer(
            item.server.name, item.use, load.name, now_ms, elapsed_ms, kind
        )
        self.gates[key].on_answer((load.priority, 0), now_ms, elapsed_ms)
        rate, refusals = self._health[key]
        rate.record(now_ms, is_failure=kind is AnswerKind.FAILED)
        if kind is AnswerKind.REFUSED:
            refusals.record(now_ms)
        if kind is not AnswerKind.ANSWERED:
            item.failed.add(item.server.name)
            self.failed[item.server.name] += 1
            if now_ms < item.arrived_ms + load.objective_ms:
                self.at(now_ms + RETRY_PAUSE_MS, self._arrive, item)
        elif now_ms <= item.arrived_ms + load.objective_ms:
            self.timely[load.name] += 1
        self._wake(key)

    def _wake(self, key):
        while self._fifo.get(key) and self.n_at[key] < self.n_connections:
            self._send(heapq.heappop(self._fifo[key])[-1])
        while True:
            item = self.gates[key].pop_ready(
                self.now_ms, self.n_at[key], self.n_connections
            )
            if item is None:
                break
            if self.now_ms < item.arrived_ms + item.load.objective_ms:
                self._send(item)
        self._wake_later(key)

    def _wake_later(self, key):
        wait_ms = self.gates[key].wake_after_ms(self.now_ms)
        if wait_ms is not None and not self.n_at[key]:
            self.at(self.now_ms + wait_ms, self._wake, key)
