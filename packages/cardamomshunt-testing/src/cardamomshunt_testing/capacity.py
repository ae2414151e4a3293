"""Measure the slopes of docs/CAPACITY.md; prints JSON lines.

Each slope is a least-squares line through at least four sizes. The residual is the
largest distance of a point from the line, as a share of the largest value.
"""

import asyncio
import random
import shutil
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
from cardamomshunt.data_path import DataPath
from cardamomshunt.messages import (
    Announcement,
    InstanceAddress,
    InstanceRole,
    TokenEcho,
)
from cardamomshunt.position import LogPosition

from cardamomshunt_testing import dissemination_cost, edge_cost
from cardamomshunt_testing._control_capacity import (
    apply_cost_us,
    restore_cost_ms,
    state_of_databases,
    state_of_versions,
)
from cardamomshunt_testing.control_measure import leader_cost

_N_INSTANCES = 3
_N_ANNOUNCE_ROUNDS = 20
_ANNOUNCE_INTERVAL_S = 0.1
_IDLE_STEPS = (250, 250, 500, 1_000)
_RELAY_VARIANTS = ((9, 9, 1_000.0), (50, 9, 1_000.0), (150, 15, 1_000.0))
_LARGEST_RELAY_VARIANT = (450, 22, 2_000.0)


class Slope(msgspec.Struct, kw_only=True):
    """Line fitted to `values` (in `unit`) over `sizes`."""

    role: str
    metric: str
    per: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    residual_share: float


@dataclass(slots=True, frozen=True)
class Line:
    """Line with the largest distance of a point from it."""

    slope: float
    intercept: float
    residual: float


def fit(sizes: list[float], values: list[float]) -> Line:
    """Fit a least-squares line.

    >>> fit([1.0, 2.0, 3.0, 4.0], [3.0, 5.0, 7.0, 9.0])
    Line(slope=2.0, intercept=1.0, residual=0.0)
    """
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Line(line.slope, line.intercept, max(distances))


def _measure_slope(
    role: str,
    metric: str,
    per: str,
    unit: str,
    sizes: list[float],
    measure: Callable[[float], float],
) -> None:
    values = [measure(size) for size in sizes]
    _print_slope(role, metric, per, unit, sizes, values)


def _print_slope(
    role: str,
    metric: str,
    per: str,
    unit: str,
    sizes: list[float],
    values: list[float],
) -> None:
    line = fit(sizes, values)
    largest = max(abs(value) for value in values)
    slope = Slope(
        role=role,
        metric=metric,
        per=per,
        unit=unit,
        sizes=sizes,
        values=[round(value, 4) for value in values],
        slope=round(line.slope, 6),
        intercept=round(line.intercept, 4),
        residual_share=round(line.residual / largest, 4) if largest else 0.0,
    )
    click.echo(msgspec.json.encode(slope).decode())


def traced_kb(build: Callable[[], object]) -> float:
    """Return the memory that a built object retains, in KB of 1,000 bytes."""
    tracemalloc.start()
    retained = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size_bytes / 1_000.0


def _announcement(database: int, index: int, position: int) -> Announcement:
    is_primary = index == 0
    at = LogPosition(1, position)
    return Announcement(
        group=f"database-{database}",
        instance=f"database-{database}-{index}",
        incarnation=1,
        zone=f"zone-{index}",
        address=InstanceAddress("127.0.0.1", 3_306),
        role=InstanceRole.PRIMARY if is_primary else InstanceRole.REPLICA,
        term=1,
        log_position=at,
        applied_position=at,
        n_slots=5,
        n_connections_max=35,
        echo=TokenEcho(token=f"t{position}", position=at) if is_primary else None,
    )


def _announce_all(path: DataPath, n_databases: int, number: int) -> None:
    now_ms = number * 100.0
    for database in range(n_databases):
        for index in range(_N_INSTANCES):
            item = _announcement(database, index, number + 1)
            issued_ms = now_ms if item.echo else None
            path.on_announcement(now_ms, item, issued_ms)


def _build_data_path(n_databases: float) -> DataPath:
    path = DataPath(zone="zone-0", generator=random.Random(1))
    for number in range(_N_ANNOUNCE_ROUNDS):
        _announce_all(path, int(n_databases), number)
    return path


def _announcement_cpu_percent(n_databases: float) -> float:
    """Return the share of a core for decisions, at an announcement every 100 ms."""
    path = _build_data_path(n_databases)
    started_s = time.process_time()
    for number in range(_N_ANNOUNCE_ROUNDS, 2 * _N_ANNOUNCE_ROUNDS):
        _announce_all(path, int(n_databases), number)
    spent_s = time.process_time() - started_s
    return 100.0 * spent_s / (_N_ANNOUNCE_ROUNDS * _ANNOUNCE_INTERVAL_S)


