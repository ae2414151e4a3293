"""Ledger of the control leader: shares of the teams' rate limits of all entry VMs."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cardamomshunt._fleet.messages import LeaseRequest, QuotaDemand, QuotaShare
from cardamomshunt._fleet.quota_limit import (
    SHARE_LEASE_MARGIN_MS,
    SHARE_LEASE_MS,
    QuotaLimit,
    first_number_of,
    term_of,
)

# Parts of the limit that are leased as shares; the rest is given as single tokens. Few
# holders get more of it, which they need without a leader. Many holders would leave
# much of it unused, and the team would be refused below its limit.
_LEASED_PART = 0.6
_LEASED_PART_OF_FEW = 0.2
_N_FEW_HOLDERS = 4
_N_FULL_BURSTS = 12
_BURST_FACTOR_MAX = 3.0
# Surplus of a share over its holder's demand.
_SURPLUS_FACTOR = 1.1
_SURPLUS_FACTOR_OF_FEW = 0.2
_BURST_DEMAND_S = 1.0
_DEMAND_MIN_PER_S = 0.03
# A share that differs less from its target is left as it is. A burst that stays large
# is missing for holders that come later.
_GROW_FACTOR = 1.2
_SHRINK_FACTOR = 1.4
_N_PENDING_GRANTS_MAX = 8
_WAIT_MIN_MS = 50.0
_WAIT_MAX_MS = 5_000.0
_HOLDER_ABSENT_MS = 20_000.0
_EXPIRY_INTERVAL_MS = 100.0
# Below this part of the burst, a holder is given one token at a time.
_SCARCE_PART = 0.25
_ROUNDING = 1e-6


@dataclass(slots=True)
class _Pending:
    """Share as a grant that is not confirmed yet has set it."""

    number: int
    rate_per_s: float
    burst: float
    n_given: float


@dataclass(slots=True)
class _Share:
    """Share of one holder: as granted last, and as its holder may still use it."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    limit: QuotaLimit = QuotaLimit()
    confirmed_rate_per_s: float = 0.0
    confirmed_burst: float = 0.0
    n_given_total: float = 0.0
    n_returned_total: float = 0.0
    demand_per_s: float = 0.0
    wait_ms: float = 0.0
    pending: list[_Pending] = field(default_factory=list)
    n_unsent: float = 0.0
    is_changed: bool = False

    @property
    def usable_rate_per_s(self) -> float:
        """Return the highest rate that the holder may use."""
        return max(
            self.confirmed_rate_per_s,
            self.rate_per_s,
            max((item.rate_per_s for item in self.pending), default=0.0),
        )

    @property
    def usable_burst(self) -> float:
        """Return the most tokens that the holder may have, with those under way.

        Before it applies a grant, it has the burst of an earlier one, and the tokens of
        this grant are under way.
        """
        usable, n_under_way = self.burst, self.n_unsent
        for item in reversed(self.pending):
            usable = max(usable, item.burst + n_under_way)
            n_under_way += item.n_given
        return max(usable, self.confirmed_burst + n_under_way)

    def send(self, number: int) -> None:
        """Record that a grant carries the share as it is now."""
        self.pending.append(
            _Pending(number, self.rate_per_s, self.burst, self.n_unsent)
        )
        self.n_unsent = 0.0
        self.is_changed = False

    def confirm(self, number: int) -> None:
        """Record that grants up to `number` are applied or will never be."""
        applied = [item for item in self.pending if item.number <= number]
        if applied:
            self.confirmed_rate_per_s = applied[-1].rate_per_s
            self.confirmed_burst = applied[-1].burst
            self.pending = [item for item in self.pending if item.number > number]

    @property
    def is_unused(self) -> bool:
        """Return whether the holder has no part of the limit."""
        return not (
            self.pending
            or self.is_changed
            or self.usable_burst
            or self.demand_per_s >= _DEMAND_MIN_PER_S
        )


