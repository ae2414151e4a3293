"""Adaptation, log and metrics of the pace of servers."""

from cardamomshunt.fleet import PaceChange

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView

# A server that flaps changes its limit each second.
_LOG_INTERVAL_MS = 5_000.0


class PaceWatch:
    """Adapt the limits of servers, and log those that are used least or in full again."""

    def __init__(
        self, view: FleetView, log: DecisionLog, metrics: EntryMetrics
    ) -> None:
        self._view = view
        self._log = log
        self._metrics = metrics
        self._logged_ms: dict[tuple[str, bool], float] = {}

    def update(self) -> None:
        """Adapt all limits and report the changes."""
        now = boot_ms()
        for change in self._view.adapt_paces():
            if change.level == change.former_level:
                continue
            self._metrics.count_pace_change(change.server, change.reason.value)
            if change.is_notable:
                self._log_change(change, now)

    def _log_change(self, change: PaceChange, now: float) -> None:
        key = change.server, change.level > change.former_level
        if now < self._logged_ms.get(key, float("-inf")) + _LOG_INTERVAL_MS:
            return
        self._logged_ms[key] = now
        self._log.write(
            "server_pace",
            server=change.server,
            reason=change.reason.value,
            level=change.level,
            former_level=change.former_level,
            n_answers=change.n_answers,
            failure_share=change.failure_share,
            ratio=change.ratio,
        )
