"""Main loop of a control daemon."""

import asyncio
import contextlib
import itertools
import random
import signal
from dataclasses import dataclass

from cardamomshunt.consensus import Member, Peer
from cardamomshunt.control import (
    CommandInstance,
    ControlEffect,
    ControlNode,
    EmitEvent,
    InstanceReply,
    PersistEffect,
    ReplyOperator,
    SendMessage,
    node_statuses,
)
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import Message
from cardamomshunt.operator_messages import (
    OperatorError,
    OperatorErrorCode,
    TimelineRequest,
)

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._instance_commands import InstanceCommands
from cardamomshunt_node._keys import KeyFileError, KeyRing, load_key_ring
from cardamomshunt_node._log_storage import LogStorage, OpenedStorage
from cardamomshunt_node._operator_link import OperatorServer
from cardamomshunt_node._settings import DaemonSettings
from cardamomshunt_node._state_watch import (
    WATCH_INTERVAL_S,
    CounterWatch,
    NodeWatch,
)
from cardamomshunt_node._storage_metrics import StorageMetrics
from cardamomshunt_node._storage_task import StorageDone, StorageFailed, StorageTask
from cardamomshunt_node._telemetry import Telemetry
from cardamomshunt_node._transport import PeerTransport, ReceivedMessage

_OPERATOR_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 2.0
# Closing a socket drops unsent data, such as that of a leadership transfer.
_LINGER_S = 0.1


@dataclass(slots=True, frozen=True)
class _OperatorRequest:
    request_id: int
    message: Message


@dataclass(slots=True, frozen=True)
class _Stop:
    pass


@dataclass(slots=True, frozen=True)
class _ReloadKeys:
    pass


_Input = (
    ReceivedMessage
    | StorageDone
    | StorageFailed
    | InstanceReply
    | _OperatorRequest
    | _Stop
    | _ReloadKeys
)


def members_of(settings: DaemonSettings) -> list[Member]:
    """Return the control nodes of the settings as initial members."""
    return [
        Member(
            node=item.node,
            zone=item.zone,
            peer_address=item.peer_address.url,
            operator_address=str(item.operator_address),
        )
        for item in settings.control_nodes
    ]


