"""The data path: decides on requests, connections and retries, without I/O."""

import heapq
import random

from cardamomshunt._admission import SHED_AT_DEADLINE_SHARE, ConcurrencyLimit, Lane
from cardamomshunt._breaker import CircuitBreaker
from cardamomshunt._configuration_document import ClusterConfiguration
from cardamomshunt._connection_shares import ConnectionLeases
from cardamomshunt._data_path_interface import AbstractDataPath
from cardamomshunt._effects import (
    AskPosition,
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    CallerId,
    CompleteRequest,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    DataPathEffect,
    FirstAnswer,
    QueryOutcome,
    RefuseRequest,
    Request,
    RequestClass,
    RequestId,
    RequestKind,
    StartAttempt,
)
from cardamomshunt._freshness import ReadRequirement
from cardamomshunt._group import FENCED_PAUSE_MS, POSITION_MAX, DatabaseGroup
from cardamomshunt._idempotency import attempt_kind, refusal_of_key, repeat_rule
from cardamomshunt._messages import (
    Announcement,
    ConnectionDemand,
    ConnectionGrant,
    InstanceObservation,
    InstanceRole,
    TopologyUpdate,
)
from cardamomshunt._pool import Connection, ConnectionPool, InstanceState, Outbox
from cardamomshunt._position import LogPosition
from cardamomshunt._request_state import (
    CallerState,
    PendingRequest,
    RunningAttempt,
    Transaction,
)
from cardamomshunt._retries import (
    Action,
    AtMostOnceRetryPolicy,
    RepeatRule,
    RetryPolicy,
)
from cardamomshunt._routing import LeastDelayPolicy, RoutingPolicy, healthy
from cardamomshunt._sessions import Session, SessionStore, required_of_read
from cardamomshunt._verdict import Refusal, RefusalReason, Verdict

MAINTENANCE_MS = 250.0
N_MAINTENANCES_TO_DECAY = 8  # the peak of connections in use falls by one in 2 s
IDLE_DELAY_FACTOR = 0.8
TRANSACTION_IDLE_MS = 30_000.0  # an idle transaction holds locks and a connection
POSITION_QUERY_TIMEOUT_MS = 500.0
POSITION_QUERY_PAUSE_MS = 50.0  # after a failed query
REPEATABLE_SHARE = 0.5  # of the time left, for an attempt that can be repeated

# 1205 lock wait timeout may and 1213 deadlock does roll the transaction back; 1180 is
# an error at commit and 3101 a rollback by the replication layer.
ROLLBACK_ERROR_CODES = frozenset({1180, 1205, 1213, 3101})

_EMPTY_ANSWER = FirstAnswer(0, 0)
_ENDS = (RequestKind.COMMIT, RequestKind.ROLLBACK)
_BEGINS = (RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY)
_READS = (RequestKind.READ, RequestKind.BEGIN_READ_ONLY)


def _refusal(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail)


