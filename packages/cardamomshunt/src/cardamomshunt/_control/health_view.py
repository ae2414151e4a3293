"""Health of the backend servers, as the entry VMs report it."""

from collections import defaultdict
from dataclasses import dataclass, field

from cardamomshunt._shared.messages import (
    HealthReport,
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
)
from cardamomshunt._shared.position import ZERO, LogPosition

# Old reports of a partitioned or frozen entry VM must not outvote newer ones.
REPORT_AGE_MAX_MS = 1_000.0
# Less than any detection time; servers announce themselves every 100 ms.
EVALUATION_SILENCE_MS = 100.0
CATCH_UP_OBSERVATION_MS = 1_000.0
# A restarted entry VM counts from 1 again; its reports are accepted after this pause.
_SEQUENCE_RESET_MS = 1_000.0
# Views of entry VMs that no longer report are removed after this time.
_VIEW_AGE_MAX_MS = 600_000.0


@dataclass(slots=True)
class _Reporter:
    """Entry VM that reports, with its last report."""

    zone: str
    sequence: int
    last_heard_ms: float


@dataclass(slots=True)
class InstanceView:
    """Last observation of an instance by one entry VM.

    `received_ms` is the time of the report and therefore of its positions.
    """

    zone: str
    observation: InstanceObservation
    received_ms: float
    sequence: int
    reporter: _Reporter

    @property
    def confirmed_ms(self) -> float:
        """Return when the entry VM last reported or confirmed this observation."""
        if self.sequence == self.reporter.sequence:
            return self.reporter.last_heard_ms
        return self.received_ms


@dataclass(slots=True)
class Health:
    """Summary of the fresh views of an instance."""

    n_reporting: int = 0
    is_unresponsive: bool = False
    is_alive: bool = False
    is_leaving: bool = False
    n_reporting_replica: int = 0
    newest: InstanceView | None = None
    addresses: frozenset[InstanceAddress] = frozenset()

    @property
    def has_lost_primary_role(self) -> bool:
        """Return whether a majority of the reporting entry VMs sees a replica."""
        return self.n_reporting_replica * 2 > self.n_reporting


@dataclass(slots=True)
class _InstanceHistory:
    """Largest position that an instance ever reported, and its incarnations."""

    position: LogPosition = ZERO
    first_seen_ms: dict[int, float] = field(default_factory=dict)
    incarnation: int = 0


