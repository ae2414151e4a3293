"""Daemon in the role `proxy`: start, signals and graceful stop."""

import asyncio
import signal
from collections.abc import Awaitable
from random import Random

import pynng
from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.data_path import AbstractDataPath, DataPath
from cardamomshunt.effects import RequestClass
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import Announcement, TopologyUpdate
from cardamomshunt.verdict import Refusal

from cardamomshunt_node._announcements import AnnouncementReceiver
from cardamomshunt_node._backend_edge import BackendEdge
from cardamomshunt_node._backend_edge_mysql import MysqlBackendEdge
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._caller_edge import CallerEdge
from cardamomshunt_node._caller_edge_mysql import MysqlCallerEdge
from cardamomshunt_node._keys import KeyFileError, load_key_ring
from cardamomshunt_node._measured_port import MeasuredRequestPort
from cardamomshunt_node._operator_link import OperatorServer
from cardamomshunt_node._proxy_control_link import ControlLink
from cardamomshunt_node._proxy_core import ProxyCore
from cardamomshunt_node._proxy_operator import ProxyOperatorHandler
from cardamomshunt_node._proxy_start import CannotStartError
from cardamomshunt_node._proxy_state_files import StateFiles
from cardamomshunt_node._proxy_versions import VersionedState
from cardamomshunt_node._settings import Address, DaemonSettings
from cardamomshunt_node._state_watch import (
    WATCH_INTERVAL_S,
    CounterWatch,
    InstanceWatch,
)
from cardamomshunt_node._tasks import cancel_and_wait
from cardamomshunt_node._transport import PeerTransport
from cardamomshunt_node.event_log import EventLog
from cardamomshunt_node.metrics import NodeMetrics

DRAIN_TIME_MS = 20_000.0


