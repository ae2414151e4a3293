"""Shares of the teams' rate limits that one entry VM holds, and its decisions."""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

from cardamomshunt._fleet.messages import QuotaDemand, QuotaShare
from cardamomshunt._fleet.quota_limit import (
    SHARE_GRANT_AGE_MAX_MS,
    SHARE_LEASE_MS,
    QuotaLimit,
    term_of,
)

FIRST_SHARE_WAIT_MS = 400.0
# Longest wait for a token that the leader may have.
TOKEN_WAIT_MS = 100.0
# An operation waits rather than is refused if its token comes this soon.
_NEAR_TOKEN_MS = 40.0
_DEMAND_TIME_CONSTANT_S = 4.0
_DEMAND_IDLE_PER_S = 0.01
# A request asks for one token in advance if few are left and one is likely needed. More
# would leave tokens at holders that do not use them.
_PREFETCH_BELOW_N_TOKENS = 0.5
_PREFETCH_DEMAND_MIN_PER_S = 0.5
_REQUEST_INTERVAL_MS = 20.0
_UNANSWERED_INTERVAL_MS = 60.0
_REPORT_INTERVAL_MS = 1_000.0
_REPORT_CHANGE_FACTOR = 1.25
_REPORT_CHANGE_MIN_PER_S = 0.1
_N_RETURNED_MIN = 0.2
_N_WAITING_MAX = 64
_N_SENT_MAX = 64
_RETRY_AFTER_MIN_MS = 1.0
_RETRY_AFTER_MAX_MS = 5_000.0
# Rounding must not withhold a token that has come.
_ONE_TOKEN = 1.0 - 1e-9


class QuotaDecision(enum.Enum):
    """Answer to whether an operation may run now."""

    ALLOWED = "allowed"
    WAIT = "wait"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Admission:
    """Decision on one operation; `wait_ms` is the time until a token comes."""

    decision: QuotaDecision
    wait_ms: float = 0.0
    is_counted: bool = True


@dataclass(slots=True, frozen=True)
class QuotaReport:
    """Part of a lease request that reports shares and demand."""

    number: int
    demands: list[QuotaDemand] | None
    is_complete: bool


@dataclass(slots=True, frozen=True)
class QuotaState:
    """Inputs of the latest decisions on a team, for logs."""

    rate_per_s: float
    burst: float
    n_tokens: float
    n_running: int
    demand_per_s: float
    share_age_ms: float | None


