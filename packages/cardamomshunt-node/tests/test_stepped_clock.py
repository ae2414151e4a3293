"""No decision depends on the time of day, which operators and NTP may step."""

import ast
import io
import json
import os
import time
from pathlib import Path

import cardamomshunt_node
import pytest
from cardamomshunt.events import EventNumber
from cardamomshunt.hybrid_clock import HybridClock
from cardamomshunt_node import _boot_clock
from cardamomshunt_node._decision_log import _N_REQUEST_LINES_PER_S_MAX, DecisionLog
from cardamomshunt_node.event_log import N_REPEATS_MAX, REPEAT_WINDOW_MS, EventLog

_SOURCES = Path(cardamomshunt_node.__file__).parent
_STEPS_S = [-45.0, -30.0, 30.0, 45.0]
# The only modules that read the time of day, and what for.
_WALL_CLOCK_USERS = {
    "_backend_edge_mysql_attempts.py": "age of a stored idempotency key, for people",
    "_boot_clock.py": "defines it",
    "_decision_log.py": "time stamp of a log line",
    "_entry_control_link.py": "incarnation; a lower one gets no shares until the "
    "lease of the higher one has ended",
    "_event_log.py": "time stamp of an event, ordered by a hybrid clock",
    "_proxy_control_link.py": "incarnation, only compared for equality",
}
# `time.monotonic` stops while a machine is suspended, so no lease may use it.
_FORBIDDEN_CLOCKS = {"monotonic", "monotonic_ns", "time_ns", "perf_counter"}


class _SteppedClock:
    """Wall clock and steady clock; only the former can be stepped."""

    def __init__(self) -> None:
        self.steady_ms = 5_000.0
        self.step_ms = 0.0

    def wall(self) -> float:
        return 1_700_000_000_000.0 + self.steady_ms + self.step_ms

    def steady(self) -> float:
        return self.steady_ms


def _clock_calls(path: Path) -> set[str]:
    tree = ast.parse(path.read_text())
    names = {node.attr for node in ast.walk(tree) if isinstance(node, ast.Attribute)}
    names |= {node.id for node in ast.walk(tree) if isinstance(node, ast.Name)}
    return names


def test_only_listed_modules_read_the_time_of_day() -> None:
    users = {
        path.name
        for path in _SOURCES.glob("*.py")
        if "wall_ms" in _clock_calls(path) or "time.time(" in path.read_text()
    }
    assert users == set(_WALL_CLOCK_USERS)


@pytest.mark.parametrize("path", sorted(_SOURCES.glob("*.py")), ids=lambda p: p.name)
def test_no_module_uses_a_clock_that_a_suspended_machine_stops(path: Path) -> None:
    # Guards against a lease that outlives its end on a machine that was suspended.
    assert not _FORBIDDEN_CLOCKS & _clock_calls(path)


@pytest.mark.parametrize("step_s", _STEPS_S)
def test_boot_clock_ignores_steps(step_s: float, monkeypatch) -> None:
    before_ms = _boot_clock.boot_ms()
    monkeypatch.setattr(time, "time", lambda: 1_700_000_000.0 + step_s)
    assert 0.0 <= _boot_clock.boot_ms() - before_ms < 1_000.0


@pytest.mark.parametrize("step_s", _STEPS_S)
def test_suppressed_events_are_reported_in_time(step_s: float) -> None:
    # Guards against a step back that held the counts of suppressed events back by as
    # much as the step.
    clock, stream = _SteppedClock(), io.StringIO()
    log = EventLog(
        "proxy-1",
        stream=stream,
        is_json=True,
        wall_ms=clock.wall,
        steady_ms=clock.steady,
    )
    for _ in range(100):
        log.emit(EventNumber.REQUEST_REFUSED, subject="overloaded")
    clock.step_ms = step_s * 1_000.0
    clock.steady_ms += REPEAT_WINDOW_MS + 1.0
    log.emit(EventNumber.INSTANCE_SILENT, subject="db-1")
    numbers = [json.loads(line)["number"] for line in stream.getvalue().splitlines()]
    assert numbers.count(EventNumber.EVENTS_SUPPRESSED) == 1
    assert numbers.count(EventNumber.REQUEST_REFUSED) == N_REPEATS_MAX


@pytest.mark.parametrize("step_s", _STEPS_S)
def test_times_of_events_increase(step_s: float) -> None:
    clock, hybrid = _SteppedClock(), HybridClock()
    before = hybrid.now(clock.wall())
    clock.step_ms = step_s * 1_000.0
    assert hybrid.now(clock.wall()) > before


@pytest.mark.parametrize("step_s", [-1.0, *_STEPS_S])
def test_limit_on_request_lines_survives_steps(step_s: float, monkeypatch) -> None:
    # Guards against a clock that is stepped again and again, each time opening a new
    # second for the limit.
    clock = _SteppedClock()
    monkeypatch.setattr("cardamomshunt_node._decision_log.boot_ms", clock.steady)
    monkeypatch.setattr("cardamomshunt_node._decision_log.wall_ms", clock.wall)
    reader, writer = os.pipe()
    log = DecisionLog("entry-1", writer)
    for number in range(2 * _N_REQUEST_LINES_PER_S_MAX):
        clock.step_ms = step_s * 1_000.0 * (number % 2)
        log.write_request("read")
    os.close(writer)
    with os.fdopen(reader, "rb") as stream:
        assert len(stream.read().splitlines()) == _N_REQUEST_LINES_PER_S_MAX
