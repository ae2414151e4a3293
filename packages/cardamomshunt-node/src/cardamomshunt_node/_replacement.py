"""Replacement of a primary by the leading control node.

Each step is committed to the replicated log first, so that a new leader continues
from the last one: stop the primary, choose and promote a successor, make it active.
"""

import asyncio
from abc import ABC, abstractmethod

from cardamomshunt.fleet import (
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    FinishPromotion,
    PromoteSuccessor,
    ServerReport,
    ServerState,
    ServerStatus,
    StopPrimary,
    choose_successor,
)

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._consensus_host import NotLeaderError
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import Promotion
from cardamomshunt_node._server_admin import STATUS_TIMEOUT_MS, ServerAdmin

_POLL_S = 0.02
_RETRY_S = 0.1
# After this time a planned replacement promotes a replica that has not caught up.
_CATCH_UP_TIMEOUT_MS = 1_000.0
_DEMOTE_TIMEOUT_MS = 6_000.0
_PROMOTION_EFFECT_TIMEOUT_MS = 1_500.0
_LEADERSHIP_POLL_S = 0.05
# Once no server could be chosen, as answers may be slow. More would delay the choice of
# a server that returns, as all are asked at once and the slowest counts.
_SLOW_STATUS_TIMEOUT_MS = 2.0 * STATUS_TIMEOUT_MS
# Status of a call that was not answered in time.
_NO_ANSWER = 0


class ReplacementContext(ABC):
    """Interface of a replacement to its control node."""

    @abstractmethod
    def assignment(self, group: str) -> Assignment | None:
        """Return the committed assignment."""

    @abstractmethod
    def servers(self, group: str) -> list[ServerReport]:
        """Return the servers of a group that are not gone."""

    @abstractmethod
    def n_sync_replicas(self, group: str) -> int:
        """Return how many replicas have each acknowledged write."""

    @abstractmethod
    async def commit(self, command: AssignmentCommand) -> bool:
        """Commit and publish a command; raise NotLeaderError."""

    @abstractmethod
    def is_released(self, group: str, epoch: int) -> bool:
        """Return whether no entry VM uses the stopped primary any more."""

    @abstractmethod
    def is_own_token(self, token: int) -> bool:
        """Return whether this node committed a token in its current leadership."""

    @abstractmethod
    async def promote(self, promotion: Promotion) -> int:
        """Request a promotion; return the HTTP status, or 0 without an answer."""


