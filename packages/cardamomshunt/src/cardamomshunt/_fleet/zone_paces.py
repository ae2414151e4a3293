"""Exchange of the paces of servers among the entry VMs of a zone."""

import statistics

import msgspec

from cardamomshunt._fleet.server_pace import PaceSample, merge_samples

_REPORT_TIMEOUT_MS = 1_000.0
# Usual latencies change slowly and are sent less often than samples.
LATENCY_INTERVAL_MS = 1_000.0
_LATENCY_TIMEOUT_MS = 10_000.0


class ClassLatency(msgspec.Struct, frozen=True, array_like=True):
    """Usual latency of a class of statements at the servers of a group."""

    group: str
    statement_class: str
    usual_ms: float


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry VM, or all other VMs of its zone, know of the paces of servers."""

    samples: list[PaceSample] = []
    latencies: list[ClassLatency] = []


class ZonePaces:
    """Collect the reports of the entry VMs of a zone at their control node."""

    def __init__(self) -> None:
        self._samples: dict[str, tuple[float, list[PaceSample]]] = {}
        self._latencies: dict[str, tuple[float, list[ClassLatency]]] = {}
        self._latencies_sent_ms: dict[str, float] = {}

    def receive(self, entry: str, report: PaceReport, now_ms: float) -> None:
        """Replace what is known from an entry VM."""
        self._samples[entry] = (now_ms, report.samples)
        if report.latencies:
            self._latencies[entry] = (now_ms, report.latencies)

    def of_others(self, entry: str, now_ms: float) -> PaceReport:
        """Return the sums of the samples, and the medians, of all other entry VMs."""
        self._remove_expired(now_ms)
        samples = merge_samples(
            item
            for name, (_, samples) in self._samples.items()
            if name != entry
            for item in samples
        )
        sent_ms = self._latencies_sent_ms.get(entry, float("-inf"))
        if now_ms < sent_ms + LATENCY_INTERVAL_MS:
            return PaceReport(samples)
        self._latencies_sent_ms[entry] = now_ms
        return PaceReport(samples, self._latencies_of_others(entry))

    def _latencies_of_others(self, entry: str) -> list[ClassLatency]:
        found: dict[tuple[str, str], list[float]] = {}
        for name, (_, latencies) in self._latencies.items():
            if name == entry:
                continue
            for item in latencies:
                key = item.group, item.statement_class
                found.setdefault(key, []).append(item.usual_ms)
        return [
            ClassLatency(group, statement_class, round(statistics.median(values), 1))
            for (group, statement_class), values in found.items()
        ]

    def _remove_expired(self, now_ms: float) -> None:
        for name in [
            name
            for name, (received_ms, _) in self._samples.items()
            if now_ms > received_ms + _REPORT_TIMEOUT_MS
        ]:
            del self._samples[name]
            self._latencies_sent_ms.pop(name, None)
        for name in [
            name
            for name, (received_ms, _) in self._latencies.items()
            if now_ms > received_ms + _LATENCY_TIMEOUT_MS
        ]:
            del self._latencies[name]
