"""Run a bounded load on a MySQL endpoint and report latency percentiles."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import asyncmy
import msgspec
from hdrh.histogram import HdrHistogram

N_CONNECTIONS_MAX = 500
DURATION_MAX_S = 600.0
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_HISTOGRAM_MAX_US = 60_000_000
_CONNECT_TIMEOUT_S = 5
_RECONNECT_PAUSE_S = 0.1
# A route query costs a round trip, so it follows only one in this many statements.
_ROUTE_SAMPLE_EVERY = 10
_N_ERROR_KINDS_MAX = 20


@dataclass(slots=True, frozen=True)
class BenchOptions:
    """Endpoint, statements, concurrency, duration and rate of a load."""

    host: str
    port: int
    user: str
    password: str
    database: str
    statements: tuple[str, ...]
    n_connections: int
    duration_s: float
    rate: float | None = None


class BenchReport(msgspec.Struct, kw_only=True):
    """Results of a run, as the command prints them in JSON.

    With a rate, latency counts from the time when the statement was due, so that the
    waiting time behind a stalled endpoint is included.
    """

    n_answered: int
    n_failed: int
    elapsed_s: float
    statements_per_s: float
    latency_ms: dict[str, float]
    errors: dict[str, int]
    n_routes_sampled: int
    replica_share: float | None


@dataclass(slots=True)
class _Tally:
    histogram: Any = field(
        default_factory=lambda: HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
    )
    errors: Counter[str] = field(default_factory=Counter)
    routes: Counter[str] = field(default_factory=Counter)
    n_answered: int = 0

    def add_error(self, error: Exception) -> None:
        text = f"{type(error).__name__}: {error}"[:160]
        if text not in self.errors and len(self.errors) >= _N_ERROR_KINDS_MAX:
            text = "other"
        self.errors[text] += 1


@dataclass(slots=True)
class _Pacer:
    """Assign due times to all workers at a fixed rate; no due times without a rate."""

    started_s: float
    interval_s: float
    n_issued: int = 0

    def next_due_s(self) -> float | None:
        if not self.interval_s:
            return None
        due_s = self.started_s + self.n_issued * self.interval_s
        self.n_issued += 1
        return due_s


async def run_bench(options: BenchOptions) -> BenchReport:
    """Run the load for its duration and report the results.

    The duration starts once each worker has tried to open its connection.
    """
    tally = _Tally()
    attempts = [_try_connect(options, tally) for _ in range(options.n_connections)]
    connections = await asyncio.gather(*attempts)
    started_s = time.monotonic()
    interval_s = 1.0 / options.rate if options.rate else 0.0
    pace = _Pacer(started_s, interval_s)
    end_s = started_s + options.duration_s
    workers = [
        _worker(connection, options, tally, pace, end_s) for connection in connections
    ]
    await asyncio.gather(*workers)
    return _report(tally, time.monotonic() - started_s)


async def _try_connect(options: BenchOptions, tally: _Tally) -> Any:
    """Open a connection; return None if it fails."""
    try:
        return await asyncmy.connect(
            host=options.host,
            port=options.port,
            user=options.user,
            password=options.password,
            database=options.database,
            autocommit=True,
            connect_timeout=_CONNECT_TIMEOUT_S,
        )
    except Exception as error:
        tally.add_error(error)
        return None


async def _worker(
    connection: Any, options: BenchOptions, tally: _Tally, pace: _Pacer, end_s: float
) -> None:
    """Run statements until the end time; replace a connection that fails."""
    while time.monotonic() < end_s:
        if connection is None:
            await asyncio.sleep(_RECONNECT_PAUSE_S)
            connection = await _try_connect(options, tally)
            continue
        try:
            await _run_statements(connection, options, tally, pace, end_s)
        finally:
            connection.close()
            connection = None
    if connection is not None:
        connection.close()


async def _run_statements(
    connection: Any, options: BenchOptions, tally: _Tally, pace: _Pacer, end_s: float
) -> None:
    """Run statements on a connection until the end time or a connection failure."""
    async with connection.cursor() as cursor:
        n_run = 0
        while True:
            due_s = pace.next_due_s()
            if due_s is not None:
                await asyncio.sleep(min(due_s, end_s) - time.monotonic())
            start_s = due_s if due_s is not None else time.monotonic()
            if max(start_s, time.monotonic()) >= end_s:
                return
            statement = options.statements[n_run % len(options.statements)]
            n_run += 1
            try:
                async with asyncio.timeout(end_s - time.monotonic() + 5.0):
                    await cursor.execute(statement)
                    await cursor.fetchall()
            except asyncmy.errors.OperationalError as error:
                tally.add_error(error)
                return
            except TimeoutError as error:
                tally.add_error(error)
                return
            except asyncmy.errors.MySQLError as error:
                tally.add_error(error)
                continue
            elapsed_us = int((time.monotonic() - start_s) * 1e6)
            tally.histogram.record_value(min(_HISTOGRAM_MAX_US, max(1, elapsed_us)))
            tally.n_answered += 1
            if n_run % _ROUTE_SAMPLE_EVERY == 1:
                await _sample_route(cursor, tally)


async def _sample_route(cursor: Any, tally: _Tally) -> None:
    """Record the route of the last statement; servers without routes return NULL."""
    try:
        await cursor.execute("SELECT @cardamomshunt_last_route")
        row = await cursor.fetchone()
    except asyncmy.errors.MySQLError:
        return
    if row and row[0]:
        tally.routes[str(row[0])] += 1


def _report(tally: _Tally, elapsed_s: float) -> BenchReport:
    n_routes = sum(tally.routes.values())
    n_replica = sum(
        n for route, n in tally.routes.items() if route.startswith("replica")
    )
    latency = {
        f"p{percentile:g}": tally.histogram.get_value_at_percentile(percentile) / 1e3
        for percentile in _PERCENTILES
    }
    latency["max"] = tally.histogram.get_max_value() / 1e3
    return BenchReport(
        n_answered=tally.n_answered,
        n_failed=sum(tally.errors.values()),
        elapsed_s=round(elapsed_s, 3),
        statements_per_s=round(tally.n_answered / elapsed_s, 1),
        latency_ms=latency,
        errors=dict(tally.errors),
        n_routes_sampled=n_routes,
        replica_share=n_replica / n_routes if n_routes else None,
    )
