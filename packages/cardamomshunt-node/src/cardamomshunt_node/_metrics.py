"""Prometheus metrics of a daemon."""

import enum
import resource
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp.web
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.service import Service
from cardamomshunt.effects import RequestClass
from cardamomshunt.verdict import Refusal

from cardamomshunt_node._transport import TransportCounters

# Expected size in two years. The limits prevent a caller that makes up names from adding
# time series without bound.
N_DATABASES_MAX = 720
N_INSTANCES_MAX = 2_500
_OTHER = "other"
_DURATION_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4]
_GAP_BUCKETS_MS = [100, 250, 500, 750, 1_000, 1_500, 2_000, 3_000, 5_000, 15_000]
_PAGE_SIZE_BYTES = resource.getpagesize()


class ReadRoute(enum.Enum):
    """Kind of server that answered a read."""

    REPLICA = "replica"
    PRIMARY = "primary"


class ReadBound(enum.Enum):
    """Kind of freshness bound that applied to a read."""

    AGE = "age"
    SESSION = "session"


class _BoundedNames:
    """Return a limited number of names as labels, and one label for all others."""

    def __init__(self, n_names_max: int) -> None:
        self._names: set[str] = set()
        self._n_names_max = n_names_max

    def label(self, name: str) -> str:
        if name in self._names:
            return name
        if len(self._names) >= self._n_names_max:
            return _OTHER
        self._names.add(name)
        return name


class WriteGapMeter:
    """Measure how long writes to one database can't succeed, as seen by one node.

    A gap starts with the first write that failed or was queued because there was no
    primary, and ends with the next acknowledged write.

    >>> meter = WriteGapMeter()
    >>> meter.on_write_blocked(1_000.0)
    >>> meter.on_write_blocked(1_500.0)
    >>> meter.on_write_acknowledged(1_800.0)
    800.0
    >>> meter.on_write_acknowledged(1_900.0) is None
    True
    """

    __slots__ = ("_started_ms",)

    def __init__(self) -> None:
        self._started_ms: float | None = None

    def on_write_blocked(self, now_ms: float) -> None:
        """Record a write that could not run because there was no primary."""
        if self._started_ms is None:
            self._started_ms = now_ms

    def on_write_acknowledged(self, now_ms: float) -> float | None:
        """Return the length of the gap that this write ends, or None."""
        if self._started_ms is None:
            return None
        gap_ms = now_ms - self._started_ms
        self._started_ms = None
        return gap_ms


class _RefreshingService(Service):
    """Serve the metrics, and refresh the gauges before each scrape."""

    def __init__(self, registry: Registry, refresh: Callable[[], None]) -> None:
        super().__init__(registry)
        self._refresh = refresh

    async def handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self._refresh()
        return await super().handle_metrics(request)


