"""Wait of operations for tokens of their team's rate limit at an entry VM."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from cardamomshunt.fleet import (
    LeaseGrant,
    QuotaDecision,
    QuotaReport,
    RouteTable,
    TeamQuotas,
    limits_of,
)

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._line_session_state import LineSession, RefusedError
from cardamomshunt_node._session_protocol import ErrorCode

_RETRY_REQUEST_S = 0.025
_LOG_INTERVAL_MS = 1_000.0
# Names and texts of the reasons; `cardamomctl explain` explains the names.
_OVER_LIMIT = ("team_rate_limit", "the rate limit of the team is reached")
_NO_SHARE = (
    "team_share_missing",
    "no share of the team's rate limit was granted in time",
)
# Teams with a metric of their own; the refusals of the others are counted together.
_N_COUNTED_TEAMS_MAX = 20


class TeamQuotaWaiter:
    """Let operations run, wait or be refused by the rate limits of their teams."""

    def __init__(self, log: DecisionLog, metrics: EntryMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._quotas = TeamQuotas()
        self._version = 0
        self._change = asyncio.Event()
        self._n_refused: Counter[str] = Counter()
        self._logged_ms = float("-inf")
        self._counted_teams: set[str] = set()
        # Sends a request to the leader; set by the control link.
        self.request_shares: Callable[[], None] = lambda: None

    @property
    def is_active(self) -> bool:
        """Return whether any team has a limit."""
        return self._quotas.is_active

    def set_table(self, table: RouteTable) -> None:
        """Apply the limits of a configuration."""
        self._version = table.version
        self._quotas.set_limits(limits_of(table.teams), boot_ms())
        self._notify()

    # Operations

    @asynccontextmanager
    async def operation(
        self, session: LineSession, deadline_ms: float
    ) -> AsyncIterator[None]:
        """Hold a token during an operation; raise RefusedError if none comes."""
        if not self._quotas.is_active:
            yield
            return
        team = session.team
        session.may_cancel = True
        try:
            is_counted = await self._take(team, deadline_ms)
        finally:
            session.may_cancel = False
        try:
            yield
        finally:
            if is_counted:
                self._quotas.finish(team)

    def take_another(self, team: str) -> bool:
        """Take a token for one more send of an operation, if there is one now."""
        if not self._quotas.is_active:
            return True
        admission = self._quotas.admit(team, boot_ms())
        if admission.decision is not QuotaDecision.ALLOWED:
            return False
        if admission.is_counted:
            self._quotas.finish(team)
        return True

    async def _take(self, team: str, deadline_ms: float) -> bool:
        """Take a token; return whether it has to be returned by `finish`."""
        now = boot_ms()
        self._quotas.record_demand(team, now)
        admission = self._quotas.admit(team, now)
        if admission.decision is QuotaDecision.ALLOWED:
            return admission.is_counted
        end_ms = min(deadline_ms, now + self._quotas.wait_max_ms(team))
        self._quotas.add_waiting(team, 1, now)
        try:
            while admission.decision is QuotaDecision.WAIT and now < end_ms:
                if self._quotas.is_request_due(now):
                    self.request_shares()
                wait_s = min(admission.wait_ms, end_ms - now) / 1_000.0
                await self._wait_for_change(min(wait_s, _RETRY_REQUEST_S))
                now = boot_ms()
                admission = self._quotas.admit(team, now)
        finally:
            self._quotas.add_waiting(team, -1, boot_ms())
        if admission.decision is QuotaDecision.ALLOWED:
            return admission.is_counted
        is_over_limit = admission.decision is QuotaDecision.REFUSED
        raise self._refusal(team, is_over_limit, admission.wait_ms, now)

    def _refusal(
        self, team: str, is_over_limit: bool, wait_ms: float, now: float
    ) -> RefusedError:
        name, reason = _OVER_LIMIT if is_over_limit else _NO_SHARE
        self._count_refusal(team, name, now)
        retry_after_ms = max(1, round(wait_ms))
        return RefusedError(
            ErrorCode.BUSY, f"{reason}; retry_after_ms={retry_after_ms}"
        )

    def _count_refusal(self, team: str, reason: str, now: float) -> None:
        """Count a refusal; log the team and its share at most once a second."""
        if len(self._counted_teams) < _N_COUNTED_TEAMS_MAX:
            self._counted_teams.add(team)
        is_named = team in self._counted_teams
        self._metrics.count_team_refusal(team if is_named else "(other)")
        self._n_refused[team] += 1
        if now < self._logged_ms + _LOG_INTERVAL_MS:
            return
        worst = max(self._n_refused, key=lambda name: self._n_refused[name])
        state = self._quotas.state(worst, now)
        if state is None:
            return
        self._logged_ms = now
        n_refused, self._n_refused = self._n_refused, Counter()
        age_ms = state.share_age_ms
        self._log.write(
            "team_refused",
            team=worst,
            n_refused=n_refused[worst],
            n_refused_of_others=n_refused.total() - n_refused[worst],
            latest_reason=reason,
            share_rate_per_s=round(state.rate_per_s, 2),
            share_burst=round(state.burst, 2),
            n_tokens=round(state.n_tokens, 2),
            n_running=state.n_running,
            demand_per_s=round(state.demand_per_s, 2),
            share_age_ms=None if age_ms is None else round(age_ms),
            configuration_version=self._version,
        )

    async def _wait_for_change(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(max(wait_s, 0.001)):
                await self._change.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    # Requests and grants

    def report(self, sequence: int) -> QuotaReport:
        """Return what a request that is sent now says about shares and demand."""
        return self._quotas.report(sequence, boot_ms())

    def on_grant(self, grant: LeaseGrant) -> None:
        """Apply the shares of a grant and wake the operations that wait."""
        if grant.quota_number and self._quotas.on_grant(
            grant.sequence, grant.quota_number, grant.quota_shares, boot_ms()
        ):
            self._notify()