class ControlDaemon:
    """Feed a control node with inputs from one queue, and run its effects."""

    def __init__(
        self,
        settings: DaemonSettings,
        keys: KeyRing,
        storage: LogStorage,
        opened: OpenedStorage,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._telemetry = telemetry
        # Id of the last failover event of each database, the cause of the next one.
        self._causes: dict[str, str] = {}
        self._node_watch = NodeWatch(telemetry.emit)
        self._counter_watch = CounterWatch(telemetry.emit)
        self._next_watch_ms = 0.0
        self._inbox: asyncio.Queue[_Input] = asyncio.Queue()
        self._node = ControlNode(
            settings.node,
            settings.zone,
            members_of(settings),
            opened.restored,
            random.Random(),
            boot_ms(),
        )
        self._transport = PeerTransport(
            settings.node,
            settings.peer_address.url,
            keys,
            self._inbox.put,
            telemetry.now_hlc,
        )
        telemetry.watch_transport(self._transport)
        telemetry.metrics.add_refresher(self._refresh_metrics)
        self._operators = OperatorServer(
            settings.node, settings.operator_address.url, keys, self._handle_request
        )
        self._storage = storage
        metrics = telemetry.metrics
        self._storage_metrics = StorageMetrics(metrics.registry, metrics.const_labels)
        self._storage_task = StorageTask(
            storage, self._inbox.put_nowait, self._storage_metrics.observe
        )
        self._commands = InstanceCommands(self._inbox.put_nowait)
        self._request_ids = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Message]] = {}
        self._stop_deadline_ms: float | None = None

    async def run(self) -> None:
        """Run until SIGTERM; then transfer leadership and finish pending writes."""
        self._install_signals()
        await self._transport.start()
        await self._operators.start()
        writer = asyncio.create_task(self._storage_task.run())
        try:
            while not self._may_exit():
                await self._step()
            await asyncio.sleep(_LINGER_S)
        finally:
            await self._commands.stop()
            await self._operators.stop()
            await self._transport.stop()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._inbox.put_nowait, _Stop())
        loop.add_signal_handler(signal.SIGINT, self._inbox.put_nowait, _Stop())
        loop.add_signal_handler(signal.SIGHUP, self._inbox.put_nowait, _ReloadKeys())

    def _may_exit(self) -> bool:
        if self._stop_deadline_ms is None:
            return False
        if boot_ms() >= self._stop_deadline_ms:
            return True
        return not self._node.consensus.is_leader and self._storage_task.is_idle

    async def _step(self) -> None:
        """Wait for an input or a deadline, and handle all queued inputs."""
        deadline_ms = self._node.next_deadline_ms()
        wait_s = max(((deadline_ms or boot_ms()) - boot_ms()) / 1_000.0, 0.0)
        if self._inbox.empty() and wait_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    self._handle(await self._inbox.get())
        while not self._inbox.empty():
            self._handle(self._inbox.get_nowait())
        self._run_effects(self._node.tick(boot_ms()))
        self._watch(boot_ms())
        # Let other tasks run even if deadlines follow one another without a pause.
        await asyncio.sleep(0)

    def _watch(self, now: float) -> None:
        if now < self._next_watch_ms:
            return
        self._next_watch_ms = now + WATCH_INTERVAL_S * 1_000.0
        self._counter_watch.update(self._transport.counters)
        if self._node.consensus.is_leader:
            nodes = node_statuses(now, self._node.registry, self._settings.node)
            self._node_watch.update(nodes)
        else:
            self._node_watch.reset()

    def _handle(self, item: _Input) -> None:
        now = boot_ms()
        match item:
            case ReceivedMessage():
                self._telemetry.observe(item.envelope.sender, item.envelope.sent_hlc)
                sender = Peer(item.envelope.sender, item.envelope.reply_address)
                with self._telemetry.metrics.measure_control_cpu():
                    effects = self._node.on_message(now, sender, item.message)
                self._run_effects(effects)
            case StorageDone():
                self._run_effects(self._node.on_storage_done(now, item.sequence))
            case StorageFailed():
                effects = self._node.on_storage_failed(now, item.reason, item.is_full)
                self._run_effects(effects)
            case InstanceReply():
                self._run_effects(self._node.on_instance_reply(now, item))
            case _OperatorRequest():
                self._run_effects(
                    self._node.on_operator_request(now, item.request_id, item.message)
                )
            case _Stop():
                self._begin_stop(now)
            case _ReloadKeys():
                self._reload_keys()

    def _begin_stop(self, now: float) -> None:
        if self._stop_deadline_ms is None:
            self._stop_deadline_ms = now + _STOP_TIMEOUT_S * 1_000.0
            self._run_effects(self._node.transfer_leadership(now))

    def _reload_keys(self) -> None:
        try:
            keys = load_key_ring(self._settings.keys)
        except KeyFileError as error:
            self._emit(EventNumber.KEYS_RELOAD_FAILED, str(error))
            return
        self._transport.set_keys(keys)
        self._operators.set_keys(keys)
        self._emit(EventNumber.KEYS_RELOADED)

    def _emit(self, number: EventNumber, detail: str = "") -> None:
        self._telemetry.emit(number, self._settings.node, detail)

    def _emit_effect(self, event: EmitEvent) -> None:
        cause = self._causes.get(event.database, "")
        event_id = self._telemetry.emit(
            event.number, event.subject, event.detail, event.database, cause
        )
        if event.database:
            self._causes[event.database] = event_id

    def _refresh_metrics(self) -> None:
        metrics = self._telemetry.metrics
        metrics.set_leader(self._node.consensus.is_leader)
        metrics.set_configuration_version(self._node.state.configuration.version)
        self._storage_metrics.set_oldest_age(self._storage_task.oldest_age_ms)

    def _run_effects(self, effects: list[ControlEffect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage():
                    self._transport.send(effect.address, effect.message)
                case PersistEffect():
                    self._storage_task.put(effect)
                case CommandInstance():
                    self._commands.start(effect)
                case ReplyOperator():
                    self._answer(effect)
                case EmitEvent():
                    self._emit_effect(effect)

    def _answer(self, effect: ReplyOperator) -> None:
        future = self._replies.pop(effect.request_id, None)
        if future is not None and not future.done():
            future.set_result(effect.message)

    async def _handle_request(self, message: Message) -> Message:
        """Queue an operator's request for the main loop, and return the answer."""
        if isinstance(message, TimelineRequest):
            return self._telemetry.answer(message)
        request_id = next(self._request_ids)
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._replies[request_id] = future
        self._inbox.put_nowait(_OperatorRequest(request_id, message))
        try:
            async with asyncio.timeout(_OPERATOR_TIMEOUT_S):
                return await future
        except TimeoutError:
            return OperatorError(
                code=OperatorErrorCode.NO_QUORUM,
                detail="no majority answered in time; the request may still take effect",
            )
        finally:
            self._replies.pop(request_id, None)
