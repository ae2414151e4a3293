"""The daemon of a control VM for deployments whose servers announce themselves."""

import asyncio
import itertools
import signal
from collections.abc import Coroutine
from pathlib import Path

from cardamomshunt.consensus import ConsensusMessage, Member
from cardamomshunt.fleet import (
    LEASE_MS,
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    AssignmentsChanged,
    AssignPrimary,
    ConfigurationInvalidError,
    DocumentChanged,
    FleetCommand,
    FleetState,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    LeaseTable,
    PutDocument,
    ReportsChanged,
    ReportsReceived,
    ReportsRequest,
    RouteTable,
    ServerRegistry,
    ServerReport,
    ServerState,
    Suspicion,
    encode_command,
)
from cardamomshunt.messages import InstanceRole, Message

from cardamomshunt_node._boot_clock import boot_ms, wall_ms
from cardamomshunt_node._consensus_host import ConsensusHost, NotLeaderError
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import (
    ConfigurationAsked,
    ConfigurationPut,
    ControlReply,
    DeploymentSettings,
    Platform,
    Promotion,
    ServerLeft,
    ServerReported,
)
from cardamomshunt_node._http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    call_http,
)
from cardamomshunt_node._log_storage import LogStorage
from cardamomshunt_node._replacement import (
    COMMIT_TIMEOUT_MS,
    Replacement,
    ReplacementPort,
)
from cardamomshunt_node._server_admin import ServerAdmin
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport

_WATCH_INTERVAL_S = 0.05
_ENTRY_FORGOTTEN_MS = 6_000.0
_PUSH_PAUSE_MS = 400.0
_COMPARE_INTERVAL_S = 1.0
_RECEIPT_TIMEOUT_S = 0.4
_LEADER_WAIT_MS = 600.0
_PROMOTION_TIMEOUT_MS = 800.0
_STOP_TIMEOUT_MS = 1_500.0
_LINGER_S = 0.15


