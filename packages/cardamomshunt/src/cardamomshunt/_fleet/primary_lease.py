"""Lease of an entry VM on the use of primaries, and the epochs that it may use."""

import enum
from dataclasses import dataclass

from cardamomshunt._fleet.messages import LeaseGrant
from cardamomshunt._fleet.primary_assignments import Assignment, AssignmentPhase

LEASE_MS = 1_300.0
# Covers the drift of two clocks over a lease, and the time between the check of the
# lease and the send of a statement.
LEASE_MARGIN_MS = 80.0
_N_REQUESTS_REMEMBERED_MAX = 32


class AckRefusal(enum.Enum):
    """Why an answer of a primary must not be passed on as done."""

    LEASE_LAPSED = "lease_lapsed"
    EPOCH_ENDED = "epoch_ended"


class EpochEnd(enum.Enum):
    """Why an entry VM stopped using the primary of an epoch."""

    # The primary is being stopped, and this entry VM has given it up.
    RELEASED = "released"
    # The primary is being stopped, and the leader counted a lapsed lease as a release.
    LEASE_LAPSED = "lease_lapsed"
    # The leader has chosen a successor, so it counts the primary as released by all.
    PROMOTING = "promoting"
    REPLACED = "replaced"


@dataclass(slots=True, frozen=True)
class EndedEpoch:
    """Epoch whose answers must not be passed on any more, with its primary."""

    group: str
    server: str
    epoch: int
    reason: EpochEnd


class PrimaryLease:
    """Lease of one entry VM on the use of primaries, and the epochs it covers.

    An epoch that was ended is never used again, whatever is granted later. While a
    primary is being stopped, its epoch stays in use under an unbroken lease only, as
    the leader counts an entry VM whose lease has ended as one that gave the primary up.

    Times are of a clock that continues while the machine is suspended.
    """

    def __init__(self) -> None:
        self._assignments: dict[str, Assignment] = {}
        # Epochs in use: of an active primary, or of one that is being stopped.
        self._in_use: dict[str, Assignment] = {}
        self._ended: list[EndedEpoch] = []
        self._valid_until_ms = float("-inf")
        self._sent_ms: dict[int, float] = {}

    def on_request_sent(self, sequence: int, now_ms: float) -> None:
        """Record when a request was sent, as its grant counts from then."""
        self._sent_ms[sequence] = now_ms
        while len(self._sent_ms) > _N_REQUESTS_REMEMBERED_MAX:
            del self._sent_ms[next(iter(self._sent_ms))]

    def on_grant(self, grant: LeaseGrant, now_ms: float) -> list[str]:
        """Apply a grant; return the groups whose assignment changed."""
        sent_ms = self._sent_ms.pop(grant.sequence, None)
        if sent_ms is None:
            return []
        was_valid = self.is_valid(now_ms)
        if not was_valid:
            self._end_stopped()
        until_ms = sent_ms + grant.lease_ms - LEASE_MARGIN_MS
        self._valid_until_ms = max(self._valid_until_ms, until_ms)
        return self._apply(grant.assignments or {}, is_lease_unbroken=was_valid)

    def on_assignments(
        self, assignments: dict[str, Assignment], now_ms: float
    ) -> list[str]:
        """Apply newer assignments; return the groups that changed."""
        return self._apply(assignments, is_lease_unbroken=self.is_valid(now_ms))

    def _apply(
        self, assignments: dict[str, Assignment], *, is_lease_unbroken: bool
    ) -> list[str]:
        changed = []
        for group, assignment in assignments.items():
            known = self._assignments.get(group)
            if known is None or assignment.epoch > known.epoch:
                self._assignments[group] = assignment
                self._apply_phase(group, assignment, is_lease_unbroken)
                changed.append(group)
        return changed

    def _apply_phase(
        self, group: str, assignment: Assignment, is_lease_unbroken: bool
    ) -> None:
        match assignment.phase:
            case AssignmentPhase.ACTIVE:
                self._end(group, EpochEnd.REPLACED)
                self._in_use[group] = assignment
            case AssignmentPhase.STOPPING if not is_lease_unbroken:
                self._end(group, EpochEnd.LEASE_LAPSED)
            case AssignmentPhase.PROMOTING:
                self._end(group, EpochEnd.PROMOTING)

    def _end_stopped(self) -> None:
        """End the epochs of the primaries that are being stopped."""
        for group in list(self._in_use):
            if self._assignments[group].phase is not AssignmentPhase.ACTIVE:
                self._end(group, EpochEnd.LEASE_LAPSED)

    def _end(self, group: str, reason: EpochEnd) -> None:
        used = self._in_use.pop(group, None)
        if used is not None:
            self._ended.append(EndedEpoch(group, used.server, used.epoch, reason))

    def release(self, group: str) -> None:
        """End the use of a primary that is being stopped."""
        if self._assignments[group].phase is not AssignmentPhase.ACTIVE:
            self._end(group, EpochEnd.RELEASED)

    def pop_ended_epochs(self) -> list[EndedEpoch]:
        """Return the epochs that ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

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

    def is_in_use(self, group: str) -> bool:
        """Return whether statements may still end at the primary of a group."""
        return group in self._in_use

    def ack_refusal(self, group: str, epoch: int, now_ms: float) -> AckRefusal | None:
        """Return why an answer of `epoch` must not be passed on as done, or None.

        With None, no successor was chosen before `now_ms`.
        """
        if not self.is_valid(now_ms):
            return AckRefusal.LEASE_LAPSED
        used = self._in_use.get(group)
        if used is None or used.epoch != epoch:
            return AckRefusal.EPOCH_ENDED
        return None
