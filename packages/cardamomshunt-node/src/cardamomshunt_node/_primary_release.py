"""End of the use of primaries that are replaced, with a grace where one is left."""

import asyncio
from collections.abc import Callable

from cardamomshunt.fleet import AssignmentPhase, EndedEpoch, ServerState

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView

# Time for statements in flight to complete at a primary that is being stopped.
_GRACE_MS = 400.0
_POLL_S = 0.01


class PrimaryRelease:
    """Cut former primaries, and report to the leader that they are not used any more.

    `report` is called with a group and the newest epoch that the release covers.
    """

    def __init__(
        self,
        view: FleetView,
        log: DecisionLog,
        metrics: EntryMetrics,
        report: Callable[[str, int], None],
    ) -> None:
        self._view = view
        self._log = log
        self._metrics = metrics
        self._report = report
        self._graces: dict[str, asyncio.Task[None]] = {}

    def apply(self, changed: list[str]) -> None:
        """Follow the lease, after the assignments of the groups in `changed` did."""
        ended = self._view.lease.pop_ended_epochs()
        for item in ended:
            self._cut(item)
        # A dict keeps the order.
        for group in dict.fromkeys(changed + [item.group for item in ended]):
            self._follow(group)

    def _cut(self, ended: EndedEpoch) -> None:
        n_cut = self._view.cut_primary(ended)
        self._metrics.count_ended_epoch(ended.reason.value)
        self._log.write(
            "epoch_ended",
            group=ended.group,
            server=ended.server,
            epoch=ended.epoch,
            reason=ended.reason.value,
            n_cut=n_cut,
        )

    def _follow(self, group: str) -> None:
        assignment = self._view.lease.latest_assignment(group)
        assert assignment is not None
        if self._view.lease.is_in_use(group):
            if assignment.phase is AssignmentPhase.ACTIVE:
                self._end_grace(group)
            elif group not in self._graces:
                self._graces[group] = asyncio.create_task(self._leave_grace(group))
            return
        self._end_grace(group)
        self._log.write("released", group=group, epoch=assignment.epoch)
        self._report(group, assignment.epoch)

    def _end_grace(self, group: str) -> None:
        task = self._graces.pop(group, None)
        if task is not None:
            task.cancel()

    async def _leave_grace(self, group: str) -> None:
        """Release a primary when no statement runs there, or after the grace."""
        end_ms = boot_ms() + _GRACE_MS
        while boot_ms() < end_ms and self._is_busy(group):
            await asyncio.sleep(_POLL_S)
        del self._graces[group]
        self._view.lease.release(group)
        self.apply([])

    def _is_busy(self, group: str) -> bool:
        assignment = self._view.lease.latest_assignment(group)
        assert assignment is not None
        report = self._view.registry.get(assignment.server, group)
        if report is None or report.state is ServerState.GONE:
            return False
        pool = self._view.pool(report)
        return pool.load > 0 and not pool.is_down(boot_ms())
