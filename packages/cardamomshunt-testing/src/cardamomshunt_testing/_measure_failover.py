"""Failover scenario of `make measure`: primaries killed, frozen or partitioned."""

import asyncio
import signal
import statistics
from collections import deque
from dataclasses import dataclass, field

from cardamomshunt_testing._load_checks import check_history
from cardamomshunt_testing._load_client import Balancer, CallerSession, now_ms
from cardamomshunt_testing._load_history import (
    Operation,
    OperationKind,
    OperationVerdict,
)
from cardamomshunt_testing._load_runner import write_gap_ms
from cardamomshunt_testing._measure_rows import RowWriter
from cardamomshunt_testing._site import Site, SiteError

FAULTS = ("kill", "freeze", "zone_cut")
_GAP_MAX_MS = 6_000.0
# After a shorter pause, clients would still be recovering from the previous fault.
_STABILIZATION_MS = 1_200.0
_HEALTHY_TIMEOUT_S = 10.0
_N_SESSIONS = 60
_WRITE_INTERVAL_MS = 50.0
_WRITE_TIMEOUT_MS = 5_000.0


@dataclass(slots=True)
class FailoverResult:
    """Write gaps of each fault; None is a gap that did not end in time."""

    gaps_ms: dict[str, list[float | None]] = field(
        default_factory=lambda: {fault: [] for fault in FAULTS}
    )
    operations: list[Operation] = field(default_factory=list)


