"""State that all parts of the data path share."""

import random

from cardamomshunt._configuration.document import ClusterConfiguration
from cardamomshunt._data_path.connection_leases import ConnectionLeases
from cardamomshunt._data_path.effects import (
    CallerId,
    RequestId,
    RequestKind,
)
from cardamomshunt._data_path.group import DatabaseGroup
from cardamomshunt._data_path.pool import ConnectionPool, InstanceState, Outbox
from cardamomshunt._data_path.request_state import (
    CallerState,
    PendingRequest,
    Transaction,
)
from cardamomshunt._data_path.retries import (
    AtMostOnceRetryPolicy,
    RetryPolicy,
)
from cardamomshunt._data_path.routing import LeastDelayPolicy, RoutingPolicy
from cardamomshunt._data_path.sessions import SessionStore
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

END_KINDS = (RequestKind.COMMIT, RequestKind.ROLLBACK)
BEGIN_KINDS = (RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY)
READ_KINDS = (RequestKind.READ, RequestKind.BEGIN_READ_ONLY)

POSITION_QUERY_BACKOFF_MS = 50.0  # after a failed position query


def not_run_refusal(reason: RefusalReason, detail: str) -> Refusal:
    """Return a refusal of a request that did not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail)


class PathState:
    """Groups, instances, callers, requests and transactions of the data path."""

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
        self._n_maintenance_runs = 0
        for name in self._configuration.databases:
            self._group(name)

    def _group(self, name: str) -> DatabaseGroup:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = DatabaseGroup(
                name,
                self._configuration.database(name),
                self._configuration.policy.retry_budget_ratio,
            )
        return group

    def _wake_at(self, time_ms: float) -> None:
        """Schedule a dispatch, such as at the end of a backoff."""
        if self._wake_ms is None or time_ms < self._wake_ms:
            self._wake_ms = time_ms

    def _back_off_position_queries(self, now_ms: float, group: DatabaseGroup) -> None:
        group.next_position_query_ms = now_ms + POSITION_QUERY_BACKOFF_MS
        self._wake_at(group.next_position_query_ms)

    def _end_transaction(self, caller: CallerState) -> None:
        caller.transaction = None
        self._transactions.pop(caller.caller_id, None)
