"""Usual latency of the servers of a group, by class of statement."""

import statistics
from collections.abc import Collection
from dataclasses import dataclass

_SMOOTHING = 0.1
_N_SAMPLES_MIN = 3
# The fastest answer of the last one to two windows counts.
_FASTEST_WINDOW_MS = 2_000.0
# One service time of waiting keeps the slots of a server busy.
_FASTEST_FACTOR = 2.0
_USUAL_FACTOR_MAX = 2.0
# Differences below this come from the network between zones.
_MARGIN_MS = 5.0


@dataclass(slots=True)
class _ServerLatency:
    usual_ms: float = 0.0
    n_usual: int = 0
    fastest_ms: float = float("inf")
    former_fastest_ms: float = float("inf")
    window_since_ms: float = float("-inf")

    def record(self, now_ms: float, elapsed_ms: float, *, is_usual: bool) -> None:
        age_ms = now_ms - self.window_since_ms
        if age_ms > _FASTEST_WINDOW_MS:
            is_recent = age_ms <= 2.0 * _FASTEST_WINDOW_MS
            self.former_fastest_ms = self.fastest_ms if is_recent else float("inf")
            self.fastest_ms, self.window_since_ms = float("inf"), now_ms
        self.fastest_ms = min(self.fastest_ms, elapsed_ms)
        if not is_usual:
            return
        self.n_usual += 1
        weight = max(_SMOOTHING, 1.0 / self.n_usual)
        if self.n_usual > _N_SAMPLES_MIN:
            # A queue at the server is not usual; statements that got slower are.
            elapsed_ms = min(elapsed_ms, _USUAL_FACTOR_MAX * self.usual_ms)
        self.usual_ms += weight * (elapsed_ms - self.usual_ms)

    @property
    def known_usual_ms(self) -> float | None:
        """Return the usual latency once there are enough answers."""
        return self.usual_ms if self.n_usual >= _N_SAMPLES_MIN else None

    @property
    def own_reference_ms(self) -> float | None:
        """Return the reference of a server without peers, or None without answers."""
        fastest_ms = _FASTEST_FACTOR * min(self.fastest_ms, self.former_fastest_ms)
        usual_ms = self.known_usual_ms
        if fastest_ms == float("inf"):
            return usual_ms
        return max(usual_ms or 0.0, fastest_ms)


class LatencyReference:
    """Compare the latencies of a server with those of its peers and its own usual ones.

    Latencies are kept by class of statement, as classes differ much in their work.

    >>> reference = LatencyReference()
    >>> for _ in range(3):
    ...     reference.record("a", "lookup", 0.0, 40.0, is_usual=True)
    >>> reference.ratio("b", "lookup", 270.0, peers={"a"})
    6.0
    """

    def __init__(self) -> None:
        self._latencies: dict[str, dict[str, _ServerLatency]] = {}
        self._zone_ms: dict[str, float] = {}

    def record(
        self,
        server: str,
        statement_class: str,
        now_ms: float,
        elapsed_ms: float,
        *,
        is_usual: bool,
    ) -> None:
        """Record an answer; `is_usual` says that its server has its full share."""
        by_server = self._latencies.setdefault(statement_class, {})
        latency = by_server.setdefault(server, _ServerLatency())
        latency.record(now_ms, elapsed_ms, is_usual=is_usual)

    def forget(self, server: str) -> None:
        """Forget the latencies of a server that is gone."""
        for by_server in self._latencies.values():
            by_server.pop(server, None)

    def ratio(
        self,
        server: str,
        statement_class: str,
        elapsed_ms: float,
        peers: Collection[str],
    ) -> float:
        """Return the ratio of a latency to the reference, or 1 if there is none.

        The reference are the `peers`, which are those with their full share, as this VM
        or else its zone knows them. Without any it is the server's own usual latency, or
        a multiple of its fastest answers.
        """
        reference_ms = self._reference_ms(server, statement_class, peers)
        if reference_ms is None:
            return 1.0
        return elapsed_ms / (reference_ms + _MARGIN_MS)

    def _reference_ms(
        self, server: str, statement_class: str, peers: Collection[str]
    ) -> float | None:
        own = self._latencies.get(statement_class, {}).get(server, _ServerLatency())
        if not peers:
            return own.own_reference_ms
        others = [name for name in peers if name != server]
        of_peers_ms = self._median_ms(statement_class, others)
        if of_peers_ms is None:
            of_peers_ms = self._zone_ms.get(statement_class)
        return own.known_usual_ms if of_peers_ms is None else of_peers_ms

    def _median_ms(
        self, statement_class: str, servers: Collection[str]
    ) -> float | None:
        by_server = self._latencies.get(statement_class, {})
        found = [
            latency.usual_ms
            for name, latency in by_server.items()
            if name in servers and latency.known_usual_ms is not None
        ]
        return statistics.median(found) if found else None

    def medians_ms(self, servers: Collection[str]) -> dict[str, float]:
        """Return the usual latency of some servers by class, for the zone."""
        found = {item: self._median_ms(item, servers) for item in self._latencies}
        return {item: value for item, value in found.items() if value is not None}

    def set_zone(self, statement_class: str, usual_ms: float) -> None:
        """Set the usual latency of a class as the other VMs of the zone know it."""
        self._zone_ms[statement_class] = usual_ms

    def usual_ms(self, server: str) -> float | None:
        """Return the mean usual latency of a server over all classes, if it is known."""
        found = [
            by_server[server].usual_ms
            for by_server in self._latencies.values()
            if server in by_server and by_server[server].n_usual
        ]
        return statistics.fmean(found) if found else None