class Replacement:
    """Replace the primary of one group."""

    def __init__(
        self,
        group: str,
        node: str,
        context: ReplacementContext,
        admin: ServerAdmin,
        log: DecisionLog,
    ) -> None:
        self._group = group
        self._node = node
        self._context = context
        self._admin = admin
        self._log = log
        self._rejected_servers: set[str] = set()
        # Newest term of a server before the promotion, or None if none was asked.
        self._former_term: int | None = None
        self._started_ms = boot_ms()
        self._status_timeout_ms = STATUS_TIMEOUT_MS

    async def run(self) -> None:
        """Continue from the committed step until a primary is active again."""
        try:
            while not await self._step():
                await asyncio.sleep(0)
        except NotLeaderError:
            self._log.write("replacement_left", group=self._group)

    async def _step(self) -> bool:
        assignment = self._context.assignment(self._group)
        assert assignment is not None
        match assignment.phase:
            case AssignmentPhase.ACTIVE:
                self._started_ms = boot_ms()
                await self._context.commit(
                    StopPrimary(group=self._group, epoch=assignment.epoch)
                )
                return False
            case AssignmentPhase.STOPPING:
                await self._choose(assignment)
                return False
            case AssignmentPhase.PROMOTING:
                return await self._promote(assignment)

    # Choosing

    async def _choose(self, assignment: Assignment) -> None:
        while not self._context.is_released(self._group, assignment.epoch):
            await asyncio.sleep(_POLL_S)
        released_ms = boot_ms()
        servers = self._context.servers(self._group)
        former = next(
            (item for item in servers if item.server == assignment.server), None
        )
        is_planned = former is not None and former.state is ServerState.DRAINING
        others = [item for item in servers if item is not former]
        statuses = await self._statuses(servers if is_planned else others)
        if is_planned:
            statuses = await self._await_catch_up(assignment.server, servers, statuses)
        candidates = [
            status
            for status in statuses
            if status.server not in self._rejected_servers
            and _is_ready(status, servers)
        ]
        successor = choose_successor(
            candidates,
            former=assignment.server,
            n_servers=len(servers),
            n_sync_replicas=self._context.n_sync_replicas(self._group),
        )
        self._former_term = _newest_term(statuses)
        self._log.write(
            "successor",
            group=self._group,
            former=assignment.server,
            successor=successor,
            released_after_ms=round(released_ms - self._started_ms),
            received={item.server: str(item.received) for item in statuses},
        )
        if successor is None:
            await self._reinstate_former(assignment, former)
            self._status_timeout_ms = _SLOW_STATUS_TIMEOUT_MS
            return
        await self._context.commit(
            PromoteSuccessor(
                group=self._group, epoch=assignment.epoch, successor=successor
            )
        )

    async def _statuses(self, servers: list[ServerReport]) -> list[ServerStatus]:
        found = await asyncio.gather(*(self._status(item) for item in servers))
        return [status for status in found if status is not None]

    async def _status(self, server: ServerReport) -> ServerStatus | None:
        return await self._admin.status(server, self._status_timeout_ms)

    async def _await_catch_up(
        self, former: str, servers: list[ServerReport], statuses: list[ServerStatus]
    ) -> list[ServerStatus]:
        """Wait until a replica received all that the draining primary wrote."""
        others = [item for item in servers if item.server != former]
        end_ms = boot_ms() + _CATCH_UP_TIMEOUT_MS
        end_position = max(
            (item.received for item in statuses if item.server == former), default=None
        )
        while (
            end_position is not None
            and boot_ms() < end_ms
            and not any(
                item.server != former and item.received >= end_position
                for item in statuses
            )
        ):
            await asyncio.sleep(_POLL_S)
            statuses = await self._statuses(others)
        return statuses

    async def _reinstate_former(
        self, assignment: Assignment, former: ServerReport | None
    ) -> None:
        """Make the former primary active again if it still leads; no one else can."""
        self._rejected_servers.clear()
        status = await self._status(former) if former is not None else None
        if status is None or not status.is_primary:
            await asyncio.sleep(_RETRY_S)
            return
        await self._context.commit(
            FinishPromotion(
                group=self._group, epoch=assignment.epoch, server=assignment.server
            )
        )

    # Promoting

    async def _promote(self, assignment: Assignment) -> bool:
        if not self._context.is_own_token(assignment.epoch):
            # A promotion requested by an earlier leader, with a lower token, may
            # still be in flight.
            servers = self._context.servers(self._group)
            asking = asyncio.create_task(self._statuses(servers))
            while not self._context.is_released(self._group, assignment.epoch):
                await asyncio.sleep(_POLL_S)
            self._former_term = _newest_term(await asking)
            await self._context.commit(
                PromoteSuccessor(
                    group=self._group,
                    epoch=assignment.epoch,
                    successor=assignment.successor,
                )
            )
            return False
        status = await self._context.promote(
            Promotion(self._group, assignment.successor, self._node, assignment.epoch)
        )
        self._log.write(
            "promotion",
            group=self._group,
            server=assignment.successor,
            token=assignment.epoch,
            status=status,
            elapsed_ms=round(boot_ms() - self._started_ms),
        )
        if await self._is_promoted(assignment.successor, status):
            return await self._finish(assignment)
        if status == 409:
            self._rejected_servers.add(assignment.successor)
            await self._context.commit(
                StopPrimary(group=self._group, epoch=assignment.epoch)
            )
            return False
        await asyncio.sleep(_RETRY_S)
        return False

    async def _is_promoted(self, server: str, status: int) -> bool:
        """Return whether the server leads, though the answer may have been late.

        Without an answer, a server that still leads a former term doesn't count.
        """
        if status == 200:
            return await self._await_leadership(server)
        if status != _NO_ANSWER or self._former_term is None:
            return False
        term = await self._leading_term(server)
        return term is not None and term > self._former_term

    async def _await_leadership(self, server: str) -> bool:
        """Return whether a promoted server becomes primary in time.

        Until then its log may lack writes that the former primary acknowledged and
        that the promotion has not recovered yet.
        """
        end_ms = boot_ms() + _PROMOTION_EFFECT_TIMEOUT_MS
        while boot_ms() < end_ms:
            if await self._leading_term(server) is not None:
                return True
            await asyncio.sleep(_LEADERSHIP_POLL_S)
        return False

    async def _leading_term(self, server: str) -> int | None:
        """Return the term that a server leads, or None if it doesn't answer so."""
        for report in self._context.servers(self._group):
            if report.server == server:
                status = await self._status(report)
                return status.term if status is not None and status.is_primary else None
        return None

    async def _finish(self, assignment: Assignment) -> bool:
        await self._context.commit(
            FinishPromotion(
                group=self._group, epoch=assignment.epoch, server=assignment.successor
            )
        )
        await self._demote(assignment)
        return True

    async def _demote(self, assignment: Assignment) -> None:
        """Demote the former primary to a replica of the new term if it answers."""
        end_ms = boot_ms() + _DEMOTE_TIMEOUT_MS
        while boot_ms() < end_ms:
            reports = {item.server: item for item in self._context.servers(self._group)}
            former = reports.get(assignment.server)
            successor = reports.get(assignment.successor)
            if former is None or successor is None:
                return
            status = await self._status(successor)
            if status is not None and status.is_primary:
                demoted = await self._admin.demote(former, status.term)
                if demoted is not None and not demoted.is_primary:
                    self._log.write("demoted", server=former.server, term=status.term)
                    return
            await asyncio.sleep(_RETRY_S * 3.0)


def _newest_term(statuses: list[ServerStatus]) -> int | None:
    return max((status.term for status in statuses), default=None)


def _is_ready(status: ServerStatus, servers: list[ServerReport]) -> bool:
    return any(
        item.server == status.server and item.state is ServerState.READY
        for item in servers
    )
