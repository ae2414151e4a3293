"""A data path with one primary and two replicas that a test runs step by step."""

import random
from typing import Any, TypeVar

from cardamomshunt.configuration import (
    ClusterConfiguration,
    DatabaseSettings,
    PolicySettings,
)
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import (
    AttemptOutcome,
    AttemptResult,
    ConnectionOpened,
    OpenConnection,
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
from cardamomshunt.position import LogPosition

T = TypeVar("T")
PRIMARY = "p"
REPLICAS = ("r1", "r2")


class ScriptedHost:
    """Open and reset connections immediately; the test ends the attempts."""

    def __init__(self, **policy: Any) -> None:
        self.now_ms = 0.0
        self.next_request = 1
        self.version = 1
        self.term = 1
        self.roles = dict.fromkeys(REPLICAS, InstanceRole.REPLICA)
        self.roles[PRIMARY] = InstanceRole.PRIMARY
        self.unresponsive: set[str] = set()
        self.reported = dict.fromkeys(self.roles, 10)
        configuration = ClusterConfiguration(
            policy=PolicySettings(**policy), databases={"orders": DatabaseSettings()}
        )
        self.path = DataPath(
            zone="a", generator=random.Random(5), configuration=configuration
        )
        self.topology(PRIMARY)
        for name in (PRIMARY, *REPLICAS):
            self.announce(name, 10)

    def run(self, effects: list[Any]) -> list[Any]:
        """Carry out connection effects, and return the others."""
        rest = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if self.is_unresponsive(effect):
                continue
            if isinstance(effect, OpenConnection):
                pending += self.path.on_connection_opened(
                    self.now_ms, self.opened(effect)
                )
            elif isinstance(effect, ResetConnection):
                pending += self.path.on_connection_reset(
                    self.now_ms, effect.connection_id
                )
            else:
                rest.append(effect)
        return rest

    def is_unresponsive(self, effect: Any) -> bool:
        if not isinstance(effect, OpenConnection | ResetConnection):
            return False
        connection = self.path._pool.connections.get(effect.connection_id)
        return connection is not None and connection.instance.name in self.unresponsive

    def opened(self, effect: OpenConnection) -> ConnectionOpened:
        return ConnectionOpened(
            connection_id=effect.connection_id,
            instance=effect.instance,
            incarnation=1,
            role=self.roles[effect.instance],
            term=self.term,
            applied_position=LogPosition(1, 10),
            elapsed_ms=10.0,
        )

    def topology(
        self, primary: str, step: FailoverStep = FailoverStep.SERVING
    ) -> list[Any]:
        self.version += 1
        database = DatabaseTopology(
            database="orders", term=self.term, primary_instance=primary, step=step
        )
        update = TopologyUpdate(version=self.version, databases=[database])
        return self.run(self.path.on_topology(self.now_ms, update))

    def announce(
        self,
        name: str,
        position: int,
        *,
        echo_ms: float | None = None,
        is_leaving: bool = False,
        incarnation: int = 1,
    ) -> list[Any]:
        at = LogPosition(self.term, position)
        self.reported[name] = position
        announcement = Announcement(
            group="orders",
            instance=name,
            incarnation=incarnation,
            zone="a",
            address=InstanceAddress("127.0.0.1", 1),
            role=self.roles[name],
            term=self.term,
            log_position=at,
            applied_position=at,
            n_slots=16,
            n_connections_max=35,
            is_leaving=is_leaving,
            echo=None if echo_ms is None else TokenEcho(token="", position=at),
        )
        return self.run(self.path.on_announcement(self.now_ms, announcement, echo_ms))

    def submit(
        self, kind: RequestKind, *, caller_id: int = 1, **hints: Any
    ) -> list[Any]:
        request = Request(
            request_id=self.next_request,
            caller_id=caller_id,
            database="orders",
            kind=kind,
            hints=SessionHints(**hints),
        )
        self.next_request += 1
        return self.run(self.path.submit(self.now_ms, request))

    def end(
        self,
        attempt: StartAttempt,
        outcome: AttemptOutcome = AttemptOutcome.OK,
        **details: Any,
    ) -> list[Any]:
        result = AttemptResult(
            request_id=attempt.request_id,
            attempt=attempt.attempt,
            connection_id=attempt.connection_id,
            outcome=outcome,
            **details,
        )
        return self.run(self.path.on_attempt_result(self.now_ms, result))

    def wait(self, duration_ms: float, *, announces: bool = True) -> list[Any]:
        """Advance the time, with ticks when due and announcements every 100 ms."""
        effects = []
        until_ms = self.now_ms + duration_ms
        next_announcement_ms = self.now_ms + 100.0
        while True:
            deadline_ms = self.path.next_deadline_ms()
            due_ms = min(until_ms, next_announcement_ms, deadline_ms or until_ms)
            self.now_ms = max(self.now_ms, due_ms)
            effects += self.run(self.path.tick(self.now_ms))
            if self.now_ms >= next_announcement_ms:
                next_announcement_ms += 100.0
                for name in self.roles.keys() - self.unresponsive if announces else ():
                    effects += self.announce(name, self.reported[name])
            if self.now_ms >= until_ms:
                return effects

    def begin(self, **hints: Any) -> StartAttempt:
        """Open a transaction and return the attempt of BEGIN."""
        attempt = only(StartAttempt, self.submit(RequestKind.BEGIN, **hints))
        self.end(attempt)
        return attempt

    def instance_of(self, attempt: StartAttempt) -> str:
        return self.path._pool.connections[attempt.connection_id].instance.name


def only(kind: type[T], effects: list[Any]) -> T:
    """Return the only effect of a type."""
    (found,) = [effect for effect in effects if isinstance(effect, kind)]
    return found


def n_of(kind: type[Any], effects: list[Any]) -> int:
    return sum(isinstance(effect, kind) for effect in effects)
