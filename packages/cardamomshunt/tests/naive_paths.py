"""Naive versions of the data path, for comparison and to verify the checks."""

import random
from typing import Any

from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.effects import (
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    CompleteRequest,
    ConnectionOpened,
    OpenConnection,
    RefuseRequest,
    Request,
    RequestKind,
    ResetConnection,
    StartAttempt,
)
from cardamomshunt.messages import Announcement, TopologyUpdate
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict


class NaiveSplitter:
    """Send writes to the primary and reads to any instance, without watermarks."""

    reads_from_replicas = True
    write_kind = AttemptKind.ACKNOWLEDGED_WRITE
    commit_kind = AttemptKind.ACKNOWLEDGED_COMMIT

    def __init__(
        self,
        *,
        zone: str,
        generator: random.Random,
        configuration: ClusterConfiguration,
    ) -> None:
        self.generator = generator
        self.term = 1
        self.primary = ""
        self.addresses: dict[str, Any] = {}
        self.idle: dict[str, list[int]] = {}
        self.owners: dict[int, tuple[str, int]] = {}
        self.pinned: dict[int, int] = {}
        self.running: dict[int, Request] = {}
        self.next_connection = 1

    def on_topology(self, now_ms: float, update: TopologyUpdate) -> list[Any]:
        self.term = update.databases[0].term
        self.primary = update.databases[0].primary_instance or ""
        return (
            self.open_connections(self.primary)
            if self.primary in self.addresses
            else []
        )

    def on_announcement(
        self, now_ms: float, announcement: Announcement, echo_issued_ms: float | None
    ) -> list[Any]:
        self.addresses[announcement.instance] = announcement.address
        return (
            []
            if announcement.instance in self.idle
            else self.open_connections(announcement.instance)
        )

    def open_connections(self, instance: str) -> list[Any]:
        self.idle[instance] = []
        effects = []
        for _ in range(8):
            term = self.term if instance == self.primary else None
            self.owners[self.next_connection] = (instance, self.term)
            effects.append(
                OpenConnection(
                    connection_id=self.next_connection,
                    database="orders",
                    instance=instance,
                    address=self.addresses[instance],
                    term=term,
                )
            )
            self.next_connection += 1
        return effects

    def on_connection_opened(
        self, now_ms: float, opened: ConnectionOpened
    ) -> list[Any]:
        return self.release(opened.connection_id)

    def on_connection_failed(self, *_: Any) -> list[Any]:
        return []

    def on_connection_reset(self, now_ms: float, connection_id: int) -> list[Any]:
        return self.release(connection_id)

    def release(self, connection_id: int) -> list[Any]:
        instance, term = self.owners[connection_id]
        if term == self.term or instance != self.primary:
            self.idle[instance].append(connection_id)
        return []

    def submit(self, now_ms: float, request: Request) -> list[Any]:
        connection_id = self.pinned.get(request.caller_id)
        if connection_id is None:
            instance = self.primary
            if request.kind is RequestKind.READ and self.reads_from_replicas:
                instance = self.generator.choice(sorted(self.idle) or [""])
            if request.kind in (RequestKind.COMMIT, RequestKind.ROLLBACK):
                return [self.refuse(request, Verdict.NOT_RUN)]
            if not self.idle.get(instance):
                return [self.refuse(request, Verdict.NOT_RUN)]
            connection_id = self.idle[instance].pop()
        self.running[request.request_id] = request
        return [
            StartAttempt(
                request_id=request.request_id,
                attempt=1,
                connection_id=connection_id,
                kind=self.kind(request),
                timeout_ms=800.0,
                idempotency_key=request.hints.idempotency_key,
            )
        ]

    def kind(self, request: Request) -> AttemptKind:
        if request.kind is RequestKind.COMMIT:
            return self.commit_kind
        is_single = request.caller_id not in self.pinned
        if request.kind is RequestKind.WRITE and is_single:
            return self.write_kind
        return AttemptKind.PLAIN

    def refuse(self, request: Request, verdict: Verdict) -> RefuseRequest:
        refusal = Refusal(verdict, RefusalReason.CONNECTION_LOST, "naive")
        return RefuseRequest(request_id=request.request_id, refusal=refusal)

    def on_attempt_result(self, now_ms: float, result: AttemptResult) -> list[Any]:
        request = self.running.pop(result.request_id, None)
        if request is None:
            return []
        caller_id = request.caller_id
        if result.outcome is not AttemptOutcome.OK:
            self.pinned.pop(caller_id, None)
            is_sent = result.outcome is AttemptOutcome.LOST
            verdict = Verdict.MAY_HAVE_RUN if is_sent else Verdict.NOT_RUN
            return [self.refuse(request, verdict)]
        effects: list[Any] = []
        if request.kind is RequestKind.BEGIN:
            self.pinned[caller_id] = result.connection_id
        elif request.kind in (RequestKind.COMMIT, RequestKind.ROLLBACK):
            self.pinned.pop(caller_id, None)
            effects.append(ResetConnection(connection_id=result.connection_id))
        elif caller_id not in self.pinned:
            self.release(result.connection_id)
        effects.append(
            CompleteRequest(
                request_id=result.request_id, attempt=1, watermark=result.position
            )
        )
        return effects

    def tick(self, now_ms: float) -> list[Any]:
        return []

    def next_deadline_ms(self) -> float | None:
        return None


class OnePrimary(NaiveSplitter):
    """Send everything to the primary, which acknowledges writes without a majority."""

    reads_from_replicas = False
    write_kind = AttemptKind.PLAIN
    commit_kind = AttemptKind.ACKNOWLEDGED_COMMIT
