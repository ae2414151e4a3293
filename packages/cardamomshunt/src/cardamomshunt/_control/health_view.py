"""What the entry VMs report of the backend servers."""

from collections import defaultdict
from dataclasses import dataclass, field

from cardamomshunt._shared.messages import (
    HealthReport,
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
)
from cardamomshunt._shared.position import ZERO, LogPosition

# Reports of an entry VM that is cut off or frozen must not outvote newer ones.
REPORT_AGE_MAX_MS = 1_000.0
# Shorter than any detection time; announcements come every 100 ms.
EVALUATION_SILENCE_MS = 100.0
CATCH_UP_OBSERVATION_MS = 1_000.0
# A restarted entry VM counts from 1 again; its reports are taken after this pause.
_SEQUENCE_RESET_MS = 1_000.0
# Views of entry VMs that are gone for good are dropped.
_VIEW_AGE_MAX_MS = 600_000.0


@dataclass(slots=True)
class _Reporter:
    zone: str
    sequence: int
    last_heard_ms: float


@dataclass(slots=True)
class InstanceView:
    """Hold the last observation of an instance by one entry VM.

    `received_ms` is the time of the report, and so of its positions.
    """

    zone: str
    observation: InstanceObservation
    received_ms: float
    sequence: int
    reporter: _Reporter

    @property
    def confirmed_ms(self) -> float:
        """Return when the entry VM last said that the instance is like this."""
        if self.sequence == self.reporter.sequence:
            return self.reporter.last_heard_ms
        return self.received_ms


@dataclass(slots=True)
class Health:
    """Summarise the fresh views of an instance."""

    n_reporting: int = 0
    is_unresponsive: bool = False
    is_alive: bool = False
    is_leaving: bool = False
    n_reporting_replica: int = 0
    newest_view: InstanceView | None = None
    addresses: frozenset[InstanceAddress] = frozenset()

    @property
    def has_lost_primary_role(self) -> bool:
        """Tell whether a majority sees the instance as a replica."""
        return self.n_reporting_replica * 2 > self.n_reporting


@dataclass(slots=True)
class _InstanceHistory:
    """Hold the largest position that an instance ever reported, and its lives."""

    position: LogPosition = ZERO
    first_seen_ms: dict[int, float] = field(default_factory=dict)
    incarnation: int = 0


