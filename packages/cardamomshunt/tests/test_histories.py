"""Tests of the guarantees of the data path under faults, and of their checks."""

import random
from collections.abc import Callable
from typing import Any

import pytest
from cardamomshunt.data_path import DataPath
from cardamomshunt.effects import AttemptKind
from cardamomshunt.retries import RepeatRule
from cardamomshunt.verdict import Refusal, Verdict
from fake_group import FakeConnection, Host, Server, Simulation
from history_checks import (
    CHECKS,
    backward_reads,
    incorrect_verdicts,
    lost_writes,
    mixed_transactions,
    reads_too_old,
    repeated_writes,
    stale_session_reads,
)
from hypothesis import example, given, settings
from hypothesis import strategies as st
from naive_paths import NaiveSplitter, OnePrimary

FAULTS = (
    "kill primary",
    "freeze primary",
    "disconnect primary",
    "stall replica",
    "stall connections",
    "full recovery",
)


def faults_of(seed: int) -> list[tuple[float, str]]:
    generator = random.Random(seed)
    n_faults = seed % 6
    faults = [
        (generator.uniform(200.0, 2_800.0), generator.choice(FAULTS))
        for _ in range(n_faults)
    ]
    return sorted(faults)


def violated(
    path: Callable[..., Any],
    check: Callable[[Simulation], list[Any]],
    seeds: range,
    faults: list[tuple[float, str]] | None = None,
    **setup: Any,
) -> bool:
    """Return whether a check fails in one of the runs."""
    return any(
        bool(
            check(Simulation(seed, faults or faults_of(seed), path=path, **setup).run())
        )
        for seed in seeds
    )


@settings(max_examples=120, deadline=None, derandomize=True, database=None)
@given(
    seed=st.integers(0, 2**32 - 1),
    faults=st.lists(
        st.tuples(st.floats(100.0, 2_900.0), st.sampled_from(FAULTS)), max_size=6
    ),
)
# Reads were stale on a server that had restarted as a replica in the same term.
@example(seed=245, faults=faults_of(245))
@example(seed=418, faults=faults_of(418))
def test_guarantees_hold(seed: int, faults: list[tuple[float, str]]) -> None:
    simulation = Simulation(seed, sorted(faults)).run()
    for check in CHECKS:
        assert not check(simulation), check.__name__
    assert all(operation.ended_ms is not None for operation in simulation.operations)
    assert not any(host.path.n_open_requests() for host in simulation.hosts)


@pytest.mark.parametrize("path", [DataPath, NaiveSplitter, OnePrimary])
def test_without_faults_nothing_is_refused(path: Callable[..., Any]) -> None:
    simulation = Simulation(7, path=path, reply_fault_share=0.0).run()
    late = [o for o in simulation.operations if o.started_ms > 200.0]
    assert len(late) > 300
    assert all(operation.is_ok for operation in late)
    assert not lost_writes(simulation)
    assert not mixed_transactions(simulation)


def test_most_reads_are_served_by_replicas() -> None:
    """Guards against consistency that is due to reading from the primary only."""
    simulation = Simulation(7, reply_fault_share=0.0, roaming_share=0.0).run()
    reads = [o for o in simulation.operations if o.kind.value == "read"]
    assert sum(o.is_from_replica for o in reads) > 0.85 * len(reads)


class _NoAge(DataPath):
    def _set_requirement(self, now_ms: float, pending: Any) -> None:
        super()._set_requirement(now_ms, pending)
        pending.requirement.max_age_ms = None


class _NoReadWatermark(DataPath):
    def _record_success(self, now_ms: float, attempt: Any, result: Any) -> None:
        super()._record_success(now_ms, attempt, result)
        attempt.pending.session.unconfirmed_read_ms = None


class _NoBoundForRoaming(DataPath):
    def _set_requirement(self, now_ms: float, pending: Any) -> None:
        super()._set_requirement(now_ms, pending)
        pending.requirement.bound_since_ms = None


class _RepeatsUnkeyedWrites(DataPath):
    def _new_pending(self, *arguments: Any) -> Any:
        pending = super()._new_pending(*arguments)
        if pending.repeat_rule is RepeatRule.NEVER:
            pending.repeat_rule = RepeatRule.KEYED
        return pending


class _AlwaysNotRun(DataPath):
    def _refuse(self, pending: Any, refusal: Refusal) -> None:
        super()._refuse(
            pending, Refusal(Verdict.NOT_RUN, refusal.reason, refusal.detail)
        )


class _AlwaysMayHaveRun(DataPath):
    def _refuse(self, pending: Any, refusal: Refusal) -> None:
        super()._refuse(
            pending, Refusal(Verdict.MAY_HAVE_RUN, refusal.reason, refusal.detail)
        )


class _AcknowledgesWithoutMajority(DataPath):
    def _start_attempt(
        self, now_ms: float, pending: Any, connection: Any, kind: Any, timeout_ms: float
    ) -> None:
        if kind is AttemptKind.ACKNOWLEDGED_WRITE:
            kind = AttemptKind.PLAIN
        super()._start_attempt(now_ms, pending, connection, kind, timeout_ms)


@pytest.mark.parametrize(
    ("path", "check"),
    [
        (NaiveSplitter, stale_session_reads),
        (NaiveSplitter, backward_reads),
        (OnePrimary, lost_writes),
        (_NoAge, reads_too_old),
        (_NoBoundForRoaming, stale_session_reads),
        (_RepeatsUnkeyedWrites, repeated_writes),
        (_AlwaysNotRun, incorrect_verdicts),
        (_AlwaysMayHaveRun, incorrect_verdicts),
        (_AcknowledgesWithoutMajority, lost_writes),
    ],
)
def test_checker_catches_broken_path(
    path: Callable[..., Any], check: Callable[[Simulation], list[Any]]
) -> None:
    assert violated(path, check, range(24))


def test_checker_catches_reads_without_watermark() -> None:
    """Needs replicas at different positions and sessions that stay on one entry VM."""
    stalls = [(time, "stall replica") for time in (300.0, 800.0, 1_300.0, 1_800.0)]
    setup = {"roaming_share": 0.0, "n_callers": 12}
    assert violated(_NoReadWatermark, backward_reads, range(24), stalls, **setup)
    assert not violated(DataPath, backward_reads, range(3), stalls, **setup)


def test_checker_catches_mixed_transactions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Uses a group in which all connections to a server share one transaction."""
    shared: dict[Server, list[int]] = {}
    execute = Host.execute

    def execute_shared(
        host: Host, effect: Any, connection: FakeConnection, *rest: Any
    ) -> None:
        if connection.buffer is not None:
            connection.buffer = shared.setdefault(connection.server, [])
        execute(host, effect, connection, *rest)

    monkeypatch.setattr(Host, "execute", execute_shared)
    assert violated(DataPath, mixed_transactions, range(6))
