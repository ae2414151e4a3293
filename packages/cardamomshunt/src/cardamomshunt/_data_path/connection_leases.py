"""Leases of connections: the allocator of the control leader and the lease holder.

Each entry VM has a floor of connections to each instance. A grant states the total,
with the floor included.
"""

from dataclasses import dataclass, field

from cardamomshunt._shared.messages import (
    ConnectionGrant,
    ConnectionGrants,
    DemandReport,
)

GRANT_INTERVAL_MS = 500.0
GRANT_LEASE_MS = 3_000.0
# Until a lease has surely expired at its holder: grants travel, and clocks drift.
LEASE_MARGIN_MS = 1_000.0
DEMAND_RETENTION_MS = 3_000.0
# Left for control, which dials to fence and promote while entry VMs hold their shares.
N_CONNECTIONS_RESERVED = 2
FLOOR_RETENTION_MS = 60_000.0  # an entry VM that is cut off goes on with its floors


class ConnectionLeases:
    """Hold the leases of one entry VM."""

    __slots__ = ("_leases", "floor")

    def __init__(self, floor: int) -> None:
        self.floor = floor
        self._leases: dict[str, tuple[int, float]] = {}

    def on_grants(self, now_ms: float, grants: list[ConnectionGrant]) -> None:
        """Take over grants; each replaces the instance's former one."""
        for grant in grants:
            expires_ms = now_ms + grant.expires_in_ms
            self._leases[grant.instance] = (grant.n_connections, expires_ms)

    def n_connections(self, now_ms: float, instance: str) -> int:
        """Return how many connections to an instance are allowed now."""
        n_granted, expires_ms = self._leases.get(instance, (0, 0.0))
        return max(self.floor, n_granted if now_ms < expires_ms else 0)


def max_min_shares(n_available: int, requested: dict[str, int]) -> dict[str, int]:
    """Divide so that no node gets more than it wants, and the least get most.

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
    """Hold what is leased of one instance beyond the floors."""

    leases: dict[str, list[_Lease]] = field(default_factory=dict)

    def n_outstanding(self, now_ms: float) -> dict[str, int]:
        """Return the most that each node may still believe to hold."""
        self.leases = {
            node: kept
            for node, leases in self.leases.items()
            if (kept := [lease for lease in leases if lease.free_at_ms > now_ms])
        }
        return {
            node: max(lease.n_extra for lease in leases)
            for node, leases in self.leases.items()
        }


class ConnectionAllocator:
    """Divide the connections of all instances among entry VMs by demand.

    The floors and what a node may still hold from an earlier grant, which may be the
    last one that arrived, never exceed an instance's connections less the reserve. A new leader does
    not know its predecessor's grants and starts at once: until those expire, a server
    may refuse a dial, which is harmless, whereas a wait would leave all at the floor.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._accounts: dict[str, _InstanceLeases] = {}
        self._sequence = 0

    def on_demand(self, now_ms: float, report: DemandReport) -> None:
        """Take over a demand report; late ones are dropped."""
        known = self._demands.get(report.node)
        is_recent = (
            known is not None and now_ms - known.received_ms < DEMAND_RETENTION_MS
        )
        if known is not None and is_recent and report.sequence <= known.sequence:
            return
        wanted = {item.instance: max(0, item.n_wanted) for item in report.demands}
        self._demands[report.node] = _Demand(report.sequence, now_ms, wanted)

    def grants(
        self, now_ms: float, n_connections_max: dict[str, int], n_floor: int
    ) -> list[ConnectionGrants]:
        """Return the grants of each entry VM that reported its demand lately."""
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
        knowing = [n for n, d in self._demands.items() if instance in d.n_requested]
        n_usable = n_max - N_CONNECTIONS_RESERVED
        n_spare = max(0, n_usable - n_floor * len(knowing))
        wanted = {
            node: max(0, self._demands[node].n_requested[instance] - n_floor)
            for node in knowing
            if node in by_node
        }
        account = self._accounts.setdefault(instance, _InstanceLeases())
        n_out = account.n_outstanding(now_ms)
        for node, share in max_min_shares(n_spare, wanted).items():
            n_others = sum(n_out.values()) - n_out.get(node, 0)
            n_extra = max(0, min(share, n_spare - n_others))
            n_out[node] = max(n_extra, n_out.get(node, 0))
            free_at_ms = now_ms + GRANT_LEASE_MS + LEASE_MARGIN_MS
            account.leases.setdefault(node, []).append(_Lease(n_extra, free_at_ms))
            by_node[node].append(
                ConnectionGrant(
                    instance=instance,
                    n_connections=n_floor + n_extra,
                    expires_in_ms=GRANT_LEASE_MS,
                )
            )
