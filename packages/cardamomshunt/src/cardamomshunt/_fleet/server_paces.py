"""Concurrency limits of one entry VM for all servers that it knows."""

from dataclasses import dataclass

from cardamomshunt._fleet.latency_reference import LatencyReference
from cardamomshunt._fleet.server_pace import (
    MIN_LEVEL,
    SLOTS_LEVEL,
    START_LEVEL,
    AnswerKind,
    PaceChange,
    PaceReason,
    ServerPace,
    ServerUse,
)
from cardamomshunt._fleet.server_registry import ServerReport
from cardamomshunt._fleet.zone_paces import (
    LATENCY_INTERVAL_MS,
    ClassLatency,
    PaceReport,
)

# Time to a late answer where the usual latency of a server is not known.
_LATE_AFTER_MS = 450.0
_LATE_AFTER_MIN_MS = 100.0
_LATE_AFTER_FACTOR = 5.0
_N_ANSWERS_SHARED_MIN = 0.1


@dataclass(slots=True)
class _Group:
    reference: LatencyReference
    servers: set[str]


class ServerPaces:
    """Keep the pace of each server, and compare the servers of a group.

    At least half of the servers of a group keep the first limit of a slow start,
    whatever their answers are. A server without a peer that has its full share keeps one
    statement in flight for each slot, as its work can go nowhere else, unless it fails;
    so does a primary.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._paces: dict[str, ServerPace] = {}
        self._groups: dict[str, _Group] = {}
        self._group_of: dict[str, str] = {}
        self._is_warming_up: dict[str, bool] = {}
        self._latencies_sent_ms = float("-inf")

    def on_report(self, report: ServerReport, now_ms: float) -> PaceChange | None:
        """Apply a server's report; begin a slow start if it has started or warms up.

        So does a server that is new to this VM, until its zone knows better.
        """
        warm_up_ms = report.warm_up_ms
        was_warming_up = self._is_warming_up.get(report.server, False)
        self._is_warming_up[report.server] = warm_up_ms > 0.0
        pace = self._paces.get(report.server)
        if pace is None:
            return self._add(report).start_slowly(now_ms, PaceReason.NEW, warm_up_ms)
        pace.n_slots = report.n_slots
        if report.started_ms > pace.started_ms:
            return pace.restart(now_ms, report.started_ms, warm_up_ms)
        if warm_up_ms > 0.0 and not was_warming_up:
            return pace.start_slowly(now_ms, PaceReason.WARM_UP, warm_up_ms)
        return None

    def _add(self, report: ServerReport) -> ServerPace:
        pace = ServerPace(self._entry, report.server, report.started_ms, report.n_slots)
        self._paces[report.server] = pace
        self._group_of[report.server] = report.group
        group = self._groups.setdefault(report.group, _Group(LatencyReference(), set()))
        group.servers.add(report.server)
        return pace

    def remove(self, server: str) -> None:
        """Forget a server that is gone."""
        if self._paces.pop(server, None) is not None:
            group = self._groups[self._group_of.pop(server)]
            group.servers.discard(server)
            group.reference.forget(server)
            self._is_warming_up.pop(server, None)

    def get(self, server: str) -> ServerPace | None:
        """Return the pace of a server, or None if it is not known."""
        return self._paces.get(server)

    def all(self) -> list[ServerPace]:
        """Return the paces of all servers."""
        return list(self._paces.values())

    def on_recovered(self, server: str, now_ms: float) -> PaceChange | None:
        """Begin a slow start of a server that answers again."""
        pace = self._paces.get(server)
        return pace.start_slowly(now_ms, PaceReason.RECOVERY) if pace else None

    # Answers

    def on_sent(self, server: str, use: ServerUse, now_ms: float) -> None:
        """Record that the statement of a use was sent."""
        group = self._group_of.get(server)
        if group is None:
            return
        usual_ms = self._groups[group].reference.usual_ms(server)
        late_after_ms = _LATE_AFTER_MS
        if usual_ms is not None:
            late_after_ms = max(_LATE_AFTER_MIN_MS, _LATE_AFTER_FACTOR * usual_ms)
        use.late_after_ms = now_ms + late_after_ms

    def on_answer(
        self,
        server: str,
        use: ServerUse | None,
        statement_class: str,
        now_ms: float,
        elapsed_ms: float,
        kind: AnswerKind,
    ) -> None:
        """Record what became of a statement."""
        pace = self._paces.get(server)
        if pace is None:
            return
        if kind is not AnswerKind.ANSWERED:
            pace.on_answer(use, now_ms, elapsed_ms, kind)
            return
        reference = self._groups[self._group_of[server]].reference
        peers = self._warm_peers(server, now_ms)
        ratio = reference.ratio(server, statement_class, elapsed_ms, peers)
        reference.record(
            server, statement_class, now_ms, elapsed_ms, is_usual=pace.has_full_share
        )
        pace.on_answer(use, now_ms, elapsed_ms, kind, ratio)

    def _warm_peers(self, server: str, now_ms: float) -> set[str]:
        servers = self._groups[self._group_of[server]].servers
        return {
            name
            for name in servers
            if name != server and self._paces[name].is_warm(now_ms)
        }

    # Exchange and adaptation

    def report(self, now_ms: float) -> PaceReport:
        """Return what the other VMs of the zone need to know."""
        samples = [pace.sample(now_ms) for pace in self._paces.values()]
        samples = [
            item
            for item in samples
            if item.n_answers > _N_ANSWERS_SHARED_MIN or item.level_sum < 1.0
        ]
        if now_ms < self._latencies_sent_ms + LATENCY_INTERVAL_MS:
            return PaceReport(samples)
        self._latencies_sent_ms = now_ms
        return PaceReport(samples, self._latencies(now_ms))

    def _latencies(self, now_ms: float) -> list[ClassLatency]:
        found = []
        for name, group in self._groups.items():
            warm = {item for item in group.servers if self._paces[item].is_warm(now_ms)}
            medians_ms = group.reference.medians_ms(warm)
            found += [
                ClassLatency(name, statement_class, round(usual_ms, 1))
                for statement_class, usual_ms in medians_ms.items()
            ]
        return found

    def receive(self, report: PaceReport, now_ms: float) -> None:
        """Record what the other VMs of the zone know."""
        for sample in report.samples:
            pace = self._paces.get(sample.server)
            if pace is not None:
                pace.on_zone_sample(sample, now_ms)
        for item in report.latencies:
            group = self._groups.get(item.group)
            if group is not None:
                group.reference.set_zone(item.statement_class, item.usual_ms)

    def adapt(self, now_ms: float, primaries: set[str]) -> list[PaceChange]:
        """Adapt the limits of all servers; return the changes."""
        changes = []
        for group in self._groups.values():
            floored = self._floored(group)
            for server in sorted(group.servers):
                pace = self._paces[server]
                has_warm_peer = bool(self._warm_peers(server, now_ms))
                floor = START_LEVEL if server in floored else MIN_LEVEL
                is_sole = not has_warm_peer and not pace.has_failed_lately(now_ms)
                if server in primaries or is_sole:
                    floor = SLOTS_LEVEL
                change = pace.adapt(now_ms, floor, has_warm_peer=has_warm_peer)
                if change is not None:
                    changes.append(change)
        return changes

    def _floored(self, group: _Group) -> set[str]:
        """Return the better half of the servers of a group."""
        ordered = sorted(
            group.servers, key=lambda name: (-self._paces[name].level, name)
        )
        return set(ordered[: (len(ordered) + 1) // 2])