class _Bucket:
    """Token bucket of one team; running operations occupy part of its burst."""

    __slots__ = (
        "demand_per_s",
        "demand_updated_ms",
        "exhausted_until_ms",
        "is_shared",
        "limit",
        "n_returned_total",
        "n_running",
        "n_tokens",
        "n_waiting",
        "n_returned_reported",
        "reported_demand_per_s",
        "reported_ms",
        "share",
        "updated_ms",
    )

    def __init__(self, limit: QuotaLimit, now_ms: float) -> None:
        self.limit = limit
        self.share = QuotaShare("", 0.0, 0.0)
        self.is_shared = False
        self.n_tokens = 0.0
        self.n_running = 0
        self.n_waiting = 0
        self.n_returned_total = 0.0
        self.n_returned_reported = 0.0
        self.updated_ms = now_ms
        self.exhausted_until_ms = float("-inf")
        self.demand_per_s = 0.0
        self.demand_updated_ms = now_ms
        self.reported_demand_per_s = 0.0
        self.reported_ms = float("-inf")

    @property
    def rate_per_s(self) -> float:
        """Return the rate of the share, reduced if the limit was lowered since."""
        granted = self.share.limit_rate_per_s
        if granted <= self.limit.rate_per_s:
            return self.share.rate_per_s
        return self.share.rate_per_s * self.limit.rate_per_s / granted

    @property
    def burst(self) -> float:
        """Return the burst of the share, reduced if the limit was lowered since."""
        granted = QuotaLimit(self.share.limit_rate_per_s, self.share.limit_burst)
        if granted.total_burst <= self.limit.total_burst:
            return self.share.burst
        return self.share.burst * self.limit.total_burst / granted.total_burst

    def advance(self, now_ms: float) -> None:
        """Add the tokens that came since the last call."""
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1_000.0
        self.updated_ms = max(now_ms, self.updated_ms)
        room = max(0.0, self.burst - self.n_running)
        self.n_tokens = min(self.n_tokens + self.rate_per_s * elapsed_s, room)

    def decay_demand(self, now_ms: float) -> None:
        """Reduce the measured demand by the time that passed."""
        elapsed_s = max(0.0, now_ms - self.demand_updated_ms) / 1_000.0
        self.demand_updated_ms = now_ms
        self.demand_per_s *= math.exp(-elapsed_s / _DEMAND_TIME_CONSTANT_S)

    def own_wait_ms(self) -> float:
        """Return the time until the share itself yields a token."""
        if self.rate_per_s <= 0.0 or self.burst - self.n_running < 1.0:
            return float("inf")
        return (1.0 - self.n_tokens) / self.rate_per_s * 1_000.0

    def n_needed(self) -> float:
        """Return how many tokens to ask the leader for."""
        wanted = float(self.n_waiting)
        if (
            self.n_tokens < _PREFETCH_BELOW_N_TOKENS
            and self.demand_per_s >= _PREFETCH_DEMAND_MIN_PER_S
        ):
            wanted += 1.0
        return max(0.0, wanted - self.n_tokens)

    def apply(self, share: QuotaShare, n_given: float, now_ms: float) -> None:
        """Replace the share, and give up the tokens above a lower burst."""
        self.advance(now_ms)
        self.share = share
        self.is_shared = True
        n_tokens = self.n_tokens + n_given
        self.n_tokens = min(n_tokens, max(0.0, self.burst - self.n_running))
        self.n_returned_total += n_tokens - self.n_tokens
        if share.wait_ms:
            self.exhausted_until_ms = now_ms + share.wait_ms
        else:
            self.exhausted_until_ms = float("-inf")

    def drop_share(self) -> None:
        """Remove the share, as its lease has ended."""
        self.share = QuotaShare("", 0.0, 0.0)
        self.is_shared = False
        self.n_tokens = 0.0

    @property
    def is_unused(self) -> bool:
        """Return whether nothing about the team needs to be kept."""
        return (
            self.demand_per_s < _DEMAND_IDLE_PER_S
            and not self.share.burst
            and not self.n_running
            and not self.n_waiting
        )