@dataclass(slots=True)
class HealthView:
    """Collect reports and judge instances by them."""

    _reporters: dict[str, _Reporter] = field(default_factory=dict)
    _views: dict[str, dict[str, dict[str, InstanceView]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(dict))
    )
    _histories: dict[tuple[str, str], _InstanceHistory] = field(
        default_factory=lambda: defaultdict(_InstanceHistory)
    )
    _databases_to_evaluate: set[str] = field(default_factory=set)

    def on_report(self, now_ms: float, report: HealthReport) -> None:
        """Take over a report, unless a newer one of the same node is known."""
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
            seen = self._histories[observation.database, observation.instance]
            seen.position = max(seen.position, observation.log_position)
            seen.first_seen_ms.setdefault(observation.incarnation, now_ms)
            seen.incarnation = max(seen.incarnation, observation.incarnation)

    def pop_databases_to_evaluate(self) -> set[str]:
        """Return the databases that a report since the last call gives reason to judge."""
        attention, self._databases_to_evaluate = self._databases_to_evaluate, set()
        return attention

    def confirm_report(self, now_ms: float, node: str, sequence: int) -> None:
        """Take an entry VM's word that all is as in a report, if that one is known."""
        reporter = self._reporters.get(node)
        if reporter is not None and reporter.sequence == sequence:
            reporter.last_heard_ms = now_ms

    def databases(self) -> list[str]:
        """Return the databases that were ever reported."""
        return list(self._views)

    def instances(self, database: str) -> list[str]:
        """Return the instances that were ever reported for a database."""
        return list(self._views.get(database, {}))

    def fresh_views(
        self, now_ms: float, database: str, instance: str
    ) -> list[InstanceView]:
        """Return the views that are new enough to count."""
        views = self._views.get(database, {}).get(instance, {})
        return [
            view
            for view in views.values()
            if now_ms - view.confirmed_ms <= REPORT_AGE_MAX_MS
        ]

    def has_lost_entries(
        self, database: str, instance: str, incarnation: int, position: LogPosition
    ) -> bool:
        """Tell whether an instance may hold less than it held in a known life.

        Such an instance may have helped to acknowledge writes that it lost, so it
        doesn't count for a majority. If this node never saw the known life, it can't
        tell what that life held.
        """
        seen = self._histories[database, instance]
        if seen.incarnation != incarnation and incarnation not in seen.first_seen_ms:
            return True
        return position < seen.position

    def has_caught_up(
        self, now_ms: float, database: str, instance: str, primary: str
    ) -> bool:
        """Tell whether a restarted instance reached the primary's end of the log.

        The life must be older than the newest report of the primary, so that this end
        covers all that the former life held.
        """
        seen = self._histories[database, instance]
        since_ms = seen.first_seen_ms.get(seen.incarnation, now_ms)
        if now_ms - since_ms < CATCH_UP_OBSERVATION_MS:
            return False
        views = self._views[database]
        for node, view in views[instance].items():
            other = views[primary].get(node)
            if other is None or other.received_ms != view.received_ms:
                continue
            if now_ms - view.received_ms > REPORT_AGE_MAX_MS:
                continue
            copy, source = view.observation, other.observation
            is_recent = source.silence_ms < CATCH_UP_OBSERVATION_MS / 2
            is_current = copy.incarnation == seen.incarnation
            if is_recent and is_current and copy.log_position >= source.log_position:
                return True
        return False

    def health(
        self, now_ms: float, database: str, instance: str, detection_ms: float
    ) -> Health:
        """Judge an instance by the fresh views."""
        views = self.fresh_views(now_ms, database, instance)
        if not views:
            return Health()
        silent = [
            view for view in views if _is_unresponsive_in_view(view, detection_ms)
        ]
        newest = min(views, key=lambda view: _age_ms(now_ms, view))
        replica = [
            view for view in views if view.observation.role is InstanceRole.REPLICA
        ]
        return Health(
            n_reporting=len(views),
            is_unresponsive=self._is_unresponsive_to_majority(
                database, instance, views, silent
            ),
            is_alive=len(silent) < len(views),
            is_leaving=any(view.observation.is_leaving for view in views),
            n_reporting_replica=len(replica),
            newest_view=newest,
            addresses=frozenset(view.observation.address for view in views),
        )

    def _is_unresponsive_to_majority(
        self,
        database: str,
        instance: str,
        views: list[InstanceView],
        silent: list[InstanceView],
    ) -> bool:
        """Tell whether the silent views are enough to call an instance dead.

        A majority of entry VMs and of zones must agree, and a zone that is cut off can't
        condemn its own instance alone.
        """
        if not _is_majority(len(silent), len(views)):
            return False
        zones = {view.zone for view in views}
        silent_zones = {
            zone
            for zone in zones
            if _is_majority(
                sum(view.zone == zone for view in silent),
                sum(view.zone == zone for view in views),
            )
        }
        if not _is_majority(len(silent_zones), len(zones)):
            return False
        own_zone = views[0].observation.zone
        all_views = self._views[database][instance].values()
        is_seen_from_outside = any(view.zone != own_zone for view in all_views)
        return not is_seen_from_outside or bool(silent_zones - {own_zone})

    def address(
        self, database: str, instance: str, zone: str
    ) -> InstanceAddress | None:
        """Return the address of an instance as the entry VMs of a zone see it.

        An instance may have an address for each zone.
        """
        views = self._views.get(database, {}).get(instance, {})
        seen = [view for view in views.values() if view.zone == zone]
        if not seen:
            return None
        return max(seen, key=lambda view: view.confirmed_ms).observation.address

    def remove_expired(self, now_ms: float) -> None:
        """Drop the views of entry VMs that are gone."""
        for instances in self._views.values():
            for views in instances.values():
                for node in list(views):
                    if now_ms - views[node].confirmed_ms > _VIEW_AGE_MAX_MS:
                        del views[node]


def _needs_evaluation(known: InstanceView | None, seen: InstanceObservation) -> bool:
    """Tell whether an observation is bad news or differs from the one before."""
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
    """Tell whether one entry VM heard nothing for the detection time.

    A server whose dials are refused is down by its own kernel's word, but it may be
    restarting, so the detection time holds for it too.
    """
    return view.observation.silence_ms >= detection_ms


def _age_ms(now_ms: float, view: InstanceView) -> float:
    return now_ms - view.confirmed_ms + view.observation.silence_ms