class ControlNodeDaemon(ReplacementPort):
    """Own the sockets, the disk and the replicated state of a control VM."""

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        log: DecisionLog | None = None,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._log = log or DecisionLog(settings.node)
        self._metrics = ControlMetrics()
        self._state = FleetState()
        self._table = RouteTable()
        self._registry = ServerRegistry()
        self._admin = ServerAdmin(platform.session_protocol)
        self._transport = StreamTransport(
            settings.host, settings.peer_address, self._on_message
        )
        self._entries: dict[str, float] = {}
        self._pushed_ms: dict[str, float] = {}
        self._leases: LeaseTable | None = None
        self._told_assignments: dict[str, Assignment] = {}
        self._is_announced = False
        self._own_tokens: set[int] = set()
        self._replacements: dict[str, asyncio.Task[None]] = {}
        self._receipts: dict[int, asyncio.Event] = {}
        self._receipt_numbers = itertools.count(1)
        self._stop = asyncio.Event()
        self._storage = LogStorage(Path(settings.data_folder) / "log")
        self._host = self._open_host()
        self._control = HttpServer(settings.control_address, self._answer)
        self._metrics_server = HttpServer(
            f"{settings.host}:{settings.metrics_port}", self._answer_metrics
        )

    def _open_host(self) -> ConsensusHost:
        settings = self._settings
        opened = self._storage.open(new_incarnation=wall_ms())
        if opened.cut:
            self._log.write("torn_record_cut", detail=opened.cut)
        members = [
            Member(
                node=peer.rpartition(":")[0],
                zone="",
                peer_address=peer,
                operator_address=control,
            )
            for peer, control in zip(
                settings.seed_peer_addresses, settings.control_addresses, strict=True
            )
        ]
        host = ConsensusHost(
            settings.host,
            members,
            opened,
            self._storage,
            self._transport,
            self._log,
            self._apply,
            self._install,
            lambda: self._state.encode(),
            settings.control_address,
            settings.is_first_start,
        )
        host.on_leadership = self._on_leadership
        host.on_applied = self._on_applied
        return host

    async def run(self) -> None:
        """Run until SIGTERM, then hand leadership over."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._transport.start()
        await self._control.start()
        await self._metrics_server.start()
        self._host.start()
        tasks = [
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._compare_reports()),
        ]
        self._log.write("started", role="control", zone=self._settings.zone)
        await self._stop.wait()
        self._log.write("stopping", is_leader=self._host.node.is_leader)
        await self._leave()
        for task in tasks:
            task.cancel()
        await self._host.stop()
        self._log.write("stopped", role="control")

    async def _leave(self) -> None:
        if self._host.node.is_leader:
            self._host.hand_over()
        end_ms = boot_ms() + _STOP_TIMEOUT_MS
        while boot_ms() < end_ms and (
            self._host.node.is_leader or not self._host.is_idle
        ):
            await asyncio.sleep(0.02)
        await asyncio.sleep(_LINGER_S)
        await self._control.stop()
        await self._transport.stop()

    def stop(self) -> None:
        """Begin to stop, as at SIGTERM."""
        self._stop.set()

    def _reload(self) -> None:
        self._log.write("reloaded")

    # Replicated state

    def _apply(self, index: int, payload: bytes) -> bool:
        return self._state.apply(index, payload)

    def _on_applied(self) -> None:
        """Put what was applied in force, and tell the entry VMs of it."""
        if self._state.version != self._table.version:
            self._load_table()
            self._tell_entries(
                DocumentChanged(
                    version=self._state.version, document=self._state.document
                )
            )
        if self._host.may_act and not self._is_announced:
            self._is_announced = True
            hint = LeaderHint(
                leader_address=self._settings.peer_address,
                control_addresses=self._control_addresses(),
            )
            self._tell_entries(hint)
        if self._state.assignments != self._told_assignments:
            self._told_assignments = dict(self._state.assignments)
            self._tell_entries(
                AssignmentsChanged(assignments=dict(self._state.assignments))
            )

    def _install(self, data: bytes) -> None:
        self._state = FleetState.decode(data)
        self._load_table()

    def _load_table(self) -> None:
        if not self._state.document:
            return
        self._table = self._platform.parse_configuration(self._state.document)
        self._log.write("configuration", version=self._state.version)

    def _tell_entries(self, message: Message) -> None:
        """Send news at once; only the leader does, and requests repair the rest."""
        if not self._host.may_act:
            return
        for address in self._live_entries():
            self._transport.send(address, message)

    def _live_entries(self) -> list[str]:
        now = boot_ms()
        return [
            address
            for address, heard_ms in self._entries.items()
            if now <= heard_ms + _ENTRY_FORGOTTEN_MS
        ]

    def _peers(self) -> list[str]:
        addresses = {member.peer_address for member in self._host.node.members}
        addresses |= set(self._settings.seed_peer_addresses)
        return sorted(addresses - {self._settings.peer_address})

    def _control_addresses(self) -> list[str]:
        return sorted(member.peer_address for member in self._host.node.members)

    def _on_leadership(self, is_leader: bool) -> None:
        self._own_tokens.clear()
        self._is_announced = False
        self._leases = LeaseTable(boot_ms()) if is_leader else None
        self._log.write(
            "leading" if is_leader else "following", term=self._host.node.term
        )
        if not is_leader:
            for task in self._replacements.values():
                task.cancel()
            self._replacements.clear()

    # Messages

    def _on_message(self, received: StreamMessage) -> None:
        address = received.envelope.reply_address
        match received.message:
            case ConsensusMessage():
                self._host.on_message(received, received.message)
            case LeaseRequest():
                self._on_lease_request(address, received.message)
            case ReportsChanged():
                self._on_reports(address, received.message)
            case ReportsReceived():
                event = self._receipts.get(received.message.receipt)
                if event is not None:
                    event.set()
            case ReportsRequest():
                if received.message.digest != self._registry.digest():
                    self._send_reports(address)

    def _on_lease_request(self, address: str, request: LeaseRequest) -> None:
        now = boot_ms()
        self._entries[address] = now
        if self._host.may_act and self._leases is not None:
            self._leases.on_request(address, request, now)
            grant = LeaseGrant(
                sequence=request.sequence,
                lease_ms=LEASE_MS,
                n_entries=len(self._live_entries()),
                assignments=self._newer_assignments(request.newest_epoch),
                control_addresses=self._control_addresses(),
            )
            self._transport.send(address, grant)
            self._metrics.count_grant()
        else:
            self._transport.send(
                address,
                LeaderHint(
                    leader_address=self._host.leader_address() or "",
                    control_addresses=self._control_addresses(),
                ),
            )
        self._repair(address, request, now)

    def _newer_assignments(self, known_epoch: int) -> dict[str, Assignment] | None:
        """Return the assignments unless an entry VM knows the newest of them."""
        newest = max(
            (item.epoch for item in self._state.assignments.values()), default=-1
        )
        return dict(self._state.assignments) if known_epoch != newest else None

    def _repair(self, address: str, request: LeaseRequest, now: float) -> None:
        """Send what an entry VM lacks; news may have been lost on the way."""
        is_behind = request.version < self._state.version
        has_other_servers = request.registry_digest != self._registry.digest()
        if not is_behind and not has_other_servers:
            return
        if now < self._pushed_ms.get(address, 0.0) + _PUSH_PAUSE_MS:
            return
        self._pushed_ms[address] = now
        if is_behind:
            message = DocumentChanged(
                version=self._state.version, document=self._state.document
            )
            self._transport.send(address, message)
        if has_other_servers:
            self._send_reports(address)

    def _send_reports(self, address: str) -> None:
        reports = self._registry.all()
        if reports:
            self._transport.send(address, ReportsChanged(reports=reports))

    def _on_reports(self, address: str, message: ReportsChanged) -> None:
        changed = [item for item in message.reports if self._registry.merge(item)]
        if changed:
            self._pass_on(changed)
        if message.receipt:
            self._transport.send(address, ReportsReceived(receipt=message.receipt))

    def _pass_on(self, changed: list[ServerReport]) -> None:
        for report in changed:
            self._log.write(
                "server",
                server=report.server,
                group=report.group,
                state=report.state.value,
                role=report.role.value,
                sequence=report.sequence,
            )
        for address in self._live_entries():
            self._transport.send(address, ReportsChanged(reports=changed))

    async def _compare_reports(self) -> None:
        """Ask the other control nodes for what they know; news may have been lost."""
        while True:
            for peer in self._peers():
                self._transport.send(
                    peer, ReportsRequest(digest=self._registry.digest())
                )
            await asyncio.sleep(_COMPARE_INTERVAL_S)

    # Calls

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        call = self._platform.parse_control_call(request)
        match call:
            case ServerReported():
                reply = await self._take_report(call.report)
            case ServerLeft():
                reply = await self._take_leave(call.server)
            case ConfigurationPut():
                reply = await self._put_configuration(call.document)
            case ConfigurationAsked():
                reply = await self._read_configuration()
            case _:
                reply = ControlReply(404)
        self._metrics.count_call(type(call).__name__, reply.status)
        return self._platform.control_response(reply, request)

    async def _take_report(self, report: ServerReport | None) -> ControlReply:
        if report is None:
            self._log.write("report_unusable")
            return ControlReply(400)
        if self._registry.merge(report):
            self._pass_on([report])
            await self._share_reports(
                [report], is_awaited=report.state is not ServerState.READY
            )
        return ControlReply(200)

    async def _take_leave(self, server: str) -> ControlReply:
        report = self._registry.get(server)
        if report is not None and report.state is not ServerState.GONE:
            gone = ServerReport(
                server=report.server,
                group=report.group,
                address=report.address,
                zone=report.zone,
                state=ServerState.GONE,
                role=InstanceRole.REPLICA,
                started_ms=report.started_ms,
                sequence=report.sequence + 1,
            )
            self._registry.merge(gone)
            self._pass_on([gone])
            await self._share_reports([gone], is_awaited=True)
        return ControlReply(200)

    async def _share_reports(
        self, reports: list[ServerReport], *, is_awaited: bool
    ) -> None:
        """Send reports to the other control nodes; wait until one holds them.

        A server that leaves is confirmed only when the news survives this node, but
        not later than a moment if no other node can be reached.
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

    async def _await_leader(self) -> ControlReply | None:
        """Return where to go, or None if this node leads and may answer."""
        end_ms = boot_ms() + _LEADER_WAIT_MS
        while not self._host.may_act:
            redirect = self._host.leader_operator_address()
            if redirect and not self._host.node.is_leader:
                return ControlReply(307, redirect=redirect)
            if boot_ms() >= end_ms:
                return ControlReply(503, b'{"error":"no leader is known"}')
            await asyncio.sleep(0.02)
        return None

    async def _put_configuration(self, document: bytes) -> ControlReply:
        try:
            table = self._platform.parse_configuration(document)
        except ConfigurationInvalidError as error:
            self._log.write("configuration_refused", reason=str(error))
            return ControlReply(400, f'{{"error":"{error}"}}'.encode())
        elsewhere = await self._await_leader()
        if elsewhere is not None:
            return elsewhere
        if table.version <= self._state.version:
            self._log.write(
                "configuration_overtaken",
                version=table.version,
                newest=self._state.version,
            )
            return ControlReply(200, b"{}")
        try:
            await self._commit(PutDocument(version=table.version, document=document))
        except (NotLeaderError, TimeoutError) as error:
            self._log.write(
                "configuration_unsure",
                version=table.version,
                reason=type(error).__name__,
            )
            return ControlReply(503, b'{"error":"not confirmed in time"}')
        self._log.write("configuration_acknowledged", version=table.version)
        return ControlReply(200, b"{}")

    async def _read_configuration(self) -> ControlReply:
        elsewhere = await self._await_leader()
        if elsewhere is not None:
            return elsewhere
        if not self._state.version:
            return ControlReply(503, b'{"error":"no configuration yet"}')
        return ControlReply(200, self._state.document)

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        self._metrics.set_state(
            self._host.node.is_leader,
            self._state.version,
            len(self._live_entries()),
        )
        return HttpResponse(200, self._metrics.render(), content_type="text/plain")

    # Primaries

    async def _commit(self, command: FleetCommand) -> bool:
        return await self._host.propose(encode_command(command), COMMIT_TIMEOUT_MS)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            self._log.flush()
            if not self._host.may_act or self._leases is None:
                continue
            for group in {item.group for item in self._registry.all()}:
                self._watch_group(group, self._leases)

    def _watch_group(self, group: str, leases: LeaseTable) -> None:
        running = self._replacements.get(group)
        if running is not None and not running.done():
            return
        assignment = self._state.assignments.get(group)
        if assignment is None:
            self._start(group, self._assign_first(group))
        elif assignment.phase is not AssignmentPhase.ACTIVE:
            self._start(group, self._replacement(group).run())
        elif reason := self._replacement_reason(group, assignment, leases):
            self._log.write(
                "replacing", group=group, server=assignment.server, reason=reason
            )
            self._metrics.count_replacement(reason)
            self._start(group, self._replacement(group).run())

    def _start(self, group: str, work: Coroutine[None, None, None]) -> None:
        self._replacements[group] = asyncio.create_task(work)

    def _replacement(self, group: str) -> Replacement:
        return Replacement(group, self._settings.host, self, self._admin, self._log)

    def _replacement_reason(
        self, group: str, assignment: Assignment, leases: LeaseTable
    ) -> str:
        report = self._registry.get(assignment.server)
        has_successor = any(
            item.server != assignment.server and item.state is ServerState.READY
            for item in self._registry.of_group(group)
        )
        if not has_successor:
            return ""
        if report is not None and report.state is not ServerState.READY:
            state: str = report.state.value
            return state
        suspicion = Suspicion(group, assignment.server, assignment.epoch)
        if leases.is_suspected(suspicion, boot_ms()):
            return "silent"
        return ""

    async def _assign_first(self, group: str) -> None:
        """Take the server that calls itself primary, if there is one."""
        leading = [
            item
            for item in self._registry.of_group(group)
            if item.role is InstanceRole.PRIMARY
        ]
        if len(leading) != 1:
            return
        try:
            await self._commit(AssignPrimary(group=group, server=leading[0].server))
        except (NotLeaderError, TimeoutError):
            self._log.write("assignment_unsure", group=group)

    # What a replacement needs

    def assignment(self, group: str) -> Assignment | None:
        """Return the assignment that is committed."""
        return self._state.assignments.get(group)

    def servers(self, group: str) -> list[ServerReport]:
        """Return the servers of a group that are not gone."""
        return self._registry.of_group(group)

    def n_sync_replicas(self, group: str) -> int:
        """Return how many replicas hold an acknowledged write."""
        limits = self._table.groups.get(group)
        return limits.n_sync_replicas if limits else 0

    async def commit(self, command: AssignmentCommand) -> bool:
        """Commit a command and tell the entry VMs; raise NotLeaderError."""
        took_effect = await self._commit(command)
        assignment = self._state.assignments.get(command.group)
        if took_effect and assignment is not None:
            self._own_tokens.add(assignment.epoch)
        return took_effect

    def is_free(self, group: str, epoch: int) -> bool:
        """Tell whether no entry VM uses the stopped primary any more."""
        if self._leases is None or not self._host.may_act:
            return False
        return self._leases.is_free(group, epoch, boot_ms())

    def is_own_token(self, token: int) -> bool:
        """Tell whether a token was committed by this node since it leads."""
        return token in self._own_tokens

    async def promote(self, promotion: Promotion) -> int:
        """Order a promotion; return the status, or 0 without an answer."""
        try:
            response = await call_http(
                self._settings.promotion_address,
                self._platform.promotion_request(promotion),
                _PROMOTION_TIMEOUT_MS,
                lambda: self._host.may_act,
            )
        except (OSError, TimeoutError) as error:
            self._log.write("platform_lost", reason=str(error) or "no answer")
            return 0
        return response.status if response is not None else 0
