"""Leases that the leading control node granted to entry VMs, and their suspicions."""

from dataclasses import dataclass, field

from cardamomshunt._fleet.messages import LeaseRequest, Suspicion
from cardamomshunt._fleet.primary_lease import LEASE_MS

SUSPICION_RETENTION_MS = 800.0
ENTRY_RETENTION_MS = 6_000.0
_EXPIRY_INTERVAL_MS = 1_000.0
# Entry VMs unresponsive for this long don't count when a primary is suspected.
ENTRY_LIVENESS_TIMEOUT_MS = 700.0
_N_SUSPECTING_MIN = 2


@dataclass(slots=True)
class _Holder:
    granted_until_ms: float = float("-inf")
    last_heard_ms: float = float("-inf")
    released: dict[str, int] = field(default_factory=dict)
    suspicions: dict[Suspicion, float] = field(default_factory=dict)
    zone: str = ""
    # None stands for all groups.
    watched_groups: frozenset[str] | None = None

    def watches(self, suspicion: Suspicion, now_ms: float) -> bool:
        """Return whether the entry VM would notice a failure of this primary."""
        if self.watched_groups is None or suspicion.group in self.watched_groups:
            return True
        return self.suspects(suspicion, now_ms)

    def suspects(self, suspicion: Suspicion, now_ms: float) -> bool:
        """Return whether the entry VM suspected this primary recently."""
        reported_ms = self.suspicions.get(suspicion, float("-inf"))
        return now_ms <= reported_ms + SUSPICION_RETENTION_MS


class LeaseTable:
    """Track the leases that the leader has granted to entry VMs in its term."""

    def __init__(self, leader_since_ms: float) -> None:
        # The former leader may have granted a lease just before this one was elected.
        self._former_leases_until_ms = leader_since_ms + LEASE_MS
        self._holders: dict[str, _Holder] = {}
        self._expiry_due_ms = leader_since_ms

    def on_request(self, entry: str, request: LeaseRequest, now_ms: float) -> None:
        """Record a request, whose grant is valid for `LEASE_MS` from now at most."""
        holder = self._holders.setdefault(entry, _Holder())
        holder.last_heard_ms = now_ms
        holder.granted_until_ms = now_ms + LEASE_MS
        holder.zone = request.zone
        watched = request.watched_groups
        holder.watched_groups = None if watched is None else frozenset(watched)
        holder.released.update(request.released)
        for suspicion in request.suspicions:
            holder.suspicions[suspicion] = now_ms
        self._remove_expired(now_ms)

    def _remove_expired(self, now_ms: float) -> None:
        """Remove entry VMs not heard from for long, whose leases have expired."""
        if now_ms < self._expiry_due_ms:
            return
        self._expiry_due_ms = now_ms + _EXPIRY_INTERVAL_MS
        for entry in [
            name
            for name, holder in self._holders.items()
            if now_ms > holder.last_heard_ms + ENTRY_RETENTION_MS
        ]:
            del self._holders[entry]

    def is_released(self, group: str, stop_epoch: int, now_ms: float) -> bool:
        """Return whether no entry VM can still use the primary that was stopped.

        This holds for good: an entry VM whose lease ended while the primary was stopped
        ends its use before a new lease counts (`PrimaryLease.on_grant`).
        """
        if now_ms < self._former_leases_until_ms:
            return False
        return all(
            now_ms >= holder.granted_until_ms
            or holder.released.get(group, -1) >= stop_epoch
            for holder in self._holders.values()
        )

    def is_suspected(self, suspicion: Suspicion, now_ms: float) -> bool:
        """Return whether half of the live entry VMs or more suspect a primary.

        Half of those that watch its group are enough if they are at least two, of
        different zones unless all live entry VMs are of one zone.
        """
        live_holders = [
            holder
            for holder in self._holders.values()
            if now_ms <= holder.last_heard_ms + ENTRY_LIVENESS_TIMEOUT_MS
        ]
        suspecting = [item for item in live_holders if item.suspects(suspicion, now_ms)]
        if 2 * len(suspecting) >= len(live_holders):
            return bool(suspecting)
        watching = [item for item in live_holders if item.watches(suspicion, now_ms)]
        # A fault of one entry VM or of its zone's network must not be enough where few
        # entry VMs watch.
        n_zones = len({item.zone for item in live_holders})
        n_zones_suspecting = len({item.zone for item in suspecting if item.zone})
        return (
            2 * len(suspecting) >= len(watching)
            and len(suspecting) >= _N_SUSPECTING_MIN
            and n_zones_suspecting >= min(n_zones, _N_SUSPECTING_MIN)
        )
