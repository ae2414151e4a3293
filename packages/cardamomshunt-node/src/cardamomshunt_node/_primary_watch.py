"""Monitoring of primaries on the leading control node, and their replacement."""

import asyncio
from collections.abc import Callable, Coroutine

from cardamomshunt.fleet import (
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    AssignPrimary,
    GroupLimits,
    LeaseTable,
    ServerRegistry,
    ServerReport,
    ServerState,
    Suspicion,
    encode_command,
)
from cardamomshunt.messages import InstanceRole

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._consensus_host import ConsensusHost, NotLeaderError
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import DeploymentSettings, Platform, Promotion
from cardamomshunt_node._http import call_http
from cardamomshunt_node._replacement import Replacement, ReplacementContext
from cardamomshunt_node._server_admin import ServerAdmin

_WATCH_INTERVAL_S = 0.05
_PROMOTION_TIMEOUT_MS = 800.0


class PrimaryWatch(ReplacementContext):
    """Start a replacement for each primary that fails or leaves.

    Also tracks the leases that this node granted to entry VMs since it leads.
    """

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        host: ConsensusHost,
        registry: ServerRegistry,
        log: DecisionLog,
        metrics: ControlMetrics,
        assignments: Callable[[], dict[str, Assignment]],
        groups: Callable[[], dict[str, GroupLimits]],
    ) -> None:
        self.leases: LeaseTable | None = None
        self._platform = platform
        self._settings = settings
        self._host = host
        self._registry = registry
        self._log = log
        self._metrics = metrics
        self._assignments = assignments
        self._groups = groups
        self._admin = ServerAdmin(platform.session_protocol)
        self._own_tokens: set[int] = set()
        self._replacements: dict[str, asyncio.Task[None]] = {}

    def on_leadership(self, is_leader: bool) -> None:
        """Start a term without leases and tokens, or cancel all work as a follower."""
        self._own_tokens.clear()
        self.leases = LeaseTable(boot_ms()) if is_leader else None
        if is_leader:
            return
        for task in self._replacements.values():
            task.cancel()
        self._replacements.clear()

    async def run(self) -> None:
        """Check all configured groups periodically while this node leads."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            if not self._host.may_act or self.leases is None:
                continue
            reported = {item.group for item in self._registry.all()}
            for group in reported & self._groups().keys():
                self._watch_group(group, self.leases)

    def _watch_group(self, group: str, leases: LeaseTable) -> None:
        running = self._replacements.get(group)
        if running is not None and not running.done():
            return
        assignment = self._assignments().get(group)
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
        report = self._registry.get(assignment.server, group)
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
        """Assign the server that reports to be the primary, if exactly one does."""
        leading = [
            item
            for item in self._registry.of_group(group)
            if item.role is InstanceRole.PRIMARY
        ]
        if len(leading) != 1:
            return
        try:
            await self._host.propose(
                encode_command(AssignPrimary(group=group, server=leading[0].server))
            )
        except NotLeaderError:
            self._log.write("assignment_unsure", group=group)

    # ReplacementContext

    def assignment(self, group: str) -> Assignment | None:
        """Return the committed assignment."""
        return self._assignments().get(group)

    def servers(self, group: str) -> list[ServerReport]:
        """Return the servers of a group that are not gone."""
        return self._registry.of_group(group)

    def n_sync_replicas(self, group: str) -> int:
        """Return how many replicas have each acknowledged write."""
        limits = self._groups().get(group)
        return limits.n_sync_replicas if limits else 0

    async def commit(self, command: AssignmentCommand) -> bool:
        """Commit and publish a command; raise NotLeaderError."""
        took_effect = await self._host.propose(encode_command(command))
        assignment = self._assignments().get(command.group)
        if took_effect and assignment is not None:
            self._own_tokens.add(assignment.epoch)
        return took_effect

    def is_released(self, group: str, epoch: int) -> bool:
        """Return whether no entry VM uses the stopped primary any more."""
        if self.leases is None or not self._host.may_act:
            return False
        return self.leases.is_released(group, epoch, boot_ms())

    def is_own_token(self, token: int) -> bool:
        """Return whether this node committed a token in its current leadership."""
        return token in self._own_tokens

    async def promote(self, promotion: Promotion) -> int:
        """Request a promotion; return the HTTP status, or 0 without an answer."""
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
