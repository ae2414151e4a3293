"""Simulate overloaded entry VMs in virtual time and print JSON lines.

Each server has slots with one queue and exponential service times. Orders and lookups
go to the primary, age-tolerant reads to two replicas, each at `load_factor` times the
capacity of the slots. The data path is the real one; network and servers are models.
"""

import heapq
import json
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import click
from cardamomshunt.configuration import ClusterConfiguration, DatabaseSettings
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import (
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    CloseConnection,
    CompleteRequest,
    ConfirmedBound,
    ConnectionOpened,
    DataPathEffect,
    OpenConnection,
    QueryPosition,
    RefuseRequest,
    Request,
    RequestClass,
    RequestKind,
    ResetConnection,
    SessionHints,
    StartAttempt,
)
from cardamomshunt.messages import (
    Announcement,
    ConnectionGrant,
    DatabaseTopology,
    FailoverStep,
    InstanceAddress,
    InstanceRole,
    TokenEcho,
    TopologyUpdate,
)
from cardamomshunt.position import LogPosition

DATABASE = "orders"
PRIMARY = "primary"
REPLICAS = ("replica-1", "replica-2")
POSITION = LogPosition(1, 10)
WARM_UP_MS = 2_000.0
TICK_MS = 5.0


@dataclass(slots=True, kw_only=True)
class LoadCase:
    """Parameters of one simulated case."""

    n_entry_vms: int
    n_slots: int
    service_ms: float
    n_connections: int
    load_factor: float
    order_share: float = 0.3
    one_way_ms: float = 3.0
    acknowledgement_ms: float = 6.0
    duration_ms: float = 5_000.0


class Clock:
    """Run events in the order of virtual time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._n_events += 1
        event = (self.now_ms + delay_ms, self._n_events, action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Run all events before a time."""
        while self._events and self._events[0][0] < until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()


@dataclass(slots=True)
class Server:
    """Serve statements on a number of slots in the order of their arrival."""

    clock: Clock
    n_slots: int
    n_busy: int = 0
    queue: deque[tuple[float, Callable[[], None]]] = field(default_factory=deque)

    def serve(self, service_ms: float, on_done: Callable[[], None]) -> None:
        """Serve a statement once a slot is free."""
        self.queue.append((service_ms, on_done))
        self._start_queued()

    def _start_queued(self) -> None:
        while self.n_busy < self.n_slots and self.queue:
            service_ms, on_done = self.queue.popleft()
            self.n_busy += 1
            self.clock.after(service_ms, lambda done=on_done: self._complete(done))

    def _complete(self, on_done: Callable[[], None]) -> None:
        self.n_busy -= 1
        on_done()
        self._start_queued()


