"""Placement of requests: which instance runs a request, and when."""

import heapq

from cardamomshunt._data_path.admission import SHED_WAIT_SHARE, AdmissionQueue
from cardamomshunt._data_path.completion import Completion
from cardamomshunt._data_path.effects import (
    AttemptKind,
    QueryPosition,
    RequestClass,
    RequestKind,
    StartAttempt,
)
from cardamomshunt._data_path.freshness import ReadRequirement
from cardamomshunt._data_path.group import DatabaseGroup
from cardamomshunt._data_path.idempotency import attempt_kind
from cardamomshunt._data_path.path_state import READ_KINDS, not_run_refusal
from cardamomshunt._data_path.pool import Connection, InstanceState
from cardamomshunt._data_path.request_state import (
    PendingRequest,
    RunningAttempt,
)
from cardamomshunt._data_path.retries import (
    RepeatRule,
)
from cardamomshunt._data_path.routing import without_outliers
from cardamomshunt._data_path.sessions import read_requirement
from cardamomshunt._shared.verdict import RefusalReason

POSITION_QUERY_TIMEOUT_MS = 500.0
# Timeout of an attempt that can be repeated, as a share of the time to the deadline.
REPEATABLE_TIMEOUT_SHARE = 0.5
# Multiple of the mean service time after which a connection counts as unresponsive.
UNRESPONSIVE_FACTOR = 8.0
SERVICE_SHARE_MAX = 0.5
# Share of its time limit that a read waits for a replica before it may overflow to the
# primary. Replicas absorb shorter bursts.
OVERFLOW_SHARE = 0.1
RECENT_WRITE_MS = 1_000.0
HEDGE_RETRY_MS = 20.0  # while no connection is free for the second attempt