def measure_data_path() -> None:
    """Measure memory and CPU of the data path by number of databases."""
    sizes = [10.0, 50.0, 100.0, 200.0]
    _measure_slope(
        "proxy",
        "data_path_memory",
        "database",
        "KB",
        sizes,
        lambda size: traced_kb(lambda: _build_data_path(size)),
    )
    _measure_slope(
        "proxy",
        "announcement_decision_cpu",
        "database",
        "% of a core",
        sizes,
        _announcement_cpu_percent,
    )


def measure_control_state() -> None:
    """Measure memory, size and times of the control state by databases and versions."""
    databases = [90.0, 180.0, 360.0, 720.0]
    versions = [250.0, 500.0, 1_000.0, 2_000.0]
    _measure_slope(
        "control",
        "state_memory",
        "database",
        "KB",
        databases,
        lambda size: traced_kb(lambda: state_of_databases(int(size))),
    )
    _measure_slope(
        "control",
        "snapshot_size",
        "database",
        "KB",
        databases,
        lambda size: len(state_of_databases(int(size)).encode()) / 1_000.0,
    )
    _measure_slope(
        "control",
        "snapshot_size",
        "version",
        "KB",
        versions,
        lambda size: len(state_of_versions(int(size)).encode()) / 1_000.0,
    )
    _measure_slope(
        "control",
        "restore_time",
        "version",
        "ms",
        versions,
        lambda n: restore_cost_ms(int(n)),
    )
    _measure_slope(
        "control",
        "apply_patch_cpu",
        "database",
        "us",
        databases,
        lambda size: apply_cost_us(int(size)),
    )


def measure_leader() -> None:
    """Measure a leader with direct reports, as in the daemons."""
    sizes = [9, 50, 150, 450]
    costs = [leader_cost(size) for size in sizes]
    numbers = [float(size) for size in sizes]
    shares = [100.0 * cost.core_share for cost in costs]
    received = [cost.received_bytes / 1_000.0 for cost in costs]
    sent = [cost.sent_bytes / 1_000.0 for cost in costs]
    _print_slope("control", "leader_cpu", "node", "% of a core", numbers, shares)
    _print_slope("control", "leader_received", "node", "KB/s", numbers, received)
    _print_slope("control", "leader_sent", "node", "KB/s", numbers, sent)


def measure_relays() -> None:
    """Measure relays with the group sizes of docs/notes/membership.md."""
    variants = (*_RELAY_VARIANTS, _LARGEST_RELAY_VARIANT)
    costs = [
        dissemination_cost.measure(
            dissemination_cost.Variant("relay", members, group, heartbeat_ms, 0)
        )
        for members, group, heartbeat_ms in variants
    ]
    sizes = [float(cost.n_members) for cost in costs]
    for metric, unit, scale in (
        ("bytes_per_s_leader", "KB/s", 1_000.0),
        ("bytes_per_s_other", "KB/s", 1_000.0),
        ("cpu_percent_leader", "% of a core", 1.0),
        ("cpu_percent_other", "% of a core", 1.0),
    ):
        values = [getattr(cost, metric) / scale for cost in costs]
        _print_slope("relay", metric, "node", unit, sizes, values)


async def _idle_sizes_mb() -> list[float]:
    """Return the resident memory of an entry VM after each step of idle callers."""
    folder = Path(tempfile.mkdtemp(prefix="cardamomshunt-capacity-"))
    processes, port, _ = edge_cost.start(folder)
    connections = []
    sizes_mb = []
    try:
        await edge_cost.wait_ready(port)
        pid = processes.pid("proxy")
        for n_callers in _IDLE_STEPS:
            connections += [await edge_cost.connect(port) for _ in range(n_callers)]
            await asyncio.sleep(0.5)
            sizes_mb.append(edge_cost.resident_bytes(pid) / 1e6)
    finally:
        for connection in connections:
            connection.close()
        await processes.stop()
        shutil.rmtree(folder, ignore_errors=True)
    return sizes_mb


def measure_idle_callers() -> None:
    """Measure the resident memory of a real entry VM by idle caller connections."""
    values = asyncio.run(_idle_sizes_mb())
    sizes = [float(sum(_IDLE_STEPS[: n + 1])) for n in range(len(_IDLE_STEPS))]
    _print_slope("proxy", "resident_memory", "idle caller", "MB", sizes, values)


_MEASUREMENTS: dict[str, Callable[[], None]] = {
    "data-path": measure_data_path,
    "control-state": measure_control_state,
    "leader": measure_leader,
    "relays": measure_relays,
    "idle-callers": measure_idle_callers,
}


@click.command()
@click.option(
    "--only", type=click.Choice(list(_MEASUREMENTS)), help="Measure one part."
)
def main(only: str | None) -> None:
    """Print one JSON line for each slope."""
    for name, measure in _MEASUREMENTS.items():
        if only in (None, name):
            measure()


if __name__ == "__main__":
    main()
