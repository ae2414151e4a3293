"""A small database group, its hosts and callers in simulated time, with faults."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cardamomshunt.configuration import ClusterConfiguration, DatabaseSettings
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import (
    AskPosition,
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    CloseConnection,
    CompleteRequest,
    ConfirmedBound,
    ConnectionOpened,
    FirstAnswer,
    OpenConnection,
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
    frozen_until: float = 0.0
    stalled_until: float = 0.0
    waiters: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)

    def end(self) -> LogPosition:
        return self.log[-1].position if self.log else ZERO

    def applied(self) -> LogPosition:
        if self.role is InstanceRole.PRIMARY:
            return self.end()
        return self.log[self.n_applied - 1].position if self.n_applied else ZERO

    def append(self, values: tuple[int, ...], key: str | None = None) -> Entry:
        entry = Entry(LogPosition(self.term, self.end().position + 1), values, key)
        self.log.append(entry)
        return entry


@dataclass(slots=True, eq=False)
class FakeConnection:
    connection_id: int
    server: Server
    incarnation: int
    term: int | None
    is_closed: bool = False
    is_silent: bool = False
    buffer: list[int] | None = None


@dataclass(slots=True, eq=False)
class Operation:
    """Record one statement, and what really became of it."""

    session: str
    kind: RequestKind
    value: int
    started: float
    max_age_ms: float | None = None
    key: str | None = None
    transaction: int = 0
    was_sent: bool = False
    ended: float | None = None
    is_ok: bool = False
    is_from_replica: bool = False
    verdict: Verdict | None = None
    reason: str = ""
    position: LogPosition | None = None  # truth: what the server held for a read


class Simulation:
    """Run callers on entry VMs in two zones against three servers."""

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
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.n_events = 0
        self.reply_fault_share = reply_fault_share
        self.end_ms = end_ms
        self.servers = [Server(f"s{zone}", zone) for zone in ZONES]
        self.servers[0].role = InstanceRole.PRIMARY
        self.cut_zone: str | None = None
        self.term = 1
        self.topology_version = 1
        self.primary = self.servers[0]
        self.suspected_since: float | None = None
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
            self.every(50.0, lambda server=server: self.announce(server))
        self.every(4.0, self.replicate)
        self.every(20.0, self.control)
        for index in range(n_callers):
            is_roaming = index < n_callers * roaming_share
            Caller(self, f"c{index}", is_roaming=is_roaming).next_operation()
        for time, fault in faults or []:
            self.at(time, lambda fault=fault: self.inject(fault))

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.n_events += 1
        heapq.heappush(self.events, (time, self.n_events, action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        self.at(self.now + delay, action)

    def every(self, period: float, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.after(period, run)

        self.after(self.rng.uniform(0, period), run)

    def delay(self) -> float:
        return self.rng.uniform(0.5, 4.0)

    def run(self) -> "Simulation":
        healed = self.end_ms + 1_000.0
        self.at(self.end_ms, lambda: self.inject("heal"))
        while self.events and self.events[0][0] < healed + 6_000.0:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def reaches(self, zone: str, other: str) -> bool:
        return zone == other or self.cut_zone not in (zone, other)

    def answers(self, server: Server) -> bool:
        return server.is_alive and self.now >= server.frozen_until

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
        if fault == "heal":
            self.cut_zone = None
            for server in self.servers:
                server.is_alive = True
                server.frozen_until = server.stalled_until = 0.0
        elif fault == "kill primary":
            self.primary.is_alive = False
            self.after(400.0, lambda server=self.primary: self.restart(server))
        elif fault == "freeze primary":
            self.primary.frozen_until = self.now + 500.0
        elif fault == "cut primary":
            self.cut_zone = self.primary.zone
        elif fault == "stall replica":
            replicas = [s for s in self.servers if s is not self.primary]
            self.rng.choice(replicas).stalled_until = self.now + 400.0
        elif fault == "silence":
            for host in self.hosts:
                for connection in host.connections.values():
                    connection.is_silent |= self.rng.random() < 0.5

    def restart(self, server: Server) -> None:
        server.is_alive = True
        server.incarnation += 1
        server.waiters.clear()
        if server is not self.primary:
            server.role = InstanceRole.REPLICA

    # The group's own protocol.

    def has_majority(self, server: Server) -> bool:
        peers = [
            other
            for other in self.servers
            if self.answers(other)
            and self.reaches(server.zone, other.zone)
            and other.term == server.term
        ]
        return len(peers) >= 2 and self.answers(server)

    def replicate(self) -> None:
        leaders = [s for s in self.servers if s.role is InstanceRole.PRIMARY]
        for leader in sorted(leaders, key=lambda s: s.term):
            if self.answers(leader):
                self.replicate_from(leader)

    def replicate_from(self, leader: Server) -> None:
        n_held = [len(leader.log)]
        followers = [
            s
            for s in self.servers
            if s is not leader
            and self.answers(s)
            and self.reaches(leader.zone, s.zone)
            and s.term <= leader.term
        ]
        for follower in followers:
            if follower.term < leader.term or follower.role is InstanceRole.PRIMARY:
                follower.term = leader.term
                follower.role = InstanceRole.REPLICA
                follower.waiters.clear()
            if self.now >= follower.stalled_until and self.rng.random() < 0.7:
                follower.log = list(leader.log)
                n_held.append(len(leader.log))
                n_applied = min(leader.n_committed, len(follower.log))
                follower.n_applied = max(follower.n_applied, n_applied)
        if len(n_held) >= 2:
            n_majority = sorted(n_held)[-2]
            is_own = n_majority and leader.log[n_majority - 1].position.term
            if is_own == leader.term:
                leader.n_committed = max(leader.n_committed, n_majority)
        ready = [w for w in leader.waiters if w[0] <= leader.n_committed]
        leader.waiters = [w for w in leader.waiters if w[0] > leader.n_committed]
        for _, term, action in ready:
            if term == leader.term:
                action()

    def confirmed(self, server: Server) -> LogPosition | None:
        is_primary = server.role is InstanceRole.PRIMARY
        if not is_primary or not self.has_majority(server):
            return None
        has_own = server.n_committed and (
            server.log[server.n_committed - 1].position.term == server.term
        )
        return server.end() if has_own or server.term == 1 else None

    def control(self) -> None:
        """Fail over as seen from the zones that hold a majority."""
        primary = self.primary
        is_seen = self.answers(primary) and self.cut_zone != primary.zone
        if is_seen:
            self.suspected_since = None
            return
        if self.suspected_since is None:
            self.suspected_since = self.now
        candidates = [
            s
            for s in self.servers
            if s is not primary and self.answers(s) and s.zone != self.cut_zone
        ]
        if self.now - self.suspected_since < 100.0 or len(candidates) < 2:
            return
        self.suspected_since = None
        self.term += 1
        self.topology_version += 1
        for server in candidates:
            server.term = self.term
            server.role = InstanceRole.REPLICA
            server.waiters.clear()
        self.primary = max(candidates, key=Server.end)
        self.primary.role = InstanceRole.PRIMARY
        self.primary.n_committed = self.primary.n_applied
        self.primary.append(())
        for host in self.hosts:
            if host.zone != self.cut_zone:
                topology = self.topology()
                self.after(
                    self.rng.uniform(1.0, 80.0),
                    lambda h=host, t=topology: h.send_topology(t),
                )

    def announce(self, server: Server) -> None:
        for host in self.hosts:
            if self.answers(server) and self.reaches(server.zone, host.zone):
                token = host.tokens.get(server.name)
                position = self.confirmed(server) if token is not None else None
                echo = TokenEcho(token="", position=position) if position else None
                news = Announcement(
                    group=DATABASE,
                    instance=server.name,
                    incarnation=server.incarnation,
                    zone=server.zone,
                    address=InstanceAddress("127.0.0.1", 1),
                    role=server.role,
                    term=server.term,
                    log_position=server.end(),
                    applied_position=server.applied(),
                    n_slots=4,
                    n_connections_max=35,
                    echo=echo,
                )
                self.after(self.delay(), lambda h=host, n=news, t=token: h.hear(n, t))


class Host:
    """Carry out the effects of one data path."""

    def __init__(self, simulation: Simulation, zone: str, path: Any) -> None:
        self.simulation = simulation
        self.zone = zone
        self.path = path
        self.connections: dict[int, FakeConnection] = {}
        self.tokens: dict[str, float] = {}
        self.open: dict[int, tuple[Operation, Callable[[Operation], None]]] = {}
        self.answers: dict[tuple[int, int], LogPosition] = {}
        self.next_request = 1
        simulation.every(5.0, self.tick)

    def tick(self) -> None:
        deadline = self.path.next_deadline_ms()
        if deadline is not None and deadline <= self.simulation.now:
            self.process(self.path.tick(self.simulation.now))

    def send_topology(self, update: TopologyUpdate) -> None:
        self.process(self.path.on_topology(self.simulation.now, update))

    def hear(self, news: Announcement, token: float | None) -> None:
        now = self.simulation.now
        self.process(self.path.on_announcement(now, news, token))
        self.tokens[news.instance] = now

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
        self.open[request.request_id] = (operation, on_end)
        self.process(self.path.submit(self.simulation.now, request))

    def process(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self.dial(effect)
            elif isinstance(effect, CloseConnection):
                connection = self.connections.pop(effect.connection_id, None)
                if connection is not None:
                    connection.is_closed = True
            elif isinstance(effect, ResetConnection):
                self.reset(self.connections[effect.connection_id])
            elif isinstance(effect, StartAttempt):
                self.start(effect)
            elif isinstance(effect, AskPosition):
                self.ask(effect)
            elif isinstance(effect, CompleteRequest | RefuseRequest):
                self.finish(effect)

    def dial(self, effect: OpenConnection) -> None:
        sim = self.simulation
        server = next(s for s in sim.servers if s.name == effect.instance)

        def arrive() -> None:
            if not sim.reaches(self.zone, server.zone):
                return
            if not sim.answers(server):
                if not server.is_alive:
                    self.process(
                        self.path.on_connection_failed(
                            sim.now, effect.connection_id, True, "refused"
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
                applied_position=server.applied(),
                elapsed_ms=5.0,
            )
            self.process(self.path.on_connection_opened(sim.now, opened))

        sim.after(5.0, arrive)

    def is_connected(self, connection: FakeConnection) -> bool:
        server = connection.server
        return (
            self.simulation.answers(server)
            and server.incarnation == connection.incarnation
            and not connection.is_silent
            and not connection.is_closed
            and self.simulation.reaches(self.zone, server.zone)
        )

    def reset(self, connection: FakeConnection) -> None:
        connection.buffer = None

        def arrive() -> None:
            if self.is_connected(connection):
                self.process(
                    self.path.on_connection_reset(
                        self.simulation.now, connection.connection_id
                    )
                )

        self.simulation.after(2 * self.simulation.delay(), arrive)

    def ask(self, effect: AskPosition) -> None:
        sim = self.simulation
        sent = sim.now
        connection = self.connections[effect.connection_id]
        is_over = []

        def reply(position: LogPosition | None) -> None:
            if is_over:
                return
            is_over.append(True)
            bound = position and ConfirmedBound(
                database=DATABASE, position=position, as_of_ms=sent
            )
            self.process(self.path.on_confirmed_bound(sim.now, bound, DATABASE))

        def arrive() -> None:
            if self.is_connected(connection):
                position = sim.confirmed(connection.server)
                if position is not None:
                    sim.after(sim.delay(), lambda: reply(position))

        sim.after(sim.delay(), arrive)
        sim.after(effect.timeout_ms, lambda: reply(None))

    def start(self, effect: StartAttempt) -> None:
        sim = self.simulation
        connection = self.connections[effect.connection_id]
        operation = self.open[effect.request_id][0]
        operation.was_sent = True

        def reply(outcome: AttemptOutcome, **details: Any) -> None:
            result = AttemptResult(
                request_id=effect.request_id,
                attempt=effect.attempt,
                connection_id=effect.connection_id,
                outcome=outcome,
                **details,
            )
            self.process(self.path.on_attempt_result(sim.now, result))

        def send(outcome: AttemptOutcome, **details: Any) -> None:
            """Carry a reply back, or lose, delay or repeat it."""
            delay = sim.delay()
            fault = sim.rng.random() / max(sim.reply_fault_share, 1e-9)
            if fault < 1.0:
                connection.is_silent = True
                return
            if fault < 2.0:
                delay += 300.0
            sim.after(delay, lambda: self.deliver(connection, reply, outcome, details))
            if 2.0 <= fault < 3.0:
                sim.after(
                    delay + 5.0,
                    lambda: self.deliver(connection, reply, outcome, details),
                )

        def arrive() -> None:
            if not sim.answers(connection.server) and connection.server.is_alive:
                sim.after(50.0, arrive)  # a frozen server works off its backlog later
            elif (
                connection.server.is_alive
                and connection.server.incarnation == connection.incarnation
                and sim.reaches(self.zone, connection.server.zone)
                and not connection.is_silent
            ):
                self.execute(effect, connection, operation, send)

        sim.after(sim.delay(), arrive)
        sim.after(effect.timeout_ms, lambda: reply(AttemptOutcome.LOST))

    def deliver(
        self,
        connection: FakeConnection,
        reply: Callable[..., None],
        outcome: AttemptOutcome,
        details: dict[str, Any],
    ) -> None:
        if self.simulation.reaches(self.zone, connection.server.zone):
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
        self.answers[effect.request_id, effect.attempt] = server.applied()
        send(AttemptOutcome.OK)

    def finish(self, effect: CompleteRequest | RefuseRequest) -> None:
        operation, on_end = self.open.pop(effect.request_id)
        operation.ended = self.simulation.now
        if isinstance(effect, CompleteRequest):
            operation.is_ok = True
            operation.is_from_replica = effect.is_from_replica
            position = self.answers.get((effect.request_id, effect.attempt))
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
        self.home = simulation.rng.choice(simulation.hosts)
        self.caller_id = int(name[1:]) + 1
        self.transaction: list[RequestKind] = []
        self.n_transactions = 0
        self.watermark: LogPosition | None = None

    def next_operation(self) -> None:
        sim = self.simulation
        if sim.now < sim.end_ms or self.transaction:
            sim.after(sim.rng.expovariate(1 / 15.0), self.submit)

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
            self.home = sim.rng.choice(sim.hosts)
        is_keyed = (
            kind is RequestKind.WRITE and not is_inside and sim.rng.random() < 0.5
        )
        operation = Operation(
            self.name,
            kind,
            sim.next_value,
            sim.now,
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
        self.home.submit(operation, self.caller_id, hints, self.on_end)

    def on_end(self, operation: Operation) -> None:
        if operation.position is not None:
            self.watermark = max(self.watermark or ZERO, operation.position)
        if not operation.is_ok and operation.kind is not RequestKind.READ:
            if operation.kind is RequestKind.BEGIN:
                self.transaction = []
            elif self.transaction:
                self.transaction = [RequestKind.ROLLBACK]
        self.next_operation()