@dataclass(slots=True)
class _Account:
    """Limit of a team, the sums of its shares, and the tokens that are not shared."""

    limit: QuotaLimit
    n_tokens: float
    updated_ms: float
    usable_rate_per_s: float = 0.0
    usable_burst: float = 0.0
    demand_per_s: float = 0.0
    n_holders: int = 0

    @property
    def free_rate_per_s(self) -> float:
        """Return the rate that no share uses."""
        return max(0.0, self.limit.total_rate_per_s - self.usable_rate_per_s)

    @property
    def free_burst(self) -> float:
        """Return the room for tokens that no share uses."""
        return max(0.0, self.limit.total_burst - self.usable_burst)

    def advance(self, now_ms: float, is_settled: bool) -> None:
        """Add the tokens that came since the last call."""
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1_000.0
        self.updated_ms = max(now_ms, self.updated_ms)
        if is_settled:
            self.n_tokens += self.free_rate_per_s * elapsed_s
        self.n_tokens = min(self.n_tokens, self.free_burst)

    def take_out(self, share: _Share) -> None:
        """Remove a share from the sums, before it changes."""
        self.usable_rate_per_s -= share.usable_rate_per_s
        self.usable_burst -= share.usable_burst
        self.demand_per_s -= share.demand_per_s
        self.n_holders -= share.demand_per_s >= _DEMAND_MIN_PER_S

    def put_back(self, share: _Share) -> None:
        """Add a share to the sums, after it has changed."""
        self.usable_rate_per_s += share.usable_rate_per_s
        self.usable_burst += share.usable_burst
        self.demand_per_s += share.demand_per_s
        self.n_holders += share.demand_per_s >= _DEMAND_MIN_PER_S


@dataclass(slots=True)
class _Holder:
    incarnation: int
    sequence: int = -1
    until_ms: float = float("-inf")
    is_reported: bool = False
    numbers: deque[int] = field(default_factory=deque)
    shares: dict[str, _Share] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """Part of a lease grant that carries shares; `number` is 0 if there is none."""

    number: int = 0
    shares: list[QuotaShare] | None = None


