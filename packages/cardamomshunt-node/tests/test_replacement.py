"""Tests of the steps of a replacement, with stand-ins of its control node."""

import asyncio
import os

import pytest
from cardamomshunt.fleet import (
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    FinishPromotion,
    PromoteSuccessor,
    ServerReport,
    ServerState,
    ServerStatus,
)
from cardamomshunt.messages import InstanceRole
from cardamomshunt.position import LogPosition
from cardamomshunt_node._consensus_host import NotLeaderError
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import Promotion
from cardamomshunt_node._replacement import Replacement, ReplacementContext
from cardamomshunt_node._server_admin import STATUS_TIMEOUT_MS, ServerAdmin
from msgspec import structs

_GROUP = "g"
_N_CALLS_MAX = 3
_RECEIVED = {"s1": LogPosition(4, 6), "s2": LogPosition(4, 7)}


def _report(server: str) -> ServerReport:
    return ServerReport(
        server=server,
        group=_GROUP,
        address="127.0.0.1:1",
        zone="z",
        state=ServerState.READY,
        role=InstanceRole.REPLICA,
        started_ms=1,
        sequence=1,
    )


class _Servers(ServerAdmin):
    """Answer with the role and the term of each server."""

    def __init__(
        self, terms: dict[str, tuple[bool, int]], answer_ms: float = 0.0
    ) -> None:
        self.terms = terms
        self._answer_ms = answer_ms

    async def status(
        self, report: ServerReport, timeout_ms: float = STATUS_TIMEOUT_MS
    ) -> ServerStatus | None:
        await asyncio.sleep(min(self._answer_ms, timeout_ms) / 1_000.0)
        if report.server not in self.terms or timeout_ms < self._answer_ms:
            return None
        is_primary, term = self.terms[report.server]
        return ServerStatus(
            server=report.server,
            is_primary=is_primary,
            term=term,
            received=_RECEIVED[report.server],
        )

    async def demote(self, report: ServerReport, term: int) -> ServerStatus | None:
        return await self.status(report)


class _Context(ReplacementContext):
    """Keep the assignment of one group; calls of a promotion get no answer."""

    def __init__(
        self,
        admin: _Servers,
        assignment: Assignment,
        is_own_token: bool,
        promoted_term: int | None,
    ) -> None:
        self._admin = admin
        self._assignment = assignment
        self._is_own_token = is_own_token
        self._promoted_term = promoted_term
        self.n_calls = 0

    def assignment(self, group: str) -> Assignment | None:
        return self._assignment

    def servers(self, group: str) -> list[ServerReport]:
        return [_report("s1"), _report("s2")]

    def n_sync_replicas(self, group: str) -> int:
        return 0

    async def commit(self, command: AssignmentCommand) -> bool:
        if isinstance(command, PromoteSuccessor):
            self._assignment = structs.replace(
                self._assignment,
                epoch=self._assignment.epoch + 1,
                phase=AssignmentPhase.PROMOTING,
                successor=command.successor,
            )
            self._is_own_token = True
        elif isinstance(command, FinishPromotion):
            self._assignment = Assignment(
                server=command.server, epoch=self._assignment.epoch + 1
            )
        return True

    def is_released(self, group: str, epoch: int) -> bool:
        return True

    def is_own_token(self, token: int) -> bool:
        return self._is_own_token

    async def promote(self, promotion: Promotion) -> int:
        self.n_calls += 1
        if self.n_calls > _N_CALLS_MAX:
            raise NotLeaderError
        if self._promoted_term is not None:
            self._admin.terms[promotion.server] = (True, self._promoted_term)
        return 0


@pytest.mark.parametrize("phase", [AssignmentPhase.STOPPING, AssignmentPhase.PROMOTING])
@pytest.mark.parametrize(
    ("s2_before", "promoted_term", "is_finished"),
    [
        # The call had its effect, and only its answer is late.
        ((False, 4), 5, True),
        ((True, 3), 5, True),
        # The call is lost.
        ((False, 4), None, False),
        # The successor leads a former term that nobody has ended yet.
        ((True, 3), None, False),
    ],
)
async def test_a_promotion_without_an_answer_is_judged_by_the_successor(
    phase: AssignmentPhase,
    s2_before: tuple[bool, int],
    promoted_term: int | None,
    is_finished: bool,
) -> None:
    # Guards against a call that is repeated for ever, and against writes at a server
    # that leads a former term, as its promotion never took place.
    admin = _Servers({"s1": (False, 4), "s2": s2_before})
    assignment = Assignment(server="s0", epoch=1, phase=phase, successor="s2")
    context = _Context(admin, assignment, False, promoted_term)
    sink = os.open(os.devnull, os.O_WRONLY)
    log = DecisionLog("n1", sink)
    async with asyncio.timeout(8.0):
        await Replacement(_GROUP, "n1", context, admin, log).run()
    os.close(sink)
    current = context.assignment(_GROUP)
    assert current is not None
    assert (current.phase is AssignmentPhase.ACTIVE) is is_finished
    assert (context.n_calls == 1) is is_finished


async def test_a_successor_is_chosen_among_slow_servers() -> None:
    """Guards against live servers that are taken for dead for ever over slow links."""
    servers = {"s1": (False, 4), "s2": (False, 4)}
    admin = _Servers(servers, answer_ms=1.5 * STATUS_TIMEOUT_MS)
    assignment = Assignment(server="s0", epoch=1, phase=AssignmentPhase.STOPPING)
    context = _Context(admin, assignment, False, 5)
    sink = os.open(os.devnull, os.O_WRONLY)
    async with asyncio.timeout(8.0):
        await Replacement(_GROUP, "n1", context, admin, DecisionLog("n1", sink)).run()
    os.close(sink)
    current = context.assignment(_GROUP)
    assert current is not None
    assert current.phase is AssignmentPhase.ACTIVE
    assert current.server == "s2"
