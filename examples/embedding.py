"""Drive the data path of the library without sockets, with two servers in memory.

A host owns time, sockets and randomness. It passes inputs to `DataPath` and runs the
effects that come back; here the servers answer at once.
"""

import random
from collections import deque

from cardamomshunt.classification import StatementClassifier
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import (
    AttemptOutcome,
    AttemptResult,
    CompleteRequest,
    ConfirmedBound,
    ConnectionOpened,
    DataPathEffect,
    OpenConnection,
    QueryPosition,
    RefuseRequest,
    Request,
    ResetConnection,
    StartAttempt,
)
from cardamomshunt.hints import parse_hints
from cardamomshunt.messages import (
    Announcement,
    DatabaseTopology,
    FailoverStep,
    InstanceAddress,
    InstanceRole,
    TopologyUpdate,
)
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal

TERM = 4
SERVERS = {"orders-1": InstanceRole.PRIMARY, "orders-2": InstanceRole.REPLICA}


class Host:
    """Run the effects of a data path against servers in memory."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.position = LogPosition(TERM, 10)
        self.is_primary_up = True
        self.classifier = StatementClassifier()
        self.data_path = DataPath(zone="zone-a", generator=random.Random(1))
        self.instance_of: dict[int, str] = {}
        self.n_requests = 0

    def start(self) -> None:
        """Tell the data path who is primary, and let the servers announce themselves."""
        topology = DatabaseTopology(
            database="orders",
            term=TERM,
            primary_instance="orders-1",
            step=FailoverStep.SERVING,
        )
        update = TopologyUpdate(version=1, databases=[topology])
        self.run(self.data_path.on_topology(self.now_ms, update))
        self.announce()

    def announce(self) -> None:
        """Send the announcements that servers send every 100 ms."""
        for instance, role in SERVERS.items():
            announcement = Announcement(
                group="orders",
                instance=instance,
                incarnation=1,
                zone="zone-a",
                address=InstanceAddress("127.0.0.1", 3306),
                role=role,
                term=TERM,
                log_position=self.position,
                applied_position=self.position,
                committed_position=self.position,
                n_slots=3,
                n_connections_max=35,
            )
            effects = self.data_path.on_announcement(self.now_ms, announcement, None)
            self.run(effects)

    def execute(self, statement: str) -> None:
        """Submit a statement and let time pass until it is answered."""
        self.n_requests += 1
        hints = parse_hints(statement)
        if isinstance(hints, Refusal):
            print(f"{statement}\n  refused: {hints}")
            return
        print(statement)
        request = Request(
            request_id=self.n_requests,
            caller_id=1,
            database="orders",
            kind=self.classifier.classify(statement).kind,
            hints=hints,
        )
        self.run(self.data_path.submit(self.now_ms, request))
        for _ in range(60):
            if not self.data_path.n_open_requests():
                return
            self.now_ms += 100.0
            self.announce()
            self.run(self.data_path.tick(self.now_ms))

    def run(self, effects: list[DataPathEffect]) -> None:
        """Run effects, and those that follow from their results."""
        queue = deque(effects)
        while queue:
            queue.extend(self.handle(queue.popleft()))

    def handle(self, effect: DataPathEffect) -> list[DataPathEffect]:
        """Run one effect and return the effects of its result."""
        match effect:
            case OpenConnection():
                return self.open(effect)
            case StartAttempt():
                return self.attempt(effect)
            case QueryPosition():
                return self.answer_position(effect)
            case ResetConnection():
                return self.data_path.on_connection_reset(
                    self.now_ms, effect.connection_id
                )
            case CompleteRequest():
                route = "replica" if effect.is_from_replica else "primary"
                print(f"  answered by the {route}, watermark {effect.watermark}")
            case RefuseRequest():
                print(f"  refused: {effect.refusal}")
        return []

    def open(self, effect: OpenConnection) -> list[DataPathEffect]:
        """Open a connection; the handshake tells role, term and applied position."""
        self.instance_of[effect.connection_id] = effect.instance
        opened = ConnectionOpened(
            connection_id=effect.connection_id,
            instance=effect.instance,
            incarnation=1,
            role=SERVERS[effect.instance],
            term=TERM,
            applied_position=self.position,
            elapsed_ms=1.0,
        )
        return self.data_path.on_connection_opened(self.now_ms, opened)

    def attempt(self, effect: StartAttempt) -> list[DataPathEffect]:
        """Run a statement; the primary loses its connections while it is down."""
        instance = self.instance_of[effect.connection_id]
        is_on_primary = SERVERS[instance] is InstanceRole.PRIMARY
        outcome = AttemptOutcome.OK
        if is_on_primary and not self.is_primary_up:
            outcome = AttemptOutcome.LOST
        elif is_on_primary:
            self.position = LogPosition(TERM, self.position.position + 1)
        result = AttemptResult(
            request_id=effect.request_id,
            attempt=effect.attempt,
            connection_id=effect.connection_id,
            outcome=outcome,
            position=self.position if outcome is AttemptOutcome.OK else None,
            elapsed_ms=1.0,
        )
        return self.data_path.on_attempt_result(self.now_ms, result)

    def answer_position(self, effect: QueryPosition) -> list[DataPathEffect]:
        """Answer the query for the primary's confirmed position."""
        bound = None
        if self.is_primary_up:
            bound = ConfirmedBound(
                database="orders", position=self.position, as_of_ms=self.now_ms
            )
        return self.data_path.on_confirmed_bound(self.now_ms, bound, "orders")


def main() -> None:
    """Write, read from a replica, and see what a lost primary means for a write."""
    host = Host()
    host.start()
    host.execute("INSERT INTO orders (item) VALUES ('tea')")
    host.announce()
    host.execute("/* cardamomshunt: max_age_ms=500 */ SELECT item FROM orders")
    host.execute("/* cardamomshunt: max_agems=500 */ SELECT item FROM orders")
    host.is_primary_up = False
    host.execute("INSERT INTO orders (item) VALUES ('dates')")


if __name__ == "__main__":
    main()
