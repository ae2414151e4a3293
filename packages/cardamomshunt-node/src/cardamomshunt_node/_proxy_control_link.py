"""Exchange of messages between a proxy and the control nodes."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass

from cardamomshunt.events import EventNumber
from cardamomshunt.messages import (
    ConfigurationUpdate,
    ConnectionDemand,
    ConnectionGrants,
    DemandReport,
    DrainInstance,
    FailoverStep,
    HealthReport,
    Heartbeat,
    InstanceObservation,
    Message,
    NodeRole,
    TopologyUpdate,
)

from cardamomshunt_node._boot_clock import boot_ms, wall_ms
from cardamomshunt_node._proxy_core import ProxyCore
from cardamomshunt_node._proxy_versions import UnusableUpdateError, VersionedState
from cardamomshunt_node._settings import DaemonSettings
from cardamomshunt_node._transport import PeerTransport, ReceivedMessage
from cardamomshunt_node.event_log import EventLog

HEARTBEAT_INTERVAL_MS = 500.0
URGENT_REPORT_INTERVAL_MS = 100.0
# Between full reports, heartbeats confirm the last one, which saves most of its bytes.
FULL_REPORT_INTERVAL_MS = 5_000.0
# Control discards a demand after 3 s, so two lost messages in a row are tolerated.
DEMAND_INTERVAL_MS = 1_000.0
# Without a message from the leader for this long, heartbeats go to all control nodes
# again. A new leader is elected within 600 ms.
LEADER_TIMEOUT_MS = 1_500.0
# Announcements are sent every 100 ms; two missing in a row count as unresponsive.
_UNRESPONSIVE_AFTER_MS = 250.0
_CONTROL_LOST_AFTER_MS = 5_000.0


@dataclass(slots=True)
class _Leader:
    """Control leader as known from its latest message."""

    node: str
    url: str
    last_heard_ms: float
    grants_sequence: int = -1


def is_unhealthy(item: InstanceObservation) -> bool:
    """Return whether control may have to act on an instance soon."""
    return item.is_refusing or item.silence_ms > _UNRESPONSIVE_AFTER_MS


def _urgent_fields(items: list[InstanceObservation]) -> list[tuple[object, ...]]:
    """Return the fields whose change makes a report urgent."""
    return [
        (item.instance, item.incarnation, item.role, item.term, item.is_leaving)
        for item in items
    ]


class ControlLink:
    """Report to the control nodes and apply the decisions of their leader."""

    def __init__(
        self,
        settings: DaemonSettings,
        core: ProxyCore,
        state: VersionedState,
        events: EventLog,
        transport: PeerTransport,
        request_drain: Callable[[], None],
        measure_cpu: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        self._settings = settings
        self._core = core
        self._state = state
        self._events = events
        self._transport = transport
        self._request_drain = request_drain
        self._measure_cpu = measure_cpu
        self._incarnation = wall_ms()
        self._leader: _Leader | None = None
        # Grows across restarts of the process even if the time of day is set back, so
        # that control never mistakes a new report for an old one.
        self._sequence = int(boot_ms())
        self._confirmed_sequence = 0
        self._is_repeat_due = True
        self._demand_sequence = self._sequence
        self._last_urgent_fields: list[tuple[object, ...]] = []
        self._next_heartbeat_ms = 0.0
        self._next_report_ms = 0.0
        self._next_demand_ms = 0.0
        self._last_demands: list[ConnectionDemand] = []
        self._task: asyncio.Task[None] | None = None
        self._is_control_lost = False
        self._started_ms = core.now_ms()
        self.is_draining = False

    def start(self) -> None:
        """Start sending reports and heartbeats."""
        self._task = asyncio.create_task(self._report_forever())

    async def stop(self) -> None:
        """Send a last heartbeat and stop reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.is_draining = True
        self.send_heartbeat()

    def begin_drain(self) -> None:
        """Notify control immediately that this node is draining."""
        self.is_draining = True
        self.send_heartbeat()

    @property
    def leader(self) -> str | None:
        """Return the control leader, or None without a recent message from it."""
        leader = self._live_leader()
        return leader.node if leader else None

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the leader, or to all control nodes.

        All of them get it while this node drains or no leader is known.
        """
        self._send(
            Heartbeat(
                node=self._settings.node,
                role=NodeRole.PROXY,
                zone=self._settings.zone,
                incarnation=self._incarnation,
                operator_address=str(self._settings.operator_address),
                configuration_version=self._state.configuration.version,
                topology_version=self._state.topology.version,
                is_draining=self.is_draining,
                health_sequence=self._confirmed_sequence,
            ),
            is_urgent=self.is_draining,
        )

    async def on_message(self, received: ReceivedMessage) -> None:
        """Apply a message from a control node."""
        envelope = received.envelope
        with self._measure_cpu():
            self._events.observe_hlc(envelope.sender, envelope.sent_hlc)
            self._record_leader(envelope.sender, envelope.reply_address)
            self._apply_message(received.message)

    def _apply_message(self, message: Message) -> None:
        match message:
            case TopologyUpdate():
                if self._state.update_topology(message):
                    self._events.emit(
                        EventNumber.TOPOLOGY_APPLIED,
                        detail=f"version {message.version}",
                    )
                    self.send_heartbeat()
            case ConfigurationUpdate():
                self._apply_configuration(message)
            case ConnectionGrants():
                self._apply_grants(message)
            case DrainInstance():
                self._apply_drain(message)

    def _apply_drain(self, command: DrainInstance) -> None:
        if command.instance == self._settings.node:
            if command.is_draining:
                self._request_drain()
            return
        self._core.apply(
            self._core.data_path.on_drain, command.instance, command.is_draining
        )

    def _apply_configuration(self, update: ConfigurationUpdate) -> None:
        try:
            is_applied = self._state.update_configuration(update)
        except UnusableUpdateError as error:
            self._events.emit(
                EventNumber.CONFIGURATION_UNREADABLE,
                subject=f"version {update.version}",
                detail=str(error),
            )
            return
        # After a gap, the next regular heartbeat requests the missing changes. An
        # immediate one could start a loop of heartbeats and updates at network speed.
        if not is_applied:
            return
        self._events.emit(
            EventNumber.CONFIGURATION_APPLIED, detail=f"version {update.version}"
        )
        self.send_heartbeat()

    def _apply_grants(self, message: ConnectionGrants) -> None:
        leader = self._leader
        if leader is None or message.node != self._settings.node:
            return
        if message.sequence <= leader.grants_sequence:
            return
        leader.grants_sequence = message.sequence
        self._core.apply(self._core.data_path.on_grants, message.grants)

    def _record_leader(self, node: str, url: str) -> None:
        now_ms = self._core.now_ms()
        if self._leader is None or self._leader.node != node:
            self._leader = _Leader(node, url, now_ms)
            self._next_report_ms = now_ms
        self._leader.url = url
        self._leader.last_heard_ms = now_ms

    def _live_leader(self) -> _Leader | None:
        leader = self._leader
        if leader is None:
            return None
        silence_ms = self._core.now_ms() - leader.last_heard_ms
        return leader if silence_ms <= LEADER_TIMEOUT_MS else None

    def _send(self, message: Message, is_urgent: bool) -> None:
        leader = None if is_urgent else self._live_leader()
        if leader is not None:
            self._transport.send(leader.url, message)
            return
        urls = {item.peer_address.url for item in self._settings.control_nodes}
        if self._leader is not None:
            urls.add(self._leader.url)
        for url in sorted(urls):
            self._transport.send(url, message)

    async def _report_forever(self) -> None:
        while True:
            try:
                with self._measure_cpu():
                    self._report()
            except Exception as error:
                self._events.emit(
                    EventNumber.TASK_FAILED, subject="control link", detail=repr(error)
                )
            await asyncio.sleep(URGENT_REPORT_INTERVAL_MS / 1_000.0)

    def _report(self) -> None:
        now_ms = self._core.now_ms()
        self._check_control_contact(now_ms)
        observations = self._core.data_path.observations(now_ms)
        urgent_fields = _urgent_fields(observations)
        is_urgent = urgent_fields != self._last_urgent_fields or any(
            is_unhealthy(item) for item in observations
        )
        has_steps = any(
            item.step is not FailoverStep.SERVING
            for item in self._state.topology.databases
        )
        if is_urgent or has_steps or now_ms >= self._next_report_ms:
            self._last_urgent_fields = urgent_fields
            self._sequence += 1
            self._schedule_report(now_ms, is_urgent or has_steps)
            self._send_report(observations, is_urgent)
        self._confirmed_sequence = 0 if is_urgent else self._sequence
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
            self.send_heartbeat()
            self._send_demand(now_ms)

    def _schedule_report(self, now_ms: float, has_changed: bool) -> None:
        """Schedule the next report; a report of a change is sent twice.

        Otherwise, a lost report would leave control without a view of this entry VM.
        """
        is_repeated = has_changed or self._live_leader() is None
        is_soon = is_repeated or self._is_repeat_due
        wait_ms = HEARTBEAT_INTERVAL_MS if is_soon else FULL_REPORT_INTERVAL_MS
        self._is_repeat_due = is_repeated
        self._next_report_ms = now_ms + wait_ms

    def _send_report(
        self, observations: list[InstanceObservation], is_urgent: bool
    ) -> None:
        node = self._settings.node
        self._send(
            HealthReport(
                node=node,
                zone=self._settings.zone,
                sequence=self._sequence,
                observations=observations,
            ),
            is_urgent,
        )

    def _send_demand(self, now_ms: float) -> None:
        demands = self._core.data_path.connection_demand(now_ms)
        is_due = now_ms >= self._next_demand_ms or demands != self._last_demands
        if not demands or not is_due:
            return
        self._next_demand_ms = now_ms + DEMAND_INTERVAL_MS
        self._last_demands = demands
        self._demand_sequence += 1
        self._send(
            DemandReport(
                node=self._settings.node,
                sequence=self._demand_sequence,
                demands=demands,
            ),
            is_urgent=False,
        )

    def _check_control_contact(self, now_ms: float) -> None:
        last_heard_ms = self._leader.last_heard_ms if self._leader else self._started_ms
        is_lost = now_ms - last_heard_ms > _CONTROL_LOST_AFTER_MS
        if is_lost == self._is_control_lost:
            return
        self._is_control_lost = is_lost
        number = EventNumber.CONTROL_LOST if is_lost else EventNumber.CONTROL_REGAINED
        self._events.emit(number)
