"""Metrics of an entry VM."""

from aioprometheus import Counter, Gauge, Histogram

from cardamomshunt_node._daemon_metrics import DaemonMetrics
from cardamomshunt_node._server_pool import ConnectionCounts
from cardamomshunt_node._team_operations import TeamOperations

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
        self._team_refusals = Counter(
            "cardamomshunt_team_refusals_total",
            "Operations refused by a rate limit, by team; later teams as (other).",
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
        self._connections_opened = Counter(
            "cardamomshunt_connections_opened_total",
            "Connections opened to servers.",
            registry=self.registry,
        )
        self._connections_reused = Counter(
            "cardamomshunt_connections_reused_total",
            "Uses of a connection that was open already.",
            registry=self.registry,
        )
        self._connections_evicted = Counter(
            "cardamomshunt_connections_evicted_total",
            "Connections closed to open one for another team.",
            registry=self.registry,
        )
        self._operations = TeamOperations(self.registry)
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
        self._lease_lapses = Counter(
            "cardamomshunt_lease_lapses_total",
            "Times that the lease on the use of primaries ended.",
            registry=self.registry,
        )
        self._ended_epochs = Counter(
            "cardamomshunt_ended_epochs_total",
            "Uses of a primary that ended, by reason.",
            registry=self.registry,
        )
        self._version = Gauge(
            "cardamomshunt_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )

        self._pace = Gauge(
            "cardamomshunt_server_pace",
            "Share of its full limit that a server may be used with, from 0 to 1.",
            registry=self.registry,
        )
        self._paced_servers: set[str] = set()
        self._pace_changes = Counter(
            "cardamomshunt_server_pace_changes_total",
            "Changes of a server's limit, by reason.",
            registry=self.registry,
        )

    def count_pace_change(self, server: str, reason: str) -> None:
        """Count a change of a server's limit."""
        self._pace_changes.inc({"server": server, "reason": reason})

    def set_paces(self, levels: dict[str, float]) -> None:
        """Set the share of its full limit for each server; end the series of others."""
        for server in self._paced_servers - levels.keys():
            self._pace.values.pop({"server": server}, None)
        self._paced_servers = set(levels)
        for server, level in levels.items():
            self._pace.set({"server": server}, level)

    def observe_statement(self, kind: str, elapsed_ms: float) -> None:
        """Record the latency of one statement."""
        self._latency.observe({"kind": kind}, elapsed_ms)

    def count_lease_lapse(self) -> None:
        """Count an end of the lease."""
        self._lease_lapses.inc({})

    def count_ended_epoch(self, reason: str) -> None:
        """Count the end of the use of a primary."""
        self._ended_epochs.inc({"reason": reason})

    def count_refusal(self, code: str) -> None:
        """Count a refusal."""
        self._refusals.inc({"code": code})

    def count_team_refusal(self, team: str) -> None:
        """Count an operation refused by the rate limit of its team."""
        self._team_refusals.inc({"team": team})

    def count_read(self, is_primary: bool) -> None:
        """Count a read that a server answered."""
        self._reads.inc({"role": "primary" if is_primary else "replica"})

    def count_hedge(self) -> None:
        """Count a hedged read."""
        self._hedges.inc({})

    def count_operation(self, team: str) -> None:
        """Count a statement outside a transaction, or the first one of a transaction."""
        self._operations.count(team)

    def set_connection_counts(self, counts: ConnectionCounts) -> None:
        """Set the counters of connections to servers."""
        self._connections_opened.set({}, counts.n_opened)
        self._connections_reused.set({}, counts.n_reused)
        self._connections_evicted.set({}, counts.n_evicted)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._operations.rank()
        return super().render()

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
