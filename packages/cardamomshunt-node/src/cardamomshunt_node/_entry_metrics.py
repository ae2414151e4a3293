"""Metrics of an entry VM."""

from aioprometheus import Counter, Gauge, Histogram

from cardamomshunt_node._daemon_metrics import DaemonMetrics

_LATENCY_BUCKETS_MS = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0
]  # fmt: skip


class EntryMetrics(DaemonMetrics):
    """Counters, gauges and the latency histogram of an entry VM."""

    def __init__(self) -> None:
        super().__init__()
        self._latency = Histogram(
            "cardamomshunt_statement_ms",
            "Time from a statement's arrival to its answer.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_MS,
        )
        self._refusals = Counter(
            "cardamomshunt_refusals_total",
            "Statements refused or without an outcome, by code.",
            registry=self.registry,
        )
        self._reads = Counter(
            "cardamomshunt_reads_total",
            "Reads by the role of the server that ran them.",
            registry=self.registry,
        )
        self._hedges = Counter(
            "cardamomshunt_hedged_reads_total",
            "Second attempts of reads whose first one is still without an answer.",
            registry=self.registry,
        )
        self._sessions = Gauge(
            "cardamomshunt_sessions", "Open sessions.", registry=self.registry
        )
        self._forwarded = Counter(
            "cardamomshunt_forwarded_sessions_total",
            "Sessions opened at the entry VM that owns their team.",
            registry=self.registry,
        )
        self._served = Counter(
            "cardamomshunt_served_sessions_total",
            "Sessions that other entry VMs opened here.",
            registry=self.registry,
        )
        self._fallbacks = Counter(
            "cardamomshunt_owner_fallbacks_total",
            "Attempts to open a session at an owner that failed.",
            registry=self.registry,
        )
        self._has_lease = Gauge(
            "cardamomshunt_has_lease",
            "1 while primaries may be used.",
            registry=self.registry,
        )
        self._version = Gauge(
            "cardamomshunt_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )

    def observe_statement(self, kind: str, elapsed_ms: float) -> None:
        """Record the latency of one statement."""
        self._latency.observe({"kind": kind}, elapsed_ms)

    def count_refusal(self, code: str) -> None:
        """Count a refusal."""
        self._refusals.inc({"code": code})

    def count_read(self, is_primary: bool) -> None:
        """Count a read that a server answered."""
        self._reads.inc({"role": "primary" if is_primary else "replica"})

    def count_hedge(self) -> None:
        """Count a hedged read."""
        self._hedges.inc({})

    def count_forwarded_session(self) -> None:
        """Count a session that its owner runs."""
        self._forwarded.inc({})

    def count_served_session(self) -> None:
        """Count a session that is run for another entry VM."""
        self._served.inc({})

    def count_owner_fallback(self) -> None:
        """Count an owner that could not open a session."""
        self._fallbacks.inc({})

    def set_state(self, n_sessions: int, has_lease: bool, version: int) -> None:
        """Set the gauges."""
        self._sessions.set({}, n_sessions)
        self._has_lease.set({}, int(has_lease))
        self._version.set({}, version)
