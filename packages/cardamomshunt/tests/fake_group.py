"""Simulation of a database group with its hosts and callers, and with faults."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

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
    FirstAnswer,
    OpenConnection,
    QueryPosition,
    RefuseRequest,
    Request,
    RequestKind,
    ResetConnection,
    SessionHints,
    StartAttempt,
)
from cardamomshunt.messages import (
    Announcement,
    DatabaseTopology,
    FailoverStep,
    InstanceAddress,
    InstanceRole,
    TokenEcho,
    TopologyUpdate,
)
from cardamomshunt.position import ZERO, LogPosition
from cardamomshunt.verdict import Verdict

DATABASE = "orders"
ZONES = ("a", "b", "c")


@dataclass(slots=True)
class Entry:
    position: LogPosition
    values: tuple[int, ...]
    key: str | None = None


@dataclass(slots=True, eq=False)
class Server:
    name: str
    zone: str
    role: InstanceRole = InstanceRole.REPLICA
    term: int = 1
    incarnation: int = 1
    log: list[Entry] = field(default_factory=list)
    n_applied: int = 0
    n_committed: int = 0
    is_alive: bool = True
    frozen_until_ms: float = 0.0
    stalled_until_ms: float = 0.0
    waiters: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)

    def end_position(self) -> LogPosition:
        return self.log[-1].position if self.log else ZERO

    def applied_position(self) -> LogPosition:
        if self.role is InstanceRole.PRIMARY:
            return self.end_position()
        return self.log[self.n_applied - 1].position if self.n_applied else ZERO

    def append(self, values: tuple[int, ...], key: str | None = None) -> Entry:
        entry = Entry(
            LogPosition(self.term, self.end_position().position + 1), values, key
        )
        self.log.append(entry)
        return entry


@dataclass(slots=True, eq=False)
class FakeConnection:
    connection_id: int
    server: Server
    incarnation: int
    term: int | None
    is_closed: bool = False
    is_unresponsive: bool = False
    buffer: list[int] | None = None


@dataclass(slots=True, eq=False)
class Operation:
    """One statement of a caller, and its actual result."""

    session: str
    kind: RequestKind
    value: int
    started_ms: float
    max_age_ms: float | None = None
    key: str | None = None
    transaction: int = 0
    was_sent: bool = False
    ended_ms: float | None = None
    is_ok: bool = False
    is_from_replica: bool = False
    verdict: Verdict | None = None
    reason: str = ""
    position: LogPosition | None = None  # for a read: what its server had applied


class Simulation:
    """Run callers on entry VMs in two zones with servers in three zones."""

    def __init__(
        self,
        seed: int,
        faults: list[tuple[float, str]] | None = None,
        *,
        path: Callable[..., Any] = DataPath,
        reply_fault_share: float = 0.01,
        n_callers: int = 6,
        end_ms: float = 3_000.0,
        roaming_share: float = 0.5,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.n_events = 0
        self.reply_fault_share = reply_fault_share
        self.end_ms = end_ms
        self.servers = [Server(f"s{zone}", zone) for zone in ZONES]
        self.servers[0].role = InstanceRole.PRIMARY
        self.partitioned_zone: str | None = None
        self.term = 1
        self.topology_version = 1
        self.primary = self.servers[0]
        self.suspected_since_ms: float | None = None
        self.operations: list[Operation] = []
        self.next_value = 1
        configuration = ClusterConfiguration(databases={DATABASE: DatabaseSettings()})
        self.hosts = [
            Host(
                self,
                zone,
                path(zone=zone, generator=self.rng, configuration=configuration),
            )
            for zone in ZONES[:2]
        ]
        for host in self.hosts:
            host.send_topology(self.topology())
        for server in self.servers:
            self.call_every(50.0, lambda server=server: self.announce(server))
        self.call_every(4.0, self.replicate)
        self.call_every(20.0, self.fail_over)
        for index in range(n_callers):
            is_roaming = index < n_callers * roaming_share
            Caller(self, f"c{index}", is_roaming=is_roaming).next_operation()
        for time_ms, fault in faults or []:
            self.call_at(time_ms, lambda fault=fault: self.inject(fault))

    def call_at(self, time_ms: float, action: Callable[[], None]) -> None:
        self.n_events += 1
        heapq.heappush(self.events, (time_ms, self.n_events, action))

    def call_after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self.call_at(self.now_ms + delay_ms, action)

    def call_every(self, period_ms: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.call_after(period_ms, run)

        self.call_after(self.rng.uniform(0, period_ms), run)

    def network_delay_ms(self) -> float:
        return self.rng.uniform(0.5, 4.0)

    def run(self) -> "Simulation":
        recovered_ms = self.end_ms + 1_000.0
        self.call_at(self.end_ms, lambda: self.inject("full recovery"))
        while self.events and self.events[0][0] < recovered_ms + 6_000.0:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        return self

    def can_reach(self, zone: str, other: str) -> bool:
        return zone == other or self.partitioned_zone not in (zone, other)

    def is_responsive(self, server: Server) -> bool:
        return server.is_alive and self.now_ms >= server.frozen_until_ms

    def topology(self) -> TopologyUpdate:
        return TopologyUpdate(
            version=self.topology_version,
            databases=[
                DatabaseTopology(
                    database=DATABASE,
                    term=self.term,
                    primary_instance=self.primary.name,
                    step=FailoverStep.SERVING,
                )
            ],
        )

    def inject(self, fault: str) -> None:
        if fault == "full recovery":
            self.partitioned_zone = None
            for server in self.servers:
                server.is_alive = True
                server.frozen_until_ms = server.stalled_until_ms = 0.0
        elif fault == "kill primary":
            self.primary.is_alive = False
            self.call_after(400.0, lambda server=self.primary: self.restart(server))
        elif fault == "freeze primary":
            self.primary.frozen_until_ms = self.now_ms + 500.0
        elif fault == "disconnect primary":
            self.partitioned_zone = self.primary.zone
        elif fault == "stall replica":
            replicas = [s for s in self.servers if s is not self.primary]
            self.rng.choice(replicas).stalled_until_ms = self.now_ms + 400.0
        elif fault == "stall connections":
            for host in self.hosts:
                for connection in host.connections.values():
                    connection.is_unresponsive |= self.rng.random() < 0.5

    def restart(self, server: Server) -> None:
        server.is_alive = True
        server.incarnation += 1
        server.waiters.clear()
        if server is not self.primary:
            server.role = InstanceRole.REPLICA

    # The protocol of the database group.

    def has_majority(self, server: Server) -> bool:
        peers = [
            other
            for other in self.servers
            if self.is_responsive(other)
            and self.can_reach(server.zone, other.zone)
            and other.term == server.term
        ]
        return len(peers) >= 2 and self.is_responsive(server)

    def replicate(self) -> None:
        leaders = [s for s in self.servers if s.role is InstanceRole.PRIMARY]
        for leader in sorted(leaders, key=lambda s: s.term):
            if self.is_responsive(leader):
                self.replicate_from(leader)

    def replicate_from(self, leader: Server) -> None:
        n_stored = [len(leader.log)]
        followers = [
            s
            for s in self.servers
            if s is not leader
            and self.is_responsive(s)
            and self.can_reach(leader.zone, s.zone)
            and s.term <= leader.term
        ]
        for follower in followers:
            if follower.term < leader.term or follower.role is InstanceRole.PRIMARY:
                follower.term = leader.term
                follower.role = InstanceRole.REPLICA
                follower.waiters.clear()
            if self.now_ms >= follower.stalled_until_ms and self.rng.random() < 0.7:
                follower.log = list(leader.log)
                n_stored.append(len(leader.log))
                n_applied = min(leader.n_committed, len(follower.log))
                follower.n_applied = max(follower.n_applied, n_applied)
        if len(n_stored) >= 2:
            n_majority = sorted(n_stored)[-2]
            majority_term = n_majority and leader.log[n_majority - 1].position.term
            if majority_term == leader.term:
                leader.n_committed = max(leader.n_committed, n_majority)
        ready = [w for w in leader.waiters if w[0] <= leader.n_committed]
        leader.waiters = [w for w in leader.waiters if w[0] > leader.n_committed]
        for _, term, action in ready:
            if term == leader.term:
                action()

    def confirmed_position(self, server: Server) -> LogPosition | None:
        is_primary = server.role is InstanceRole.PRIMARY
        if not is_primary or not self.has_majority(server):
            return None
        has_own = server.n_committed and (
            server.log[server.n_committed - 1].position.term == server.term
        )
        return server.end_position() if has_own or server.term == 1 else None

    def fail_over(self) -> None:
        """Replace a primary that is unreachable from the zones with a majority."""
        primary = self.primary
        is_visible = (
            self.is_responsive(primary) and self.partitioned_zone != primary.zone
        )
        if is_visible:
            self.suspected_since_ms = None
            return
        if self.suspected_since_ms is None:
            self.suspected_since_ms = self.now_ms
        candidates = [
            s
            for s in self.servers
            if s is not primary
            and self.is_responsive(s)
            and s.zone != self.partitioned_zone
        ]
        if self.now_ms - self.suspected_since_ms < 100.0 or len(candidates) < 2:
            return
        self.suspected_since_ms = None
        self.term += 1
        self.topology_version += 1
        for server in candidates:
            server.term = self.term
            server.role = InstanceRole.REPLICA
            server.waiters.clear()
        self.primary = max(candidates, key=Server.end_position)
        self.primary.role = InstanceRole.PRIMARY
        self.primary.n_committed = self.primary.n_applied
        self.primary.append(())
        for host in self.hosts:
            if host.zone != self.partitioned_zone:
                topology = self.topology()
                self.call_after(
                    self.rng.uniform(1.0, 80.0),
                    lambda h=host, t=topology: h.send_topology(t),
                )

    def announce(self, server: Server) -> None:
        for host in self.hosts:
            if self.is_responsive(server) and self.can_reach(server.zone, host.zone):
                token = host.tokens.get(server.name)
                position = (
                    self.confirmed_position(server) if token is not None else None
                )
                echo = TokenEcho(token="", position=position) if position else None
                announcement = Announcement(
                    group=DATABASE,
                    instance=server.name,
                    incarnation=server.incarnation,
                    zone=server.zone,
                    address=InstanceAddress("127.0.0.1", 1),
                    role=server.role,
                    term=server.term,
                    log_position=server.end_position(),
                    applied_position=server.applied_position(),
                    n_slots=4,
                    n_connections_max=35,
                    echo=echo,
                )
                self.call_after(
                    self.network_delay_ms(),
                    lambda h=host, a=announcement, t=token: h.on_announcement(a, t),
                )


class Host:
    """Carry out the effects of one data path."""

    def __init__(self, simulation: Simulation, zone: str, path: Any) -> None:
        self.simulation = simulation
        self.zone = zone
        self.path = path
        self.connections: dict[int, FakeConnection] = {}
        self.tokens: dict[str, float] = {}
        self.open_operations: dict[
            int, tuple[Operation, Callable[[Operation], None]]
        ] = {}
        self.answer_positions: dict[tuple[int, int], LogPosition] = {}
        self.next_request = 1
        simulation.call_every(5.0, self.tick)

    def tick(self) -> None:
        deadline_ms = self.path.next_deadline_ms()
        if deadline_ms is not None and deadline_ms <= self.simulation.now_ms:
            self.process(self.path.tick(self.simulation.now_ms))

    def send_topology(self, update: TopologyUpdate) -> None:
        self.process(self.path.on_topology(self.simulation.now_ms, update))

    def on_announcement(self, announcement: Announcement, token: float | None) -> None:
        now_ms = self.simulation.now_ms
        self.process(self.path.on_announcement(now_ms, announcement, token))
        self.tokens[announcement.instance] = now_ms

    def submit(
        self,
        operation: Operation,
        caller_id: int,
        hints: SessionHints,
        on_end: Callable[[Operation], None],
    ) -> None:
        request = Request(
            request_id=self.next_request,
            caller_id=caller_id,
            database=DATABASE,
            kind=operation.kind,
            hints=hints,
            fingerprint=str(operation.value),
        )
        self.next_request += 1
        self.open_operations[request.request_id] = (operation, on_end)
        self.process(self.path.submit(self.simulation.now_ms, request))

    def process(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self.open_connection(effect)
            elif isinstance(effect, CloseConnection):
                connection = self.connections.pop(effect.connection_id, None)
                if connection is not None:
                    connection.is_closed = True
            elif isinstance(effect, ResetConnection):
                self.reset(self.connections[effect.connection_id])
            elif isinstance(effect, StartAttempt):
                self.start_attempt(effect)
            elif isinstance(effect, QueryPosition):
                self.query_position(effect)
            elif isinstance(effect, CompleteRequest | RefuseRequest):
                self.end_request(effect)

    def open_connection(self, effect: OpenConnection) -> None:
        sim = self.simulation
        server = next(s for s in sim.servers if s.name == effect.instance)

        def arrive() -> None:
            if not sim.can_reach(self.zone, server.zone):
                return
            if not sim.is_responsive(server):
                if not server.is_alive:
                    self.process(
                        self.path.on_connection_failed(
                            sim.now_ms, effect.connection_id, True, "refused"
                        )
                    )
                return
            connection = FakeConnection(
                effect.connection_id, server, server.incarnation, effect.term
            )
            self.connections[effect.connection_id] = connection
            opened = ConnectionOpened(
                connection_id=effect.connection_id,
                instance=server.name,
                incarnation=server.incarnation,
                role=server.role,
                term=server.term,
                applied_position=server.applied_position(),
                elapsed_ms=5.0,
            )
            self.process(self.path.on_connection_opened(sim.now_ms, opened))

        sim.call_after(5.0, arrive)

    def is_connected(self, connection: FakeConnection) -> bool:
        server = connection.server
        return (
            self.simulation.is_responsive(server)
            and server.incarnation == connection.incarnation
            and not connection.is_unresponsive
            and not connection.is_closed
            and self.simulation.can_reach(self.zone, server.zone)
        )

    def reset(self, connection: FakeConnection) -> None:
        connection.buffer = None

        def arrive() -> None:
            if self.is_connected(connection):
                self.process(
                    self.path.on_connection_reset(
                        self.simulation.now_ms, connection.connection_id
                    )
                )

        self.simulation.call_after(2 * self.simulation.network_delay_ms(), arrive)

    def query_position(self, effect: QueryPosition) -> None:
        sim = self.simulation
        sent_ms = sim.now_ms
        connection = self.connections[effect.connection_id]
        is_over = []

        def reply(position: LogPosition | None) -> None:
            if is_over:
                return
            is_over.append(True)
            bound = position and ConfirmedBound(
                database=DATABASE, position=position, as_of_ms=sent_ms
            )
            self.process(self.path.on_confirmed_bound(sim.now_ms, bound, DATABASE))

        def arrive() -> None:
            if self.is_connected(connection):
                position = sim.confirmed_position(connection.server)
                if position is not None:
                    sim.call_after(sim.network_delay_ms(), lambda: reply(position))

        sim.call_after(sim.network_delay_ms(), arrive)
        sim.call_after(effect.timeout_ms, lambda: reply(None))

    def start_attempt(self, effect: StartAttempt) -> None:
        sim = self.simulation
        connection = self.connections[effect.connection_id]
        operation = self.open_operations[effect.request_id][0]
        operation.was_sent = True

        def reply(outcome: AttemptOutcome, **details: Any) -> None:
            result = AttemptResult(
                request_id=effect.request_id,
                attempt=effect.attempt,
                connection_id=effect.connection_id,
                outcome=outcome,
                **details,
            )
            self.process(self.path.on_attempt_result(sim.now_ms, result))

        def send(outcome: AttemptOutcome, **details: Any) -> None:
            """Deliver a reply, or lose, delay or repeat it."""
            delay_ms = sim.network_delay_ms()
            fault = sim.rng.random() / max(sim.reply_fault_share, 1e-9)
            if fault < 1.0:
                connection.is_unresponsive = True
                return
            if fault < 2.0:
                delay_ms += 300.0
            sim.call_after(
                delay_ms, lambda: self.deliver(connection, reply, outcome, details)
            )
            if 2.0 <= fault < 3.0:
                sim.call_after(
                    delay_ms + 5.0,
                    lambda: self.deliver(connection, reply, outcome, details),
                )

        def arrive() -> None:
            if not sim.is_responsive(connection.server) and connection.server.is_alive:
                # A frozen server processes its backlog later.
                sim.call_after(50.0, arrive)
            elif (
                connection.server.is_alive
                and connection.server.incarnation == connection.incarnation
                and sim.can_reach(self.zone, connection.server.zone)
                and not connection.is_unresponsive
            ):
                self.execute(effect, connection, operation, send)

        sim.call_after(sim.network_delay_ms(), arrive)
        sim.call_after(effect.timeout_ms, lambda: reply(AttemptOutcome.LOST))

    def deliver(
        self,
        connection: FakeConnection,
        reply: Callable[..., None],
        outcome: AttemptOutcome,
        details: dict[str, Any],
    ) -> None:
        if self.simulation.can_reach(self.zone, connection.server.zone):
            reply(outcome, **details)

    def execute(
        self,
        effect: StartAttempt,
        connection: FakeConnection,
        operation: Operation,
        send: Callable[..., None],
    ) -> None:
        server = connection.server
        if effect.kind is AttemptKind.PLAIN:
            self.execute_plain(effect, connection, operation, send)
            return
        is_primary = server.role is InstanceRole.PRIMARY
        if not is_primary or server.term != connection.term:
            send(AttemptOutcome.FENCED)
            return
        if effect.kind is AttemptKind.ACKNOWLEDGED_COMMIT:
            values, connection.buffer = connection.buffer, None
            if values is None:
                return
            entry = server.append(tuple(values))
        else:
            key = effect.idempotency_key
            known = [e for e in server.log if key is not None and e.key == key]
            entry = known[0] if known else server.append((operation.value,), key)
        index = server.log.index(entry) + 1
        first = FirstAnswer(1, operation.value) if effect.idempotency_key else None
        server.waiters.append(
            (
                index,
                server.term,
                lambda: send(
                    AttemptOutcome.OK,
                    position=server.log[index - 1].position,
                    first_answer=first,
                ),
            )
        )

    def execute_plain(
        self,
        effect: StartAttempt,
        connection: FakeConnection,
        operation: Operation,
        send: Callable[..., None],
    ) -> None:
        server = connection.server
        if operation.kind is RequestKind.BEGIN:
            connection.buffer = []
        elif operation.kind is RequestKind.ROLLBACK:
            connection.buffer = None
        elif operation.kind is RequestKind.WRITE:
            if connection.buffer is not None:
                connection.buffer.append(operation.value)
            elif server.role is InstanceRole.PRIMARY:
                server.append((operation.value,))
        self.answer_positions[effect.request_id, effect.attempt] = (
            server.applied_position()
        )
        send(AttemptOutcome.OK)

    def end_request(self, effect: CompleteRequest | RefuseRequest) -> None:
        operation, on_end = self.open_operations.pop(effect.request_id)
        operation.ended_ms = self.simulation.now_ms
        if isinstance(effect, CompleteRequest):
            operation.is_ok = True
            operation.is_from_replica = effect.is_from_replica
            position = self.answer_positions.get((effect.request_id, effect.attempt))
            is_write = operation.kind in (RequestKind.WRITE, RequestKind.COMMIT)
            operation.position = effect.watermark if is_write else position
        else:
            operation.verdict = effect.refusal.verdict
            operation.reason = effect.refusal.reason.value
        on_end(operation)


class Caller:
    """Run a random script of statements, one after another."""

    def __init__(self, simulation: Simulation, name: str, *, is_roaming: bool) -> None:
        self.simulation = simulation
        self.name = name
        self.is_roaming = is_roaming
        self.host = simulation.rng.choice(simulation.hosts)
        self.caller_id = int(name[1:]) + 1
        self.transaction: list[RequestKind] = []
        self.n_transactions = 0
        self.watermark: LogPosition | None = None

    def next_operation(self) -> None:
        sim = self.simulation
        if sim.now_ms < sim.end_ms or self.transaction:
            sim.call_after(sim.rng.expovariate(1 / 15.0), self.submit)

    def choose(self) -> RequestKind:
        rng = self.simulation.rng
        if self.transaction:
            return self.transaction.pop(0)
        share = rng.random()
        if share < 0.1:
            self.n_transactions += 1
            end = RequestKind.COMMIT if rng.random() < 0.8 else RequestKind.ROLLBACK
            self.transaction = [RequestKind.WRITE] * rng.randint(1, 3) + [end]
            return RequestKind.BEGIN
        return RequestKind.WRITE if share < 0.4 else RequestKind.READ

    def submit(self) -> None:
        sim = self.simulation
        is_inside = bool(self.transaction)
        kind = self.choose()
        is_inside |= kind is RequestKind.BEGIN
        if self.is_roaming and not (is_inside and kind is not RequestKind.BEGIN):
            self.host = sim.rng.choice(sim.hosts)
        is_keyed = (
            kind is RequestKind.WRITE and not is_inside and sim.rng.random() < 0.5
        )
        operation = Operation(
            self.name,
            kind,
            sim.next_value,
            sim.now_ms,
            transaction=self.n_transactions if is_inside else 0,
            key=f"k{sim.next_value}" if is_keyed else None,
        )
        if kind is RequestKind.READ and sim.rng.random() < 0.5:
            operation.max_age_ms = sim.rng.choice([120.0, 500.0])
        sim.next_value += 1
        sim.operations.append(operation)
        has_hint = self.is_roaming and sim.rng.random() < 0.5
        hints = SessionHints(
            session=self.name if self.is_roaming else None,
            max_age_ms=operation.max_age_ms,
            idempotency_key=operation.key,
            deadline_ms=800.0,
            watermark=self.watermark if has_hint else None,
        )
        self.host.submit(operation, self.caller_id, hints, self.on_end)

    def on_end(self, operation: Operation) -> None:
        if operation.position is not None:
            self.watermark = max(self.watermark or ZERO, operation.position)
        if not operation.is_ok and operation.kind is not RequestKind.READ:
            if operation.kind is RequestKind.BEGIN:
                self.transaction = []
            elif self.transaction:
                self.transaction = [RequestKind.ROLLBACK]
        self.next_operation()
