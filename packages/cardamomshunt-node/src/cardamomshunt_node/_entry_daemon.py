"""Daemon of an entry VM, for deployments whose servers report to control nodes."""

import asyncio

from cardamomshunt.fleet import Assignment

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._caller_edge_lines import LineEdge
from cardamomshunt_node._daemon import Daemon
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import DeploymentSettings, Platform
from cardamomshunt_node._entry_control_link import EntryControlLink
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._http import HttpRequest, HttpResponse, HttpServer
from cardamomshunt_node._line_sessions import StatementRunner
from cardamomshunt_node._owner_directory import OwnerDirectory
from cardamomshunt_node._pace_watch import PaceWatch
from cardamomshunt_node._primary_release import PrimaryRelease
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._relay_link import relay_address
from cardamomshunt_node._relay_owner import RelayOwner
from cardamomshunt_node._session_relay import SessionRelay
from cardamomshunt_node._team_page import TEAM_PAGE_PATH, team_page_response
from cardamomshunt_node._team_quotas import TeamQuotaWaiter

_SWEEP_INTERVAL_S = 0.25
# The load balancer removes an entry VM after two failed health checks a second apart.
_HEALTH_CHECK_REMOVAL_MS = 2_200.0
_EXIT_MARGIN_MS = 700.0
# The last answers are sent this long before the drain ends.
_LAST_ANSWER_MARGIN_MS = 150.0
_PARTITIONED_IDLE_MS = 100.0