class QuotaLedger:
    """Divide the teams' limits among entry VMs in one term of a leader.

    The sum of all shares that any entry VM may still use never exceeds the limit. The
    tokens that no share yields are given singly to holders that ask for them.
    `former_holders` may have shares of an earlier term; before all of them have reported
    these, or their leases have ended, only reported shares are renewed.
    """

    def __init__(self, term: int, now_ms: float, former_holders: Iterable[str]) -> None:
        self._term = term
        self._number = first_number_of(term)
        self._unreported = set(former_holders)
        self._since_ms = now_ms
        self._former_until_ms = now_ms + SHARE_LEASE_MS + SHARE_LEASE_MARGIN_MS
        self._is_settled = not self._unreported
        self._has_former = bool(self._unreported)
        self._accounts: dict[str, _Account] = {}
        self._holders: dict[str, _Holder] = {}
        self._last_heard_ms: dict[str, float] = {}
        self._expiry_due_ms = now_ms

    # State

    @property
    def is_settled(self) -> bool:
        """Return whether all shares of earlier terms are known or have ended."""
        return self._is_settled

    def age_ms(self, now_ms: float) -> float:
        """Return the time since this node started to lead."""
        return now_ms - self._since_ms

    @property
    def n_unreported(self) -> int:
        """Return how many former holders had not reported when the wait ended."""
        return len(self._unreported)

    def set_limits(self, limits: Mapping[str, QuotaLimit], now_ms: float) -> None:
        """Apply the limits of a configuration."""
        for team, account in self._accounts.items():
            account.advance(now_ms, self._is_settled)
            self._change_limit(team, account, limits.get(team, QuotaLimit()))
            account.advance(now_ms, self._is_settled)
        for team, limit in limits.items():
            if team not in self._accounts:
                # Tokens of an earlier term may have been used just now.
                n_tokens = 0.0 if self._has_former else limit.total_burst
                self._accounts[team] = _Account(limit, n_tokens, now_ms)
        self._has_former = False

    def _change_limit(self, team: str, account: _Account, limit: QuotaLimit) -> None:
        """Change a limit, and count shares of a lower one as parts of the higher one.

        A holder reduces its share in proportion if the limit is lowered again, so that
        the parts of all shares, not only their sum, have to fit.
        """
        rate_factor, burst_factor = _raised(account.limit, limit)
        account.limit = limit
        for holder in self._holders.values():
            share = holder.shares.get(team)
            if share is not None:
                account.take_out(share)
                share.confirmed_rate_per_s *= rate_factor
                share.confirmed_burst *= burst_factor
                for item in share.pending:
                    item.rate_per_s *= rate_factor
                    item.burst *= burst_factor
                account.put_back(share)

    def absent_holders(self, stored: Iterable[str], now_ms: float) -> list[str]:
        """Return the stored entry VMs that left long ago and have no shares."""
        if not self._is_settled or now_ms < self._since_ms + _HOLDER_ABSENT_MS:
            return []
        self._remove_expired(now_ms)
        return [
            entry
            for entry in stored
            if entry not in self._holders
            and now_ms
            > self._last_heard_ms.get(entry, float("-inf")) + _HOLDER_ABSENT_MS
        ]

    # Requests

    def on_request(
        self, entry: str, request: LeaseRequest, now_ms: float
    ) -> QuotaGrant:
        """Process the report of an entry VM and return its shares."""
        self._last_heard_ms[entry] = now_ms
        self._remove_expired(now_ms)
        self._check_settled(now_ms)
        holder = self._holder(entry, request, now_ms)
        if holder is None or request.sequence <= holder.sequence:
            return QuotaGrant()
        holder.sequence = request.sequence
        number = request.quota_number
        is_own_term = not number or term_of(number) == self._term
        if not is_own_term:
            holder.is_reported = False
        if not is_own_term or not (
            holder.is_reported or request.is_quota_report_complete
        ):
            return self._ask_for_report(holder)
        demands = {item.team: item for item in request.quota_demands or []}
        self._confirm(holder, number, demands, request.is_quota_report_complete, now_ms)
        if not holder.is_reported:
            holder.is_reported = True
            self._unreported.discard(entry)
            self._check_settled(now_ms)
        for demand in demands.values():
            if demand.team in self._accounts:
                self._divide(holder, demand, now_ms)
        return self._grant(holder, number, now_ms)

    def _holder(
        self, entry: str, request: LeaseRequest, now_ms: float
    ) -> _Holder | None:
        """Return the state of an entry VM, or None if its process has ended.

        A request of a former process may be delayed by its relay.
        """
        holder = self._holders.get(entry)
        if holder is not None and request.incarnation < holder.incarnation:
            return None
        if holder is not None and request.incarnation > holder.incarnation:
            # The former process has ended, as the new one uses its address.
            self._remove(entry, now_ms)
            holder = None
        if holder is None:
            holder = self._holders[entry] = _Holder(request.incarnation)
            holder.until_ms = now_ms + SHARE_LEASE_MS + SHARE_LEASE_MARGIN_MS
        return holder

    def _ask_for_report(self, holder: _Holder) -> QuotaGrant:
        """Return a grant whose number makes the holder report all its shares."""
        if len(holder.numbers) >= _N_PENDING_GRANTS_MAX:
            return QuotaGrant()
        return QuotaGrant(self._next_number(holder), [])

    def _next_number(self, holder: _Holder) -> int:
        self._number += 1
        holder.numbers.append(self._number)
        return self._number

    def _confirm(
        self,
        holder: _Holder,
        number: int,
        demands: dict[str, QuotaDemand],
        is_complete: bool,
        now_ms: float,
    ) -> None:
        """Record which shares the holder has applied, and which it has not."""
        while holder.numbers and holder.numbers[0] <= number:
            holder.numbers.popleft()
        teams = set(demands) | set(holder.shares) if is_complete else set(demands)
        teams |= {team for team, share in holder.shares.items() if share.pending}
        for team in teams:
            account = self._accounts.get(team)
            if account is None:
                continue
            account.advance(now_ms, self._is_settled)
            share = holder.shares.setdefault(team, _Share())
            account.take_out(share)
            share.confirm(number)
            demand = demands.get(team)
            n_returned = 0.0
            if demand is not None:
                n_returned = self._adopt(holder, account, share, demand)
            elif is_complete:
                share.confirmed_rate_per_s = share.confirmed_burst = 0.0
                if not share.pending:
                    share.rate_per_s = share.burst = share.demand_per_s = 0.0
            account.put_back(share)
            account.n_tokens = min(account.n_tokens + n_returned, account.free_burst)

    def _adopt(
        self, holder: _Holder, account: _Account, share: _Share, demand: QuotaDemand
    ) -> float:
        """Take over what a holder reports; return the tokens that it gave up."""
        limit = QuotaLimit(demand.limit_rate_per_s, demand.limit_burst)
        rate_factor, burst_factor = _raised(limit, account.limit)
        share.confirmed_rate_per_s = demand.held_rate_per_s * rate_factor
        share.confirmed_burst = max(demand.held_burst * burst_factor, demand.n_held)
        if not share.pending:
            share.rate_per_s = demand.held_rate_per_s
            share.burst = demand.held_burst
            share.limit = limit
        share.demand_per_s = demand.demand_per_s
        n_returned = 0.0
        if holder.is_reported:
            n_returned = max(0.0, demand.n_returned_total - share.n_returned_total)
        share.n_returned_total = demand.n_returned_total
        return n_returned

    # Division

    def _divide(self, holder: _Holder, demand: QuotaDemand, now_ms: float) -> None:
        """Set the share of a holder by its demand, and give the tokens that it needs."""
        account = self._accounts[demand.team]
        share = holder.shares[demand.team]
        account.advance(now_ms, self._is_settled)
        n_room = max(0.0, account.free_burst - account.n_tokens)
        account.take_out(share)
        former = (share.rate_per_s, share.burst, share.limit, share.wait_ms)
        target = self._target(account, share)
        # A share of a higher limit counts reduced, as its holder reduces it.
        rate_per_s, burst = _scaled(share, account.limit)
        share.limit = account.limit
        share.rate_per_s = min(target[0], max(rate_per_s, account.free_rate_per_s))
        most = max(burst, account.free_burst)
        n_given = self._give(account, share, demand, n_room, min(target[1], most))
        share.burst = min(share.burst, most)
        share.n_unsent += n_given
        share.n_given_total += n_given
        share.wait_ms = self._wait_ms(account, share, demand, n_given)
        account.put_back(share)
        current = (share.rate_per_s, share.burst, share.limit, share.wait_ms)
        share.is_changed |= bool(n_given) or current != former

    def _target(self, account: _Account, share: _Share) -> tuple[float, float]:
        """Return the rate and the burst that a holder should have."""
        rate_per_s, burst = _scaled(share, account.limit)
        if not self._is_settled:
            return rate_per_s, burst
        target_rate, target_burst = _by_demand(account, share)
        if _differs(target_rate, rate_per_s) or _differs(target_burst, burst):
            return target_rate, target_burst
        return rate_per_s, burst

    def _give(
        self,
        account: _Account,
        share: _Share,
        demand: QuotaDemand,
        n_room: float,
        burst: float,
    ) -> float:
        """Set the burst of a share; return the tokens that its holder gets with it.

        A larger burst takes up `n_room`, the room without tokens, first. The rest of it
        comes with tokens of the account, so that none are lost.
        """
        usable = share.usable_burst
        if not self._is_settled:
            share.burst = min(burst, usable)
            return 0.0
        n_needed = demand.n_needed
        if account.n_tokens < _SCARCE_PART * account.limit.total_burst:
            n_needed = min(n_needed, 1.0)
        if account.n_tokens < min(n_needed, 1.0) - _ROUNDING:
            n_needed = 0.0
        n_wanted = max(n_needed, burst - usable - n_room)
        n_given = max(0.0, min(n_wanted, account.n_tokens))
        account.n_tokens -= n_given
        if n_given:
            burst = max(burst, demand.n_held + n_given)
        share.burst = min(burst, usable + n_given + n_room)
        return n_given

    def _wait_ms(
        self, account: _Account, share: _Share, demand: QuotaDemand, n_given: float
    ) -> float:
        """Return the time until the account has a token, or 0 if one may be given."""
        if not self._is_settled or n_given or demand.n_needed <= 0.0:
            return 0.0
        free_rate_per_s = account.free_rate_per_s - share.usable_rate_per_s
        n_missing = 1.0 - account.n_tokens
        if free_rate_per_s <= 0.0:
            return _WAIT_MAX_MS
        wait_ms = n_missing / free_rate_per_s * 1_000.0
        return round(max(_WAIT_MIN_MS, min(wait_ms, _WAIT_MAX_MS)))

    def _grant(self, holder: _Holder, number: int, now_ms: float) -> QuotaGrant:
        """Return the shares that the holder has not confirmed, and extend its lease."""
        for team in [key for key, item in holder.shares.items() if item.is_unused]:
            share = holder.shares.pop(team)
            self._accounts[team].take_out(share)
        changed = {
            team: share
            for team, share in holder.shares.items()
            if share.is_changed or share.pending
        }
        until_ms = now_ms + SHARE_LEASE_MS + SHARE_LEASE_MARGIN_MS
        if number and not changed:
            holder.until_ms = until_ms
            return QuotaGrant(number, None)
        if len(holder.numbers) >= _N_PENDING_GRANTS_MAX:
            return QuotaGrant()
        holder.until_ms = until_ms
        number = self._next_number(holder)
        for share in changed.values():
            share.send(number)
        return QuotaGrant(
            number,
            [
                QuotaShare(
                    team,
                    share.rate_per_s,
                    share.burst,
                    share.n_given_total,
                    share.limit.rate_per_s,
                    share.limit.burst,
                    share.wait_ms,
                )
                for team, share in changed.items()
            ],
        )

    # Leases

    def _check_settled(self, now_ms: float) -> None:
        if self._is_settled:
            return
        if self._unreported and now_ms < self._former_until_ms:
            return
        for account in self._accounts.values():
            account.advance(now_ms, False)
        self._is_settled = True

    def _remove_expired(self, now_ms: float) -> None:
        """Remove the entry VMs whose leases have ended."""
        if now_ms < self._expiry_due_ms:
            return
        self._expiry_due_ms = now_ms + _EXPIRY_INTERVAL_MS
        for entry, holder in list(self._holders.items()):
            if now_ms >= holder.until_ms:
                self._remove(entry, now_ms)

    def _remove(self, entry: str, now_ms: float) -> None:
        holder = self._holders.pop(entry)
        for team, share in holder.shares.items():
            account = self._accounts[team]
            account.advance(now_ms, self._is_settled)
            account.take_out(share)