class ProxyDaemon:
    """Run all parts of one proxy process."""

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        data_path: AbstractDataPath | None = None,
        backend: BackendEdge | None = None,
        drain_time_ms: float = DRAIN_TIME_MS,
    ) -> None:
        self._settings = settings
        self._drain_time_ms = drain_time_ms
        keys = load_key_ring(settings.keys)
        self.metrics = NodeMetrics(settings.node, "proxy", settings.zone)
        self.events = EventLog(
            settings.node, log_file=settings.log_file, count=self.metrics.count_event
        )
        self._backend = backend or MysqlBackendEdge()
        self.core = ProxyCore(
            data_path or DataPath(zone=settings.zone, generator=Random()),
            self._backend,
            boot_ms,
            self._on_event,
            self._on_fault,
        )
        self.state = VersionedState(
            StateFiles(settings.data_folder, self._on_storage_problem),
            self._on_configuration,
            self._on_topology,
        )
        self._transport = PeerTransport(
            settings.node,
            settings.peer_address.url,
            keys,
            self._on_message,
            self.events.now_hlc,
        )
        self.link = ControlLink(
            settings,
            self.core,
            self.state,
            self.events,
            self._transport,
            self.request_stop,
            self.metrics.measure_control_cpu,
        )
        operator_handler = ProxyOperatorHandler(
            settings, self.core, self.state, self.link, self.events, self.request_stop
        )
        self._operator_server = OperatorServer(
            settings.node, settings.operator_address.url, keys, operator_handler.handle
        )
        announcement_address = _require_address(settings.announcement_address)
        self._announcements = AnnouncementReceiver(
            announcement_address.host,
            announcement_address.port,
            self._on_announcement,
            boot_ms,
            self._on_rejected_announcement,
        )
        self._request_port = MeasuredRequestPort(
            self.core, self.metrics, self.events, boot_ms, self._default_max_age_ms
        )
        self._caller_edge: CallerEdge = MysqlCallerEdge(
            _require_address(settings.caller_address),
            self._request_port,
            on_refusal=self._on_refusal,
            on_fault=self._on_caller_fault,
            on_limit=self._on_caller_limit,
        )
        self._instance_watch = InstanceWatch(self.events.emit)
        self._counter_watch = CounterWatch(self.events.emit)
        self._watch_task: asyncio.Task[None] | None = None
        self._stop_requested = asyncio.Event()
        self.metrics.add_refresher(self._refresh_metrics)
        if keys.is_empty:
            self.events.emit(EventNumber.MESSAGES_UNSIGNED)

    async def start(self) -> None:
        """Open all listeners; raise CannotStartError with the address that failed."""
        settings = self._settings
        self.state.load()
        await _start_listener(
            "peer_address", settings.peer_address, self._transport.start()
        )
        await _start_listener(
            "operator_address",
            settings.operator_address,
            self._operator_server.start(),
        )
        metrics_address = settings.metrics_address
        await _start_listener(
            "metrics_address",
            metrics_address,
            self.metrics.start(metrics_address.host, metrics_address.port),
        )
        await _start_listener(
            "announcement_address",
            settings.announcement_address,
            self._announcements.start(),
        )
        self.link.start()
        await _start_listener(
            "caller_address", settings.caller_address, self._caller_edge.start()
        )
        self._watch_task = asyncio.create_task(self._watch_forever())
        self.events.emit(EventNumber.PROXY_STARTED)

    async def _watch_forever(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            try:
                data_path = self.core.data_path
                self._instance_watch.update(data_path.observations(self.core.now_ms()))
                self._counter_watch.update(self._transport.counters)
            except Exception as error:
                self._on_fault(error)

    def request_stop(self) -> None:
        """Request a graceful stop."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a stop is requested, then drain and stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload_keys)
        try:
            await self.start()
            await self._stop_requested.wait()
            await self.drain()
        finally:
            await self.stop()

    def reload_keys(self) -> None:
        """Reload the keys; the current ones stay in use if that fails."""
        try:
            keys = load_key_ring(self._settings.keys)
        except KeyFileError as error:
            self.events.emit(EventNumber.KEYS_RELOAD_FAILED, detail=str(error))
            return
        self._transport.set_keys(keys)
        self._operator_server.set_keys(keys)
        self.events.emit(EventNumber.KEYS_RELOADED)

    async def drain(self) -> None:
        """Let open transactions and requests finish within the drain time."""
        self.events.emit(EventNumber.PROXY_DRAINING)
        self.link.begin_drain()
        self.core.apply(self.core.data_path.drain)
        if not await self._caller_edge.drain(self._drain_time_ms):
            self.events.emit(
                EventNumber.PROXY_DRAIN_TIMED_OUT,
                detail=f"{self.core.data_path.n_open_requests()} requests were open",
            )

    async def stop(self) -> None:
        """Close everything; the transport to control and the metrics come last."""
        if self._watch_task is not None:
            await cancel_and_wait([self._watch_task])
        await self._caller_edge.drain(0.0)
        self.core.stop()
        # A part that fails to stop must not prevent the others from stopping.
        for stop in (
            self._announcements.stop,
            self._backend.stop,
            self.link.stop,
            self.state.stop,
            self._operator_server.stop,
            self._transport.stop,
            self.metrics.stop,
        ):
            try:
                await stop()
            except Exception as error:
                self._on_fault(error)
        self.events.emit(EventNumber.PROXY_STOPPED)
        self.events.close()

    async def _on_message(self, received: object) -> None:
        try:
            await self.link.on_message(received)  # type: ignore[arg-type]
        except Exception as error:
            self._on_fault(error)

    def _on_configuration(self, configuration: ClusterConfiguration) -> None:
        self.core.apply(self.core.data_path.on_configuration, configuration.to_json())
        self.metrics.set_configuration_version(configuration.version)

    def _on_topology(self, topology: TopologyUpdate) -> None:
        self.core.apply(self.core.data_path.on_topology, topology)
        self._request_port.on_topology(topology)

    def _default_max_age_ms(self, database: str, request_class: RequestClass) -> float:
        settings = self.state.configuration.database(database)
        return settings.for_class(request_class).max_age_ms

    def _on_announcement(
        self, announcement: Announcement, issued_ms: float | None
    ) -> None:
        self.core.apply(self.core.data_path.on_announcement, announcement, issued_ms)

    def _on_rejected_announcement(self, reason: str) -> None:
        self.events.emit(EventNumber.ANNOUNCEMENT_REJECTED, detail=reason)

    def _on_refusal(self, database: str, refusal: Refusal) -> None:
        self.metrics.count_refusal(database, refusal)

    def _on_event(self, number: int, subject: str, detail: str) -> None:
        self.events.emit(number, subject, detail)

    def _on_fault(self, error: Exception) -> None:
        detail = f"{type(error).__name__}: {error}"
        self.events.emit(EventNumber.TASK_FAILED, subject="proxy", detail=detail)

    def _on_caller_fault(self, error: Exception) -> None:
        detail = f"{type(error).__name__}: {error}"
        self.events.emit(EventNumber.CALLER_PROTOCOL_ERROR, detail=detail)

    def _on_caller_limit(self) -> None:
        self.events.emit(EventNumber.CALLER_LIMIT_REACHED)

    def _on_storage_problem(self, detail: str) -> None:
        self.events.emit(EventNumber.DISK_FAILED, detail=detail)

    def _refresh_metrics(self) -> None:
        self.metrics.set_callers(self._caller_edge.n_callers)
        self.metrics.set_transport_counters(self._transport.counters)
        self.metrics.set_control_reachable(self.link.leader is not None)


def _require_address(address: Address | None) -> Address:
    if address is None:
        raise CannotStartError("a proxy needs caller_address and announcement_address")
    return address


async def _start_listener(
    field: str, address: Address | None, start: Awaitable[None]
) -> None:
    try:
        await start
    except (OSError, pynng.NNGException) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise CannotStartError(f"{field} {address}: {reason}") from error


async def run_proxy(settings: DaemonSettings) -> None:
    """Run a proxy until a stop is requested."""
    await ProxyDaemon(settings).run()
