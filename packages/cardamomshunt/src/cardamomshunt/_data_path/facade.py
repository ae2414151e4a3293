"""The data path: decisions on requests, connections and retries, without I/O."""

import heapq

from cardamomshunt._configuration.document import ClusterConfiguration
from cardamomshunt._data_path.admission import ConcurrencyLimit
from cardamomshunt._data_path.attempts import Attempts
from cardamomshunt._data_path.breaker import CircuitBreaker
from cardamomshunt._data_path.dispatch import POSITION_QUERY_TIMEOUT_MS
from cardamomshunt._data_path.effects import (
    AttemptOutcome,
    AttemptResult,
    CallerId,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    DataPathEffect,
    RefuseRequest,
    Request,
    RequestClass,
    RequestId,
    RequestKind,
)
from cardamomshunt._data_path.group import DatabaseGroup
from cardamomshunt._data_path.idempotency import check_idempotency_key, repeat_rule
from cardamomshunt._data_path.interface import AbstractDataPath
from cardamomshunt._data_path.path_state import END_KINDS, not_run_refusal
from cardamomshunt._data_path.pool import InstanceState
from cardamomshunt._data_path.request_state import (
    CallerState,
    PendingRequest,
    RunningAttempt,
)
from cardamomshunt._data_path.retries import (
    RepeatRule,
)
from cardamomshunt._data_path.sessions import Session
from cardamomshunt._shared.messages import (
    Announcement,
    ConnectionDemand,
    ConnectionGrant,
    InstanceObservation,
    InstanceRole,
    TopologyUpdate,
)
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.verdict import Refusal, RefusalReason

MAINTENANCE_INTERVAL_MS = 250.0
N_MAINTENANCE_RUNS_PER_DECAY = 8  # lowers the peak of connections in use by one in 2 s
IDLE_DELAY_FACTOR = 0.8
TRANSACTION_IDLE_MS = 30_000.0  # an idle transaction occupies locks and a connection


