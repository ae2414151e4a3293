"""Leases of connections: the allocator of the control leader and the lease holder.

Each entry VM has a floor of connections to each instance. Grants come on top of it.
"""

from dataclasses import dataclass, field

from cardamomshunt._messages import ConnectionDemand, ConnectionGrant

LEASE_MS = 3_000.0
# Until a lease has surely expired at its holder: grants travel, and clocks drift.
LEASE_MARGIN_MS = 1_000.0
DEMAND_KEPT_MS = 5_000.0


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
            self._leases[grant.instance] = (max(0, grant.n_connections), expires_ms)

    def n_connections(self, now_ms: float, instance: str) -> int:
        """Return how many connections to an instance are allowed now."""
        n_granted, expires_ms = self._leases.get(instance, (0, 0.0))
        return self.floor + (n_granted if now_ms < expires_ms else 0)

    def next_expiry_ms(self, now_ms: float) -> float | None:
        """Return when the next lease expires."""
        times = [expiry for _, expiry in self._leases.values() if expiry > now_ms]
        return min(times, default=None)


@dataclass(slots=True)
class _NodeDemand:
    reported_ms: float
    n_wanted: dict[str, int]


@dataclass(slots=True)
class _Lease:
    n_connections: int
    free_at_ms: float


@dataclass(slots=True)
class _Account:
    leases: dict[str, list[_Lease]] = field(default_factory=dict)

    def n_out(self, now_ms: float, node: str) -> int:
        """Return the largest number that a node may still believe to hold."""
        kept = [item for item in self.leases.get(node, []) if item.free_at_ms > now_ms]
        self.leases[node] = kept
        return max((item.n_connections for item in kept), default=0)


class ConnectionAllocator:
    """Divide the connections of all instances among entry VMs by demand.

    The sum of floors and of leases that may still be held never exceeds an
    instance's connections. A new leader waits for a lease time before it grants, as
    it does not know its predecessor's grants.
    """

    def __init__(
        self, now_ms: float, *, floor: int, lease_ms: float = LEASE_MS
    ) -> None:
        self.floor = floor
        self._lease_ms = lease_ms
        self._starts_ms = now_ms + lease_ms + LEASE_MARGIN_MS
        self._capacities: dict[str, int] = {}
        self._demands: dict[str, _NodeDemand] = {}
        self._accounts: dict[str, _Account] = {}

    def on_capacity(self, instance: str, n_connections_max: int) -> None:
        """Take over how many connections an instance accepts."""
        self._capacities[instance] = n_connections_max

    def on_demand(
        self, now_ms: float, node: str, demands: list[ConnectionDemand]
    ) -> None:
        """Take over the demand report of an entry VM."""
        wanted = {item.instance: max(0, item.n_wanted) for item in demands}
        self._demands[node] = _NodeDemand(now_ms, wanted)

    def on_node_removed(self, node: str) -> None:
        """Forget an entry VM; what it holds stays reserved until it expires."""
        self._demands.pop(node, None)

    def grants_for(self, now_ms: float, node: str) -> list[ConnectionGrant]:
        """Grant leases to an entry VM; empty while a new leader waits."""
        demand = self._demands.get(node)
        if demand is None or now_ms < self._starts_ms:
            return []
        return [
            self._grant(now_ms, node, instance, n_wanted)
            for instance, n_wanted in demand.n_wanted.items()
            if instance in self._capacities
        ]

    def _nodes(self, now_ms: float) -> list[str]:
        oldest_ms = now_ms - DEMAND_KEPT_MS
        return [n for n, d in self._demands.items() if d.reported_ms >= oldest_ms]

    def _fair_share(self, now_ms: float, node: str, instance: str, n_spare: int) -> int:
        """Divide by max-min fairness: no one gets more than it wants."""
        wants = {
            name: max(0, self._demands[name].n_wanted.get(instance, 0) - self.floor)
            for name in self._nodes(now_ms)
        }
        left = n_spare
        order = sorted(wants, key=lambda name: (wants[name], name))
        for index, name in enumerate(order):
            share = min(wants[name], left // (len(order) - index))
            if name == node:
                return share
            left -= share
        return 0

    def _grant(
        self, now_ms: float, node: str, instance: str, n_wanted: int
    ) -> ConnectionGrant:
        account = self._accounts.setdefault(instance, _Account())
        # A node that is silent may still hold its floor, so all known ones count.
        n_floors = self.floor * len(self._demands)
        n_spare = max(0, self._capacities[instance] - n_floors)
        share = self._fair_share(now_ms, node, instance, n_spare)
        nodes = set(account.leases) | {node}
        n_others = sum(account.n_out(now_ms, name) for name in nodes if name != node)
        n_granted = max(0, min(share, n_spare - n_others))
        lease = _Lease(n_granted, now_ms + self._lease_ms + LEASE_MARGIN_MS)
        account.leases.setdefault(node, []).append(lease)
        return ConnectionGrant(
            instance=instance, n_connections=n_granted, expires_in_ms=self._lease_ms
        )
