"""Log lines and metrics on the lease of an entry VM: gained and lost."""

import math
from typing import Any

from cardamomshunt.fleet import PrimaryLease

from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics


class LeaseWatch:
    """Notice when a lease ends, and when there is one again.

    Times are of the clock of the lease.
    """

    def __init__(
        self, lease: PrimaryLease, log: DecisionLog, metrics: EntryMetrics
    ) -> None:
        self._lease = lease
        self._log = log
        self._metrics = metrics
        self._has_lease = False
        self._ended_ms = float("-inf")

    def check(self, leader: str, now_ms: float) -> None:
        """Log the end of the lease; call it before each grant is applied."""
        if not self._has_lease or self._lease.is_valid(now_ms):
            return
        self._has_lease, self._ended_ms = False, self._lease.valid_until_ms
        self._metrics.count_lease_lapse()
        self._log.write("lease_lost", **self._fields(leader, now_ms))

    def on_granted(self, leader: str, now_ms: float) -> bool:
        """Log a lease after a time without one; return whether it is one."""
        if self._has_lease or not self._lease.is_valid(now_ms):
            return False
        self._has_lease = True
        self._log.write("lease_gained", **self._fields(leader, now_ms))
        return True

    def _fields(self, leader: str, now_ms: float) -> dict[str, Any]:
        lapsed_ms = now_ms - self._ended_ms
        return {
            "leader": leader,
            "lapsed_ms": round(lapsed_ms) if math.isfinite(lapsed_ms) else None,
            "newest_epoch": self._lease.newest_epoch,
        }
