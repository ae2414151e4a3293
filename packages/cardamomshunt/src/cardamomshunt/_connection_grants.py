"""Leases of backend connections to entry VMs, by reported demand."""

from dataclasses import dataclass, field

from cardamomshunt._messages import ConnectionGrant, ConnectionGrants, DemandReport

GRANT_INTERVAL_MS = 500.0
GRANT_LEASE_MS = 3_000.0
_DEMAND_AGE_MAX_MS = 3_000.0


def equal_shares(
    n_available: int, n_floor: int, wanted: dict[str, int]
) -> dict[str, int]:
    """Share connections equally above the floor, no node getting more than it wants.

    >>> equal_shares(10, 2, {"a": 2, "b": 9, "c": 9})
    {'a': 2, 'b': 4, 'c': 4}
    """
    shares = {node: min(n_floor, n_available) for node in wanted}
    n_left = n_available - sum(shares.values())
    while n_left > 0:
        hungry = [node for node in sorted(wanted) if shares[node] < wanted[node]]
        if not hungry:
            break
        for node in hungry[:n_left]:
            shares[node] += 1
        n_left -= min(n_left, len(hungry))
    return shares


@dataclass(slots=True)
class _Demand:
    report: DemandReport
    received_ms: float


@dataclass(slots=True)
class GrantAllocator:
    """Compute the grants of all entry VMs."""

    _demands: dict[str, _Demand] = field(default_factory=dict)
    _sequence: int = 0

    def on_demand(self, now_ms: float, report: DemandReport) -> None:
        """Take over a report, unless a newer one of the same node is known."""
        known = self._demands.get(report.node)
        is_recent = (
            known is not None and now_ms - known.received_ms < _DEMAND_AGE_MAX_MS
        )
        if known and is_recent and report.sequence <= known.report.sequence:
            return
        self._demands[report.node] = _Demand(report, now_ms)

    def grants(
        self, now_ms: float, n_connections_max: dict[str, int], n_floor: int
    ) -> list[ConnectionGrants]:
        """Return the grants for each entry VM with fresh demand."""
        fresh = [
            demand.report
            for demand in self._demands.values()
            if now_ms - demand.received_ms <= _DEMAND_AGE_MAX_MS
        ]
        shares: dict[str, dict[str, int]] = {}
        for instance, n_max in n_connections_max.items():
            wanted = {
                report.node: item.n_wanted
                for report in fresh
                for item in report.demands
                if item.instance == instance
            }
            if wanted:
                shares[instance] = equal_shares(n_max, n_floor, wanted)
        self._sequence = max(self._sequence + 1, int(now_ms))
        return [
            ConnectionGrants(
                node=report.node,
                sequence=self._sequence,
                grants=[
                    ConnectionGrant(
                        instance=instance,
                        n_connections=by_node[report.node],
                        expires_in_ms=GRANT_LEASE_MS,
                    )
                    for instance, by_node in shares.items()
                    if report.node in by_node
                ],
            )
            for report in fresh
        ]
