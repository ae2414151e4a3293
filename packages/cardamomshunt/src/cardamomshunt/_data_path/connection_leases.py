"""Leases of connections: the allocator of the control leader and the lease holder.

Each entry VM may always open a floor of connections to each instance. A grant states
the total number, including the floor.
"""

from dataclasses import dataclass, field

from cardamomshunt._shared.messages import (
    ConnectionGrant,
    ConnectionGrants,
    DemandReport,
)

GRANT_INTERVAL_MS = 500.0
GRANT_LEASE_MS = 3_000.0
# Time after the end of a lease until the allocator counts it as expired, because grants
# take time to arrive and clocks drift.
LEASE_MARGIN_MS = 1_000.0
DEMAND_RETENTION_MS = 3_000.0
# Reserved for control, which connects to fence and to promote while entry VMs use all
# connections that they are granted.
N_CONNECTIONS_RESERVED = 2
# An unreachable entry VM continues to use its floors.
FLOOR_RETENTION_MS = 60_000.0


class ConnectionLeases:
    """Track the leases of one entry VM and its floor."""

    __slots__ = ("_leases", "floor")

    def __init__(self, floor: int) -> None:
        self.floor = floor
        self._leases: dict[str, tuple[int, float]] = {}

    def on_grants(self, now_ms: float, grants: list[ConnectionGrant]) -> None:
        """Apply grants; each replaces the former grant for its instance."""
        for grant in grants:
            expires_ms = now_ms + grant.expires_in_ms
            self._leases[grant.instance] = (grant.n_connections, expires_ms)

    def n_connections(self, now_ms: float, instance: str) -> int:
        """Return the number of connections to an instance that is allowed now."""
        n_granted, expires_ms = self._leases.get(instance, (0, 0.0))
        return max(self.floor, n_granted if now_ms < expires_ms else 0)


def max_min_shares(n_available: int, requested: dict[str, int]) -> dict[str, int]:
    """Return the max-min fair division of `n_available` among nodes.

    No node gets more than it requests, and the smallest share is as large as possible.

    >>> max_min_shares(10, {"a": 1, "b": 9, "c": 9})
    {'a': 1, 'b': 4, 'c': 5}
    """
    shares = {}
    n_left = n_available
    order = sorted(requested, key=lambda node: (requested[node], node))
    for index, node in enumerate(order):
        shares[node] = min(requested[node], n_left // (len(order) - index))
        n_left -= shares[node]
    return shares


@dataclass(slots=True)
class _Demand:
    sequence: int
    received_ms: float
    n_requested: dict[str, int]


@dataclass(slots=True)
class _Lease:
    n_extra: int
    free_at_ms: float


@dataclass(slots=True)
class _InstanceLeases:
    """Leases of the connections of one instance beyond the floors, by node."""

    leases: dict[str, list[_Lease]] = field(default_factory=dict)

    def n_outstanding(self, now_ms: float) -> dict[str, int]:
        """Return the largest unexpired lease of each node, and drop expired ones."""
        self.leases = {
            node: unexpired
            for node, leases in self.leases.items()
            if (unexpired := [lease for lease in leases if lease.free_at_ms > now_ms])
        }
        return {
            node: max(lease.n_extra for lease in leases)
            for node, leases in self.leases.items()
        }


class ConnectionAllocator:
    """Divide the connections of all instances among entry VMs by demand.

    The floors and the unexpired leases together never exceed an instance's connections
    minus the reserve. Every unexpired lease counts, because a later grant may have been
    lost. A new leader does not know the grants of its predecessor and does not wait for
    them to expire. Until then a server may refuse a connection, which is harmless,
    whereas waiting would limit all entry VMs to their floors.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._leases: dict[str, _InstanceLeases] = {}
        self._sequence = 0

    def on_demand(self, now_ms: float, report: DemandReport) -> None:
        """Record a demand report; one that arrives out of order is ignored."""
        known = self._demands.get(report.node)
        is_recent = (
            known is not None and now_ms - known.received_ms < DEMAND_RETENTION_MS
        )
        if known is not None and is_recent and report.sequence <= known.sequence:
            return
        requested = {item.instance: max(0, item.n_requested) for item in report.demands}
        self._demands[report.node] = _Demand(report.sequence, now_ms, requested)

    def grants(
        self, now_ms: float, n_connections_max: dict[str, int], n_floor: int
    ) -> list[ConnectionGrants]:
        """Return the grants for each entry VM with a recent demand report."""
        self._demands = {
            node: demand
            for node, demand in self._demands.items()
            if now_ms - demand.received_ms <= FLOOR_RETENTION_MS
        }
        by_node: dict[str, list[ConnectionGrant]] = {
            node: []
            for node, demand in self._demands.items()
            if now_ms - demand.received_ms <= DEMAND_RETENTION_MS
        }
        for instance, n_max in n_connections_max.items():
            self._grant(now_ms, instance, n_max, n_floor, by_node)
        self._sequence = max(self._sequence + 1, int(now_ms))
        return [
            ConnectionGrants(node=node, sequence=self._sequence, grants=grants)
            for node, grants in by_node.items()
        ]

    def _grant(
        self,
        now_ms: float,
        instance: str,
        n_max: int,
        n_floor: int,
        by_node: dict[str, list[ConnectionGrant]],
    ) -> None:
        nodes = [n for n, d in self._demands.items() if instance in d.n_requested]
        n_usable = n_max - N_CONNECTIONS_RESERVED
        n_spare = max(0, n_usable - n_floor * len(nodes))
        requested = {
            node: max(0, self._demands[node].n_requested[instance] - n_floor)
            for node in nodes
            if node in by_node
        }
        instance_leases = self._leases.setdefault(instance, _InstanceLeases())
        n_outstanding = instance_leases.n_outstanding(now_ms)
        for node, share in max_min_shares(n_spare, requested).items():
            n_others = sum(n_outstanding.values()) - n_outstanding.get(node, 0)
            n_extra = max(0, min(share, n_spare - n_others))
            n_outstanding[node] = max(n_extra, n_outstanding.get(node, 0))
            free_at_ms = now_ms + GRANT_LEASE_MS + LEASE_MARGIN_MS
            instance_leases.leases.setdefault(node, []).append(
                _Lease(n_extra, free_at_ms)
            )
            by_node[node].append(
                ConnectionGrant(
                    instance=instance,
                    n_connections=n_floor + n_extra,
                    expires_in_ms=GRANT_LEASE_MS,
                )
            )
