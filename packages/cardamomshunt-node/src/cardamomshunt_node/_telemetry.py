"""Events and metrics of one daemon."""

from cardamomshunt.operator_messages import TimelineReply, TimelineRequest

from cardamomshunt_node._event_log import EventLog
from cardamomshunt_node._metrics import NodeMetrics
from cardamomshunt_node._settings import DaemonSettings
from cardamomshunt_node._transport import PeerTransport


class Telemetry:
    """Log and count events, answer timeline requests and serve the metrics.

    Pass `now_hlc` to the peer transport as its clock, and call `observe` for each
    received message, so that the events of all daemons can be put in causal order.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._address = settings.metrics_address
        self.metrics = NodeMetrics(settings.node, settings.role.value, settings.zone)
        self.events = EventLog(
            settings.node, log_file=settings.log_file, count=self.metrics.count_event
        )

    async def start(self) -> None:
        """Serve the metrics; raise OSError if their address is in use."""
        await self.metrics.start(self._address.host, self._address.port)

    async def stop(self) -> None:
        """Stop serving and close the log."""
        await self.metrics.stop()
        self.events.close()

    def emit(
        self,
        number: int,
        subject: str = "",
        detail: str = "",
        database: str = "",
        cause: str = "",
    ) -> str:
        """Log and count an event; return its id."""
        return self.events.emit(number, subject, detail, database, cause)

    def now_hlc(self) -> int:
        """Return the hybrid time for an outgoing message."""
        return self.events.now_hlc()

    def observe(self, sender: str, sent_hlc: int) -> None:
        """Advance the clock to the hybrid time of a received message."""
        if sent_hlc:
            self.events.observe_hlc(sender, sent_hlc)

    def watch_transport(self, transport: PeerTransport) -> None:
        """Copy the transport's counters at each scrape."""
        self.metrics.add_refresher(
            lambda: self.metrics.set_transport_counters(transport.counters)
        )

    def answer(self, request: TimelineRequest) -> TimelineReply:
        """Answer an operator's timeline request."""
        return self.events.answer(request)