class DataPath(Attempts, AbstractDataPath):
    """Route the requests of callers to backend servers.

    The host carries out the returned effects and reports their results. For an outcome
    query, it sets `hints.idempotency_key` to the key. A request that needs no server,
    such as a COMMIT outside a transaction, completes with attempt 0 and an empty
    `first_answer`.
    """

    def on_topology(
        self, now_ms: float, update: TopologyUpdate
    ) -> list[DataPathEffect]:
        """Apply terms and primaries; an older version is ignored."""
        if update.version < self._topology_version:
            return []
        self._topology_version = update.version
        for topology in update.databases:
            group = self._group(topology.database)
            former_term = group.term
            if group.on_topology(topology):
                self._after_topology(now_ms, group, former_term)
        return self._outbox.pop_all()

    def _after_topology(
        self, now_ms: float, group: DatabaseGroup, former_term: int
    ) -> None:
        if group.term != former_term:
            self._end_older_terms(now_ms, group)
        for instance in group.instances.values():
            self._pool.close_outdated(instance)
        if group.primary is not None:
            self._pool.warm_up(now_ms, group.primary)
        self._redispatch(now_ms, group)

    def _end_older_terms(self, now_ms: float, group: DatabaseGroup) -> None:
        """End transactions and repeatable attempts that are bound to an older term."""
        for transaction in list(self._transactions.values()):
            if transaction.group is group and not transaction.is_read_only:
                self._lose_transaction(now_ms, transaction, "the primary has changed")
        for connection in list(self._pool.connections.values()):
            attempt = connection.attempt
            if (
                isinstance(attempt, RunningAttempt)
                and attempt.pending.group is group
                and connection.bound_term is not None
                and connection.bound_term < group.term
                and attempt.pending.transaction is None
                and attempt.pending.repeat_rule is not RepeatRule.NEVER
            ):
                # Requests that must not be repeated continue, as they may still be
                # acknowledged.
                self._pool.close(connection, "the primary has changed")
                self._end_attempt(
                    now_ms, attempt, AttemptOutcome.LOST, "the primary has changed"
                )

    def on_configuration(
        self, now_ms: float, document_json: str
    ) -> list[DataPathEffect]:
        """Apply the cluster configuration; an older version is ignored."""
        document = ClusterConfiguration.from_json(document_json)
        if document.version < self._configuration.version:
            return []
        self._configuration = document
        self._leases.floor = document.policy.n_connections_floor
        for name in {*document.databases, *self._groups}:
            self._group(name).on_settings(
                document.database(name), document.policy.retry_budget_ratio
            )
        return self._outbox.pop_all()

    def on_announcement(
        self, now_ms: float, announcement: Announcement, echo_issued_ms: float | None
    ) -> list[DataPathEffect]:
        """Apply the state of a server and the position that it confirms."""
        group = self._group(announcement.group)
        instance = self._instance(group, announcement)
        if not instance.on_announcement(now_ms, announcement):
            return []
        former_term = group.term
        is_new_primary = (
            announcement.role is InstanceRole.PRIMARY
            and group.on_primary_announced(announcement.instance, announcement.term)
        )
        if announcement.echo is not None and echo_issued_ms is not None:
            group.bounds.add(announcement.echo.position, echo_issued_ms)
        if is_new_primary:
            self._after_topology(now_ms, group, former_term)
        else:
            self._pool.close_outdated(instance)
            self._redispatch(now_ms, group)
        if not instance.n_connections and instance.accepts_work:
            self._pool.warm_up(now_ms, instance)
        return self._outbox.pop_all()

    def _instance(
        self, group: DatabaseGroup, announcement: Announcement
    ) -> InstanceState:
        instance = self._instances.get(announcement.instance)
        if instance is None:
            instance = InstanceState(
                announcement.instance,
                group.name,
                ConcurrencyLimit(announcement.n_slots),
                CircuitBreaker(self._generator),
            )
            instance.is_draining = announcement.instance in self._draining
            self._instances[announcement.instance] = instance
            group.instances[announcement.instance] = instance
            group.bind()
        return instance

    def on_confirmed_bound(
        self, now_ms: float, bound: ConfirmedBound | None, database: str
    ) -> list[DataPathEffect]:
        """Apply the answer to a position query; None if the query failed."""
        group = self._group(database)
        connection = group.position_query
        group.position_query = None
        if connection is not None and connection.state == "active":
            if bound is None:
                self._pool.close(connection, "the position query failed")
            else:
                connection.is_position_query = False
                connection.instance.last_heard_ms = now_ms
                self._pool.release(now_ms, connection, needs_reset=False)
        if bound is None:
            self._back_off_position_queries(now_ms, group)
        else:
            group.bounds.add(bound.position, bound.as_of_ms)
        self._redispatch(now_ms, group)
        return self._outbox.pop_all()

    def on_grants(
        self, now_ms: float, grants: list[ConnectionGrant]
    ) -> list[DataPathEffect]:
        """Apply grants of connections, and start requests that waited for them."""
        self._leases.on_grants(now_ms, grants)
        for group in self._groups.values():
            self._dispatch(now_ms, group)
        return self._outbox.pop_all()

    def on_drain(
        self, now_ms: float, instance: str, is_draining: bool
    ) -> list[DataPathEffect]:
        """Stop or resume sending new requests to an instance."""
        if is_draining:
            self._draining.add(instance)
        else:
            self._draining.discard(instance)
        state = self._instances.get(instance)
        if state is not None:
            state.is_draining = is_draining
            self._redispatch(now_ms, self._groups[state.database])
        return self._outbox.pop_all()

    def submit(self, now_ms: float, request: Request) -> list[DataPathEffect]:
        """Accept a request, and answer, refuse, start or queue it."""
        caller = self._callers.get(request.caller_id)
        if caller is None:
            caller = self._callers[request.caller_id] = CallerState(request.caller_id)
        refusal = self._check_request(request, caller)
        if refusal is not None:
            self._outbox.effects.append(
                RefuseRequest(request_id=request.request_id, refusal=refusal)
            )
            return self._outbox.pop_all()
        pending = self._new_pending(now_ms, request, caller)
        if caller.transaction is not None:
            self._submit_in_transaction(now_ms, pending, caller.transaction)
        elif request.kind in END_KINDS:
            self._complete_locally(pending)
        elif request.kind is RequestKind.SESSION_STATE:
            detail = "connection state does not last outside a transaction"
            self._refuse(
                pending, not_run_refusal(RefusalReason.UNSUPPORTED_STATEMENT, detail)
            )
        else:
            self._admit(now_ms, pending)
        return self._outbox.pop_all()

    def _check_request(self, request: Request, caller: CallerState) -> Refusal | None:
        transaction = caller.transaction
        if request.database not in self._groups:
            detail = f"unknown database {request.database!r}"
            return not_run_refusal(RefusalReason.UNKNOWN_DATABASE, detail)
        if caller.pending is not None:
            detail = "the caller's previous request has not ended"
            return not_run_refusal(RefusalReason.OVERLOADED, detail)
        if self._is_draining and transaction is None:
            return not_run_refusal(
                RefusalReason.SHUTTING_DOWN, "the entry VM is stopping"
            )
        return check_idempotency_key(request, is_in_transaction=transaction is not None)

    def _new_pending(
        self, now_ms: float, request: Request, caller: CallerState
    ) -> PendingRequest:
        group = self._groups[request.database]
        hints = request.hints
        request_class = hints.request_class
        if request_class is None:
            is_read = request.kind is RequestKind.READ
            request_class = RequestClass.LOOKUP if is_read else RequestClass.ORDER
        settings = group.settings_by_class[request_class]
        deadline_ms = now_ms + (hints.deadline_ms or settings.deadline_ms)
        pending = PendingRequest(
            request,
            request.kind,
            caller,
            group,
            self._session(caller, request),
            request_class,
            settings,
            now_ms,
            deadline_ms,
            repeat_rule(request),
        )
        self._requests[request.request_id] = pending
        caller.pending = pending
        heapq.heappush(self._deadlines, (deadline_ms, request.request_id))
        return pending

    def _session(self, caller: CallerState, request: Request) -> Session:
        name = request.hints.session
        caller.session_name = name
        if name is not None:
            return self._named_sessions.get(name, request.database)
        session = caller.sessions.get(request.database)
        if session is None:
            session = caller.sessions[request.database] = Session()
        return session

    def on_attempt_result(
        self, now_ms: float, result: AttemptResult
    ) -> list[DataPathEffect]:
        """Process the result of an attempt; late and repeated results are ignored."""
        connection = self._pool.connections.get(result.connection_id)
        attempt = connection.attempt if connection is not None else None
        if (
            not isinstance(attempt, RunningAttempt)
            or attempt.number != result.attempt
            or attempt.pending.request.request_id != result.request_id
        ):
            return self._outbox.pop_all()
        self._record_result(now_ms, attempt, result)
        self._finish_attempt(now_ms, attempt, result)
        self._dispatch(now_ms, attempt.pending.group)
        return self._outbox.pop_all()

    def cancel(self, now_ms: float, request_id: RequestId) -> list[DataPathEffect]:
        """Cancel a request; its refusal states whether it may have run."""
        pending = self._requests.get(request_id)
        if pending is not None:
            self._abort(
                now_ms,
                pending,
                RefusalReason.CANCELLED,
                "the caller cancelled the request",
            )
            self._dispatch(now_ms, pending.group)
        return self._outbox.pop_all()

    def on_caller_disconnected(
        self, now_ms: float, caller_id: CallerId
    ) -> list[DataPathEffect]:
        """Abandon the request of a caller, and roll back its transaction."""
        caller = self._callers.pop(caller_id, None)
        if caller is None:
            return []
        pending = caller.pending
        if pending is not None:
            self._close_running_attempts(now_ms, pending, "the caller has disconnected")
            self._close_request(pending, "abandon")
        transaction = caller.transaction
        self._end_transaction(caller)
        if transaction is not None and transaction.connection.state == "pinned":
            connection = transaction.connection
            self._pool.release(now_ms, connection, needs_reset=True)
        if pending is not None:
            self._dispatch(now_ms, pending.group)
        return self._outbox.pop_all()

    def drain(self, now_ms: float) -> list[DataPathEffect]:
        """Refuse new requests outside transactions; open transactions may finish."""
        self._is_draining = True
        return self._outbox.pop_all()

    def on_connection_opened(
        self, now_ms: float, opened: ConnectionOpened
    ) -> list[DataPathEffect]:
        """Add an open connection to the pool."""
        connection = self._pool.on_opened(now_ms, opened)
        if connection is not None:
            self._dispatch(now_ms, self._groups[connection.instance.database])
        return self._outbox.pop_all()

    def on_connection_failed(
        self, now_ms: float, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> list[DataPathEffect]:
        """Back off after a connection could not be opened."""
        connection = self._pool.on_failed(now_ms, connection_id, is_refused)
        if connection is not None:
            self._wake_at(connection.instance.next_connect_ms)
        return self._outbox.pop_all()

    def on_connection_closed(
        self, now_ms: float, connection_id: ConnectionId, detail: str
    ) -> list[DataPathEffect]:
        """Remove a connection that the server closed, and end what ran on it."""
        connection = self._pool.on_closed(connection_id)
        if connection is None:
            return []
        group = self._groups[connection.instance.database]
        if isinstance(connection.attempt, RunningAttempt):
            self._end_attempt(now_ms, connection.attempt, AttemptOutcome.LOST, detail)
        if group.position_query is connection:
            group.position_query = None
            self._back_off_position_queries(now_ms, group)
        for transaction in self._transactions.values():
            if transaction.connection is connection:
                transaction.is_lost = True
        self._dispatch(now_ms, group)
        return self._outbox.pop_all()

    def on_connection_reset(
        self, now_ms: float, connection_id: ConnectionId
    ) -> list[DataPathEffect]:
        """Return a connection to the pool after its reset."""
        connection = self._pool.on_reset(now_ms, connection_id)
        if connection is not None:
            self._redispatch(now_ms, self._groups[connection.instance.database])
        return self._outbox.pop_all()

    def tick(self, now_ms: float) -> list[DataPathEffect]:
        """Process the deadlines that have passed."""
        groups = self._expire_requests(now_ms)
        self._expire_connections(now_ms)
        if now_ms >= self._next_maintenance_ms:
            self._maintain(now_ms)
        if self._wake_ms is not None and now_ms >= self._wake_ms:
            self._wake_ms = None
            groups.update(self._groups.values())
        for group in groups:
            self._redispatch(now_ms, group)
        return self._outbox.pop_all()

    def _expire_requests(self, now_ms: float) -> set[DatabaseGroup]:
        groups = set()
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadlines)
            pending = self._requests.get(request_id)
            if pending is None:
                continue
            groups.add(pending.group)
            if now_ms >= pending.deadline_ms:
                self._refuse_expired(now_ms, pending)
            elif pending.state == "waiting":
                self._schedule_read(now_ms, pending)
            elif pending.hedge_at_ms is not None and now_ms >= pending.hedge_at_ms:
                self._hedge(now_ms, pending)
        return groups

    def _expire_connections(self, now_ms: float) -> None:
        for connection in self._pool.expired(now_ms):
            instance = connection.instance
            instance.breaker.on_failure(now_ms)
            if connection.state == "opening":
                self._pool.on_open_timeout(now_ms, connection)
            else:
                self._pool.close(connection, "the connection does not respond")

    def _maintain(self, now_ms: float) -> None:
        self._next_maintenance_ms = now_ms + MAINTENANCE_INTERVAL_MS
        self._n_maintenance_runs += 1
        is_decay = self._n_maintenance_runs % N_MAINTENANCE_RUNS_PER_DECAY == 0
        for instance in self._instances.values():
            self._pool.maintain(now_ms, instance)
            if is_decay:
                n_idle = len(instance.idle) + instance.n_opening
                n_in_use = instance.n_connections - n_idle
                instance.n_in_use_peak = max(n_in_use, instance.n_in_use_peak - 1)
                instance.n_unserved = 0
                if not instance.n_running:
                    # Without requests the delay is not measured, so lower it until the
                    # instance becomes eligible again.
                    instance.delay_ms *= IDLE_DELAY_FACTOR
        self._expire_transactions(now_ms)
        self._expire_position_queries(now_ms)
        for group in self._groups.values():
            group.record_primary_availability(now_ms)
            self._redispatch(now_ms, group)

    def _expire_transactions(self, now_ms: float) -> None:
        for transaction in list(self._transactions.values()):
            is_idle = transaction.connection.state == "pinned"
            if is_idle and now_ms - transaction.last_used_ms > TRANSACTION_IDLE_MS:
                detail = "the transaction was idle for too long"
                self._lose_transaction(now_ms, transaction, detail)

    def _expire_position_queries(self, now_ms: float) -> None:
        for group in self._groups.values():
            sent_ms = group.position_query_sent_ms
            if (
                group.position_query
                and now_ms - sent_ms > 2 * POSITION_QUERY_TIMEOUT_MS
            ):
                self._pool.close(
                    group.position_query, "the position query was not answered"
                )
                group.position_query = None

    def next_deadline_ms(self) -> float | None:
        """Return the time at which `tick` has to be called next."""
        while self._deadlines and self._deadlines[0][1] not in self._requests:
            heapq.heappop(self._deadlines)
        times = [self._next_maintenance_ms]
        if self._wake_ms is not None:
            times.append(self._wake_ms)
        if self._deadlines:
            times.append(self._deadlines[0][0])
        expiry_ms = self._pool.next_expiry_ms()
        if expiry_ms is not None:
            times.append(expiry_ms)
        return min(times)

    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session, or None if there is none."""
        caller = self._callers.get(caller_id)
        if caller is None:
            return None
        if caller.session_name is not None:
            session = self._named_sessions.get(caller.session_name, database)
        elif database in caller.sessions:
            session = caller.sessions[database]
        else:
            return None
        if database in self._groups:
            session.resolve(self._groups[database].bounds)
        return session.position

    def n_open_requests(self) -> int:
        """Return the number of unfinished requests and open transactions."""
        n_transactions = sum(
            not transaction.is_lost for transaction in self._transactions.values()
        )
        return len(self._requests) + n_transactions

    def observations(self, now_ms: float) -> list[InstanceObservation]:
        """Return the state of all known instances for a health report."""
        return [
            _observe(now_ms, instance)
            for instance in self._instances.values()
            if instance.address is not None
        ]

    def connection_demand(self, now_ms: float) -> list[ConnectionDemand]:
        """Return the number of connections that this entry VM can use, by instance."""
        return [
            ConnectionDemand(
                instance=instance.name,
                n_requested=min(
                    instance.n_in_use_peak
                    + 1
                    + min(instance.n_unserved, instance.n_slots),
                    instance.n_connections_max,
                ),
            )
            for instance in self._instances.values()
        ]


def _observe(now_ms: float, instance: InstanceState) -> InstanceObservation:
    assert instance.address is not None
    return InstanceObservation(
        database=instance.database,
        instance=instance.name,
        incarnation=instance.incarnation,
        zone=instance.zone,
        address=instance.address,
        role=instance.role,
        term=instance.term,
        log_position=instance.log_position,
        applied_position=instance.applied_position,
        n_slots=instance.n_slots,
        n_connections_max=instance.n_connections_max,
        silence_ms=now_ms - instance.last_heard_ms,
        is_refusing=instance.is_refusing,
        is_leaving=instance.is_leaving,
    )
