"""Cost of the edges of one entry VM: `python -m cardamomshunt_testing.edge_cost`.

Runs one stand-in instance and one proxy, and sends statements to both from this
process. Prints one JSON object for each measured value.
"""

import asyncio
import os
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

import asyncmy
import click
import msgspec
import yaml
from asyncmy.errors import MySQLError

from cardamomshunt_testing._ports import free_ports
from cardamomshunt_testing._processes import Processes
from cardamomshunt_testing._standin_settings import (
    AnnouncementTarget,
    StandinSettings,
)

_GROUP = "orders"
_SCHEMA = [
    "CREATE TABLE orders (id INTEGER PRIMARY KEY, name TEXT)",
    "INSERT INTO orders (id, name) VALUES (1, 'cinnamon')",
]
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_READ = "SELECT id, name FROM orders WHERE id = 1"
_WRITE = "UPDATE orders SET name = 'clove' WHERE id = 1"
# More callers than the instance has connections, so that the proxy multiplexes them.
_N_CALLERS = 32
_N_DIRECT = 8


class _Figure(msgspec.Struct):
    """One measured value."""

    name: str
    value: float
    unit: str


def _print_figure(name: str, value: float, unit: str) -> None:
    print(
        msgspec.json.encode(_Figure(name, round(value, 1), unit)).decode(), flush=True
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


async def connect(port: int) -> asyncmy.Connection:
    """Open a caller connection."""
    return await asyncmy.connect(
        host="127.0.0.1", port=port, user="cost", db=_GROUP, autocommit=None
    )


async def _run_statements(
    port: int, n_connections: int, duration_s: float, statement: Callable[[int], str]
) -> float:
    """Return statements per second over all connections."""
    connections = [await connect(port) for _ in range(n_connections)]
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    n_statements = 0

    async def run(connection: asyncmy.Connection) -> None:
        nonlocal n_statements
        async with connection.cursor() as cursor:
            while loop.time() < end_s:
                n_statements += 1
                await cursor.execute(statement(n_statements))

    await asyncio.gather(*(run(item) for item in connections))
    for connection in connections:
        connection.close()
    return n_statements / duration_s


async def _measure_rates(
    processes: Processes, port: int, direct_port: int, duration_s: float
) -> None:
    statements: dict[str, Callable[[int], str]] = {
        "read": lambda _: f"/* cardamomshunt: max_age_ms=2000 */ {_READ}",
        "own_read": lambda _: _READ,
        "write": lambda _: _WRITE,
        "keyed_write": lambda number: (
            f"/* cardamomshunt: idempotency_key=k{os.getpid()}x{number} */ {_WRITE}"
        ),
    }
    rate = await _run_statements(direct_port, _N_DIRECT, duration_s, lambda _: _READ)
    _print_figure("direct_read_rate", rate, "1/s")
    pid = processes.pid("proxy")
    for name, statement in statements.items():
        before_s = _cpu_s(pid)
        rate = await _run_statements(port, _N_CALLERS, duration_s, statement)
        spent_s = _cpu_s(pid) - before_s
        _print_figure(f"{name}_rate", rate, "1/s")
        _print_figure(f"{name}_proxy_core_share", 100.0 * spent_s / duration_s, "%")
        _print_figure(f"{name}_proxy_cpu", 1e6 * spent_s / duration_s / rate, "us")


async def _measure_idle(processes: Processes, port: int, n_callers: int) -> None:
    pid = processes.pid("proxy")
    before_bytes = resident_bytes(pid)
    connections = [await connect(port) for _ in range(n_callers)]
    await asyncio.sleep(0.5)
    size_bytes = (resident_bytes(pid) - before_bytes) / n_callers
    _print_figure("idle_caller_size", size_bytes, "bytes")
    for connection in connections:
        async with connection.cursor() as cursor:
            await cursor.execute(f"/* cardamomshunt: max_age_ms=2000 */ {_READ}")
    await asyncio.sleep(0.5)
    size_bytes = (resident_bytes(pid) - before_bytes) / n_callers
    _print_figure("idle_caller_size_after_a_read", size_bytes, "bytes")
    for connection in connections:
        connection.close()


def _write_settings(folder: Path, name: str, document: object) -> Path:
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


def start(folder: Path) -> tuple[Processes, int, int]:
    """Start the instance and the proxy; return their MySQL ports."""
    ports = free_ports(7)
    instance = StandinSettings(
        group=_GROUP,
        instance="orders-1",
        zone="zone-a",
        port=ports[0],
        control_port=ports[1],
        announce_to=[
            AnnouncementTarget(zone="zone-a", address=f"127.0.0.1:{ports[6]}")
        ],
        is_first_primary=True,
        schema=_SCHEMA,
    )
    names = ("peer", "operator", "metrics", "caller", "announcement")
    addresses = {
        f"{name}_address": f"127.0.0.1:{port}"
        for name, port in zip(names, ports[2:], strict=True)
    }
    proxy = {
        "node": "proxy-1",
        "role": "proxy",
        "zone": "zone-a",
        **addresses,
        "control_nodes": [
            {
                "node": "control-1",
                "zone": "zone-a",
                "peer_address": "127.0.0.1:9",
                "operator_address": "127.0.0.1:9",
            }
        ],
    }
    processes = Processes(folder)
    processes.start_module(
        "orders-1",
        "cardamomshunt_testing.standin",
        _write_settings(folder, "orders-1", msgspec.to_builtins(instance)),
    )
    processes.start_module(
        "proxy", "cardamomshunt_node.main", _write_settings(folder, "proxy", proxy)
    )
    return processes, ports[5], ports[0]


async def wait_ready(port: int) -> None:
    """Wait until a write through a port succeeds."""
    async with asyncio.timeout(20):
        while True:
            try:
                await _run_statements(port, 1, 0.01, lambda _: _WRITE)
                return
            except (OSError, MySQLError):
                await asyncio.sleep(0.1)


async def _run(duration_s: float, n_idle: int) -> None:
    folder = Path(tempfile.mkdtemp(prefix="cardamomshunt-edge-cost-"))
    processes, port, direct_port = start(folder)
    try:
        await wait_ready(port)
        await _measure_rates(processes, port, direct_port, duration_s)
        await _measure_idle(processes, port, n_idle)
    finally:
        await processes.stop()
        shutil.rmtree(folder, ignore_errors=True)


@click.command()
@click.option("--duration-s", default=3.0, help="Time for each statement mix.")
@click.option("--idle-callers", default=1_000, help="Idle connections to open.")
def main(duration_s: float, idle_callers: int) -> None:
    """Measure rates, processor time and memory of one proxy."""
    asyncio.run(_run(duration_s, idle_callers))


if __name__ == "__main__":
    main()
