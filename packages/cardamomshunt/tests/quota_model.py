"""Model of entry VMs and a control leader that share team limits, without a network."""

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.fleet import (
    LeaseRequest,
    QuotaDecision,
    QuotaLedger,
    QuotaLimit,
    TeamQuotas,
)

RENEW_INTERVAL_MS = 250.0
WINDOW_MS = 5_000.0


def window_maximum(times_ms: list[float]) -> int:
    """Return the most operations in any window of 5 s; `times_ms` is sorted."""
    return max(
        (
            index + 1 - bisect_left(times_ms, at - WINDOW_MS)
            for index, at in enumerate(times_ms)
        ),
        default=0,
    )


def allowed_in_window(limit: QuotaLimit) -> float:
    """Return how many operations the guarantee allows in a window of 5 s."""
    seconds = WINDOW_MS / 1_000.0
    return (limit.rate_per_s * seconds + limit.burst) * 1.1 + 20.0


@dataclass
class TeamCounts:
    """Outcome of a team's operations; `below` is its limit as one token bucket."""

    limit: QuotaLimit
    n_tokens: float
    updated_ms: float = 0.0
    n_below: int = 0
    n_below_refused: int = 0
    n_refused: int = 0
    run_ms: list[float] = field(default_factory=list)

    def is_below(self, now_ms: float) -> bool:
        """Return whether one bucket for all entry VMs would allow an operation."""
        elapsed_s = (now_ms - self.updated_ms) / 1_000.0
        self.updated_ms = now_ms
        self.n_tokens = min(
            self.limit.burst, self.n_tokens + elapsed_s * self.limit.rate_per_s
        )
        if self.n_tokens < 1.0:
            return False
        self.n_tokens -= 1.0
        return True


@dataclass
class _Waiting:
    team: str
    since_ms: float
    is_below: bool


class Entry:
    """Entry VM of the model."""

    def __init__(self, model: "QuotaModel", name: str) -> None:
        self.model = model
        self.name = name
        self.quotas = TeamQuotas()
        self.quotas.set_limits(model.limits, 0.0)
        self.incarnation = 1
        self.waiting: list[_Waiting] = []
        self._retry_ms = float("inf")
        self.n_early = 0

    def renew(self) -> None:
        """Send the regular request, and the next one after the interval."""
        self.send()
        self.model.at(RENEW_INTERVAL_MS, self.renew)

    def send(self) -> None:
        """Send a request to the leader."""
        model = self.model
        sequence = next(model.sequences)
        report = self.quotas.report(sequence, model.now_ms)
        model.n_requests += 1
        model.n_demands += len(report.demands or [])
        request = LeaseRequest(
            sequence=sequence,
            version=1,
            incarnation=self.incarnation,
            quota_number=report.number,
            quota_demands=report.demands,
            is_quota_report_complete=report.is_complete,
        )
        model.at(model.delay_ms(), lambda: model.receive(self, request))

    def send_early(self) -> None:
        """Send a request if an operation waits for a token."""
        if self.quotas.is_request_due(self.model.now_ms):
            self.n_early += 1
            self.send()

    def run(self, team: str) -> None:
        """Run an operation, or let it wait or be refused."""
        model = self.model
        operation = _Waiting(
            team, model.now_ms, model.counts[team].is_below(model.now_ms)
        )
        model.counts[team].n_below += operation.is_below
        self.quotas.record_demand(team, model.now_ms)
        if not self.attempt(operation):
            self.waiting.append(operation)
            self.quotas.add_waiting(team, 1, model.now_ms)
            model.at(0.0, self.send_early)
            model.at(21.0, self.send_early)

    def attempt(self, operation: _Waiting) -> bool:
        """Return whether an operation has run or was refused."""
        model = self.model
        now_ms, counts = model.now_ms, model.counts[operation.team]
        admission = self.quotas.admit(operation.team, now_ms)
        waited_ms = now_ms - operation.since_ms
        if admission.decision is QuotaDecision.ALLOWED:
            counts.run_ms.append(now_ms)
            model.at(30.0, lambda: self.quotas.finish(operation.team))
            return True
        is_over = waited_ms >= self.quotas.wait_max_ms(operation.team)
        if admission.decision is QuotaDecision.REFUSED or is_over:
            counts.n_refused += 1
            counts.n_below_refused += operation.is_below
            return True
        retry_ms = now_ms + min(max(1.0, admission.wait_ms), 25.0)
        if retry_ms < self._retry_ms:
            self._retry_ms = retry_ms
            model.at(retry_ms - now_ms, self.attempt_waiting)
        return False

    def attempt_waiting(self) -> None:
        """Attempt the waiting operations again."""
        self._retry_ms = float("inf")
        self.send_early()
        waiting, self.waiting = self.waiting, []
        for operation in waiting:
            if self.attempt(operation):
                self.quotas.add_waiting(operation.team, -1, self.model.now_ms)
            else:
                self.waiting.append(operation)


class QuotaModel:
    """Events in the order of a virtual clock."""

    def __init__(
        self, seed: int, limits: dict[str, QuotaLimit], n_entries: int
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.limits = limits
        self.counts = {
            team: TeamCounts(limit, limit.burst) for team, limit in limits.items()
        }
        self.sequences = itertools.count(1)
        self.n_requests = 0
        self.n_demands = 0
        self.n_shares = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.ledger = QuotaLedger(1, 0.0, [])
        self.ledger.set_limits(limits, 0.0)
        self.entries = [Entry(self, f"e{number}") for number in range(n_entries)]
        for entry in self.entries:
            self.at(self.random.uniform(0.0, RENEW_INTERVAL_MS), entry.renew)

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, next(self._order), action)
        )

    def delay_ms(self) -> float:
        """Return the time that a message takes, with the relay in between."""
        return self.random.uniform(1.0, 6.0)

    def receive(self, entry: Entry, request: LeaseRequest) -> None:
        """Let the leader answer a request."""
        grant = self.ledger.on_request(entry.name, request, self.now_ms)
        self.n_shares += len(grant.shares or [])

        def apply() -> None:
            entry.quotas.on_grant(
                request.sequence, grant.number, grant.shares, self.now_ms
            )
            entry.attempt_waiting()

        self.at(self.delay_ms(), apply)

    def add_load(
        self, team: str, rate_per_s: float, entries: list[Entry], until_ms: float
    ) -> None:
        """Run operations of a team at random times and entry VMs."""

        def arrive() -> None:
            self.random.choice(entries).run(team)
            delay_ms = self.random.expovariate(rate_per_s) * 1_000.0
            if self.now_ms + delay_ms < until_ms:
                self.at(delay_ms, arrive)

        self.at(self.random.expovariate(rate_per_s) * 1_000.0, arrive)

    def run_until(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms


def zipf_rates(n_teams: int, total_per_s: float, exponent: float) -> dict[str, float]:
    """Return the usual rates of teams whose sizes follow a Zipf distribution."""
    weights = {f"t{rank}": rank**-exponent for rank in range(1, n_teams + 1)}
    total = sum(weights.values())
    return {team: total_per_s * weight / total for team, weight in weights.items()}
