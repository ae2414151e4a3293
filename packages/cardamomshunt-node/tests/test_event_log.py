"""The event log suppresses repeated events and answers timeline requests."""

import io
import json
from dataclasses import dataclass

from cardamomshunt.events import EventNumber
from cardamomshunt.operator_messages import TimelineRequest
from cardamomshunt_node.event_log import N_REPEATS_MAX, REPEAT_WINDOW_MS, EventLog


@dataclass
class _Clock:
    now_ms: float = 1_700_000_000_000.0

    def __call__(self) -> float:
        return self.now_ms


def _log(
    clock: _Clock, is_json: bool = True, n_events_max: int = 1_000
) -> tuple[EventLog, io.StringIO]:
    stream = io.StringIO()
    log = EventLog(
        "proxy-1",
        stream=stream,
        is_json=is_json,
        wall_ms=clock,
        steady_ms=clock,
        n_events_max=n_events_max,
    )
    return log, stream


def test_repeats_are_counted_not_logged() -> None:
    clock = _Clock()
    log, stream = _log(clock)
    for _ in range(500):
        log.emit(EventNumber.REQUEST_REFUSED, subject="overloaded", database="orders")
    clock.now_ms += REPEAT_WINDOW_MS + 1
    log.emit(EventNumber.REQUEST_REFUSED, subject="overloaded", database="orders")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert len(lines) == N_REPEATS_MAX + 2
    assert lines[N_REPEATS_MAX]["number"] == EventNumber.EVENTS_SUPPRESSED
    assert lines[N_REPEATS_MAX]["detail"].startswith(f"{500 - N_REPEATS_MAX} more")


def test_timeline_filters_and_is_bounded() -> None:
    clock = _Clock()
    log, _ = _log(clock, n_events_max=50)
    for index in range(60):
        clock.now_ms += 1_000
        database = "orders" if index % 2 else "stock"
        log.emit(EventNumber.INSTANCE_SILENT, subject=str(index), database=database)
    reply = log.answer(TimelineRequest(since_ms=9_500, database="orders"))
    assert [event.subject for event in reply.events] == ["51", "53", "55", "57", "59"]
    assert reply.n_dropped == 10
    newest = log.answer(TimelineRequest(since_ms=1e9, n_events_max=3))
    assert [event.subject for event in newest.events] == ["57", "58", "59"]


def test_detail_can_not_forge_a_line() -> None:
    log, stream = _log(_Clock(), is_json=False)
    cause = log.emit(EventNumber.PRIMARY_SUSPECTED, subject="orders-1")
    log.emit(EventNumber.FENCING_STARTED, detail="x\nforged", cause=cause)
    lines = stream.getvalue().splitlines()
    assert len(lines) == 2
    assert "WARNING 212 FENCING_STARTED" in lines[1] and f"cause={cause}" in lines[1]