class TeamQuotas:
    """Decide on operations of teams with the shares that this entry VM holds.

    Times are of a clock that continues while the machine is suspended.
    """

    def __init__(self) -> None:
        self._limits: Mapping[str, QuotaLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        # Number of the newest grant while its lease is valid, and of any grant.
        self._number = 0
        self._newest_number = 0
        self._leased_until_ms = float("-inf")
        self._granted_ms = float("-inf")
        self._is_complete_due = True
        # Single tokens that the leader has given in its term, by team.
        self._n_given_total: dict[str, float] = {}
        self._sent: dict[int, tuple[float, int, bool]] = {}
        self._requested_ms = float("-inf")
        self._is_answered = True

    @property
    def is_active(self) -> bool:
        """Return whether any team has a limit."""
        return bool(self._limits)

    def set_limits(self, limits: Mapping[str, QuotaLimit], now_ms: float) -> None:
        """Apply the limits of a configuration; lower ones take effect at once."""
        self._limits = limits
        for team, bucket in self._buckets.items():
            bucket.advance(now_ms)
            bucket.limit = limits.get(team, QuotaLimit())
            bucket.advance(now_ms)

    # Operations

    def record_demand(self, team: str, now_ms: float) -> None:
        """Record that an operation of a team has arrived."""
        bucket = self._bucket(team, now_ms)
        if bucket is not None:
            bucket.decay_demand(now_ms)
            bucket.demand_per_s += 1.0 / _DEMAND_TIME_CONSTANT_S

    def admit(self, team: str, now_ms: float) -> Admission:
        """Take a token for an operation, or return how long none comes.

        `finish` has to be called after an operation that was counted.
        """
        bucket = self._bucket(team, now_ms)
        if bucket is None:
            return Admission(QuotaDecision.ALLOWED, is_counted=False)
        self._check_lease(now_ms)
        bucket.advance(now_ms)
        if bucket.n_tokens >= _ONE_TOKEN:
            bucket.n_tokens = max(0.0, bucket.n_tokens - 1.0)
            bucket.n_running += 1
            return Admission(QuotaDecision.ALLOWED)
        own_ms = bucket.own_wait_ms()
        exhausted_ms = bucket.exhausted_until_ms - now_ms
        if exhausted_ms > 0.0:
            wait_ms = min(own_ms, exhausted_ms)
            if wait_ms > _NEAR_TOKEN_MS:
                return Admission(QuotaDecision.REFUSED, _bounded(wait_ms))
            return Admission(QuotaDecision.WAIT, wait_ms)
        if bucket.n_waiting >= _N_WAITING_MAX:
            return Admission(
                QuotaDecision.REFUSED, _bounded(min(own_ms, TOKEN_WAIT_MS))
            )
        longest_ms = TOKEN_WAIT_MS if bucket.is_shared else FIRST_SHARE_WAIT_MS
        return Admission(QuotaDecision.WAIT, min(own_ms, longest_ms))

    def finish(self, team: str) -> None:
        """Record that a counted operation has ended."""
        bucket = self._buckets.get(team)
        if bucket is not None and bucket.n_running:
            bucket.n_running -= 1

    def wait_max_ms(self, team: str) -> float:
        """Return how long an operation of a team may wait for its token in all."""
        bucket = self._buckets.get(team)
        is_shared = bucket is not None and bucket.is_shared
        return TOKEN_WAIT_MS if is_shared else FIRST_SHARE_WAIT_MS

    def add_waiting(self, team: str, n_waiting: int, now_ms: float) -> None:
        """Record operations that start to wait for a token, or stop if negative.

        Those that stop are counted also if the limit was removed meanwhile.
        """
        if n_waiting < 0:
            bucket = self._buckets.get(team)
        else:
            bucket = self._bucket(team, now_ms)
        if bucket is not None:
            bucket.n_waiting = max(0, bucket.n_waiting + n_waiting)

    def state(self, team: str, now_ms: float) -> QuotaState | None:
        """Return the inputs of decisions on a team, or None if it has no limit."""
        self._check_lease(now_ms)
        bucket = self._buckets.get(team)
        if bucket is None:
            return None
        bucket.advance(now_ms)
        age_ms = now_ms - self._granted_ms if bucket.is_shared else None
        return QuotaState(
            bucket.rate_per_s,
            bucket.burst,
            bucket.n_tokens,
            bucket.n_running,
            bucket.demand_per_s,
            age_ms,
        )

    def _bucket(self, team: str, now_ms: float) -> _Bucket | None:
        limit = self._limits.get(team)
        if limit is None:
            return None
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _Bucket(limit, now_ms)
        return bucket

    def _check_lease(self, now_ms: float) -> None:
        """Drop all shares once their lease has ended."""
        if self._number and now_ms >= self._leased_until_ms:
            self._number = 0
            self._is_complete_due = True
            for bucket in self._buckets.values():
                bucket.drop_share()

    # Requests and grants

    def is_request_due(self, now_ms: float) -> bool:
        """Return whether to ask for tokens before the next regular request."""
        interval_ms = _REQUEST_INTERVAL_MS
        if not self._is_answered:
            interval_ms = _UNANSWERED_INTERVAL_MS
        if now_ms < self._requested_ms + interval_ms:
            return False
        return any(
            bucket.n_waiting and now_ms >= bucket.exhausted_until_ms
            for bucket in self._buckets.values()
        )

    def report(self, sequence: int, now_ms: float) -> QuotaReport:
        """Return what a request that is sent now says about shares and demand."""
        self._check_lease(now_ms)
        self._remove_unused(now_ms)
        is_complete = self._is_complete_due
        self._requested_ms = now_ms
        self._is_answered = False
        self._sent[sequence] = (now_ms, self._number, is_complete)
        while len(self._sent) > _N_SENT_MAX:
            del self._sent[next(iter(self._sent))]
        demands = [
            self._demand(team, bucket, now_ms)
            for team, bucket in self._buckets.items()
            if is_complete or _is_report_due(bucket, now_ms)
        ]
        return QuotaReport(self._number, demands or None, is_complete)

    def _demand(self, team: str, bucket: _Bucket, now_ms: float) -> QuotaDemand:
        bucket.reported_ms = now_ms
        bucket.n_returned_reported = bucket.n_returned_total
        bucket.reported_demand_per_s = bucket.demand_per_s
        return QuotaDemand(
            team,
            round(bucket.demand_per_s, 3),
            bucket.share.rate_per_s,
            max(bucket.share.burst, float(bucket.n_running)),
            round(bucket.n_tokens, 3) + bucket.n_running,
            round(bucket.n_needed(), 3),
            bucket.n_returned_total,
            bucket.share.limit_rate_per_s,
            bucket.share.limit_burst,
        )

    def _remove_unused(self, now_ms: float) -> None:
        for team, bucket in list(self._buckets.items()):
            bucket.advance(now_ms)
            bucket.decay_demand(now_ms)
            if bucket.is_unused and bucket.reported_demand_per_s < _DEMAND_IDLE_PER_S:
                del self._buckets[team]

    def on_grant(
        self, sequence: int, number: int, shares: list[QuotaShare] | None, now_ms: float
    ) -> bool:
        """Apply the shares of a grant; return whether they may have changed.

        A grant of a new leader to a holder of former shares extends no lease: the
        leader does not know these shares before they are reported to it.
        """
        sent = self._sent.pop(sequence, None)
        if sent is None or not number:
            return False
        sent_ms, sent_number, was_complete = sent
        self._is_answered = True
        if now_ms > sent_ms + SHARE_GRANT_AGE_MAX_MS:
            return False
        self._check_lease(now_ms)
        is_known = not sent_number or term_of(sent_number) == term_of(number)
        if shares is None:
            if number == self._number and is_known:
                self._extend(sent_ms, now_ms)
            return False
        if number <= self._newest_number:
            return False
        is_same_term = term_of(self._newest_number) == term_of(number)
        if not is_same_term:
            self._n_given_total.clear()
            if not sent_number:
                # The leader was told that this entry VM has no shares.
                for bucket in self._buckets.values():
                    bucket.drop_share()
        self._apply(shares, now_ms)
        self._is_complete_due = not is_known or (
            self._is_complete_due and not was_complete
        )
        if not self._number:
            self._leased_until_ms = float("-inf")
        self._number = self._newest_number = number
        if is_known:
            self._extend(sent_ms, now_ms)
        return True

    def _apply(self, shares: list[QuotaShare], now_ms: float) -> None:
        for share in shares:
            bucket = self._buckets.get(share.team)
            if bucket is None:
                limit = self._limits.get(share.team, QuotaLimit())
                bucket = self._buckets[share.team] = _Bucket(limit, now_ms)
            n_known = self._n_given_total.get(share.team, 0.0)
            self._n_given_total[share.team] = share.n_tokens_total
            bucket.apply(share, max(0.0, share.n_tokens_total - n_known), now_ms)

    def _extend(self, sent_ms: float, now_ms: float) -> None:
        self._leased_until_ms = max(self._leased_until_ms, sent_ms + SHARE_LEASE_MS)
        self._granted_ms = now_ms


def _is_report_due(bucket: _Bucket, now_ms: float) -> bool:
    """Return whether the ledger should hear of a team before the next full report."""
    if bucket.n_needed() > 0.0 and now_ms >= bucket.exhausted_until_ms:
        return True
    if now_ms >= bucket.reported_ms + _REPORT_INTERVAL_MS:
        return True
    if bucket.n_returned_total > bucket.n_returned_reported + _N_RETURNED_MIN:
        return True
    known, current = bucket.reported_demand_per_s, bucket.demand_per_s
    if abs(known - current) < _REPORT_CHANGE_MIN_PER_S:
        return False
    return max(known, current) > min(known, current) * _REPORT_CHANGE_FACTOR


def _bounded(wait_ms: float) -> float:
    return max(_RETRY_AFTER_MIN_MS, min(wait_ms, _RETRY_AFTER_MAX_MS))