class NodeMetrics:
    """Record the metrics of one daemon and serve them at `/metrics`.

    Functions passed to `add_refresher` run before each scrape to set gauges.
    """

    def __init__(self, node: str, role: str, zone: str) -> None:
        self.registry = Registry()
        self.const_labels = {"node": node, "role": role, "zone": zone}
        self._service = _RefreshingService(self.registry, self._refresh)
        self._refreshers: list[Callable[[], None]] = [
            self._set_process_gauges,
            self._copy_read_counts,
        ]
        self._databases = _BoundedNames(N_DATABASES_MAX)
        self._instances = _BoundedNames(N_INSTANCES_MAX)
        self._gap_meters: dict[str, WriteGapMeter] = {}
        # Counted in a plain dict and copied at each scrape, because an increment of a
        # labelled counter takes 12 us and there are thousands of reads per second.
        self._read_counts: dict[tuple[str, ReadRoute, ReadBound], int] = {}
        self._add_request_metrics()
        self._add_state_metrics()
        self._add_process_metrics()

    def _add_request_metrics(self) -> None:
        self._reads = self._counter(
            "reads_total", "Reads answered, by route and bound."
        )
        self._refusals = self._counter("refusals_total", "Refusals by verdict, reason.")
        self._retries = self._counter("retries_total", "Attempts after the first.")
        self._durations = self._histogram(
            "request_duration_seconds",
            "Time from a request's arrival to its end.",
            _DURATION_BUCKETS_S,
        )
        self._gap_lengths = self._histogram(
            "write_gap_ms",
            "Time without successful writes after a primary failed.",
            _GAP_BUCKETS_MS,
        )
        self._last_gap = self._gauge(
            "write_gap_last_ms", "Length of the last write gap."
        )
        self._is_blocked = self._gauge(
            "writes_blocked", "1 while writes can't succeed for want of a primary."
        )

    def _add_state_metrics(self) -> None:
        self._connections = self._gauge(
            "backend_connections", "Connections to a backend server, by state."
        )
        self._callers = self._gauge("caller_connections", "Open caller connections.")
        self._replica_age = self._gauge(
            "replica_age_seconds", "Proven age of a replica."
        )
        self._version = self._gauge("configuration_version", "Version in force here.")
        self._is_leader = self._gauge("control_is_leader", "1 on the control leader.")
        self._is_control_reachable = self._gauge(
            "control_is_reachable", "1 while this node hears a control leader."
        )
        self._events = self._counter("events_total", "Events by number.")

    def _add_process_metrics(self) -> None:
        self._cpu = self._counter("process_cpu_seconds_total", "CPU time used.")
        self._memory = self._gauge(
            "process_resident_memory_bytes", "Resident memory of the process."
        )
        self._control_cpu = self._counter(
            "control_cpu_seconds_total", "CPU time spent on control messages."
        )
        self._control_bytes = self._counter(
            "control_bytes_total", "Bytes of control messages, by direction."
        )
        self._control_messages = self._counter(
            "control_messages_total", "Control messages, by what became of them."
        )

    async def start(self, host: str, port: int) -> None:
        """Serve the metrics; raise OSError if the address is in use."""
        await self._service.start(addr=host, port=port)

    async def stop(self) -> None:
        """Stop serving."""
        await self._service.stop()

    @property
    def url(self) -> str:
        """Return the URL of the metrics."""
        return str(self._service.metrics_url)

    def add_refresher(self, refresher: Callable[[], None]) -> None:
        """Register a function that runs before each scrape to set gauges."""
        self._refreshers.append(refresher)

    def count_read(self, database: str, route: ReadRoute, bound: ReadBound) -> None:
        """Count an answered read."""
        key = (self._databases.label(database), route, bound)
        self._read_counts[key] = self._read_counts.get(key, 0) + 1

    def count_refusal(self, database: str, refusal: Refusal) -> None:
        """Count a refusal by verdict and reason."""
        self._refusals.inc(
            {
                "database": self._databases.label(database),
                "verdict": refusal.verdict.value,
                "reason": refusal.reason.value,
            }
        )

    def count_retry(self, database: str) -> None:
        """Count a retry of a request."""
        self._retries.inc({"database": self._databases.label(database)})

    def count_event(self, number: int) -> None:
        """Count an event of the catalogue."""
        self._events.inc({"number": str(int(number))})

    def observe_duration(
        self, database: str, request_class: RequestClass, elapsed_ms: float
    ) -> None:
        """Record the duration of a request in milliseconds."""
        self._durations.observe(
            {
                "database": self._databases.label(database),
                "class": request_class.value,
            },
            elapsed_ms / 1_000.0,
        )

    def on_write_blocked(self, database: str, now_ms: float) -> None:
        """Record a write that failed or waits because there is no primary."""
        label = self._databases.label(database)
        self._gap_meters.setdefault(label, WriteGapMeter()).on_write_blocked(now_ms)
        self._is_blocked.set({"database": label}, 1)

    def on_write_acknowledged(self, database: str, now_ms: float) -> float | None:
        """Record an acknowledged write; return the length of the gap that it ends."""
        label = self._databases.label(database)
        meter = self._gap_meters.get(label)
        gap_ms = meter.on_write_acknowledged(now_ms) if meter else None
        if gap_ms is None:
            return None
        self._gap_lengths.observe({"database": label}, gap_ms)
        self._last_gap.set({"database": label}, gap_ms)
        self._is_blocked.set({"database": label}, 0)
        return gap_ms

    def set_connections(self, instance: str, n_busy: int, n_idle: int) -> None:
        """Set the numbers of connections to a backend server."""
        label = self._instances.label(instance)
        self._connections.set({"instance": label, "state": "busy"}, n_busy)
        self._connections.set({"instance": label, "state": "idle"}, n_idle)

    def set_replica_age(self, database: str, instance: str, age_ms: float) -> None:
        """Set the proven age of a replica's data in milliseconds."""
        labels = {
            "database": self._databases.label(database),
            "instance": self._instances.label(instance),
        }
        self._replica_age.set(labels, age_ms / 1_000.0)

    def set_callers(self, n_connections: int) -> None:
        """Set the number of open caller connections."""
        self._callers.set({}, n_connections)

    def set_configuration_version(self, version: int) -> None:
        """Set the configuration version in force on this node."""
        self._version.set({}, version)

    def set_leader(self, is_leader: bool) -> None:
        """Set whether this control node is the leader."""
        self._is_leader.set({}, int(is_leader))

    def set_control_reachable(self, is_reachable: bool) -> None:
        """Set whether a control leader is reachable from this node."""
        self._is_control_reachable.set({}, int(is_reachable))

    def set_transport_counters(self, counters: TransportCounters) -> None:
        """Copy the counters of the peer transport."""
        self._control_bytes.set({"direction": "sent"}, counters.sent_bytes)
        self._control_bytes.set({"direction": "received"}, counters.received_bytes)
        for state in ("sent", "received", "dropped", "rejected", "unknown"):
            value = getattr(counters, f"n_{state}")
            self._control_messages.set({"state": state}, value)

    @contextmanager
    def measure_control_cpu(self) -> Iterator[None]:
        """Add the CPU time of a block without awaits to the cost of control messages."""
        started_s = time.thread_time()
        try:
            yield
        finally:
            self._control_cpu.add({}, time.thread_time() - started_s)

    def _refresh(self) -> None:
        for refresher in self._refreshers:
            refresher()

    def _set_process_gauges(self) -> None:
        self._cpu.set({}, time.process_time())
        try:
            statistics = Path("/proc/self/statm").read_text(encoding="ascii").split()
        except OSError:
            return
        self._memory.set({}, int(statistics[1]) * _PAGE_SIZE_BYTES)

    def _copy_read_counts(self) -> None:
        for (database, route, bound), n_reads in self._read_counts.items():
            labels = {"database": database, "route": route.value, "bound": bound.value}
            self._reads.set(labels, n_reads)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"cardamomshunt_{name}", text, self.const_labels, self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"cardamomshunt_{name}", text, self.const_labels, self.registry)

    def _histogram(self, name: str, text: str, buckets: list[float]) -> Histogram:
        limits = [float(limit) for limit in buckets]
        return Histogram(
            f"cardamomshunt_{name}", text, self.const_labels, self.registry, limits
        )
