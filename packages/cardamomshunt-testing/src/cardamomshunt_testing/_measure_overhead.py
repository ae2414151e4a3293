"""Proxy overhead scenario of `make measure`: statements/s and memory per connection."""

import asyncio
from pathlib import Path

import asyncmy

from cardamomshunt_testing._measure_rows import RowWriter
from cardamomshunt_testing._site import Site

# The direct connections have to fit within the limit beside those of the proxies.
_N_DIRECT_CONNECTIONS = 8
_N_CALLER_CONNECTIONS = 32
_DURATION_S = 2.0
_N_IDLE_CONNECTIONS = 500
_STABILIZATION_S = 0.5
_SQL = (
    "/* cardamomshunt: max_age_ms=2000 */ SELECT version FROM stock WHERE item_id = 1"
)


async def run_overhead(site: Site, writer: RowWriter, seed: int) -> None:
    """Compare one entry VM with a direct connection, then add idle callers."""
    names = [item.instance for item in site.groups["stock"]]
    for name in names:
        await site.inject_fault(name, "slow", factor=0)
    # The second instance is a replica in the zone of the second entry VM.
    vm = site.entry_vms[1]
    replica = site.groups["stock"][1]
    for metric, port, n_connections in (
        ("statements_per_s_direct", replica.port, _N_DIRECT_CONNECTIONS),
        ("statements_per_s", vm.caller_port, _N_CALLER_CONNECTIONS),
    ):
        n_statements = await _count_statements(port, n_connections)
        rate = n_statements / _DURATION_S
        writer.add(metric, rate, "1/s", n_statements, seed)
    for name in names:
        await site.inject_fault(name, "slow", factor=1)
    size_bytes = await _idle_connection_size_bytes(vm.caller_port, site, vm.name)
    metric = "memory_per_idle_connection_bytes"
    writer.add(metric, size_bytes, "bytes", _N_IDLE_CONNECTIONS, seed)


async def _connect(port: int) -> asyncmy.Connection:
    return await asyncmy.connect(
        host="127.0.0.1", port=port, user="measure", db="stock", autocommit=True
    )


async def _count_statements(port: int, n_connections: int) -> int:
    connections = [await _connect(port) for _ in range(n_connections)]
    loop = asyncio.get_running_loop()
    end = loop.time() + _DURATION_S

    async def run(connection: asyncmy.Connection) -> int:
        n_statements = 0
        async with connection.cursor() as cursor:
            while loop.time() < end:
                await cursor.execute(_SQL)
                n_statements += 1
        return n_statements

    counts = await asyncio.gather(*(run(item) for item in connections))
    for connection in connections:
        connection.close()
    return sum(counts)


async def _idle_connection_size_bytes(port: int, site: Site, name: str) -> float:
    await asyncio.sleep(_STABILIZATION_S)
    before_bytes = _resident_bytes(site.processes.pid(name))
    connections = []
    for _ in range(_N_IDLE_CONNECTIONS):
        connections.append(await _connect(port))
    await asyncio.sleep(_STABILIZATION_S)
    after_bytes = _resident_bytes(site.processes.pid(name))
    for connection in connections:
        connection.close()
    return (after_bytes - before_bytes) / _N_IDLE_CONNECTIONS


def _resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1_024
    raise RuntimeError(f"no VmRSS for process {pid}")
