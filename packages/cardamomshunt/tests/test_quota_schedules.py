"""Random schedules of faults against the guarantee on the teams' rate limits.

Run by hand with `python test_quota_schedules.py N_SCHEDULES FIRST_SEED`.
"""

import random
import sys
from bisect import bisect_right

import pytest
from cardamomshunt.fleet import (
    LeaseRequest,
    QuotaDecision,
    QuotaLedger,
    QuotaLimit,
    TeamQuotas,
)
from quota_model import WINDOW_MS, allowed_in_window, window_maximum

_TEAM = "desk"
_N_STEPS = 24
_PAUSES_MS = (0.0, 2.0, 20.0, 120.0, 250.0, 900.0, 2_500.0)
_PAUSE_WEIGHTS = (6, 6, 8, 6, 4, 1, 1)
_LONG_PAUSE_MS = 9_500.0
_HOLD_MAX_MS = 900.0
_N_ALWAYS_ALLOWED = 20
_ROUNDING = 0.02


class _Entry:
    def __init__(self, schedule, name):
        self.schedule = schedule
        self.name = name
        self.is_cut = False
        self.start()

    def start(self):
        self.quotas = TeamQuotas()
        self.schedule.n_starts += 1
        self.incarnation = self.schedule.n_starts
        # Operations that have a token and are not sent to a server yet.
        self.held_ms = []
        self.apply_limit(self.schedule.limit)

    def apply_limit(self, limit):
        self.limit = limit
        self.quotas.set_limits({_TEAM: limit}, self.schedule.now_ms)

    def run(self, n_operations):
        schedule, now_ms = self.schedule, self.schedule.now_ms
        is_held = schedule.random.random() < 0.2
        for _ in range(n_operations):
            self.quotas.record_demand(_TEAM, now_ms)
            admission = self.quotas.admit(_TEAM, now_ms)
            if admission.decision is not QuotaDecision.ALLOWED:
                break
            if is_held:
                self.held_ms.append(now_ms)
            else:
                self.send_operation(now_ms)

    def send_operation(self, now_ms):
        self.schedule.run_ms.append(now_ms)
        self.quotas.finish(_TEAM)

    def send_held(self):
        for held_ms in self.held_ms:
            now_ms = self.schedule.now_ms
            if now_ms <= held_ms + _HOLD_MAX_MS:
                self.send_operation(now_ms)
            else:
                self.quotas.finish(_TEAM)
        self.held_ms = []

    def request(self):
        schedule = self.schedule
        schedule.sequence += 1
        n_waiting = schedule.random.choice((0, 1, 5, 30))
        self.quotas.add_waiting(_TEAM, n_waiting, schedule.now_ms)
        report = self.quotas.report(schedule.sequence, schedule.now_ms)
        self.quotas.add_waiting(_TEAM, -n_waiting, schedule.now_ms)
        return LeaseRequest(
            sequence=schedule.sequence,
            version=1,
            incarnation=self.incarnation,
            quota_number=report.number,
            quota_demands=report.demands,
            is_quota_report_complete=report.is_complete,
        )


