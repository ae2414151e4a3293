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
    """Synchronize the registry of a control node with the others and the entry VMs."""

    def __init__(
        self,
        transport: StreamTransport,
        log: DecisionLog,
        peers: Callable[[], list[str]],
        entries: Callable[[], list[str]],
    ) -> None:
        self.registry = ServerRegistry()
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
        changed = [item for item in message.reports if self.registry.merge(item)]
        if changed:
            self._publish(changed)
        if message.receipt:
            self._transport.send(address, ReportsReceived(receipt=message.receipt))

    def merge_stored(self, reports: list[ServerReport]) -> None:
        """Merge reports from the replicated state, so that they serve after a restart.

        A server's own report replaces a stored one, as its sequence is higher.
        """
        changed = [item for item in reports if self.registry.merge(item)]
        if changed:
            self._publish(changed)

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
        if self.registry.merge(report):
            self._publish([report])
            await self._replicate(
                [report], is_awaited=report.state is not ServerState.READY
            )

    async def deregister(self, server: str) -> None:
        """Record that a server is gone; return when that may be confirmed.

        The call names no group, so it holds for each that the server was said to be of.
        """
        gone = [
            _gone_report(report)
            for report in self.registry.of_server(server)
            if report.state is not ServerState.GONE
        ]
        if not gone:
            return
        for report in gone:
            self.registry.merge(report)
        self._publish(gone)
        await self._replicate(gone, is_awaited=True)


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