class Dispatch(Completion):
    """Choose the instance of each request, and queue requests until it is free."""

    def _admit(self, now_ms: float, pending: PendingRequest) -> None:
        group = pending.group
        group.budget.on_request()
        if pending.kind in READ_KINDS:
            self._set_requirement(now_ms, pending)
            self._schedule_read(now_ms, pending)
        elif not self._start_write_immediately(now_ms, pending):
            self._enqueue(now_ms, pending, group.primary_queue)
        self._dispatch(now_ms, group)

    def _start_write_immediately(self, now_ms: float, pending: PendingRequest) -> bool:
        """Start a request on the primary if it has capacity and an empty queue.

        Return whether the request was started.
        """
        group = pending.group
        if group.primary_queue.n_items or group.is_position_query_requested:
            return False
        primary = group.usable_primary(now_ms, for_write=True)
        if primary is None or not primary.limit.allows(primary.n_running):
            return False
        connection = self._pool.acquire(now_ms, primary)
        if connection is None:
            return False
        self._start_request(now_ms, pending, connection)
        return True

    def _set_requirement(self, now_ms: float, pending: PendingRequest) -> None:
        hints = pending.request.hints
        max_age_ms = hints.max_age_ms
        if max_age_ms is None:
            max_age_ms = pending.settings.max_age_ms
        pending.session.resolve(pending.group.bounds)
        pending.requirement = read_requirement(
            pending.session, hints, max_age_ms, now_ms
        )

    def _schedule_read(self, now_ms: float, pending: PendingRequest) -> None:
        """Start or queue a read, or make it wait until an instance is fresh enough."""
        group = pending.group
        requirement = pending.requirement
        assert requirement is not None
        requirement.resolve(group.bounds)
        fresh = (
            [] if pending.needs_primary else group.fresh_replicas(now_ms, requirement)
        )
        if fresh:
            if not self._start_read_immediately(now_ms, pending, fresh):
                self._enqueue(now_ms, pending, group.replica_queue)
        elif requirement.bound_since_ms is not None and group.primary_needs_bound(
            now_ms, requirement
        ):
            self._await_freshness(now_ms, pending, needs_query=True)
        elif self._may_catch_up(now_ms, pending):
            self._await_freshness(now_ms, pending, needs_query=False)
        elif group.primary_needs_bound(now_ms, requirement):
            self._await_freshness(now_ms, pending, needs_query=True)
        elif self._primary_serves(now_ms, group, requirement):
            self._enqueue(now_ms, pending, group.primary_queue)
        else:
            self._await_freshness(now_ms, pending, needs_query=False)

    def _start_read_immediately(
        self, now_ms: float, pending: PendingRequest, fresh: list[InstanceState]
    ) -> bool:
        """Start a read on one of `fresh` if no other read is queued.

        Return whether the read was started.
        """
        if pending.group.replica_queue.n_items:
            return False
        connection = self._acquire_any(now_ms, pending, fresh)
        if connection is None:
            return False
        self._start_request(now_ms, pending, connection)
        return True

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
        self, now_ms: float, pending: PendingRequest, *, needs_query: bool
    ) -> None:
        group = pending.group
        if needs_query:
            group.is_position_query_requested = True
            self._query_position(now_ms, group)
        if (
            pending.n_attempts == 0
            and group.is_primary_lost(now_ms)
            and not self._may_catch_up(now_ms, pending)
        ):
            self._refuse_stale(pending)
            return
        if pending.state == "waiting":
            return
        pending.transition("await_freshness")
        group.waiting_reads[pending.request.request_id] = pending

    def _refuse_stale(self, pending: PendingRequest) -> None:
        detail = "no replica is provably fresh, and the primary cannot be reached"
        self._refuse(pending, not_run_refusal(RefusalReason.TOO_STALE, detail))

    def _query_position(self, now_ms: float, group: DatabaseGroup) -> None:
        """Send one position query for all waiting reads of a group.

        Reads that start to wait while a query is in flight are served by the next one.
        """
        if group.position_query is not None or now_ms < group.next_position_query_ms:
            return
        primary = group.primary
        if primary is None or not primary.accepts_work:
            return
        connection = self._pool.acquire(now_ms, primary)
        if connection is None:
            return
        group.is_position_query_requested = False
        group.position_query = connection
        group.position_query_sent_ms = now_ms
        connection.is_position_query = True
        self._outbox.effects.append(
            QueryPosition(
                database=group.name,
                connection_id=connection.connection_id,
                timeout_ms=POSITION_QUERY_TIMEOUT_MS,
            )
        )

    def _enqueue(
        self,
        now_ms: float,
        pending: PendingRequest,
        queue: "AdmissionQueue[PendingRequest]",
    ) -> None:
        # A repeated request is never shed, because an earlier attempt may have run.
        detail = (
            "" if pending.n_attempts else self._overload_detail(now_ms, pending, queue)
        )
        if detail:
            self._refuse(pending, not_run_refusal(RefusalReason.OVERLOADED, detail))
            return
        self._stop_waiting(pending)
        pending.transition("admit")
        pending.queue = queue
        queue.push(pending.request_class, pending.fairness_key, pending)

    def _overload_detail(
        self,
        now_ms: float,
        pending: PendingRequest,
        queue: "AdmissionQueue[PendingRequest]",
    ) -> str:
        """Return why a request is shed on arrival, or "" if it is admitted."""
        settings = pending.settings
        request_class = pending.request_class
        key = pending.fairness_key
        if not queue.has_room(request_class, key, settings.n_queued_max):
            return "the queue is full"
        wait_ms = queue.estimated_wait_ms(request_class)
        if wait_ms > SHED_WAIT_SHARE * pending.remaining_ms(now_ms):
            return f"the expected wait is {wait_ms:.0f} ms"
        return ""

    def _redispatch(self, now_ms: float, group: DatabaseGroup) -> None:
        """Place waiting reads again after a change of state, then dispatch."""
        for pending in list(group.waiting_reads.values()):
            if pending.state == "waiting":
                self._schedule_read(now_ms, pending)
        self._dispatch(now_ms, group)

    def _dispatch(self, now_ms: float, group: DatabaseGroup) -> None:
        """Start queued requests as long as instances accept them."""
        if group.is_position_query_requested:
            self._query_position(now_ms, group)
        while group.replica_queue.n_items and self._dispatch_to_replica(now_ms, group):
            pass
        while group.primary_queue.n_items and self._dispatch_to_primary(now_ms, group):
            pass

    def _dispatch_to_replica(self, now_ms: float, group: DatabaseGroup) -> bool:
        """Start, move or shed the next queued read; return False if it has to wait."""
        queue = group.replica_queue
        request_class = queue.choose()
        assert request_class is not None
        pending = queue.peek(request_class)
        if self._shed(now_ms, pending):
            return True
        requirement = pending.requirement
        assert requirement is not None
        requirement.resolve(group.bounds)
        fresh = group.fresh_replicas(now_ms, requirement)
        if not fresh:
            queue.pop(request_class)
            pending.queue = None
            self._schedule_read(now_ms, pending)
            return True
        connection = self._acquire_any(now_ms, pending, fresh)
        if connection is None:
            connection = self._acquire_overflow(now_ms, pending)
        if connection is None:
            return False
        queue.serve(now_ms, request_class)
        self._start_request(now_ms, pending, connection)
        return True

    def _acquire_overflow(
        self, now_ms: float, pending: PendingRequest
    ) -> Connection | None:
        """Return a connection to the primary for a read if it has spare capacity.

        While writes are recent, the reserved share of the ORDER class stays free.
        """
        group = pending.group
        primary = group.usable_primary(now_ms, for_write=False)
        if primary is None or group.primary_queue.n_items:
            return None
        time_limit_ms = pending.deadline_ms - pending.received_ms
        if now_ms - pending.received_ms < OVERFLOW_SHARE * time_limit_ms:
            return None
        n_allowed = primary.limit.value
        if now_ms - group.write_started_ms < RECENT_WRITE_MS:
            n_allowed *= (
                1.0 - group.settings_by_class[RequestClass.ORDER].reserved_share
            )
        if primary.n_running >= int(n_allowed):
            return None
        if self._is_stale_primary(now_ms, pending):
            return None
        return self._pool.acquire(now_ms, primary)

    def _acquire_any(
        self, now_ms: float, pending: PendingRequest, fresh: list[InstanceState]
    ) -> Connection | None:
        candidates = without_outliers(fresh)
        if pending.tried_instances:
            candidates = [
                c for c in candidates if c not in pending.tried_instances
            ] or candidates
        while candidates:
            available = [c for c in candidates if c.limit.allows(c.n_running)]
            if not available:
                return None
            instance = self._routing_policy.choose(available)
            connection = self._pool.acquire(now_ms, instance)
            if connection is not None:
                return connection
            candidates = [item for item in available if item is not instance]
        return None

    def _dispatch_to_primary(self, now_ms: float, group: DatabaseGroup) -> bool:
        """Start, move or shed the next request; return False if it has to wait."""
        queue = group.primary_queue
        request_class = queue.choose()
        assert request_class is not None
        pending = queue.peek(request_class)
        if self._shed(now_ms, pending):
            return True
        is_read = pending.kind in READ_KINDS
        primary = group.usable_primary(now_ms, for_write=not is_read)
        if is_read and (primary is None or self._is_stale_primary(now_ms, pending)):
            queue.pop(request_class)
            pending.queue = None
            self._schedule_read(now_ms, pending)
            return pending.queue is not queue
        if primary is None:
            # Requests stay queued in a failover; the pause is not a measure of load.
            queue.on_pause()
            return False
        if not primary.limit.allows(primary.n_running):
            return False
        connection = self._pool.acquire(now_ms, primary)
        if connection is None:
            return False
        queue.serve(now_ms, request_class)
        self._start_request(now_ms, pending, connection)
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
        """Refuse a queued request that cannot be answered before its deadline.

        Return whether the request was refused.
        """
        queue = pending.queue
        # Twice the mean, because a write interrupted by its deadline ends as
        # MAY_HAVE_RUN.
        needed_ms = 2.0 * queue.service_ms if queue is not None else 0.0
        # Without this cap, slow statements of other callers would cause every request
        # with a short deadline to be refused.
        time_limit_ms = pending.deadline_ms - pending.received_ms
        needed_ms = min(needed_ms, SERVICE_SHARE_MAX * time_limit_ms)
        if pending.remaining_ms(now_ms) > needed_ms:
            return False
        self._refuse_expired(now_ms, pending)
        return True

    def _start_request(
        self, now_ms: float, pending: PendingRequest, connection: Connection
    ) -> None:
        self._stop_waiting(pending)
        pending.queue = None
        pending.transition("start")
        timeout_ms = pending.remaining_ms(now_ms)
        if pending.kind not in READ_KINDS:
            pending.group.write_started_ms = now_ms
        if pending.kind is RequestKind.READ:
            self._plan_hedge(now_ms, pending, self._hedge_after_ms(now_ms, pending))
        elif pending.repeat_rule is not RepeatRule.NEVER:
            # Under overload, an early timeout would discard work already done.
            unresponsive_ms = (
                UNRESPONSIVE_FACTOR * pending.group.primary_queue.service_ms
            )
            timeout_ms = min(
                timeout_ms, max(REPEATABLE_TIMEOUT_SHARE * timeout_ms, unresponsive_ms)
            )
        self._start_attempt(
            now_ms, pending, connection, attempt_kind(pending.request), timeout_ms
        )

    def _hedge_after_ms(self, now_ms: float, pending: PendingRequest) -> float:
        """Return the delay after which an unanswered read gets a second attempt.

        If hedging is off, this is half of the time to the deadline. A read on an
        unresponsive connection can then still be answered, and a slow statement keeps
        its first attempt.
        """
        hedge_ms = self._configuration.policy.hedge_after_ms
        if hedge_ms > 0:
            return hedge_ms
        return REPEATABLE_TIMEOUT_SHARE * pending.remaining_ms(now_ms)

    def _plan_hedge(
        self, now_ms: float, pending: PendingRequest, after_ms: float
    ) -> None:
        pending.hedge_at_ms = now_ms + after_ms
        heapq.heappush(
            self._deadlines, (pending.hedge_at_ms, pending.request.request_id)
        )

    def _hedge(self, now_ms: float, pending: PendingRequest) -> None:
        """Start a second attempt of a read, preferably on another fresh instance."""
        pending.hedge_at_ms = None
        group = pending.group
        requirement = pending.requirement
        if requirement is None or len(pending.running_attempts) != 1:
            return
        first = pending.running_attempts[0].connection.instance
        fresh = group.fresh_replicas(now_ms, requirement)
        others = [instance for instance in fresh if instance is not first]
        if not others and not self._is_stale_primary(now_ms, pending):
            others = [group.primary] if group.primary is not None else []
        others = others or fresh
        if self._configuration.policy.hedge_after_ms <= 0:
            self._pool.probe_all(now_ms, first)
        available = [item for item in others if item.limit.allows(item.n_running)]
        connection = None
        if available and group.budget.has_token():
            instance = self._routing_policy.choose(available)
            connection = self._pool.acquire(now_ms, instance)
        if connection is None:
            self._plan_hedge(now_ms, pending, HEDGE_RETRY_MS)
        else:
            group.budget.try_acquire()
            pending.transition("hedge")
            timeout_ms = pending.remaining_ms(now_ms)
            self._start_attempt(
                now_ms, pending, connection, AttemptKind.PLAIN, timeout_ms
            )

    def _start_attempt(
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
            instance.applied_position,
            connection.bound_term is None,
        )
        pending.running_attempts.append(attempt)
        connection.attempt = attempt
        instance.n_running += 1
        instance.breaker.on_trial(now_ms)
        self._outbox.effects.append(
            StartAttempt(
                request_id=pending.request.request_id,
                attempt=attempt.number,
                connection_id=connection.connection_id,
                kind=kind,
                timeout_ms=timeout_ms,
                await_majority_ms=self._configuration.policy.await_majority_ms,
                idempotency_key=pending.request.hints.idempotency_key,
                fingerprint=pending.request.fingerprint,
            )
        )
