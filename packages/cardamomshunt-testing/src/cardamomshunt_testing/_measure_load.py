"""Load scenarios of `make measure`: normal, overload and lagging."""

from cardamomshunt_testing._load_checks import check_history
from cardamomshunt_testing._load_history import OperationKind, OperationVerdict
from cardamomshunt_testing._load_runner import LoadRun, LoadSettings
from cardamomshunt_testing._measure_rows import RowWriter
from cardamomshunt_testing._site import Site

SERVICE_TIME_MS = 10.0
# At 120 ms per statement, the slots are full long before the CPUs are.
_OVERLOAD_SLOW_FACTOR = 12.0
# Lookups overload the stock group. Orders, with three statements each, fit into the
# slots of their primary, so that all can be placed if they have priority.
_OVERLOAD_WEIGHTS = {
    OperationKind.LOOKUP: 0.85,
    OperationKind.OWN_READ: 0.12,
    OperationKind.ORDER: 0.02,
    OperationKind.DISPATCH: 0.01,
}
_OVERLOAD_RATIO = 2.0
_OVERLOAD_DEADLINE_MS = 1_000.0
_NORMAL_LOAD_RATIO = 0.15
_LAG_MS = 5_000.0
_WARM_UP_MS = 1_000.0
_N_INSTANCES = 3


def stock_capacity(site: Site, slow_factor: float = 1.0) -> float:
    """Return the statements/s that the slots of the stock group can run."""
    service_s = SERVICE_TIME_MS * slow_factor / 1_000
    return _N_INSTANCES * site.mix.n_slots / service_s


def _normal_rate(site: Site) -> float:
    share = site.mix.weights[OperationKind.LOOKUP]
    return _NORMAL_LOAD_RATIO * stock_capacity(site) / share


async def run_normal(
    site: Site, writer: RowWriter, seed: int, duration_s: float
) -> None:
    """Measure at a load far below the capacity of the slots."""
    await _run(site, writer, seed, _normal_rate(site), duration_s)


async def run_lagging(
    site: Site, writer: RowWriter, seed: int, duration_s: float
) -> None:
    """Measure with one replica of each group 5 s behind."""
    lagging = [settings[-1].instance for settings in site.groups.values()]
    for name in lagging:
        await site.inject_fault(name, "lag", lag_ms=_LAG_MS)
    await _run(site, writer, seed, _normal_rate(site), duration_s)
    for name in lagging:
        await site.inject_fault(name, "lag", lag_ms=0)


async def run_overload(
    site: Site, writer: RowWriter, seed: int, duration_s: float
) -> None:
    """Measure at twice the lookups that the slots of the stock group can run."""
    names = [item.instance for items in site.groups.values() for item in items]
    for name in names:
        await site.inject_fault(name, "slow", factor=_OVERLOAD_SLOW_FACTOR)
    capacity = stock_capacity(site, _OVERLOAD_SLOW_FACTOR)
    rate = _OVERLOAD_RATIO * capacity / _OVERLOAD_WEIGHTS[OperationKind.LOOKUP]
    run = await _run(site, writer, seed, rate, duration_s, is_overload=True)
    for name in names:
        await site.inject_fault(name, "slow", factor=1)
    span_ms = duration_s * 1_000 - _WARM_UP_MS
    n_answered = run.n_answered_within(
        OperationKind.LOOKUP, _WARM_UP_MS, duration_s * 1_000
    )
    n_within_capacity = capacity * span_ms / 1_000
    writer.add(
        "goodput_share", n_answered / n_within_capacity, "share", n_answered, seed
    )
    orders = [item for item in run.operations if item.kind is OperationKind.ORDER]
    n_orders = len({item.key for item in orders})
    n_placed = sum(item.verdict is OperationVerdict.ANSWERED for item in orders)
    if n_orders:
        writer.add("order_success_share", n_placed / n_orders, "share", n_orders, seed)


async def _run(
    site: Site,
    writer: RowWriter,
    seed: int,
    rate: float,
    duration_s: float,
    *,
    is_overload: bool = False,
) -> LoadRun:
    settings = LoadSettings(
        entry_vms=site.caller_addresses(),
        rate=rate,
        duration_s=duration_s,
        seed=seed,
        has_idempotency=site.system == "cardamomshunt",
        n_sessions=900 if is_overload else 100,
        lookup_deadline_ms=_OVERLOAD_DEADLINE_MS if is_overload else None,
        weights=_OVERLOAD_WEIGHTS if is_overload else None,
        timeout_ms=6_000.0 if is_overload else 8_000.0,
        n_attempts_max=2 if is_overload else 6,
        n_read_attempts_max=1 if is_overload else 2,
    )
    run = LoadRun(site.mix, settings)
    await run.run()
    counts = await site.final_counts()
    writer.add_run(run, check_history(run.operations, counts))
    peaks = await _connection_peaks(site)
    writer.add("n_peak_backend_connections", max(peaks), "count", len(peaks), seed)
    return run


async def _connection_peaks(site: Site) -> list[int]:
    peaks = [0]
    for settings in site.groups.values():
        for item in settings:
            status = await site.status(item.instance)
            if status is not None:
                peaks.append(status["n_connections_peak"])
    return peaks
