"""Leases on the use of primaries, at entry VMs and at the leader, and suspicions."""

import enum
from dataclasses import dataclass, field

from cardamomshunt._fleet.messages import LeaseGrant, LeaseRequest, Suspicion
from cardamomshunt._fleet.primary_assignments import Assignment, AssignmentPhase

LEASE_MS = 1_300.0
# Covers the drift of two clocks over a lease, and the time between the check of the
# lease and the send of a statement.
LEASE_MARGIN_MS = 80.0
SUSPICION_RETENTION_MS = 800.0
ENTRY_RETENTION_MS = 6_000.0
_EXPIRY_INTERVAL_MS = 1_000.0
# Entry VMs unresponsive for this long don't count when a primary is suspected.
ENTRY_LIVENESS_TIMEOUT_MS = 700.0
_N_SUSPECTING_MIN = 2


class AckRefusal(enum.Enum):
    """Why an answer of a primary must not be passed on as done."""

    LEASE_LAPSED = "lease_lapsed"
    EPOCH_ENDED = "epoch_ended"


class PrimaryLease:
    """Lease of one entry VM on the use of primaries.

    Times are of a clock that continues while the machine is suspended.
    """

    def __init__(self) -> None:
        self._assignments: dict[str, Assignment] = {}
        self._valid_until_ms = float("-inf")
        self._sent_ms: dict[int, float] = {}

    def on_request_sent(self, sequence: int, now_ms: float) -> None:
        """Record when a request was sent, as its grant counts from then."""
        self._sent_ms[sequence] = now_ms
        while len(self._sent_ms) > 32:
            del self._sent_ms[next(iter(self._sent_ms))]

    def on_grant(self, grant: LeaseGrant) -> list[str]:
        """Apply a grant; return the groups whose assignment changed."""
        sent_ms = self._sent_ms.pop(grant.sequence, None)
        if sent_ms is None:
            return []
        until_ms = sent_ms + grant.lease_ms - LEASE_MARGIN_MS
        self._valid_until_ms = max(self._valid_until_ms, until_ms)
        return self.on_assignments(grant.assignments or {})

    def on_assignments(self, assignments: dict[str, Assignment]) -> list[str]:
        """Apply newer assignments; return the groups that changed."""
        changed = []
        for group, assignment in assignments.items():
            known = self._assignments.get(group)
            if known is None or assignment.epoch > known.epoch:
                self._assignments[group] = assignment
                changed.append(group)
        return changed

    @property
    def newest_epoch(self) -> int:
        """Return the newest known epoch, which identifies the set of assignments."""
        return max((item.epoch for item in self._assignments.values()), default=-1)

    @property
    def was_granted(self) -> bool:
        """Return whether there was a lease since the start of this process."""
        return self._valid_until_ms > float("-inf")

    @property
    def valid_until_ms(self) -> float:
        """Return when the lease ends or ended, or minus infinity without one."""
        return self._valid_until_ms

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease is valid, so that primaries may be used."""
        return now_ms < self._valid_until_ms

    def usable_assignment(self, group: str, now_ms: float) -> Assignment | None:
        """Return the assignment of a group if its primary may be used now."""
        assignment = self._assignments.get(group)
        if assignment is None or not self.is_valid(now_ms):
            return None
        return assignment if assignment.phase is AssignmentPhase.ACTIVE else None

    def latest_assignment(self, group: str) -> Assignment | None:
        """Return the newest known assignment of a group, usable or not."""
        return self._assignments.get(group)


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
        """Return whether no entry VM can still use the primary that was stopped."""
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
