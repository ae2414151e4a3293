"""The daemon of an entry VM for deployments whose servers announce themselves."""

import asyncio
import signal

from cardamomshunt.fleet import (
    Assignment,
    AssignmentPhase,
    AssignmentsChanged,
    ConfigurationInvalidError,
    DocumentChanged,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    ReportsChanged,
    ReportsRequest,
    ServerState,
    Suspicion,
)

from cardamomshunt_node._boot_clock import boot_ms, wall_ms
from cardamomshunt_node._caller_edge_lines import LineEdge
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import DeploymentSettings, Platform
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._http import HttpRequest, HttpResponse, HttpServer
from cardamomshunt_node._line_sessions import StatementRunner
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport

_RENEW_INTERVAL_MS = 250.0
_SEARCH_INTERVAL_MS = 150.0
_LEADER_SILENCE_MS = 500.0
# All control nodes are asked once the leader is late.
_LEADER_LATE_MS = 300.0
_CONTACT_INTERVAL_MS = 1_000.0
_CONTROL_SILENCE_MS = 2_500.0
_SUSPICION_INTERVAL_S = 0.05
# Without a leader all control nodes are asked many times in this time.
_CUT_OFF_AFTER_MS = 450.0
_SWEEP_INTERVAL_S = 0.25
# Statements in flight at a primary that still answers may end in this time.
_STOP_GRACE_MS = 400.0
# A reader of the health check takes a process out after two misses a second apart.
_ROTATION_MS = 2_200.0
_EXIT_MARGIN_MS = 700.0
# The last answers are given this long before the exit.
_LAST_ANSWER_MARGIN_MS = 150.0
_CUT_OFF_IDLE_MS = 100.0