class Model:
    """Simulate entry VMs and servers, and count the outcomes of requests."""

    def __init__(self, case: LoadCase, seed: int) -> None:
        self.case = case
        self.clock = Clock()
        self.generator = random.Random(seed)
        self.counts: Counter[tuple[RequestClass, str]] = Counter()
        self.delays_ms: dict[RequestClass, list[float]] = {c: [] for c in RequestClass}
        self.servers = {
            name: Server(self.clock, case.n_slots) for name in (PRIMARY, *REPLICAS)
        }
        self.entry_vms = [
            SimulatedEntryVm(self, index) for index in range(case.n_entry_vms)
        ]

    def run(self) -> dict[str, Any]:
        """Run the simulation and return its summary."""
        rate_per_ms = self.case.load_factor * self.case.n_slots / self.case.service_ms
        self._submit_to_primary(rate_per_ms)
        self._submit_to_replicas(len(REPLICAS) * rate_per_ms)
        self.clock.run(WARM_UP_MS + self.case.duration_ms)
        return self._summary()

    def _submit_to_primary(self, rate_per_ms: float) -> None:
        is_order = self.generator.random() < self.case.order_share
        request_class = RequestClass.ORDER if is_order else RequestClass.LOOKUP
        entry_vm = self.generator.choice(self.entry_vms)
        entry_vm.submit(RequestKind.WRITE, request_class, None)
        delay_ms = self.generator.expovariate(rate_per_ms)
        self.clock.after(delay_ms, lambda: self._submit_to_primary(rate_per_ms))

    def _submit_to_replicas(self, rate_per_ms: float) -> None:
        entry_vm = self.generator.choice(self.entry_vms)
        entry_vm.submit(RequestKind.READ, RequestClass.DISPATCH, 1_000.0)
        delay_ms = self.generator.expovariate(rate_per_ms)
        self.clock.after(delay_ms, lambda: self._submit_to_replicas(rate_per_ms))

    def record(
        self, request_class: RequestClass, outcome: str, delay_ms: float
    ) -> None:
        """Record a completed request, unless it ends during the warm-up."""
        if self.clock.now_ms < WARM_UP_MS:
            return
        self.counts[request_class, outcome] += 1
        if outcome == "ok":
            self.delays_ms[request_class].append(delay_ms)

    def _summary(self) -> dict[str, Any]:
        case = self.case
        capacity = case.n_slots / case.service_ms * case.duration_ms
        n_primary = sum(
            self.counts[item, "ok"]
            for item in (RequestClass.ORDER, RequestClass.LOOKUP)
        )
        n_replicas = self.counts[RequestClass.DISPATCH, "ok"]
        return {
            "measure": "overload_model",
            "n_entry_vms": case.n_entry_vms,
            "n_slots": case.n_slots,
            "service_ms": case.service_ms,
            "load": case.load_factor,
            "goodput_of_primary": round(n_primary / capacity, 3),
            "goodput_of_replicas": round(n_replicas / capacity / len(REPLICAS), 3),
            **{item.value: self._by_class(item) for item in RequestClass},
        }

    def _by_class(self, request_class: RequestClass) -> dict[str, Any]:
        counts = {k[1]: n for k, n in self.counts.items() if k[0] is request_class}
        delays_ms = sorted(self.delays_ms[request_class])
        if delays_ms:
            counts["p50_ms"] = round(delays_ms[len(delays_ms) // 2])
            counts["p99_ms"] = round(delays_ms[int(len(delays_ms) * 0.99)])
        return counts


class SimulatedEntryVm:
    """Apply the effects of one data path to the servers of the model."""

    def __init__(self, model: Model, index: int) -> None:
        self._model = model
        self._clock = model.clock
        self._servers: dict[int, Server] = {}
        self._open_requests: dict[int, tuple[RequestClass, float]] = {}
        self._n_requests = 0
        databases = {DATABASE: DatabaseSettings()}
        self._path = DataPath(
            zone="a",
            generator=random.Random(index),
            configuration=ClusterConfiguration(databases=databases),
        )
        topology = DatabaseTopology(
            database=DATABASE,
            term=1,
            primary_instance=PRIMARY,
            step=FailoverStep.SERVING,
        )
        update = TopologyUpdate(version=1, databases=[topology])
        self._apply_all(self._path.on_topology(0.0, update))
        self._apply_all(self._path.on_grants(0.0, self._grants()))
        self._announce()
        self._clock.after(model.generator.uniform(0.0, TICK_MS), self._tick)

    def _grants(self) -> list[ConnectionGrant]:
        n_granted = self._model.case.n_connections
        return [
            ConnectionGrant(instance=name, n_connections=n_granted, expires_in_ms=1e9)
            for name in self._model.servers
        ]

    def _announce(self) -> None:
        now_ms = self._clock.now_ms
        for name in self._model.servers:
            is_primary = name == PRIMARY
            announcement = Announcement(
                group=DATABASE,
                instance=name,
                incarnation=1,
                zone="a",
                address=InstanceAddress("127.0.0.1", 1),
                role=_role(name),
                term=1,
                log_position=POSITION,
                applied_position=POSITION,
                n_slots=self._model.case.n_slots,
                n_connections_max=35,
                echo=TokenEcho(token="", position=POSITION) if is_primary else None,
            )
            issued_ms = now_ms - 100.0 if is_primary else None
            self._apply_all(self._path.on_announcement(now_ms, announcement, issued_ms))
        self._clock.after(100.0, self._announce)

    def _tick(self) -> None:
        deadline_ms = self._path.next_deadline_ms()
        if deadline_ms is not None and deadline_ms <= self._clock.now_ms:
            self._apply_all(self._path.tick(self._clock.now_ms))
        self._clock.after(TICK_MS, self._tick)

    def submit(
        self, kind: RequestKind, request_class: RequestClass, max_age_ms: float | None
    ) -> None:
        """Submit a statement from a new caller."""
        self._n_requests += 1
        self._open_requests[self._n_requests] = (request_class, self._clock.now_ms)
        request = Request(
            request_id=self._n_requests,
            caller_id=self._n_requests,
            database=DATABASE,
            kind=kind,
            hints=SessionHints(request_class=request_class, max_age_ms=max_age_ms),
        )
        self._apply_all(self._path.submit(self._clock.now_ms, request))

    def _apply_all(self, effects: list[DataPathEffect]) -> None:
        for effect in effects:
            self._apply(effect)

    def _apply(self, effect: DataPathEffect) -> None:
        round_trip_ms = 2.0 * self._model.case.one_way_ms
        if isinstance(effect, OpenConnection):
            self._servers[effect.connection_id] = self._model.servers[effect.instance]
            self._clock.after(10.0, lambda: self._on_opened(effect))
        elif isinstance(effect, ResetConnection):
            self._clock.after(round_trip_ms, lambda: self._on_reset(effect))
        elif isinstance(effect, CloseConnection):
            self._servers.pop(effect.connection_id, None)
        elif isinstance(effect, StartAttempt):
            self._start_attempt(effect)
        elif isinstance(effect, QueryPosition):
            sent_ms = self._clock.now_ms
            self._clock.after(2.0 * round_trip_ms, lambda: self._on_confirmed(sent_ms))
        elif isinstance(effect, CompleteRequest | RefuseRequest):
            self._complete_request(effect)

    def _on_opened(self, effect: OpenConnection) -> None:
        opened = ConnectionOpened(
            connection_id=effect.connection_id,
            instance=effect.instance,
            incarnation=1,
            role=_role(effect.instance),
            term=1,
            applied_position=POSITION,
            elapsed_ms=10.0,
        )
        self._apply_all(self._path.on_connection_opened(self._clock.now_ms, opened))

    def _on_reset(self, effect: ResetConnection) -> None:
        now_ms = self._clock.now_ms
        self._apply_all(self._path.on_connection_reset(now_ms, effect.connection_id))

    def _on_confirmed(self, sent_ms: float) -> None:
        bound = ConfirmedBound(database=DATABASE, position=POSITION, as_of_ms=sent_ms)
        now_ms = self._clock.now_ms
        self._apply_all(self._path.on_confirmed_bound(now_ms, bound, DATABASE))

    def _start_attempt(self, effect: StartAttempt) -> None:
        case = self._model.case
        server = self._servers[effect.connection_id]
        service_ms = self._model.generator.expovariate(1.0 / case.service_ms)
        return_ms = case.one_way_ms
        if effect.kind is not AttemptKind.PLAIN:
            return_ms += case.acknowledgement_ms

        def reply(outcome: AttemptOutcome) -> None:
            result = AttemptResult(
                request_id=effect.request_id,
                attempt=effect.attempt,
                connection_id=effect.connection_id,
                outcome=outcome,
                position=POSITION,
            )
            self._apply_all(self._path.on_attempt_result(self._clock.now_ms, result))

        def on_done() -> None:
            self._clock.after(return_ms, lambda: reply(AttemptOutcome.OK))

        self._clock.after(case.one_way_ms, lambda: server.serve(service_ms, on_done))
        self._clock.after(effect.timeout_ms, lambda: reply(AttemptOutcome.LOST))

    def _complete_request(self, effect: CompleteRequest | RefuseRequest) -> None:
        request_class, received_ms = self._open_requests.pop(effect.request_id)
        outcome = "ok"
        if isinstance(effect, RefuseRequest):
            refusal = effect.refusal
            outcome = f"{refusal.verdict.value} {refusal.reason.value}"
        delay_ms = self._clock.now_ms - received_ms
        self._model.record(request_class, outcome, delay_ms)


def _role(name: str) -> InstanceRole:
    return InstanceRole.PRIMARY if name == PRIMARY else InstanceRole.REPLICA


CASES = (
    LoadCase(
        n_entry_vms=8, n_slots=5, service_ms=10.0, n_connections=4, load_factor=0.7
    ),
    LoadCase(
        n_entry_vms=8, n_slots=5, service_ms=10.0, n_connections=4, load_factor=2.0
    ),
    LoadCase(
        n_entry_vms=8, n_slots=3, service_ms=10.0, n_connections=4, load_factor=2.0
    ),
    LoadCase(
        n_entry_vms=1, n_slots=5, service_ms=10.0, n_connections=20, load_factor=2.0
    ),
    LoadCase(
        n_entry_vms=1, n_slots=3, service_ms=3.0, n_connections=30, load_factor=1.5
    ),
)


@click.command()
@click.option("--seed", default=3, show_default=True)
def main(seed: int) -> None:
    """Print goodput, refusals and delays of each case as JSON lines."""
    for case in CASES:
        print(json.dumps(Model(case, seed).run()))


if __name__ == "__main__":
    main()
