"""Limits that the shares of a team's holders may add up to, and times of their leases."""

from dataclasses import dataclass

from cardamomshunt._fleet.teams import TeamTable

# An entry VM that is partitioned for longer may use no primary, and soon no replica
# either, as it cannot prove that one is fresh enough.
SHARE_LEASE_MS = 3_000.0
# An entry VM ignores grants that answer an older request.
SHARE_GRANT_AGE_MAX_MS = 1_000.0
# Covers the drift of two clocks over a lease, and statements that hold a token when
# the lease ends.
SHARE_LEASE_MARGIN_MS = 1_000.0
# The guarantee allows 1.1 times the limit and 20 operations more. The rest covers
# operations whose sending is delayed between entry VM and server.
_LIMIT_FACTOR = 1.08
_N_SLACK_TOKENS = 18.0
_TERM_SHIFT_BITS = 32


@dataclass(slots=True, frozen=True)
class QuotaLimit:
    """Rate limit of a team."""

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def total_rate_per_s(self) -> float:
        """Return the most that the rates of all shares may add up to."""
        return self.rate_per_s * _LIMIT_FACTOR

    @property
    def total_burst(self) -> float:
        """Return the most that the bursts of all shares may add up to."""
        if not self.rate_per_s:
            return 0.0
        return self.burst * _LIMIT_FACTOR + _N_SLACK_TOKENS


def limits_of(table: TeamTable) -> dict[str, QuotaLimit]:
    """Return the limits of the teams that have one."""
    return {
        team.name: QuotaLimit(team.rate_per_s, team.burst)
        for team in table.teams.values()
        if team.is_limited
    }


def first_number_of(term: int) -> int:
    """Return the number before the first grant of shares in a leader's term."""
    return term << _TERM_SHIFT_BITS


def term_of(number: int) -> int:
    """Return the leader's term in which a grant of shares was numbered."""
    return number >> _TERM_SHIFT_BITS