class Schedule:
    """One random schedule; `run_ms` counts operations apart from the parts tested."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now_ms = 1_000.0
        self.sequence = 0
        self.n_starts = 0
        self.term = 1
        self.run_ms = []
        self.limit = self.draw_limit()
        self.limits = []
        self.excess = ""
        self.entries = [
            _Entry(self, f"e{number}") for number in range(self.random.randint(1, 5))
        ]
        # Entry VMs in the replicated log, and messages under way.
        self.stored = set()
        self.requests = []
        self.grants = []
        self.lead()
        self.check_limits()

    def draw_limit(self):
        return QuotaLimit(
            self.random.choice((0.5, 3.0, 20.0)), self.random.choice((0.0, 2.0, 15.0))
        )

    def lead(self):
        self.ledger = QuotaLedger(self.term, self.now_ms, sorted(self.stored))
        self.ledger.set_limits({_TEAM: self.limit}, self.now_ms)

    def run(self):
        actions = {
            self.exchange_all: 16,
            self.send_request: 6,
            self.deliver_request: 6,
            self.deliver_grant: 6,
            self.cut: 2,
            self.change_leader: 1,
            self.restart_entry: 1,
            self.change_limit: 1,
            self.apply_limit: 3,
            self.pause_long: 0.3,
        }
        chosen = self.random.choices(list(actions), list(actions.values()), k=_N_STEPS)
        pauses = self.random.choices(_PAUSES_MS, _PAUSE_WEIGHTS, k=_N_STEPS)
        for action, pause_ms in zip(chosen, pauses, strict=True):
            self.now_ms += pause_ms
            action()
            entry = self.random.choice(self.entries)
            entry.send_held()
            entry.run(self.random.choice((2, 20, 60)))
            self.check_sums()
        for entry in self.entries:
            entry.run(100)

    # Steps

    def send_request(self):
        entry = self.random.choice(self.entries)
        self.requests.append((self.term, entry, entry.incarnation, entry.request()))

    def deliver_request(self):
        if not self.requests:
            return
        index = self.random.randrange(len(self.requests))
        term, entry, incarnation, request = self.requests.pop(index)
        is_lost = entry.is_cut or self.random.random() < 0.1
        if term != self.term or is_lost:
            return
        if entry.name not in self.stored:
            self.stored.add(entry.name)
            return
        grant = self.ledger.on_request(entry.name, request, self.now_ms)
        self.grants.append((entry, incarnation, request.sequence, grant))
        gone = self.ledger.absent_holders(self.stored, self.now_ms)
        self.stored -= set(gone)

    def deliver_grant(self):
        if not self.grants:
            return
        index = self.random.randrange(len(self.grants))
        entry, incarnation, sequence, grant = self.grants.pop(index)
        is_lost = entry.is_cut or self.random.random() < 0.1
        if incarnation == entry.incarnation and not is_lost:
            entry.quotas.on_grant(sequence, grant.number, grant.shares, self.now_ms)

    def exchange_all(self):
        for entry in self.entries:
            self.requests.append((self.term, entry, entry.incarnation, entry.request()))
        while self.requests:
            self.deliver_request()
        while self.grants:
            self.deliver_grant()
        for entry in self.entries:
            entry.run(self.random.choice((0, 2, 60)))

    def cut(self):
        entry = self.random.choice(self.entries)
        entry.is_cut = not entry.is_cut

    def change_leader(self):
        self.term += 1
        self.lead()

    def restart_entry(self):
        self.random.choice(self.entries).start()
        self.check_limits()

    def change_limit(self):
        self.limit = self.draw_limit()
        self.ledger.set_limits({_TEAM: self.limit}, self.now_ms)
        self.check_limits()

    def apply_limit(self):
        self.random.choice(self.entries).apply_limit(self.limit)
        self.check_limits()

    def pause_long(self):
        self.now_ms += _LONG_PAUSE_MS

    # Check

    def check_limits(self):
        """Record the limits in force at the leader and the entry VMs from now on."""
        in_force = {self.limit, *(entry.limit for entry in self.entries)}
        self.limits.append((self.now_ms, in_force))

    def allowed(self, at_ms):
        """Return how many operations may run in the window that ends at a time.

        The highest rate and the highest burst count: one limit may have a higher rate
        and the other a higher burst, and each was in force for a part of the time.
        """
        since_ms = at_ms - 2.0 * WINDOW_MS
        in_force = set()
        for start_ms, limits in self.limits:
            in_force = limits if start_ms <= since_ms else in_force | limits
        return allowed_in_window(
            QuotaLimit(
                max(limit.rate_per_s for limit in in_force),
                max(limit.burst for limit in in_force),
            )
        )

    def check_sums(self):
        """Check that the shares add up to the limit, before a window shows it."""
        states = [entry.quotas.state(_TEAM, self.now_ms) for entry in self.entries]
        states = [state for state in states if state is not None]
        in_force = self.limits[-1][1]
        rate_per_s = sum(state.rate_per_s for state in states)
        n_tokens = sum(state.n_tokens for state in states)
        most = max(limit.total_rate_per_s for limit in in_force)
        if rate_per_s > most + _ROUNDING:
            self.excess = f"rates add up to {rate_per_s}, {most} allowed"
        most = max(limit.total_burst for limit in in_force)
        if n_tokens > most + _ROUNDING:
            self.excess = f"{n_tokens} tokens, {most} allowed"

    def violation(self):
        """Return a description of the first window with too many operations."""
        if self.excess:
            return self.excess
        for index, at in enumerate(self.run_ms):
            first = bisect_right(self.run_ms, at - WINDOW_MS)
            n_run = index + 1 - first
            if n_run > _N_ALWAYS_ALLOWED and n_run > self.allowed(at):
                return f"{n_run} operations up to {at} ms, {self.allowed(at)} allowed"
        return ""


def run_schedules(first_seed, n_schedules):
    """Return the seeds of the schedules that break the guarantee, with the reason."""
    found = []
    for seed in range(first_seed, first_seed + n_schedules):
        schedule = Schedule(seed)
        schedule.run()
        violation = schedule.violation()
        if violation:
            found.append((seed, violation))
    return found


@pytest.mark.parametrize("first_seed", range(0, 10_000, 2_500))
def test_no_window_has_more_operations_than_the_limit_allows(first_seed):
    # Guards against tokens that exist twice after cuts, restarts, changes of leader and
    # changes of limits.
    assert run_schedules(first_seed, 2_500) == []


def test_the_windows_of_the_schedules_are_nearly_full():
    # Guards against schedules in which too little runs for a fault to show.
    n_full = 0
    for seed in range(200):
        schedule = Schedule(seed)
        schedule.run()
        lowest = min(map(schedule.allowed, schedule.run_ms), default=1_000.0)
        n_full += window_maximum(schedule.run_ms) > 0.6 * lowest
    assert n_full > 40


if __name__ == "__main__":
    print(run_schedules(int(sys.argv[2]), int(sys.argv[1])))
