"""Replication of backend servers' reports to all control nodes and entry VMs."""

import asyncio
import itertools
from collections.abc import Callable

from cardamomshunt.fleet import (
    ReportsChanged,
    ReportsReceived,
    ReportsRequest,
    ServerRegistry,
    ServerReport,
    ServerState,
)
from cardamomshunt.messages import InstanceRole

from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._stream_transport import StreamTransport

_COMPARE_INTERVAL_S = 1.0
_RECEIPT_TIMEOUT_S = 0.4


class ReportExchange:
    """Synchronize the registry of a control node with the others and the entry VMs.

    Reports of groups that the configuration does not name wait until one does. They may
    come from another writer, under the name of a server that has its own reports.
    """

    def __init__(
        self,
        transport: StreamTransport,
        log: DecisionLog,
        peers: Callable[[], list[str]],
        entries: Callable[[], list[str]],
        is_configured: Callable[[str], bool],
    ) -> None:
        self.registry = ServerRegistry()
        self._is_configured = is_configured
        self._unconfigured: dict[str, ServerRegistry] = {}
        self._transport = transport
        self._log = log
        self._peers = peers
        self._entries = entries
        self._receipts: dict[int, asyncio.Event] = {}
        self._receipt_numbers = itertools.count(1)

    def on_receipt(self, message: ReportsReceived) -> None:
        """Record that another control node received the reports of a receipt."""
        event = self._receipts.get(message.receipt)
        if event is not None:
            event.set()

    def on_request(self, address: str, message: ReportsRequest) -> None:
        """Send all reports to a process whose digest differs."""
        if message.digest != self.registry.digest():
            self.send_all(address)

    def send_all(self, address: str) -> None:
        """Send all reports to one process."""
        reports = self.registry.all()
        if reports:
            self._transport.send(address, ReportsChanged(reports=reports))

    def on_reports(self, address: str, message: ReportsChanged) -> None:
        """Merge reports of another control node, and confirm them if requested."""
        changed = [item for item in message.reports if self._merge(item)]
        if changed:
            self._publish(changed)
        if message.receipt:
            self._transport.send(address, ReportsReceived(receipt=message.receipt))

    def merge_stored(self, reports: list[ServerReport]) -> None:
        """Merge reports from the replicated state, so that they serve after a restart.

        A server's own report replaces a stored one, as its sequence is higher.
        """
        changed = [item for item in reports if self._merge(item)]
        if changed:
            self._publish(changed)

    def on_configuration(self) -> None:
        """Use the reports of groups that are named now, and no others."""
        for report in self.registry.all():
            if not self._is_configured(report.group):
                self.registry.remove(report.server)
                self._keep_unconfigured(report)
        changed = []
        for group in [name for name in self._unconfigured if self._is_configured(name)]:
            waiting = self._unconfigured.pop(group).all()
            changed += [item for item in waiting if self.registry.merge(item)]
        if changed:
            self._publish(changed)

    def _merge(self, report: ServerReport) -> bool:
        """Merge a report; return whether it changes what is known of a group in use."""
        if self._is_configured(report.group):
            return self.registry.merge(report)
        self._keep_unconfigured(report)
        return False

    def _keep_unconfigured(self, report: ServerReport) -> bool:
        """Keep a report until its group is named; return whether it is news."""
        waiting = self._unconfigured.setdefault(report.group, ServerRegistry())
        return waiting.merge(report)

    def _publish(self, changed: list[ServerReport]) -> None:
        for report in changed:
            self._log.write(
                "server",
                server=report.server,
                group=report.group,
                state=report.state.value,
                role=report.role.value,
                sequence=report.sequence,
            )
        for address in self._entries():
            self._transport.send(address, ReportsChanged(reports=changed))

    async def run(self) -> None:
        """Compare registries with the other control nodes, as messages may be lost."""
        while True:
            for peer in self._peers():
                self._transport.send(
                    peer, ReportsRequest(digest=self.registry.digest())
                )
            await asyncio.sleep(_COMPARE_INTERVAL_S)

    async def _replicate(
        self, reports: list[ServerReport], *, is_awaited: bool
    ) -> None:
        """Send reports to the other control nodes; with `is_awaited` wait for one.

        The departure of a server is confirmed to it only once another node knows of
        it, so that it survives this node; the wait is short, as none may be reachable.
        """
        receipt = next(self._receipt_numbers) if is_awaited else 0
        message = ReportsChanged(reports=reports, receipt=receipt)
        event = self._receipts[receipt] = asyncio.Event()
        for peer in self._peers():
            self._transport.send(peer, message)
        if is_awaited:
            try:
                async with asyncio.timeout(_RECEIPT_TIMEOUT_S):
                    await event.wait()
            except TimeoutError:
                self._log.write("report_not_shared", server=reports[0].server)
        self._receipts.pop(receipt, None)

    async def accept_report(self, report: ServerReport) -> None:
        """Merge and replicate a server's report; return when it may be confirmed."""
        if not self._is_configured(report.group):
            if self._keep_unconfigured(report):
                self._log.write(
                    "report_of_unknown_group", server=report.server, group=report.group
                )
                await self._replicate([report], is_awaited=False)
            return
        if self.registry.merge(report):
            self._publish([report])
            await self._replicate(
                [report], is_awaited=report.state is not ServerState.READY
            )

    async def deregister(self, server: str) -> None:
        """Record that a server is gone; return when that may be confirmed."""
        for registry in [self.registry, *self._unconfigured.values()]:
            report = registry.get(server)
            if report is None or report.state is ServerState.GONE:
                continue
            gone = _gone_report(report)
            registry.merge(gone)
            if registry is self.registry:
                self._publish([gone])
            await self._replicate([gone], is_awaited=True)


def _gone_report(report: ServerReport) -> ServerReport:
    return ServerReport(
        server=report.server,
        group=report.group,
        address=report.address,
        zone=report.zone,
        state=ServerState.GONE,
        role=InstanceRole.REPLICA,
        started_ms=report.started_ms,
        sequence=report.sequence + 1,
    )
