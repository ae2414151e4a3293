"""State of a database group as an entry VM knows it."""

from cardamomshunt._configuration.document import ClassSettings, DatabaseSettings
from cardamomshunt._data_path.admission import AdmissionQueue, ReservedSharePolicy
from cardamomshunt._data_path.effects import RequestClass
from cardamomshunt._data_path.freshness import BoundHistory, ReadRequirement
from cardamomshunt._data_path.pool import Connection, InstanceState
from cardamomshunt._data_path.request_state import PendingRequest
from cardamomshunt._data_path.retries import RetryBudget
from cardamomshunt._shared.messages import DatabaseTopology, FailoverStep, InstanceRole
from cardamomshunt._shared.position import LogPosition

POSITION_MAX = 2**63 - 1
WRITE_HOLD_AFTER_MS = 300.0  # three missed announcements, half the detection time
PRIMARY_LOST_MS = 2_500.0  # longer than a failover, so that reads wait for it
LAG_MAX_MS = 10_000.0  # a replica that lags further behind counts as stuck
FENCED_BACKOFF_MS = 100.0  # a topology update or announcement usually arrives earlier


class DatabaseGroup:
    """Topology, bounds and queues of a database."""

    def __init__(
        self, name: str, settings: DatabaseSettings, retry_ratio: float
    ) -> None:
        self.name = name
        self.instances: dict[str, InstanceState] = {}
        self.term = -1
        self.primary: InstanceState | None = None
        self.primary_name: str | None = None
        self.step = FailoverStep.SERVING
        self.settings_by_class = _settings_by_class(settings)
        self.bounds = BoundHistory()
        self._policies = (
            ReservedSharePolicy(_shares(settings)),
            ReservedSharePolicy(_shares(settings)),
        )
        self.primary_queue: AdmissionQueue[PendingRequest] = AdmissionQueue(
            self._policies[0]
        )
        self.replica_queue: AdmissionQueue[PendingRequest] = AdmissionQueue(
            self._policies[1]
        )
        self.waiting_reads: dict[int, PendingRequest] = {}
        self.budget = RetryBudget(retry_ratio)
        self.fenced_until_ms = 0.0
        self.position_query: Connection | None = None
        self.position_query_sent_ms = 0.0
        self.is_position_query_requested = False
        self.next_position_query_ms = 0.0
        self.write_started_ms = float("-inf")
        self._primary_unusable_since_ms: float | None = None

    def on_settings(self, settings: DatabaseSettings, retry_ratio: float) -> None:
        """Apply changed limits."""
        self.settings_by_class = _settings_by_class(settings)
        self.budget.ratio = retry_ratio
        for policy in self._policies:
            policy.shares = _shares(settings)

    def on_topology(self, topology: DatabaseTopology) -> bool:
        """Apply a topology that control decided; return False if it is outdated."""
        if topology.term < self.term:
            return False
        self._set_primary(topology.term, topology.primary_instance, topology.step)
        return True

    def on_primary_announced(self, name: str, term: int) -> bool:
        """Apply the announcement of a primary before the update from control arrives.

        This is safe, as a write in this term still needs a majority to acknowledge it.
        Return whether the primary is new.
        """
        is_promotion = term == self.term and self.step is FailoverStep.PROMOTING
        if term > self.term or is_promotion:
            self._set_primary(term, name, FailoverStep.SERVING)
            return True
        return False

    def _set_primary(
        self, term: int, primary_name: str | None, step: FailoverStep
    ) -> None:
        if term > self.term:
            self.fenced_until_ms = 0.0
        self.term = term
        self.step = step
        self.primary_name = primary_name
        self.bind()

    def bind(self) -> None:
        """Look up the primary, and set the term to which its connections are bound."""
        self.primary = self.instances.get(self.primary_name or "")
        for instance in self.instances.values():
            instance.bind(self.term if instance is self.primary else None)

    def usable_primary(self, now_ms: float, *, for_write: bool) -> InstanceState | None:
        """Return the primary if it may get new requests now.

        Requests for an unresponsive primary stay queued. If they were sent and the
        primary turned out to be dead, they would end as MAY_HAVE_RUN.
        """
        primary = self.primary
        if primary is None or not primary.accepts_work or now_ms < self.fenced_until_ms:
            return None
        if primary.role is not InstanceRole.PRIMARY or primary.term != self.term:
            # The server has restarted as a replica or is not promoted yet. It refuses
            # writes, but reads from it would be stale.
            return None
        if self.step is not FailoverStep.SERVING and (
            for_write or self.step is not FailoverStep.HANDING_OVER
        ):
            return None
        if primary.is_unresponsive(now_ms, WRITE_HOLD_AFTER_MS):
            return None
        return primary

    def is_primary_lost(self, now_ms: float) -> bool:
        """Return whether the primary has been unusable for longer than a failover.

        Reads that need it are then refused instead of waiting.
        """
        self.record_primary_availability(now_ms)
        since_ms = self._primary_unusable_since_ms
        return since_ms is not None and now_ms - since_ms > PRIMARY_LOST_MS

    def record_primary_availability(self, now_ms: float) -> None:
        """Record since when the primary has been unusable."""
        if self.usable_primary(now_ms, for_write=False) is not None:
            self._primary_unusable_since_ms = None
        elif self._primary_unusable_since_ms is None:
            self._primary_unusable_since_ms = now_ms

    def fresh_replicas(
        self, now_ms: float, requirement: ReadRequirement
    ) -> list[InstanceState]:
        """Return the replicas that provably meet a requirement.

        Unhealthy ones are returned only if no healthy one does and the primary is
        unusable.
        """
        primary = self.primary
        fresh = [
            instance
            for instance in self.instances.values()
            if instance is not primary
            and instance.role is InstanceRole.REPLICA
            and instance.applied_position >= requirement.position
            and instance.accepts_work
            and self._meets_bounds(now_ms, instance, requirement)
        ]
        healthy = [instance for instance in fresh if instance.is_healthy(now_ms)]
        if healthy or self.usable_primary(now_ms, for_write=False) is not None:
            return healthy
        return fresh

    def _meets_bounds(
        self, now_ms: float, instance: InstanceState, requirement: ReadRequirement
    ) -> bool:
        """Return whether a replica provably meets the age limit and read order."""
        if instance.incarnation == -1:
            return False
        if requirement.bound_since_ms is not None and not _served_last(
            instance, requirement
        ):
            return False
        if requirement.max_age_ms is None:
            return not self._lags_far(now_ms, instance)
        as_of_ms = self.bounds.as_of_ms(instance.applied_position)
        if as_of_ms is None:
            return False
        return now_ms + instance.delay_ms - as_of_ms <= requirement.max_age_ms

    def _lags_far(self, now_ms: float, instance: InstanceState) -> bool:
        """Return whether a read without an age limit should use the primary instead."""
        return (
            self.bounds.lacks_old_writes(instance.applied_position, now_ms - LAG_MAX_MS)
            and self.usable_primary(now_ms, for_write=False) is not None
        )

    def primary_needs_bound(self, now_ms: float, requirement: ReadRequirement) -> bool:
        """Return whether the primary has to confirm its position before a read."""
        primary = self.primary
        if requirement.bound_since_ms is not None and not (
            primary is not None and _served_last(primary, requirement)
        ):
            return True
        if requirement.max_age_ms is None:
            return False
        as_of_ms = self.bounds.as_of_ms(self.primary_position())
        return as_of_ms is None or now_ms - as_of_ms > requirement.max_age_ms

    def primary_position(self) -> LogPosition:
        """Return an upper bound of all positions of the current term."""
        return LogPosition(self.term, POSITION_MAX)

    def has_catching_up_replica(self, now_ms: float) -> bool:
        """Return whether the next report of some replica may satisfy a read."""
        return any(
            instance is not self.primary
            and instance.role is InstanceRole.REPLICA
            and instance.accepts_work
            and instance.is_healthy(now_ms)
            for instance in self.instances.values()
        )


def _served_last(instance: InstanceState, requirement: ReadRequirement) -> bool:
    return (
        instance.name == requirement.last_instance
        and instance.incarnation == requirement.last_incarnation
        and instance.term == requirement.last_term
    )


def _settings_by_class(settings: DatabaseSettings) -> dict[RequestClass, ClassSettings]:
    return {item: settings.for_class(item) for item in RequestClass}


def _shares(settings: DatabaseSettings) -> dict[RequestClass, float]:
    return {item: settings.for_class(item).reserved_share for item in RequestClass}