class WriteProbe:
    """Write to one group through all entry VMs and record the acknowledgements."""

    def __init__(self, site: Site, group: str, seed: int):
        self.operations: list[Operation] = []
        self._site = site
        self._group = group
        self._seed = seed
        self._n_writes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        balancer = Balancer(site.caller_addresses())
        self._sessions = [
            CallerSession(
                f"probe-{group}-{seed}-{index}",
                balancer,
                is_roaming=False,
                timeout_ms=_WRITE_TIMEOUT_MS,
            )
            for index in range(_N_SESSIONS)
        ]
        self._free = deque(self._sessions)

    def start(self) -> None:
        """Start writing."""
        self._tasks.add(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """Stop writing."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in self._sessions:
            session.roam()

    def _statement(self, key: str) -> str:
        if self._group == "stock":
            return "UPDATE stock SET version = version WHERE item_id = 0"
        if self._group == "orders":
            return f"INSERT INTO orders VALUES ('{key}', 'probe', 1)"
        return f"INSERT INTO dispatches VALUES ('{key}', 'probe')"

    async def _run(self) -> None:
        """Start a write at each interval, whether or not earlier ones have ended."""
        while True:
            if self._free:
                session = self._free.popleft()
                task = asyncio.create_task(self._write(session))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(_WRITE_INTERVAL_MS / 1_000)

    async def _write(self, session: CallerSession) -> None:
        self._n_writes += 1
        key = f"probe-{self._group}-{self._seed}-{self._n_writes}"
        operation = Operation(
            kind=OperationKind.ORDER, session=session.name, start_ms=now_ms(), key=key
        )
        self.operations.append(operation)
        hints = session.hints(idempotency_key=key, **{"class": "order"})
        await session.run(operation, self._group, hints + self._statement(key))
        self._free.append(session)

    def has_written(self) -> bool:
        """Return whether a write was acknowledged."""
        return any(
            item.verdict is OperationVerdict.ANSWERED for item in self.operations
        )


async def run_failover(
    site: Site, writer: RowWriter, seed: int, deadline_s: float, n_runs_max: int
) -> None:
    """Repeat faults on all groups at once until the deadline or the run limit."""
    loop = asyncio.get_running_loop()
    result = FailoverResult()
    n_rounds = 0
    while n_rounds < n_runs_max and loop.time() < deadline_s:
        # Each group gets a different fault, so that each round has all three.
        runs = [
            _run_one(site, group, FAULTS[(n_rounds + index) % 3], seed + n_rounds)
            for index, group in enumerate(site.groups)
        ]
        for fault, gap_ms, operations in await asyncio.gather(*runs):
            result.gaps_ms[fault].append(gap_ms)
            result.operations.extend(operations)
        n_rounds += 1
        is_last = n_rounds >= n_runs_max or loop.time() >= deadline_s
        if is_last or not await _wait_healthy(site):
            break
    await _add_results(site, writer, result, seed)


async def _run_one(
    site: Site, group: str, fault: str, seed: int
) -> tuple[str, float | None, list[Operation]]:
    probe = WriteProbe(site, group, seed)
    probe.start()
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not probe.has_written() and loop.time() < started + 5:
        await asyncio.sleep(0.02)
    await asyncio.sleep(_STABILIZATION_MS / 1_000)
    primary = await site.primary(group)
    if primary is None:
        await probe.stop()
        raise SiteError(f"{group} has no primary before a fault")
    fault_ms = now_ms()
    await _inject_fault(site, primary, fault)
    gap_ms = None
    while gap_ms is None and now_ms() < fault_ms + _GAP_MAX_MS:
        await asyncio.sleep(0.02)
        gap_ms = write_gap_ms(probe.operations, fault_ms)
    await probe.stop()
    await _end_fault(site, group, primary, fault)
    return fault, gap_ms, probe.operations


async def _inject_fault(site: Site, primary: str, fault: str) -> None:
    if fault == "kill":
        site.processes.kill(primary)
    elif fault == "freeze":
        site.processes.signal(primary, signal.SIGSTOP)
    else:
        await site.partition_zone_of(primary)


async def _end_fault(site: Site, group: str, primary: str, fault: str) -> None:
    if fault == "kill":
        site.start_instance(primary)
    elif fault == "freeze":
        site.processes.signal(primary, signal.SIGCONT)
    else:
        await site.reconnect_group(group)


async def _wait_healthy(site: Site) -> bool:
    """Wait until each group has one primary and equal logs."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _HEALTHY_TIMEOUT_S
    while loop.time() < deadline:
        healthy = [await _is_healthy(site, group) for group in site.groups]
        if all(healthy):
            return True
        await asyncio.sleep(0.1)
    return False


async def _is_healthy(site: Site, group: str) -> bool:
    statuses = [await site.status(item.instance) for item in site.groups[group]]
    known = [status for status in statuses if status is not None]
    if len(known) < len(statuses):
        return False
    n_primaries = sum(status["role"] == "primary" for status in known)
    positions = {status["applied_position"] for status in known}
    is_recovered = not any(status["is_recovering"] for status in known)
    return n_primaries == 1 and len(positions) == 1 and is_recovered


async def _add_results(
    site: Site, writer: RowWriter, result: FailoverResult, seed: int
) -> None:
    all_gaps: list[float | None] = []
    for fault, gaps in result.gaps_ms.items():
        all_gaps.extend(gaps)
        _add_gaps(writer, f"failover_gap_{fault}", gaps, seed)
    _add_gaps(writer, "failover_gap", all_gaps, seed)
    n_open = sum(gap is None for gap in all_gaps)
    writer.add("n_failovers_not_ended", n_open, "count", len(all_gaps), seed)
    orders = [item for item in result.operations if item.key.startswith("probe-orders")]
    try:
        counts = await site.final_counts()
    except SiteError:
        # Without a failover there is no primary to count the orders on.
        writer.add("n_lost", None, "count", 0, seed)
        return
    checks = check_history(orders, counts)
    n_acknowledged = checks.n_acknowledged
    writer.add("n_lost", len(checks.lost), "count", n_acknowledged, seed)
    writer.add("n_doubled", len(checks.doubled), "count", n_acknowledged, seed)
    n_violations = len(checks.ran_despite_not_run)
    writer.add("n_ran_despite_not_run", n_violations, "count", len(orders), seed)


def _add_gaps(
    writer: RowWriter, name: str, gaps: list[float | None], seed: int
) -> None:
    if not gaps:
        return
    ended = [float("inf") if gap is None else gap for gap in gaps]
    for suffix, value in (("median", statistics.median(ended)), ("worst", max(ended))):
        finite = None if value == float("inf") else value
        writer.add(f"{name}_{suffix}_ms", finite, "ms", len(gaps), seed)
