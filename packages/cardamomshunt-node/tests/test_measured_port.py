"""Requests are counted by outcome, and write gaps match what callers observe."""

import asyncio
import io

import pytest
from cardamomshunt.effects import (
    CallerId,
    CompleteRequest,
    RequestClass,
    RequestKind,
    SessionHints,
)
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import DatabaseTopology, FailoverStep, TopologyUpdate
from cardamomshunt.operator_messages import TimelineRequest
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict
from cardamomshunt_node._backend_edge_answers import RowsAnswer, WriteAnswer
from cardamomshunt_node._caller_edge import RequestPort, RequestResult, StatementRequest
from cardamomshunt_node._measured_port import MeasuredRequestPort
from cardamomshunt_node.event_log import EventLog
from cardamomshunt_node.metrics import NodeMetrics


class _Port(RequestPort):
    """Complete each request with the next scripted outcome."""

    def __init__(self) -> None:
        self.ends: asyncio.Queue[RequestResult] = asyncio.Queue()

    def open_caller(self) -> CallerId:
        return 1

    def close_caller(self, caller_id: CallerId) -> None:
        return None

    async def run(self, request: StatementRequest) -> RequestResult:
        return await self.ends.get()

    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        return None


class _Bench:
    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.port = _Port()
        self.metrics = NodeMetrics("proxy-1", "proxy", "a")
        self.events = EventLog("proxy-1", stream=io.StringIO())
        self.measured = MeasuredRequestPort(
            self.port,
            self.metrics,
            self.events,
            lambda: self.now_ms,
            lambda database, request_class: (
                500.0 if request_class is RequestClass.DISPATCH else 0.0
            ),
        )

    async def run(
        self, kind: RequestKind, end: RequestResult, hints: SessionHints | None = None
    ) -> None:
        self.port.ends.put_nowait(end)
        hints = hints or SessionHints()
        await self.measured.run(StatementRequest(1, "orders", "", kind, hints))

    def numbers(self) -> list[int]:
        events = self.events.answer(TimelineRequest(since_ms=1e9)).events
        return [event.number for event in events]


def _refused(
    reason: RefusalReason, verdict: Verdict = Verdict.NOT_RUN
) -> RequestResult:
    return RequestResult(Refusal(verdict, reason, "scripted"))


def _done(attempt: int = 1, is_from_replica: bool = False) -> RequestResult:
    completion = CompleteRequest(
        request_id=1, attempt=attempt, is_from_replica=is_from_replica
    )
    return RequestResult(WriteAnswer(), completion)


@pytest.mark.parametrize(
    ("hints", "is_from_replica", "expected"),
    [
        (SessionHints(max_age_ms=300.0), True, ("replica", "age")),
        (SessionHints(), False, ("primary", "session")),
        (SessionHints(request_class=RequestClass.DISPATCH), True, ("replica", "age")),
        (SessionHints(max_age_ms=0.0), True, ("replica", "session")),
    ],
)
async def test_reads_by_route_and_bound(
    hints: SessionHints, is_from_replica: bool, expected: tuple[str, str]
) -> None:
    bench = _Bench()
    completion = CompleteRequest(
        request_id=1, attempt=1, is_from_replica=is_from_replica
    )
    await bench.run(
        RequestKind.READ, RequestResult(RowsAnswer([], []), completion), hints
    )
    bench.metrics._copy_read_counts()
    labels, n_reads = bench.metrics._reads.get_all()[0]
    assert (labels["route"], labels["bound"], n_reads) == (*expected, 1)


async def test_gap_from_first_refusal_to_next_acknowledged_write() -> None:
    bench = _Bench()
    unknown = _refused(RefusalReason.NOT_ACKNOWLEDGED, Verdict.MAY_HAVE_RUN)
    await bench.run(RequestKind.WRITE, unknown)
    bench.now_ms += 700
    await bench.run(RequestKind.COMMIT, _refused(RefusalReason.NO_PRIMARY))
    await bench.run(RequestKind.READ, _done())
    bench.now_ms += 100
    await bench.run(RequestKind.WRITE, _done(attempt=2))
    assert bench.metrics._last_gap.get({"database": "orders"}) == 800.0
    assert bench.numbers() == [
        EventNumber.REQUEST_REFUSED,
        EventNumber.WRITE_OUTCOME_UNKNOWN,
        EventNumber.WRITES_HELD,
        EventNumber.REQUEST_REFUSED,
        EventNumber.REQUEST_RETRIED,
        EventNumber.WRITES_RESUMED,
    ]


async def test_pending_write_counts_but_a_failover_without_writes_does_not() -> None:
    """Guards against a gap that is reported although no write failed or waited."""
    bench = _Bench()
    down = DatabaseTopology(
        database="orders", term=5, primary_instance=None, step=FailoverStep.FENCING
    )
    up = DatabaseTopology(
        database="orders", term=5, primary_instance="b", step=FailoverStep.SERVING
    )
    bench.measured.on_topology(TopologyUpdate(version=1, databases=[down]))
    bench.measured.on_topology(TopologyUpdate(version=2, databases=[up]))
    bench.now_ms += 60_000
    await bench.run(RequestKind.WRITE, _done())
    assert bench.numbers() == []
    request = StatementRequest(1, "orders", "", RequestKind.WRITE, SessionHints())
    pending = asyncio.create_task(bench.measured.run(request))
    await asyncio.sleep(0)
    bench.measured.on_topology(TopologyUpdate(version=3, databases=[down]))
    bench.now_ms += 400
    bench.port.ends.put_nowait(_done())
    await pending
    assert bench.numbers() == [EventNumber.WRITES_HELD, EventNumber.WRITES_RESUMED]
    assert bench.metrics._last_gap.get({"database": "orders"}) == 400.0


async def test_gap_starts_with_the_first_write_that_did_not_succeed() -> None:
    """Guards against gaps that exclude the time until the failure is detected.

    Until then writes are pending, or their callers cancel them.
    """
    bench = _Bench()
    await bench.run(RequestKind.WRITE, _done())
    bench.now_ms += 10
    request = StatementRequest(1, "orders", "", RequestKind.WRITE, SessionHints())
    cancelled = asyncio.create_task(bench.measured.run(request))
    await asyncio.sleep(0)
    bench.now_ms += 300
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    bench.now_ms += 300
    await bench.run(RequestKind.WRITE, _refused(RefusalReason.NO_PRIMARY))
    bench.now_ms += 200
    await bench.run(RequestKind.WRITE, _done())
    assert bench.metrics._last_gap.get({"database": "orders"}) == 800.0


async def test_single_broken_connection_is_not_a_write_gap() -> None:
    bench = _Bench()
    lost = _refused(RefusalReason.CONNECTION_LOST, Verdict.NOT_RUN)
    await bench.run(RequestKind.WRITE, lost)
    bench.now_ms += 20
    await bench.run(RequestKind.WRITE, _done())
    assert EventNumber.WRITES_HELD not in bench.numbers()
    assert EventNumber.WRITES_RESUMED not in bench.numbers()


async def test_overload_is_reported_once() -> None:
    """Guards against an event for each shed request, which would flood the log."""
    bench = _Bench()
    for _ in range(5):
        await bench.run(RequestKind.READ, _refused(RefusalReason.OVERLOADED))
        bench.now_ms += 2_000
        await bench.run(RequestKind.READ, _done())
    bench.now_ms += 4_000
    await bench.run(RequestKind.READ, _done())
    numbers = bench.numbers()
    assert numbers.count(EventNumber.OVERLOAD_STARTED) == 1
    assert numbers.count(EventNumber.OVERLOAD_ENDED) == 1