class EntryDaemon:
    """Own the sockets of an entry VM, its lease and its view of the deployment."""

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        log: DecisionLog | None = None,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._log = log or DecisionLog(settings.node)
        self._metrics = EntryMetrics()
        protocol = platform.session_protocol
        self._view = FleetView(settings.zone, protocol)
        runner = StatementRunner(self._view, protocol, self._log, self._metrics)
        self._edge = LineEdge(
            settings.caller_address, protocol, self._view, runner, self._log
        )
        self._transport = StreamTransport(
            settings.node, settings.peer_address, self._on_message
        )
        self._started_ms = wall_ms()
        self._sequence = 0
        self._leader = ""
        self._leader_heard_ms = float("-inf")
        self._started_boot_ms = boot_ms()
        self._cut_off_since_ms: float | None = None
        self._control = set(settings.seed_peer_addresses)
        self._heard_ms: dict[str, float] = {}
        self._contacted_ms: dict[str, float] = {}
        self._dialled_ms: dict[str, float] = {}
        self._released: dict[str, int] = {}
        self._stopping: dict[str, asyncio.Task[None]] = {}
        self._had_lease = False
        self._is_stopping = False
        self._stop = asyncio.Event()
        self._renew = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._health = HttpServer(settings.health_address, self._answer_health)
        self._metrics_server = HttpServer(
            f"{settings.host}:{settings.metrics_port}", self._answer_metrics
        )

    async def run(self) -> None:
        """Run until SIGTERM, then let sessions end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._transport.start()
        await self._edge.start()
        await self._health.start()
        await self._metrics_server.start()
        self._log.write("started", role="entry", zone=self._settings.zone)
        self._tasks = [
            asyncio.create_task(self._keep_lease()),
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self._report_suspicions()),
        ]
        await self._stop.wait()
        await self._drain()
        for task in self._tasks:
            task.cancel()
        await self._transport.stop()
        self._log.write("stopped", role="entry")

    def stop(self) -> None:
        """Begin to stop, as at SIGTERM."""
        self._stop.set()

    def _reload(self) -> None:
        try:
            settings = self._platform.load_settings()
        except (ValueError, OSError) as error:
            self._log.write("reload_failed", reason=str(error))
            return
        self._control |= set(settings.seed_peer_addresses)
        self._log.write("reloaded", control=settings.control_addresses)

    # Stopping

    async def _drain(self) -> None:
        """Leave rotation, let open work end, and exit before the kill."""
        self._is_stopping = True
        began_ms = boot_ms()
        end_ms = began_ms + self._settings.stop_timeout_ms - _EXIT_MARGIN_MS
        self._view.stop_by_ms = end_ms - _LAST_ANSWER_MARGIN_MS
        self._log.write("stopping", n_busy=self._edge.n_busy)
        await asyncio.sleep(_ROTATION_MS / 1_000.0)
        while boot_ms() < end_ms:
            self._edge.close_idle(0.0)
            if not self._edge.connections:
                break
            await asyncio.sleep(0.02)
        self._edge.stop_listening()
        await asyncio.sleep(0.05)

    # Lease

    async def _keep_lease(self) -> None:
        while True:
            self._send_requests()
            is_calm = (
                self._leader
                and boot_ms() <= self._leader_heard_ms + _RENEW_INTERVAL_MS
                and not self._view.suspicions()
            )
            interval_ms = _RENEW_INTERVAL_MS if is_calm else _SEARCH_INTERVAL_MS
            self._renew.clear()
            try:
                async with asyncio.timeout(interval_ms / 1_000.0):
                    await self._renew.wait()
            except TimeoutError:
                continue

    async def _report_suspicions(self) -> None:
        """Tell the leader at once when a primary stops to answer."""
        reported: list[Suspicion] = []
        while True:
            await asyncio.sleep(_SUSPICION_INTERVAL_S)
            suspicions = self._view.suspicions()
            if suspicions != reported:
                reported = suspicions
                for item in suspicions:
                    self._log.write(
                        "primary_silent",
                        group=item.group,
                        server=item.server,
                        epoch=item.epoch,
                    )
                self._renew.set()

    def _send_requests(self) -> None:
        now = boot_ms()
        if self._leader and now > self._leader_heard_ms + _LEADER_SILENCE_MS:
            self._log.write(
                "leader_lost",
                leader=self._leader,
                silent_ms=round(now - self._leader_heard_ms),
            )
            self._transport.reset(self._leader)
            self._leader = ""
        has_leader = bool(self._leader) and (
            now <= self._leader_heard_ms + _LEADER_LATE_MS
        )
        for address in sorted(self._control):
            contacted_ms = self._contacted_ms.get(address, float("-inf"))
            is_due = now >= contacted_ms + _CONTACT_INTERVAL_MS
            if address != self._leader and has_leader and not is_due:
                continue
            self._reset_if_silent(address, now)
            self._contacted_ms[address] = now
            self._send_request(address, now)

    def _reset_if_silent(self, address: str, now: float) -> None:
        """Dial a control node anew that answered nothing since the last dial."""
        dialled_ms = self._dialled_ms.setdefault(address, now)
        last_ms = max(dialled_ms, self._heard_ms.get(address, dialled_ms))
        if now > last_ms + _CONTROL_SILENCE_MS:
            self._dialled_ms[address] = now
            self._transport.reset(address)

    def _send_request(self, address: str, now: float) -> None:
        self._sequence += 1
        self._view.lease.on_request_sent(self._sequence, now)
        self._transport.send(
            address,
            LeaseRequest(
                sequence=self._sequence,
                started_ms=self._started_ms,
                version=self._view.table.version,
                registry_digest=self._view.registry.digest(),
                newest_epoch=self._view.lease.newest_epoch,
                suspicions=self._view.suspicions(),
                released=self._released,
            ),
        )

    def _on_message(self, received: StreamMessage) -> None:
        address = received.envelope.reply_address
        now = boot_ms()
        was_silent = now > self._heard_ms.get(address, 0.0) + _CONTROL_SILENCE_MS
        self._heard_ms[address] = now
        if was_silent:
            self._transport.send(address, ReportsRequest())
        match received.message:
            case LeaseGrant():
                self._on_grant(address, received.message)
            case LeaderHint():
                self._on_hint(received.message)
            case AssignmentsChanged():
                self._on_assignments(received.message.assignments)
            case DocumentChanged():
                self._on_document(received.message)
            case ReportsChanged():
                for report in received.message.reports:
                    if self._view.merge_report(report):
                        self._log.write(
                            "server",
                            server=report.server,
                            state=report.state.value,
                            role=report.role.value,
                            sequence=report.sequence,
                        )

    def _on_grant(self, address: str, grant: LeaseGrant) -> None:
        if address != self._leader:
            self._log.write("leader", leader=address)
        self._leader = address
        self._leader_heard_ms = boot_ms()
        self._view.note_n_entries(grant.n_entries)
        self._learn_control(grant.control_addresses)
        known = grant.assignments or {}
        changed = self._view.lease.on_grant(grant)
        if not self._had_lease:
            self._had_lease = True
            self._log.write("lease_gained", leader=address)
            self._view.notify()
        self._follow_assignments(changed, known)

    def _on_hint(self, hint: LeaderHint) -> None:
        self._learn_control(hint.control_addresses)
        if hint.leader_address and hint.leader_address != self._leader:
            self._control.add(hint.leader_address)
            is_late = boot_ms() > self._leader_heard_ms + _RENEW_INTERVAL_MS
            if not self._leader or is_late:
                self._leader = ""
                self._send_request(hint.leader_address, boot_ms())

    def _learn_control(self, addresses: list[str]) -> None:
        if addresses:
            self._control = set(addresses) | set(self._settings.seed_peer_addresses)

    def _on_assignments(self, assignments: dict[str, Assignment]) -> None:
        changed = self._view.lease.on_assignments(assignments)
        self._follow_assignments(changed, assignments)

    def _follow_assignments(
        self, changed: list[str], assignments: dict[str, Assignment]
    ) -> None:
        for group in changed:
            assignment = assignments[group]
            self._log.write(
                "primary",
                group=group,
                server=assignment.server,
                epoch=assignment.epoch,
                phase=assignment.phase.value,
            )
            if assignment.phase is AssignmentPhase.ACTIVE:
                self._view.end_epoch(group)
            elif group not in self._stopping:
                self._stopping[group] = asyncio.create_task(self._release(group))
        if changed:
            self._view.notify()

    async def _release(self, group: str) -> None:
        """Let statements at the former primary end for a moment, then give it up."""
        assignment = self._view.lease.known(group)
        assert assignment is not None
        report = self._view.registry.get(assignment.server)
        end_ms = boot_ms() + _STOP_GRACE_MS
        if report is not None and report.state is not ServerState.GONE:
            pool = self._view.pool(report)
            while boot_ms() < end_ms and pool.load and not pool.is_down(boot_ms()):
                await asyncio.sleep(0.01)
        self._view.end_epoch(group)
        current = self._view.lease.known(group)
        assert current is not None
        del self._stopping[group]
        if current.phase is not AssignmentPhase.ACTIVE:
            self._released[group] = current.epoch
            self._log.write("released", group=group, epoch=current.epoch)
            self._renew.set()

    def _on_document(self, message: DocumentChanged) -> None:
        if message.version <= self._view.table.version:
            return
        try:
            table = self._platform.parse_configuration(message.document)
        except ConfigurationInvalidError as error:
            self._log.write(
                "configuration_unreadable", version=message.version, reason=str(error)
            )
            return
        self._log.write(
            "configuration", version=table.version, former=self._view.table.version
        )
        self._view.set_table(table)

    # Upkeep

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = boot_ms()
            has_lease = self._view.lease.is_valid(now)
            if self._had_lease and not has_lease:
                self._had_lease = False
                self._log.write("lease_lost", leader=self._leader)
            self._edge.end_idle_transactions()
            self._view.tend_pools()
            self._watch_cut_off(now)
            self._metrics.set_state(
                len(self._edge.connections), has_lease, self._view.table.version
            )
            self._log.flush()

    def _watch_cut_off(self, now: float) -> None:
        """Send sessions elsewhere once the balancer uses other entry VMs."""
        if not self._is_cut_off(now):
            self._cut_off_since_ms = None
            return
        if self._cut_off_since_ms is None:
            self._cut_off_since_ms = now
            self._log.write("cut_off", control=sorted(self._control))
        if now > self._cut_off_since_ms + _ROTATION_MS:
            self._edge.close_idle(_CUT_OFF_IDLE_MS)

    def _is_cut_off(self, now: float) -> bool:
        """Tell whether this VM reaches too few control nodes to get a lease again."""
        last_ms = max(self._leader_heard_ms, self._started_boot_ms)
        if now < last_ms + _CUT_OFF_AFTER_MS:
            return False
        n_heard = sum(
            now <= self._heard_ms.get(address, 0.0) + _CUT_OFF_AFTER_MS
            for address in self._control
        )
        return 2 * n_heard <= len(self._control)

    async def _answer_health(self, request: HttpRequest) -> HttpResponse:
        if not self._platform.is_health_check(request):
            return HttpResponse(404)
        is_ready = (
            not self._is_stopping
            and self._view.table.version > 0
            and not self._is_cut_off(boot_ms())
        )
        return HttpResponse(200 if is_ready else 503, b"{}")

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, self._metrics.render(), content_type="text/plain")