class EntryDaemon(Daemon):
    """Run an entry VM: its caller edge, its lease and its view of the fleet."""

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        log: DecisionLog | None = None,
    ) -> None:
        self._metrics = EntryMetrics()
        super().__init__(platform, settings, log, self._metrics)
        protocol = platform.session_protocol
        self._view = FleetView(
            settings.node,
            settings.zone,
            protocol,
            settings.is_load_managed,
            self._steps.record,
        )
        self._pace_watch = PaceWatch(self._view, self._log, self._metrics)
        self._quotas = TeamQuotaWaiter(self._log, self._metrics)
        self._view.on_table_changed(lambda: self._quotas.set_table(self._view.table))
        runner = StatementRunner(
            self._view,
            protocol,
            self._log,
            self._metrics,
            self._quotas,
            self._steps.record,
            is_statement_traced=settings.is_statement_traced,
        )
        self._directory = OwnerDirectory(settings.peer_address, self._view)
        self._relay = SessionRelay(
            self._directory, self._view, protocol, self._log, self._metrics
        )
        self._edge = LineEdge(
            settings.caller_address,
            protocol,
            self._view,
            runner,
            self._log,
            self._relay,
        )
        self._relay_owner = RelayOwner(
            relay_address(settings.peer_address),
            protocol,
            self._view,
            runner,
            self._log,
            self._metrics,
            self._edge.next_session_id,
            self._edge.is_allowed,
        )
        self._view.on_table_changed(self._edge.end_denied_sessions)
        self._view.on_table_changed(self._relay_owner.end_denied_sessions)
        self._control_link = EntryControlLink(
            settings,
            self._view,
            self._log,
            platform.parse_configuration,
            self._apply_assignments,
            self._steps.record,
            self._quotas,
            self._directory,
            self._metrics,
        )
        self._view.on_partition_asked(self._control_link.is_partitioned)
        self._partitioned_since_ms: float | None = None
        self._releases = PrimaryRelease(
            self._view, self._log, self._metrics, self._control_link.release
        )
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._health = HttpServer(settings.health_address, self._answer_health)

    async def run(self) -> None:
        """Run until SIGTERM, then drain the sessions."""
        self._install_signals()
        await self._control_link.start()
        await self._relay_owner.start()
        await self._edge.start()
        await self._health.start()
        await self._metrics_server.start()
        self._steps.record(RecoveryStep.LISTENING)
        self._log.write("started", role="entry", zone=self._settings.zone)
        self._tasks = [
            asyncio.create_task(self._control_link.renew_lease()),
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self._control_link.report_suspicions()),
        ]
        await self._stop.wait()
        await self._drain()
        for task in self._tasks:
            task.cancel()
        await self._relay.stop()
        await self._relay_owner.stop()
        await self._control_link.stop()
        self._log.write("stopped", role="entry")

    def _reload(self) -> None:
        try:
            settings = self._platform.load_settings()
        except (ValueError, OSError) as error:
            self._log.write("reload_failed", reason=str(error))
            return
        self._control_link.add_seeds(settings.seed_peer_addresses)
        self._log.write("reloaded", control=settings.control_addresses)

    # Stopping

    async def _drain(self) -> None:
        """Leave rotation, finish open work, and end before the process is killed.

        The health check fails from here on. Idle sessions are closed only once the load
        balancer has removed this entry VM, so that they reopen at another one.
        """
        self._is_stopping = True
        started_ms = boot_ms()
        end_ms = started_ms + self._settings.stop_timeout_ms - _EXIT_MARGIN_MS
        self._view.answer_deadline_ms = end_ms - _LAST_ANSWER_MARGIN_MS
        n_busy = self._edge.n_busy + self._relay_owner.n_busy
        self._log.write("stopping", n_busy=n_busy)
        self._control_link.start_draining()
        self._relay_owner.start_draining()
        await asyncio.sleep(_HEALTH_CHECK_REMOVAL_MS / 1_000.0)
        while boot_ms() < end_ms:
            self._edge.close_idle(0.0)
            if not self._edge.connections and not self._relay_owner.n_sessions:
                break
            await asyncio.sleep(0.02)
        self._edge.stop_listening()
        await asyncio.sleep(0.05)

    # Primaries

    def _apply_assignments(
        self, changed: list[str], assignments: dict[str, Assignment]
    ) -> None:
        """Follow a change of the lease, of which `changed` may be empty."""
        for group in changed:
            assignment = assignments[group]
            self._view.servability.record_phase(group, assignment.phase, boot_ms())
            self._log.write(
                "primary",
                group=group,
                server=assignment.server,
                epoch=assignment.epoch,
                phase=assignment.phase.value,
            )
        self._releases.apply(changed)
        if changed:
            self._view.notify()

    # Maintenance

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = boot_ms()
            self._control_link.check_lease(now)
            if not self._view.lease.is_valid(now):
                self._view.servability.forget_running()
            self._edge.end_idle_transactions()
            self._relay_owner.end_idle_transactions()
            self._view.maintain_pools()
            self._pace_watch.update()
            self._check_partition(now)
            self._log.flush()

    def _check_partition(self, now: float) -> None:
        """Close idle sessions of a partitioned entry VM, so that they reopen elsewhere.

        This waits until the load balancer has removed this entry VM from rotation.
        """
        if not self._control_link.is_partitioned(now):
            self._partitioned_since_ms = None
            return
        if self._partitioned_since_ms is None:
            self._partitioned_since_ms = now
            self._log.write("cut_off")
        if now > self._partitioned_since_ms + _HEALTH_CHECK_REMOVAL_MS:
            self._edge.close_idle(_PARTITIONED_IDLE_MS)
            self._relay_owner.close_idle(_PARTITIONED_IDLE_MS)

    async def _answer_health(self, request: HttpRequest) -> HttpResponse:
        if not self._platform.is_health_check(request):
            return HttpResponse(404)
        is_ready = (
            not self._is_stopping
            and self._view.table.version > 0
            and not self._control_link.is_partitioned(boot_ms())
        )
        return HttpResponse(200 if is_ready else 503, b"{}")

    def _operator_page(self, path: str) -> HttpResponse | None:
        if path == TEAM_PAGE_PATH:
            return team_page_response(self._view.table)
        return None

    def _update_metrics(self) -> None:
        self._metrics.set_connection_counts(self._view.connection_counts())
        self._metrics.set_state(
            len(self._edge.connections),
            self._view.lease.is_valid(boot_ms()),
            self._view.table.version,
        )
        self._metrics.set_paces(self._view.pace_levels())