def _raised(former: QuotaLimit, limit: QuotaLimit) -> tuple[float, float]:
    """Return the factors by which rate and burst were raised, 1 if they were not."""
    if not former.rate_per_s:
        return 1.0, 1.0
    return (
        max(1.0, limit.total_rate_per_s / former.total_rate_per_s),
        max(1.0, limit.total_burst / former.total_burst),
    )


def _scaled(share: _Share, limit: QuotaLimit) -> tuple[float, float]:
    """Return a share's rate and burst, reduced if the limit was lowered since."""
    rate_per_s, burst = share.rate_per_s, share.burst
    if limit.rate_per_s < share.limit.rate_per_s:
        rate_per_s *= limit.rate_per_s / share.limit.rate_per_s
    if limit.total_burst < share.limit.total_burst:
        burst *= limit.total_burst / share.limit.total_burst
    return rate_per_s, burst


def _by_demand(account: _Account, share: _Share) -> tuple[float, float]:
    """Return the rate and burst that fit a holder's part of the team's demand."""
    demand_per_s = share.demand_per_s
    if demand_per_s < _DEMAND_MIN_PER_S:
        return 0.0, 0.0
    n_holders = account.n_holders + 1
    few = min(1.0, _N_FEW_HOLDERS / n_holders)
    leased_part = _LEASED_PART + _LEASED_PART_OF_FEW * few
    leased_rate = leased_part * account.limit.total_rate_per_s
    leased_burst = leased_part * account.limit.total_burst
    demand_of_all = max(account.demand_per_s, 0.0) + demand_per_s
    burst_of_all = n_holders + demand_of_all * _BURST_DEMAND_S
    most = max(1.0, min(_BURST_FACTOR_MAX, _N_FULL_BURSTS / n_holders))
    burst = (1.0 + demand_per_s * _BURST_DEMAND_S) * min(
        most, leased_burst / burst_of_all
    )
    if burst < 1.0:
        if account.usable_burst + 1.0 > leased_burst:
            return 0.0, 0.0
        burst = 1.0
    surplus = _SURPLUS_FACTOR + _SURPLUS_FACTOR_OF_FEW * few
    return demand_per_s * min(surplus, leased_rate / demand_of_all), burst


def _differs(target: float, current: float) -> bool:
    """Return whether a share is too far from its target to be left as it is."""
    return not current / _SHRINK_FACTOR <= target <= current * _GROW_FACTOR