@dataclass(slots=True)
class HealthView:
    """Collect the reports of the entry VMs and derive the health of instances."""

    _reporters: dict[str, _Reporter] = field(default_factory=dict)
    _views: dict[str, dict[str, dict[str, InstanceView]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(dict))
    )
    _histories: dict[tuple[str, str], _InstanceHistory] = field(
        default_factory=lambda: defaultdict(_InstanceHistory)
    )
    _databases_to_evaluate: set[str] = field(default_factory=set)

    def on_report(self, now_ms: float, report: HealthReport) -> None:
        """Apply a report, unless a newer one of the same entry VM is known."""
        known = self._reporters.get(report.node)
        is_recent = known and now_ms - known.last_heard_ms < _SEQUENCE_RESET_MS
        if known and is_recent and report.sequence <= known.sequence:
            return
        reporter = known or _Reporter(report.zone, report.sequence, now_ms)
        reporter.zone = report.zone
        reporter.sequence = report.sequence
        reporter.last_heard_ms = now_ms
        self._reporters[report.node] = reporter
        for observation in report.observations:
            views = self._views[observation.database][observation.instance]
            if _needs_evaluation(views.get(report.node), observation):
                self._databases_to_evaluate.add(observation.database)
            views[report.node] = InstanceView(
                report.zone, observation, now_ms, report.sequence, reporter
            )
            history = self._histories[observation.database, observation.instance]
            history.position = max(history.position, observation.log_position)
            history.first_seen_ms.setdefault(observation.incarnation, now_ms)
            history.incarnation = max(history.incarnation, observation.incarnation)

    def pop_databases_to_evaluate(self) -> set[str]:
        """Return the databases that need evaluation after reports since the last call."""
        databases, self._databases_to_evaluate = self._databases_to_evaluate, set()
        return databases

    def confirm_report(self, now_ms: float, node: str, sequence: int) -> None:
        """Record that an entry VM still observes what its last report says.

        `sequence` is the number of that report; a confirmation of any other is ignored.
        """
        reporter = self._reporters.get(node)
        if reporter is not None and reporter.sequence == sequence:
            reporter.last_heard_ms = now_ms

    def databases(self) -> list[str]:
        """Return all databases that have been reported."""
        return list(self._views)

    def instances(self, database: str) -> list[str]:
        """Return all instances that have been reported for a database."""
        return list(self._views.get(database, {}))

    def fresh_views(
        self, now_ms: float, database: str, instance: str
    ) -> list[InstanceView]:
        """Return the views that are recent enough to count."""
        views = self._views.get(database, {}).get(instance, {})
        return [
            view
            for view in views.values()
            if now_ms - view.confirmed_ms <= REPORT_AGE_MAX_MS
        ]

    def has_lost_entries(
        self, database: str, instance: str, incarnation: int, position: LogPosition
    ) -> bool:
        """Return whether an instance may lack entries it had in a known incarnation.

        Such an instance may have helped to acknowledge writes that it then lost, so it
        does not count for a majority. If this node never observed `incarnation`, it
        does not know which entries the instance had then.
        """
        history = self._histories[database, instance]
        if (
            history.incarnation != incarnation
            and incarnation not in history.first_seen_ms
        ):
            return True
        return position < history.position

    def has_caught_up(
        self, now_ms: float, database: str, instance: str, primary: str
    ) -> bool:
        """Return whether a restarted instance reached the end of the primary's log.

        Its incarnation must be older than the newest report of the primary, so that
        the end of that log covers all entries of the former incarnation.
        """
        history = self._histories[database, instance]
        since_ms = history.first_seen_ms.get(history.incarnation, now_ms)
        if now_ms - since_ms < CATCH_UP_OBSERVATION_MS:
            return False
        views = self._views[database]
        for node, view in views[instance].items():
            other = views[primary].get(node)
            if other is None or other.received_ms != view.received_ms:
                continue
            if now_ms - view.received_ms > REPORT_AGE_MAX_MS:
                continue
            replica, source = view.observation, other.observation
            is_recent = source.silence_ms < CATCH_UP_OBSERVATION_MS / 2
            is_current = replica.incarnation == history.incarnation
            if is_recent and is_current and replica.log_position >= source.log_position:
                return True
        return False

    def health(
        self, now_ms: float, database: str, instance: str, detection_ms: float
    ) -> Health:
        """Return the health of an instance, derived from its fresh views."""
        views = self.fresh_views(now_ms, database, instance)
        if not views:
            return Health()
        unresponsive = [
            view for view in views if _is_unresponsive_in_view(view, detection_ms)
        ]
        newest = min(views, key=lambda view: _age_ms(now_ms, view))
        replica = [
            view for view in views if view.observation.role is InstanceRole.REPLICA
        ]
        return Health(
            n_reporting=len(views),
            is_unresponsive=self._is_unresponsive_to_majority(
                database, instance, views, unresponsive
            ),
            is_alive=len(unresponsive) < len(views),
            is_leaving=any(view.observation.is_leaving for view in views),
            n_reporting_replica=len(replica),
            newest=newest,
            addresses=frozenset(view.observation.address for view in views),
        )

    def _is_unresponsive_to_majority(
        self,
        database: str,
        instance: str,
        views: list[InstanceView],
        unresponsive: list[InstanceView],
    ) -> bool:
        """Return whether enough entry VMs see an instance as unresponsive.

        A majority of the entry VMs and of the zones must agree. A partitioned zone
        alone is not enough for an instance in that zone.
        """
        if not _is_majority(len(unresponsive), len(views)):
            return False
        zones = {view.zone for view in views}
        unresponsive_zones = {
            zone
            for zone in zones
            if _is_majority(
                sum(view.zone == zone for view in unresponsive),
                sum(view.zone == zone for view in views),
            )
        }
        if not _is_majority(len(unresponsive_zones), len(zones)):
            return False
        own_zone = views[0].observation.zone
        all_views = self._views[database][instance].values()
        is_seen_from_outside = any(view.zone != own_zone for view in all_views)
        return not is_seen_from_outside or bool(unresponsive_zones - {own_zone})

    def address(
        self, database: str, instance: str, zone: str
    ) -> InstanceAddress | None:
        """Return the address under which the entry VMs of a zone see an instance.

        An instance may have a different address in each zone.
        """
        views = self._views.get(database, {}).get(instance, {})
        zone_views = [view for view in views.values() if view.zone == zone]
        if not zone_views:
            return None
        return max(zone_views, key=lambda view: view.confirmed_ms).observation.address

    def remove_expired(self, now_ms: float) -> None:
        """Remove the views that were not confirmed within the maximum age."""
        for instances in self._views.values():
            for views in instances.values():
                for node in list(views):
                    if now_ms - views[node].confirmed_ms > _VIEW_AGE_MAX_MS:
                        del views[node]


def _needs_evaluation(known: InstanceView | None, seen: InstanceObservation) -> bool:
    """Return whether an observation indicates a failure or differs from the last."""
    if known is None or seen.silence_ms >= EVALUATION_SILENCE_MS or seen.is_refusing:
        return True
    before = known.observation
    return (before.role, before.term, before.incarnation, before.address) != (
        seen.role,
        seen.term,
        seen.incarnation,
        seen.address,
    )


def _is_majority(n: int, n_all: int) -> bool:
    return n * 2 > n_all


def _is_unresponsive_in_view(view: InstanceView, detection_ms: float) -> bool:
    """Return whether an entry VM has not heard from a server for the detection time.

    The detection time also applies if connections are refused: the server process is
    then down, but it may be restarting.
    """
    return view.observation.silence_ms >= detection_ms


def _age_ms(now_ms: float, view: InstanceView) -> float:
    return now_ms - view.confirmed_ms + view.observation.silence_ms