class DataPath(AbstractDataPath):
    """Decide on everything between a caller's statement and its answer.

    For an outcome query the host puts the key into `hints.idempotency_key`. Answers
    that need no server (COMMIT outside a transaction, say) complete with attempt 0 and
    an empty `first_answer`.
    """

    def __init__(
        self,
        *,
        zone: str,
        generator: random.Random,
        configuration: ClusterConfiguration | None = None,
        retry_policy: RetryPolicy | None = None,
        routing_policy: RoutingPolicy | None = None,
    ) -> None:
        self._configuration = configuration or ClusterConfiguration()
        self._generator = generator
        self._retry_policy = retry_policy or AtMostOnceRetryPolicy()
        self._routing_policy = routing_policy or LeastDelayPolicy(zone, generator)
        self._outbox = Outbox()
        self._leases = ConnectionLeases(self._configuration.policy.n_connections_floor)
        self._pool = ConnectionPool(self._outbox, self._leases, generator)
        self._groups: dict[str, DatabaseGroup] = {}
        self._instances: dict[str, InstanceState] = {}
        self._draining: set[str] = set()
        self._callers: dict[CallerId, CallerState] = {}
        self._requests: dict[RequestId, PendingRequest] = {}
        self._transactions: dict[CallerId, Transaction] = {}
        self._named_sessions = SessionStore()
        self._deadlines: list[tuple[float, RequestId]] = []
        self._topology_version = -1
        self._is_draining = False
        self._next_maintenance_ms = 0.0
        self._wake_ms: float | None = None
        self._n_maintenances = 0
        for name in self._configuration.databases:
            self._group(name)

    # Inputs from control and from backend servers.

    def on_topology(
        self, now_ms: float, update: TopologyUpdate
    ) -> list[DataPathEffect]:
        """Take over terms and primaries; an older version is dropped."""
        if update.version < self._topology_version:
            return []
        self._topology_version = update.version
        for topology in update.databases:
            group = self._group(topology.database)
            former_term = group.term
            if group.on_topology(topology):
                self._after_topology(now_ms, group, former_term)
        return self._outbox.take()

    def _after_topology(
        self, now_ms: float, group: DatabaseGroup, former_term: int
    ) -> None:
        if group.term != former_term:
            self._leave_term(now_ms, group)
        for instance in group.instances.values():
            self._pool.close_unfit(instance)
        if group.primary is not None:
            self._pool.warm_up(now_ms, group.primary)
        self._review(now_ms, group)

    def _leave_term(self, now_ms: float, group: DatabaseGroup) -> None:
        """End what is bound to an older term."""
        for transaction in list(self._transactions.values()):
            if transaction.group is group and not transaction.is_read_only:
                self._lose_transaction(now_ms, transaction, "the primary has changed")
        for connection in list(self._pool.connections.values()):
            attempt = connection.work
            if (
                isinstance(attempt, RunningAttempt)
                and attempt.pending.group is group
                and connection.bound_term is not None
                and connection.bound_term < group.term
                and attempt.pending.transaction is None
                and attempt.pending.rule is not RepeatRule.NEVER
            ):
                # An unkeyed write runs on, as it may still be acknowledged.
                self._pool.close(connection, "the primary has changed")
                self._end_attempt(
                    now_ms, attempt, AttemptOutcome.LOST, "the primary has changed"
                )

    def on_configuration(
        self, now_ms: float, document_json: str
    ) -> list[DataPathEffect]:
        """Take over the cluster configuration; a lower version is dropped."""
        document = ClusterConfiguration.from_json(document_json)
        if document.version < self._configuration.version:
            return []
        self._configuration = document
        self._leases.floor = document.policy.n_connections_floor
        for name in {*document.databases, *self._groups}:
            self._group(name).on_settings(
                document.database(name), document.policy.retry_budget_ratio
            )
        return self._outbox.take()

    def _group(self, name: str) -> DatabaseGroup:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = DatabaseGroup(
                name,
                self._configuration.database(name),
                self._configuration.policy.retry_budget_ratio,
            )
        return group

    def on_announcement(
        self, now_ms: float, announcement: Announcement, echo_issued_ms: float | None
    ) -> list[DataPathEffect]:
        """Take over a server's state and the position that it confirms."""
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
            self._pool.close_unfit(instance)
            self._review(now_ms, group)
        if not instance.n_connections and instance.takes_work:
            self._pool.warm_up(now_ms, instance)
        return self._outbox.take()

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
        """Take over the answer of a position query."""
        group = self._group(database)
        connection = group.query
        group.query = None
        if connection is not None and connection.state == "active":
            if bound is None:
                self._pool.close(connection, "the position query failed")
            else:
                connection.is_position_query = False
                connection.instance.last_contact_ms = now_ms
                self._pool.release(now_ms, connection, needs_reset=False)
        if bound is None:
            self._pause_queries(now_ms, group)
        else:
            group.bounds.add(bound.position, bound.as_of_ms)
        self._review(now_ms, group)
        return self._outbox.take()

    def _pause_queries(self, now_ms: float, group: DatabaseGroup) -> None:
        group.next_query_ms = now_ms + POSITION_QUERY_PAUSE_MS
        self._wake_at(group.next_query_ms)

    def on_grants(
        self, now_ms: float, grants: list[ConnectionGrant]
    ) -> list[DataPathEffect]:
        """Take over connection leases."""
        self._leases.on_grants(now_ms, grants)
        for group in self._groups.values():
            self._pump(now_ms, group)
        return self._outbox.take()

    def on_drain(
        self, now_ms: float, instance: str, is_draining: bool
    ) -> list[DataPathEffect]:
        """Stop or resume giving an instance new work."""
        if is_draining:
            self._draining.add(instance)
        else:
            self._draining.discard(instance)
        state = self._instances.get(instance)
        if state is not None:
            state.is_draining = is_draining
            self._review(now_ms, self._groups[state.database])
        return self._outbox.take()

    # Requests.

    def submit(self, now_ms: float, request: Request) -> list[DataPathEffect]:
        """Accept a request; answer it, start it or queue it."""
        caller = self._callers.get(request.caller_id)
        if caller is None:
            caller = self._callers[request.caller_id] = CallerState(request.caller_id)
        refusal = self._check(request, caller)
        if refusal is not None:
            self._outbox.effects.append(
                RefuseRequest(request_id=request.request_id, refusal=refusal)
            )
            return self._outbox.take()
        pending = self._new_pending(now_ms, request, caller)
        if caller.transaction is not None:
            self._submit_in_transaction(now_ms, pending, caller.transaction)
        elif request.kind in _ENDS:
            self._complete_locally(pending)
        elif request.kind is RequestKind.SESSION_STATE:
            detail = "connection state does not last outside a transaction"
            self._refuse(pending, _refusal(RefusalReason.UNSUPPORTED_STATEMENT, detail))
        else:
            self._admit(now_ms, pending)
        return self._outbox.take()

    def _check(self, request: Request, caller: CallerState) -> Refusal | None:
        transaction = caller.transaction
        if request.database not in self._groups:
            detail = f"no database {request.database!r} is known"
            return _refusal(RefusalReason.UNKNOWN_DATABASE, detail)
        if caller.pending is not None:
            detail = "the caller's previous request has not ended"
            return _refusal(RefusalReason.OVERLOADED, detail)
        if self._is_draining and transaction is None:
            return _refusal(RefusalReason.SHUTTING_DOWN, "the entry VM is stopping")
        return refusal_of_key(request, is_in_transaction=transaction is not None)

    def _new_pending(
        self, now_ms: float, request: Request, caller: CallerState
    ) -> PendingRequest:
        group = self._groups[request.database]
        hints = request.hints
        request_class = hints.request_class
        if request_class is None:
            is_read = request.kind is RequestKind.READ
            request_class = RequestClass.LOOKUP if is_read else RequestClass.ORDER
        settings = group.settings.for_class(request_class)
        deadline_ms = now_ms + (hints.deadline_ms or settings.deadline_ms)
        pending = PendingRequest(
            request,
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

    def _admit(self, now_ms: float, pending: PendingRequest) -> None:
        group = pending.group
        group.budget.on_request()
        if pending.kind in _READS:
            self._require(now_ms, pending)
            self._place_read(now_ms, pending)
        else:
            self._enqueue(now_ms, pending, group.primary_lane)
        self._pump(now_ms, group)

    def _require(self, now_ms: float, pending: PendingRequest) -> None:
        hints = pending.request.hints
        max_age_ms = hints.max_age_ms
        if max_age_ms is None:
            max_age_ms = pending.settings.max_age_ms
        pending.session.settle(pending.group.bounds)
        pending.requirement = required_of_read(
            pending.session, hints, max_age_ms, now_ms
        )

    def _place_read(self, now_ms: float, pending: PendingRequest) -> None:
        """Queue a read for replicas or the primary, or let it wait for freshness."""
        group = pending.group
        requirement = pending.requirement
        assert requirement is not None
        requirement.resolve(group.bounds)
        if not pending.needs_primary and group.fresh_replicas(now_ms, requirement):
            self._enqueue(now_ms, pending, group.replica_lane)
        elif requirement.bound_since_ms is not None and group.primary_needs_bound(
            now_ms, requirement
        ):
            self._await_freshness(now_ms, pending, asks=True)
        elif self._may_catch_up(now_ms, pending):
            self._await_freshness(now_ms, pending, asks=False)
        elif group.primary_needs_bound(now_ms, requirement):
            self._await_freshness(now_ms, pending, asks=True)
        elif self._primary_serves(now_ms, group, requirement):
            self._enqueue(now_ms, pending, group.primary_lane)
        else:
            self._await_freshness(now_ms, pending, asks=False)

    def _primary_serves(
        self, now_ms: float, group: DatabaseGroup, requirement: ReadRequirement
    ) -> bool:
        return (
            group.usable_primary(now_ms, for_write=False) is not None
            and requirement.position <= group.primary_position()
        )

    def _may_catch_up(self, now_ms: float, pending: PendingRequest) -> bool:
        if pending.needs_primary:
            return False
        if pending.catch_up_until_ms is None:
            wait_ms = self._configuration.policy.catch_up_wait_ms
            pending.catch_up_until_ms = now_ms + wait_ms
            heapq.heappush(
                self._deadlines,
                (pending.catch_up_until_ms, pending.request.request_id),
            )
        return (
            now_ms < pending.catch_up_until_ms
            and pending.group.has_catching_up_replica(now_ms)
        )

    def _await_freshness(
        self, now_ms: float, pending: PendingRequest, *, asks: bool
    ) -> None:
        group = pending.group
        if asks:
            group.is_query_wanted = True
            self._ask_position(now_ms, group)
        if (
            pending.n_attempts == 0
            and group.is_primary_lost(now_ms)
            and not self._may_catch_up(now_ms, pending)
        ):
            self._refuse_stale(pending)
            return
        if pending.state == "waiting":
            return
        pending.step("await_freshness")
        group.waiting[pending.request.request_id] = pending

    def _refuse_stale(self, pending: PendingRequest) -> None:
        detail = "no replica is provably fresh, and the primary cannot be reached"
        self._refuse(pending, _refusal(RefusalReason.TOO_STALE, detail))

    def _ask_position(self, now_ms: float, group: DatabaseGroup) -> None:
        """Ask once for all reads that wait; later ones are served by the next round."""
        if group.query is not None or now_ms < group.next_query_ms:
            return
        primary = group.primary
        if primary is None or not primary.takes_work:
            return
        connection = self._pool.acquire(now_ms, primary)
        if connection is None:
            return
        group.is_query_wanted = False
        group.query = connection
        group.query_sent_ms = now_ms
        connection.is_position_query = True
        self._outbox.effects.append(
            AskPosition(
                database=group.name,
                connection_id=connection.connection_id,
                timeout_ms=POSITION_QUERY_TIMEOUT_MS,
            )
        )

    def _enqueue(
        self, now_ms: float, pending: PendingRequest, lane: "Lane[PendingRequest]"
    ) -> None:
        # A repeat is not shed: an earlier attempt of it may have run.
        detail = "" if pending.n_attempts else self._overload(now_ms, pending, lane)
        if detail:
            self._refuse(pending, _refusal(RefusalReason.OVERLOADED, detail))
            return
        self._leave_waiting(pending)
        pending.step("admit")
        pending.lane = lane
        lane.push(pending.request_class, pending.fairness_key, pending)

    def _overload(
        self, now_ms: float, pending: PendingRequest, lane: "Lane[PendingRequest]"
    ) -> str:
        """Tell why a request is shed on arrival; empty if it is admitted."""
        settings = pending.settings
        request_class = pending.request_class
        key = pending.fairness_key
        if not lane.has_room(request_class, key, settings.n_queued_max):
            return "the queue is full"
        n_parallel = pending.group.n_parallel(
            on_primary=lane is pending.group.primary_lane
        )
        wait_ms = lane.estimated_wait_ms(
            request_class, settings.reserved_share, n_parallel
        )
        if wait_ms > SHED_AT_DEADLINE_SHARE * pending.remaining_ms(now_ms):
            return f"the expected wait is {wait_ms:.0f} ms"
        return ""

    # Dispatch.

    def _review(self, now_ms: float, group: DatabaseGroup) -> None:
        """Place the waiting reads anew after news, then dispatch."""
        for pending in list(group.waiting.values()):
            if pending.state == "waiting":
                self._place_read(now_ms, pending)
        self._pump(now_ms, group)

    def _pump(self, now_ms: float, group: DatabaseGroup) -> None:
        if group.is_query_wanted:
            self._ask_position(now_ms, group)
        while len(group.replica_lane) and self._pump_replicas(now_ms, group):
            pass
        while len(group.primary_lane) and self._pump_primary(now_ms, group):
            pass

    def _pump_replicas(self, now_ms: float, group: DatabaseGroup) -> bool:
        """Start or move the next read; return False if it has to wait."""
        lane = group.replica_lane
        request_class = lane.choose()
        assert request_class is not None
        pending = lane.peek(request_class)
        if self._shed(now_ms, pending):
            return True
        requirement = pending.requirement
        assert requirement is not None
        requirement.resolve(group.bounds)
        fresh = group.fresh_replicas(now_ms, requirement)
        if not fresh:
            lane.pop(request_class, is_served=False)
            pending.lane = None
            self._place_read(now_ms, pending)
            return True
        connection = self._acquire_any(now_ms, pending, fresh)
        if connection is None:
            return False
        lane.pop(request_class, is_served=True)
        self._start(now_ms, pending, connection)
        return True

    def _acquire_any(
        self, now_ms: float, pending: PendingRequest, fresh: list[InstanceState]
    ) -> Connection | None:
        candidates = healthy(fresh, now_ms)
        if pending.tried:
            candidates = [c for c in candidates if c not in pending.tried] or candidates
        while candidates:
            able = [c for c in candidates if c.limit.allows(c.n_running)]
            if not able:
                return None
            instance = self._routing_policy.choose(able)
            connection = self._pool.acquire(now_ms, instance)
            if connection is not None:
                return connection
            candidates = [item for item in able if item is not instance]
        return None

    def _pump_primary(self, now_ms: float, group: DatabaseGroup) -> bool:
        """Start the next request on the primary; return False if it has to wait."""
        lane = group.primary_lane
        request_class = lane.choose()
        assert request_class is not None
        pending = lane.peek(request_class)
        if self._shed(now_ms, pending):
            return True
        is_read = pending.kind in _READS
        primary = group.usable_primary(now_ms, for_write=not is_read)
        if is_read and (primary is None or self._is_stale_primary(now_ms, pending)):
            lane.pop(request_class, is_served=False)
            pending.lane = None
            self._place_read(now_ms, pending)
            return pending.lane is not lane
        if primary is None or not primary.limit.allows(primary.n_running):
            return False
        connection = self._pool.acquire(now_ms, primary)
        if connection is None:
            return False
        lane.pop(request_class, is_served=True)
        self._start(now_ms, pending, connection)
        return True

    def _is_stale_primary(self, now_ms: float, pending: PendingRequest) -> bool:
        group = pending.group
        requirement = pending.requirement
        assert requirement is not None
        requirement.resolve(group.bounds)
        return group.primary_needs_bound(now_ms, requirement) or not (
            self._primary_serves(now_ms, group, requirement)
        )

    def _shed(self, now_ms: float, pending: PendingRequest) -> bool:
        """Refuse a queued request that cannot be answered in time."""
        lane = pending.lane
        needed_ms = lane.service_ms if lane is not None else 0.0
        if pending.remaining_ms(now_ms) > needed_ms:
            return False
        self._refuse_expired(now_ms, pending)
        return True

    def _start(
        self, now_ms: float, pending: PendingRequest, connection: Connection
    ) -> None:
        self._leave_waiting(pending)
        pending.lane = None
        pending.step("start")
        timeout_ms = pending.remaining_ms(now_ms)
        if pending.kind is RequestKind.READ:
            self._plan_hedge(now_ms, pending)
        elif pending.rule is not RepeatRule.NEVER:
            timeout_ms *= REPEATABLE_SHARE
        self._run(
            now_ms, pending, connection, attempt_kind(pending.request), timeout_ms
        )

    def _plan_hedge(self, now_ms: float, pending: PendingRequest) -> None:
        """Set when a second attempt starts beside a read that is not answered.

        Without hedging it is at half of the time left, so that a connection that went
        silent does not cost the answer, nor a slow statement its first attempt.
        """
        hedge_ms = self._configuration.policy.hedge_after_ms
        if hedge_ms <= 0:
            hedge_ms = REPEATABLE_SHARE * pending.remaining_ms(now_ms)
        pending.hedge_at_ms = now_ms + hedge_ms
        heapq.heappush(
            self._deadlines, (pending.hedge_at_ms, pending.request.request_id)
        )

    def _hedge(self, now_ms: float, pending: PendingRequest) -> None:
        """Start a second attempt of a read, on another instance if one is fresh."""
        pending.hedge_at_ms = None
        group = pending.group
        requirement = pending.requirement
        if requirement is None or len(pending.running) != 1:
            return
        first = pending.running[0].connection.instance
        fresh = group.fresh_replicas(now_ms, requirement)
        others = [instance for instance in fresh if instance is not first]
        if not others and not self._is_stale_primary(now_ms, pending):
            others = [group.primary] if group.primary is not None else []
        others = others or fresh
        able = [item for item in others if item.limit.allows(item.n_running)]
        if not able or not group.budget.take():
            return
        connection = self._pool.acquire(now_ms, self._routing_policy.choose(able))
        if connection is not None:
            pending.step("hedge")
            timeout_ms = pending.remaining_ms(now_ms)
            self._run(now_ms, pending, connection, AttemptKind.PLAIN, timeout_ms)

    def _run(
        self,
        now_ms: float,
        pending: PendingRequest,
        connection: Connection,
        kind: AttemptKind,
        timeout_ms: float,
    ) -> None:
        instance = connection.instance
        pending.n_attempts += 1
        attempt = RunningAttempt(
            pending,
            pending.n_attempts,
            connection,
            now_ms,
            instance.applied,
            connection.bound_term is None,
        )
        pending.running.append(attempt)
        connection.work = attempt
        instance.n_running += 1
        instance.breaker.on_trial(now_ms)
        self._outbox.effects.append(
            StartAttempt(
                request_id=pending.request.request_id,
                attempt=attempt.number,
                connection_id=connection.connection_id,
                kind=kind,
                timeout_ms=timeout_ms,
                idempotency_key=pending.request.hints.idempotency_key,
                fingerprint=pending.request.fingerprint,
            )
        )

    # Transactions.

    def _submit_in_transaction(
        self, now_ms: float, pending: PendingRequest, transaction: Transaction
    ) -> None:
        pending.transaction = transaction
        if transaction.is_lost:
            self._submit_in_lost_transaction(now_ms, pending, transaction)
            return
        refusal = self._refusal_in_transaction(pending, transaction)
        if refusal is not None:
            self._refuse(pending, refusal)
            return
        kind = AttemptKind.PLAIN
        if pending.kind is RequestKind.COMMIT and not transaction.is_read_only:
            kind = AttemptKind.ACKNOWLEDGED_COMMIT
        transaction.used_ms = now_ms
        transaction.connection.step("start")
        pending.step("start")
        timeout_ms = pending.remaining_ms(now_ms)
        self._run(now_ms, pending, transaction.connection, kind, timeout_ms)

    def _submit_in_lost_transaction(
        self, now_ms: float, pending: PendingRequest, transaction: Transaction
    ) -> None:
        """Refuse until the caller ends the transaction, so that no part runs alone."""
        if pending.kind is RequestKind.ROLLBACK:
            self._end_transaction(pending.caller)
            self._complete_locally(pending)
            return
        if pending.kind in _BEGINS and transaction.is_loss_reported:
            self._end_transaction(pending.caller)
            pending.transaction = None
            self._admit(now_ms, pending)
            return
        if pending.kind is RequestKind.COMMIT:
            self._end_transaction(pending.caller)
        transaction.is_loss_reported = True
        detail = "the transaction was rolled back; end it with ROLLBACK"
        self._refuse(pending, _refusal(RefusalReason.TRANSACTION_LOST, detail))

    def _refusal_in_transaction(
        self, pending: PendingRequest, transaction: Transaction
    ) -> Refusal | None:
        kind = pending.kind
        detail = ""
        if pending.group is not transaction.group:
            detail = "the open transaction belongs to another database"
        elif kind in _BEGINS:
            detail = "a transaction is open; COMMIT or ROLLBACK it first"
        elif kind in (RequestKind.IMPLICIT_COMMIT, RequestKind.OUTCOME_QUERY):
            detail = "the statement is not supported inside a transaction"
        elif kind is RequestKind.WRITE and transaction.is_read_only:
            detail = "the open transaction is read only"
        if not detail:
            return None
        return _refusal(RefusalReason.UNSUPPORTED_STATEMENT, detail)

    def _end_transaction(self, caller: CallerState) -> None:
        caller.transaction = None
        self._transactions.pop(caller.caller_id, None)

    def _lose_transaction(
        self, now_ms: float, transaction: Transaction, detail: str
    ) -> None:
        """Mark a transaction as lost; only a COMMIT under way still ends by itself."""
        if transaction.is_lost:
            return
        attempt = transaction.connection.work
        if isinstance(attempt, RunningAttempt):
            if attempt.pending.kind is RequestKind.COMMIT:
                return
            self._pool.close(transaction.connection, detail)
            self._end_attempt(now_ms, attempt, AttemptOutcome.LOST, detail)
            return
        transaction.is_lost = True
        self._pool.close(transaction.connection, detail)

    def _on_transaction_attempt(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        result: AttemptResult,
        transaction: Transaction,
    ) -> None:
        pending = attempt.pending
        transaction.used_ms = now_ms
        outcome = result.outcome
        if outcome in (AttemptOutcome.OK, AttemptOutcome.BACKEND_ERROR):
            self._answer_in_transaction(now_ms, attempt, result, transaction)
            return
        self._pool.close(attempt.connection, "the transaction is lost")
        if pending.kind is RequestKind.ROLLBACK:
            # The server rolls back when the connection closes.
            self._end_transaction(pending.caller)
            self._complete_locally(pending)
        elif pending.kind is RequestKind.COMMIT:
            self._end_transaction(pending.caller)
            self._refuse(pending, _commit_refusal(outcome, transaction, result.detail))
        else:
            transaction.is_lost = True
            transaction.is_loss_reported = True
            detail = result.detail or "the connection of the transaction was lost"
            self._refuse(pending, _refusal(RefusalReason.TRANSACTION_LOST, detail))

    def _answer_in_transaction(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        result: AttemptResult,
        transaction: Transaction,
    ) -> None:
        pending = attempt.pending
        connection = attempt.connection
        is_ok = result.outcome is AttemptOutcome.OK
        if pending.kind in _ENDS:
            self._end_transaction(pending.caller)
            if is_ok:
                self._pool.release(now_ms, connection, needs_reset=True)
            else:
                self._pool.close(connection, "the transaction's end failed")
        elif not is_ok and result.error_code in ROLLBACK_ERROR_CODES:
            transaction.is_lost = True
            transaction.is_loss_reported = True
            self._pool.close(connection, "the server rolled the transaction back")
        else:
            connection.work = None
            connection.step("finish_in_transaction")
        if is_ok:
            self._note_success(now_ms, attempt, result)
        self._complete(now_ms, attempt, result)

    # Ends of attempts.

    def on_attempt_result(
        self, now_ms: float, result: AttemptResult
    ) -> list[DataPathEffect]:
        """Take over the end of an attempt; late and repeated results are dropped."""
        connection = self._pool.connections.get(result.connection_id)
        attempt = connection.work if connection is not None else None
        if (
            not isinstance(attempt, RunningAttempt)
            or attempt.number != result.attempt
            or attempt.pending.request.request_id != result.request_id
        ):
            return self._outbox.take()
        self._measure(now_ms, attempt, result)
        self._finish_attempt(now_ms, attempt, result)
        self._pump(now_ms, attempt.pending.group)
        return self._outbox.take()

    def _measure(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        instance = attempt.connection.instance
        outcome = result.outcome
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_SENT):
            instance.breaker.on_failure(now_ms)
            if outcome is AttemptOutcome.LOST:
                instance.limit.on_timeout()
            return
        instance.last_contact_ms = now_ms
        instance.breaker.on_success()
        if outcome is not AttemptOutcome.OK:
            return
        elapsed_ms = now_ms - attempt.started_ms
        pending = attempt.pending
        is_write = pending.kind not in _READS
        if not is_write:
            instance.delay_ms += 0.1 * (elapsed_ms - instance.delay_ms)
        if pending.transaction is None:
            instance.limit.on_sample(elapsed_ms, instance.n_running, is_write=is_write)
            group = pending.group
            lane = group.replica_lane if attempt.is_from_replica else group.primary_lane
            lane.on_service(elapsed_ms)

    def _end_attempt(
        self,
        now_ms: float,
        attempt: RunningAttempt,
        outcome: AttemptOutcome,
        detail: str,
    ) -> None:
        """End an attempt on this side, without a result of the host."""
        result = AttemptResult(
            request_id=attempt.pending.request.request_id,
            attempt=attempt.number,
            connection_id=attempt.connection.connection_id,
            outcome=outcome,
            detail=detail,
        )
        self._finish_attempt(now_ms, attempt, result)

    def _finish_attempt(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        pending = attempt.pending
        attempt.connection.instance.n_running -= 1
        attempt.connection.work = None
        pending.running.remove(attempt)
        if pending.transaction is not None:
            self._on_transaction_attempt(now_ms, attempt, result, pending.transaction)
            return
        self._settle_connection(now_ms, attempt, result)
        if pending.state != "running":
            return  # a hedged read that lost the race
        if result.outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_ACKNOWLEDGED):
            pending.tried.append(attempt.connection.instance)
        if result.outcome is not AttemptOutcome.OK and pending.running:
            return  # the other attempt of a hedged read decides
        self._decide(now_ms, attempt, result)

    def _settle_connection(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Pin, release or close the connection of an attempt."""
        pending = attempt.pending
        connection = attempt.connection
        outcome = result.outcome
        if connection.state == "closed":
            return
        if outcome in (
            AttemptOutcome.LOST,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.FENCED,
            AttemptOutcome.NOT_ACKNOWLEDGED,
        ):
            self._pool.close(connection, f"the attempt ended as {outcome.value}")
        elif (
            outcome is AttemptOutcome.OK
            and pending.kind in _BEGINS
            and pending.state == "running"
        ):
            self._begin_transaction(now_ms, attempt)
        else:
            needs_reset = pending.kind is not RequestKind.READ
            self._pool.release(now_ms, connection, needs_reset=needs_reset)

    def _begin_transaction(self, now_ms: float, attempt: RunningAttempt) -> None:
        pending = attempt.pending
        attempt.connection.step("finish_in_transaction")
        transaction = Transaction(
            pending.group,
            attempt.connection,
            pending.kind is RequestKind.BEGIN_READ_ONLY,
            pending.session,
            now_ms,
        )
        pending.caller.transaction = transaction
        self._transactions[pending.caller.caller_id] = transaction

    def _decide(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        pending = attempt.pending
        group = pending.group
        outcome = result.outcome
        decision = self._retry_policy.decide(
            outcome,
            pending.rule,
            n_attempts=pending.n_attempts,
            may_have_run=pending.may_have_run,
            budget=group.budget,
            detail=result.detail,
        )
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_ACKNOWLEDGED):
            pending.may_have_run |= pending.kind not in _BEGINS
        if decision.action is Action.COMPLETE:
            self._complete_or_read_again(now_ms, attempt, result)
        elif decision.action is Action.REFUSE:
            assert decision.refusal is not None
            self._refuse_attempted(pending, decision.refusal)
        else:
            if decision.action is Action.REPEAT_IN_NEW_TERM:
                group.fenced_until_ms = now_ms + FENCED_PAUSE_MS
                self._wake_at(group.fenced_until_ms)
            self._repeat(now_ms, pending)

    def _refuse_attempted(self, pending: PendingRequest, refusal: Refusal) -> None:
        if pending.kind is RequestKind.OUTCOME_QUERY:
            self._complete_unknown(pending)
            return
        if pending.kind in _BEGINS:
            refusal = Refusal(Verdict.NOT_RUN, refusal.reason, refusal.detail)
        self._refuse(pending, refusal)

    def _repeat(self, now_ms: float, pending: PendingRequest) -> None:
        pending.step("retry")
        if pending.kind in _READS:
            self._place_read(now_ms, pending)
        else:
            self._enqueue(now_ms, pending, pending.group.primary_lane)

    def _complete_or_read_again(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Complete, unless the answer of a slow read is older than the caller accepts."""
        pending = attempt.pending
        requirement = pending.requirement
        is_ok = result.outcome is AttemptOutcome.OK
        if is_ok and requirement is not None and requirement.max_age_ms is not None:
            age_ms = self._age_ms(now_ms, attempt)
            if age_ms is None or age_ms > requirement.max_age_ms:
                self._read_again(now_ms, pending)
                return
        if is_ok:
            self._note_success(now_ms, attempt, result)
        self._complete(now_ms, attempt, result)

    def _read_again(self, now_ms: float, pending: PendingRequest) -> None:
        transaction = pending.caller.transaction
        if transaction is not None:
            self._pool.release(now_ms, transaction.connection, needs_reset=True)
            self._end_transaction(pending.caller)
        if pending.needs_primary:
            detail = "the answer came later than its age allows"
            self._refuse(
                pending,
                Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.TOO_STALE, detail),
            )
            return
        pending.needs_primary = True
        pending.may_have_run = True
        self._repeat(now_ms, pending)

    def _age_ms(self, now_ms: float, attempt: RunningAttempt) -> float | None:
        """Return the most that an answer can be old, or None if nothing proves it."""
        group = attempt.pending.group
        if attempt.is_from_replica:
            as_of_ms = group.bounds.as_of_ms(attempt.applied)
            return None if as_of_ms is None else now_ms - as_of_ms
        position = LogPosition(attempt.connection.bound_term or 0, POSITION_MAX)
        as_of_ms = group.bounds.as_of_ms(position)
        if as_of_ms is None:
            return None
        # The primary may have answered before it confirmed a bound of later time.
        return now_ms - min(as_of_ms, attempt.started_ms)

    def _note_success(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        """Raise the session's watermark."""
        pending = attempt.pending
        session = pending.session
        instance = attempt.connection.instance
        is_in_transaction = pending.transaction is not None
        is_acknowledged = pending.kind is RequestKind.COMMIT or not is_in_transaction
        if pending.kind in _READS or not is_acknowledged:
            if result.position is not None and attempt.is_from_replica:
                self._note_applied(attempt, result.position)
            if pending.requirement is not None:
                session.position = max(session.position, pending.requirement.position)
            session.on_read(
                now_ms,
                instance.applied if attempt.is_from_replica else attempt.applied,
                instance.name,
                attempt.connection.incarnation,
                instance.term,
            )
        elif pending.kind not in (*_BEGINS, RequestKind.OUTCOME_QUERY):
            is_read_only = (
                pending.transaction is not None and pending.transaction.is_read_only
            )
            if not is_read_only:
                session.on_write(result.position, now_ms)

    def _note_applied(self, attempt: RunningAttempt, position: LogPosition) -> None:
        instance = attempt.connection.instance
        if attempt.connection.incarnation == instance.incarnation:
            instance.applied = max(instance.applied, position)

    # Ends of requests.

    def _complete(
        self, now_ms: float, attempt: RunningAttempt, result: AttemptResult
    ) -> None:
        pending = attempt.pending
        is_read = pending.kind is RequestKind.READ
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=attempt.number,
                is_from_replica=is_read and attempt.is_from_replica,
                age_ms=self._age_ms(now_ms, attempt) if is_read else None,
                watermark=pending.session.position,
                first_answer=result.first_answer,
                query_outcome=result.query_outcome,
            )
        )

    def _complete_locally(self, pending: PendingRequest) -> None:
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=0,
                first_answer=_EMPTY_ANSWER,
            )
        )

    def _complete_unknown(self, pending: PendingRequest) -> None:
        self._close_request(pending, "complete")
        self._outbox.effects.append(
            CompleteRequest(
                request_id=pending.request.request_id,
                attempt=0,
                query_outcome=QueryOutcome.UNKNOWN,
            )
        )

    def _refuse(self, pending: PendingRequest, refusal: Refusal) -> None:
        self._close_request(pending, "refuse")
        self._outbox.effects.append(
            RefuseRequest(request_id=pending.request.request_id, refusal=refusal)
        )

    def _close_request(self, pending: PendingRequest, event: str) -> None:
        self._leave_lane(pending)
        self._leave_waiting(pending)
        pending.step(event)
        self._requests.pop(pending.request.request_id, None)
        if pending.caller.pending is pending:
            pending.caller.pending = None

    def _leave_lane(self, pending: PendingRequest) -> None:
        if pending.lane is not None:
            pending.lane.remove(pending.request_class, pending.fairness_key, pending)
            pending.lane = None

    def _leave_waiting(self, pending: PendingRequest) -> None:
        pending.group.waiting.pop(pending.request.request_id, None)

    def _refuse_expired(self, now_ms: float, pending: PendingRequest) -> None:
        """Refuse a request whose deadline has passed, with the true verdict."""
        if pending.kind is RequestKind.OUTCOME_QUERY:
            self._close_running(now_ms, pending, "the deadline has passed")
            self._complete_unknown(pending)
            return
        reason, detail = self._reason_of_expiry(now_ms, pending)
        self._abort(now_ms, pending, reason, detail)

    def _reason_of_expiry(
        self, now_ms: float, pending: PendingRequest
    ) -> tuple[RefusalReason, str]:
        group = pending.group
        if pending.state == "waiting":
            return RefusalReason.TOO_STALE, "no instance became fresh enough in time"
        if pending.state == "queued" and pending.lane is group.primary_lane:
            is_read = pending.kind in _READS
            if group.usable_primary(now_ms, for_write=not is_read) is None:
                return RefusalReason.NO_PRIMARY, "no primary took writes in time"
        if pending.state == "queued" and not any(
            instance.n_connections > instance.n_opening
            for instance in group.instances.values()
        ):
            return RefusalReason.NO_BACKEND, "no backend server could be reached"
        return RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed"

    def _abort(
        self,
        now_ms: float,
        pending: PendingRequest,
        reason: RefusalReason,
        detail: str,
    ) -> None:
        """End a request from this side; what runs for it is closed."""
        transaction = pending.transaction
        is_running = bool(pending.running)
        self._close_running(now_ms, pending, detail)
        is_end = pending.kind in _ENDS
        if transaction is not None and is_running:
            if is_end:
                self._end_transaction(pending.caller)
            transaction.is_lost = True
            transaction.is_loss_reported = True
            if pending.kind is RequestKind.ROLLBACK:
                self._complete_locally(pending)
                return
            if pending.kind is not RequestKind.COMMIT or transaction.is_read_only:
                refusal = _refusal(RefusalReason.TRANSACTION_LOST, detail)
                self._refuse(pending, refusal)
                return
        may_have_run = pending.may_have_run or (
            is_running and pending.kind not in _BEGINS
        )
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        self._refuse(pending, Refusal(verdict, reason, detail))

    def _close_running(
        self, now_ms: float, pending: PendingRequest, detail: str
    ) -> None:
        for attempt in pending.running:
            instance = attempt.connection.instance
            instance.n_running -= 1
            attempt.connection.work = None
            self._pool.close(attempt.connection, detail)
        pending.running.clear()

    def cancel(self, now_ms: float, request_id: RequestId) -> list[DataPathEffect]:
        """Abandon a request; it ends with a refusal that tells whether it may have run."""
        pending = self._requests.get(request_id)
        if pending is not None:
            self._abort(
                now_ms, pending, RefusalReason.CANCELLED, "the caller cancelled it"
            )
            self._pump(now_ms, pending.group)
        return self._outbox.take()

    def on_caller_gone(
        self, now_ms: float, caller_id: CallerId
    ) -> list[DataPathEffect]:
        """Abandon a caller's request and roll back its transaction."""
        caller = self._callers.pop(caller_id, None)
        if caller is None:
            return []
        pending = caller.pending
        if pending is not None:
            self._close_running(now_ms, pending, "the caller is gone")
            self._close_request(pending, "abandon")
        transaction = caller.transaction
        self._end_transaction(caller)
        if transaction is not None and transaction.connection.state == "pinned":
            connection = transaction.connection
            self._pool.release(now_ms, connection, needs_reset=True)
        if pending is not None:
            self._pump(now_ms, pending.group)
        return self._outbox.take()

    def drain(self, now_ms: float) -> list[DataPathEffect]:
        """Refuse new requests outside transactions; let the rest finish."""
        self._is_draining = True
        return self._outbox.take()

    # Connections.

    def on_connection_opened(
        self, now_ms: float, opened: ConnectionOpened
    ) -> list[DataPathEffect]:
        """Add an open connection to the pool."""
        connection = self._pool.on_opened(now_ms, opened)
        if connection is not None:
            self._pump(now_ms, self._groups[connection.instance.database])
        return self._outbox.take()

    def on_connection_failed(
        self, now_ms: float, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> list[DataPathEffect]:
        """Note that a dial failed."""
        connection = self._pool.on_failed(now_ms, connection_id, is_refused)
        if connection is not None:
            self._wake_at(connection.instance.next_dial_ms)
        return self._outbox.take()

    def on_connection_closed(
        self, now_ms: float, connection_id: ConnectionId, detail: str
    ) -> list[DataPathEffect]:
        """Note that the server closed a connection, whatever it was used for."""
        connection = self._pool.on_closed(connection_id)
        if connection is None:
            return []
        group = self._groups[connection.instance.database]
        if isinstance(connection.work, RunningAttempt):
            self._end_attempt(now_ms, connection.work, AttemptOutcome.LOST, detail)
        if group.query is connection:
            group.query = None
            self._pause_queries(now_ms, group)
        for transaction in self._transactions.values():
            if transaction.connection is connection:
                transaction.is_lost = True
        self._pump(now_ms, group)
        return self._outbox.take()

    def on_connection_reset(
        self, now_ms: float, connection_id: ConnectionId
    ) -> list[DataPathEffect]:
        """Put a connection that was reset back into the pool."""
        connection = self._pool.on_reset(now_ms, connection_id)
        if connection is not None:
            self._review(now_ms, self._groups[connection.instance.database])
        return self._outbox.take()

    # Time.

    def tick(self, now_ms: float) -> list[DataPathEffect]:
        """Act on deadlines that have passed."""
        groups = self._expire_requests(now_ms)
        self._expire_connections(now_ms)
        if now_ms >= self._next_maintenance_ms:
            self._maintain(now_ms)
        if self._wake_ms is not None and now_ms >= self._wake_ms:
            self._wake_ms = None
            groups.update(self._groups.values())
        for group in groups:
            self._review(now_ms, group)
        return self._outbox.take()

    def _wake_at(self, time_ms: float) -> None:
        """Dispatch at a time, as a pause ends then."""
        if self._wake_ms is None or time_ms < self._wake_ms:
            self._wake_ms = time_ms

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
                self._place_read(now_ms, pending)
            elif pending.hedge_at_ms is not None and now_ms >= pending.hedge_at_ms:
                self._hedge(now_ms, pending)
        return groups

    def _expire_connections(self, now_ms: float) -> None:
        for connection in self._pool.expired(now_ms):
            instance = connection.instance
            instance.breaker.on_failure(now_ms)
            if connection.state == "opening":
                self._pool.on_failed_by_timeout(now_ms, connection)
            else:
                self._pool.close(connection, "the connection is silent")

    def _maintain(self, now_ms: float) -> None:
        self._next_maintenance_ms = now_ms + MAINTENANCE_MS
        self._n_maintenances += 1
        is_decay = self._n_maintenances % N_MAINTENANCES_TO_DECAY == 0
        for instance in self._instances.values():
            self._pool.maintain(now_ms, instance)
            if is_decay:
                n_idle = len(instance.idle) + instance.n_opening
                n_in_use = instance.n_connections - n_idle
                instance.n_peak = max(n_in_use, instance.n_peak - 1)
                instance.n_unserved = 0
                if not instance.n_running:
                    # An instance that gets no work has to become eligible again.
                    instance.delay_ms *= IDLE_DELAY_FACTOR
        self._expire_transactions(now_ms)
        self._expire_position_queries(now_ms)
        for group in self._groups.values():
            group.note_primary(now_ms)
            self._review(now_ms, group)

    def _expire_transactions(self, now_ms: float) -> None:
        for transaction in list(self._transactions.values()):
            is_idle = transaction.connection.state == "pinned"
            if is_idle and now_ms - transaction.used_ms > TRANSACTION_IDLE_MS:
                detail = "the transaction was idle for too long"
                self._lose_transaction(now_ms, transaction, detail)

    def _expire_position_queries(self, now_ms: float) -> None:
        for group in self._groups.values():
            sent_ms = group.query_sent_ms
            if group.query and now_ms - sent_ms > 2 * POSITION_QUERY_TIMEOUT_MS:
                self._pool.close(group.query, "the position query is silent")
                group.query = None

    def next_deadline_ms(self) -> float | None:
        """Return the time of the next needed tick."""
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

    # Reports.

    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""
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
            session.settle(self._groups[database].bounds)
        return session.position

    def n_open_requests(self) -> int:
        """Count requests and transactions that are not over."""
        n_transactions = sum(
            not transaction.is_lost for transaction in self._transactions.values()
        )
        return len(self._requests) + n_transactions

    def observations(self, now_ms: float) -> list[InstanceObservation]:
        """Describe all known instances for a health report."""
        return [
            _observe(now_ms, instance)
            for instance in self._instances.values()
            if instance.address is not None
        ]

    def connection_demand(self, now_ms: float) -> list[ConnectionDemand]:
        """State the connections that this entry VM can use."""
        return [
            ConnectionDemand(
                instance=instance.name,
                n_wanted=min(
                    instance.n_peak + 1 + min(instance.n_unserved, instance.n_slots),
                    instance.n_connections_max,
                ),
            )
            for instance in self._instances.values()
        ]


def _commit_refusal(
    outcome: AttemptOutcome, transaction: Transaction, detail: str
) -> Refusal:
    """Tell what became of a COMMIT that was not answered."""
    if transaction.is_read_only or outcome in (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.FENCED,
    ):
        text = detail or "the transaction was rolled back"
        return _refusal(RefusalReason.TRANSACTION_LOST, text)
    is_lost = outcome is AttemptOutcome.LOST
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        RefusalReason.CONNECTION_LOST if is_lost else RefusalReason.NOT_ACKNOWLEDGED,
        detail or "the answer of COMMIT did not arrive",
    )


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
        applied_position=instance.applied,
        n_slots=instance.n_slots,
        n_connections_max=instance.n_connections_max,
        silence_ms=now_ms - instance.last_contact_ms,
        is_refusing=instance.is_refusing,
        is_leaving=instance.is_leaving,
    )
