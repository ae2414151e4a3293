"""Measure the cost of decisions of the data path; prints JSON lines.

The host is simulated: it completes each attempt at once. Times are CPU time of this
process, from `submit` to the effect that completes the request, with resets included.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import click
from cardamomshunt.classification import StatementClassifier
from cardamomshunt.configuration import ClusterConfiguration, DatabaseSettings
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import (
    AttemptOutcome,
    AttemptResult,
    CompleteRequest,
    ConfirmedBound,
    ConnectionOpened,
    DataPathEffect,
    FirstAnswer,
    OpenConnection,
    QueryPosition,
    Request,
    RequestKind,
    ResetConnection,
    SessionHints,
    StartAttempt,
)
from cardamomshunt.hints import parse_hints
from cardamomshunt.messages import (
    Announcement,
    InstanceAddress,
    InstanceRole,
    TokenEcho,
)
from cardamomshunt.position import LogPosition

DATABASES = ("orders", "stock", "dispatch")
STATEMENT = (
    "/* cardamomshunt: max_age_ms=500 */ SELECT id, name, price FROM products "
    "WHERE id = 12345 AND region = 'north' LIMIT 10"
)


class Host:
    """Complete each effect of a data path at once."""

    def __init__(self) -> None:
        databases = {name: DatabaseSettings() for name in DATABASES}
        self.now_ms = 0.0
        self.position = 10
        self.n_completed = 0
        self.path = DataPath(
            zone="a",
            generator=random.Random(1),
            configuration=ClusterConfiguration(databases=databases),
        )
        self._next_request = 1

    def announce(self) -> None:
        """Submit announcements of all instances at the newest position."""
        for database in DATABASES:
            for index in range(3):
                role = InstanceRole.REPLICA if index else InstanceRole.PRIMARY
                self._announce(database, f"{database}-{index}", role)

    def _announce(self, database: str, instance: str, role: InstanceRole) -> None:
        position = LogPosition(1, self.position)
        is_primary = role is InstanceRole.PRIMARY
        announcement = Announcement(
            group=database,
            instance=instance,
            incarnation=1,
            zone="a",
            address=InstanceAddress("127.0.0.1", 1),
            role=role,
            term=1,
            log_position=position,
            applied_position=position,
            n_slots=5,
            n_connections_max=35,
            echo=TokenEcho(token="t", position=position) if is_primary else None,
        )
        issued_ms = self.now_ms if is_primary else None
        self.run(self.path.on_announcement(self.now_ms, announcement, issued_ms))

    def submit(
        self, caller_id: int, kind: RequestKind, hints: SessionHints, database: str
    ) -> None:
        """Submit a request and run its effects."""
        request = Request(
            request_id=self._next_request,
            caller_id=caller_id,
            database=database,
            kind=kind,
            hints=hints,
        )
        self._next_request += 1
        self.run(self.path.submit(self.now_ms, request))

    def run(self, effects: list[DataPathEffect]) -> None:
        """Run effects, and those that follow from them, until none are left."""
        pending = list(effects)
        while pending:
            pending.extend(self._complete_effect(pending.pop(0)))

    def _complete_effect(self, effect: DataPathEffect) -> list[DataPathEffect]:
        if isinstance(effect, StartAttempt):
            return self.path.on_attempt_result(self.now_ms, self._result(effect))
        if isinstance(effect, ResetConnection):
            return self.path.on_connection_reset(self.now_ms, effect.connection_id)
        if isinstance(effect, OpenConnection):
            return self.path.on_connection_opened(self.now_ms, self._opened(effect))
        if isinstance(effect, QueryPosition):
            bound = ConfirmedBound(
                database=effect.database,
                position=LogPosition(1, self.position),
                as_of_ms=self.now_ms,
            )
            return self.path.on_confirmed_bound(self.now_ms, bound, effect.database)
        self.n_completed += isinstance(effect, CompleteRequest)
        return []

    def _result(self, effect: StartAttempt) -> AttemptResult:
        is_keyed = effect.idempotency_key is not None
        return AttemptResult(
            request_id=effect.request_id,
            attempt=effect.attempt,
            connection_id=effect.connection_id,
            outcome=AttemptOutcome.OK,
            position=LogPosition(1, self.position),
            first_answer=FirstAnswer(1, 1) if is_keyed else None,
        )

    def _opened(self, effect: OpenConnection) -> ConnectionOpened:
        is_primary = effect.instance.endswith("-0")
        return ConnectionOpened(
            connection_id=effect.connection_id,
            instance=effect.instance,
            incarnation=1,
            role=InstanceRole.PRIMARY if is_primary else InstanceRole.REPLICA,
            term=1,
            applied_position=LogPosition(1, self.position),
            elapsed_ms=10.0,
        )


Step = Callable[[Host, int], None]


def _read(host: Host, caller_id: int) -> None:
    host.submit(caller_id, RequestKind.READ, SessionHints(max_age_ms=500.0), "orders")


def _roaming_read(host: Host, caller_id: int) -> None:
    hints = SessionHints(session=f"s{caller_id}")
    host.submit(caller_id, RequestKind.READ, hints, "orders")


def _keyed_write(host: Host, caller_id: int) -> None:
    hints = SessionHints(idempotency_key=f"k{host.now_ms}")
    host.submit(caller_id, RequestKind.WRITE, hints, "orders")


def _transaction(host: Host, caller_id: int) -> None:
    for kind in (RequestKind.BEGIN, RequestKind.WRITE, RequestKind.COMMIT):
        host.submit(caller_id, kind, SessionHints(), "orders")


STEPS: dict[str, tuple[Step, int]] = {
    "read_within_age": (_read, 1),
    "read_of_roaming_session": (_roaming_read, 1),
    "keyed_write": (_keyed_write, 1),
    "transaction": (_transaction, 3),
}


def measure_steps(n_statements: int, n_callers: int) -> list[dict[str, Any]]:
    """Measure each kind of request at 1,800 statements per simulated second."""
    results = []
    for name, (step, n_statements_of_step) in STEPS.items():
        host = Host()
        host.announce()
        n_steps = n_statements // n_statements_of_step
        started = time.process_time()
        for index in range(n_steps):
            host.now_ms += n_statements_of_step * 1_000.0 / 1_800.0
            if index % 180 == 0:
                host.announce()
            step(host, index % n_callers)
            deadline_ms = host.path.next_deadline_ms()
            if deadline_ms is not None and deadline_ms <= host.now_ms:
                host.run(host.path.tick(host.now_ms))
        elapsed_s = time.process_time() - started
        n_run = n_steps * n_statements_of_step
        results.append(
            {
                "measure": "data_path_cost",
                "request": name,
                "n_statements": n_run,
                "n_completed": host.n_completed,
                "cost_us": round(elapsed_s / n_run * 1e6, 1),
            }
        )
    return results


def measure_parsing(n_statements: int) -> dict[str, Any]:
    """Measure the parsing of hints and the classification of a repeated statement."""
    classifier = StatementClassifier()
    started = time.process_time()
    for _ in range(n_statements):
        parse_hints(STATEMENT)
        classifier.classify(STATEMENT)
    elapsed_s = time.process_time() - started
    return {
        "measure": "parsing_cost",
        "n_characters": len(STATEMENT),
        "cost_us": round(elapsed_s / n_statements * 1e6, 1),
    }


def measure_memory(n_callers: int, *, is_roaming: bool) -> dict[str, Any]:
    """Measure the memory retained for callers that are idle after one read."""
    host = Host()
    host.announce()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for caller_id in range(n_callers):
        host.now_ms += 0.5
        (_roaming_read if is_roaming else _read)(host, caller_id)
    host.now_ms += 10_000.0
    host.run(host.path.tick(host.now_ms))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "measure": "memory",
        "kept": "idle caller with a named session" if is_roaming else "idle caller",
        "n_callers": n_callers,
        "size_bytes": round((after - before) / n_callers),
    }


@click.command()
@click.option("--n-statements", default=20_000, show_default=True)
@click.option("--n-callers", default=9_000, show_default=True)
def main(n_statements: int, n_callers: int) -> None:
    """Print the cost per statement and the memory per caller as JSON lines."""
    for result in (
        *measure_steps(n_statements, n_callers),
        measure_parsing(n_statements),
        measure_memory(n_callers, is_roaming=False),
        measure_memory(n_callers, is_roaming=True),
    ):
        print(json.dumps(result))


if __name__ == "__main__":
    main()
