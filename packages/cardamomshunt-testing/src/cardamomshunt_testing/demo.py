"""Demo: callers keep working while a primary is killed (`make demo`).

The last line is one JSON object with replica_read_share, failover_gap_ms,
n_acknowledged, n_lost, n_doubled and n_stale_reads.
"""

import asyncio
import sys
from collections import Counter

import click
import msgspec

from cardamomshunt_testing._load_checks import check_history
from cardamomshunt_testing._load_client import now_ms
from cardamomshunt_testing._load_history import OperationKind, OperationVerdict
from cardamomshunt_testing._load_mixes import KITI_BORA
from cardamomshunt_testing._load_runner import LoadRun, LoadSettings
from cardamomshunt_testing._site import Site, SiteError

_TIMEOUT_S = 55.0
_DURATION_S = 16.0
_KILL_AFTER_S = 6.0
_RATE = 80.0
_GROUP = "orders"


class DemoResult(msgspec.Struct, kw_only=True):
    """Hold the last line of the demo."""

    replica_read_share: float
    failover_gap_ms: float | None
    n_acknowledged: int
    n_lost: int
    n_doubled: int
    n_stale_reads: int

    def failure(self) -> str:
        """Return what went wrong, or an empty text."""
        if self.failover_gap_ms is None:
            return "no order was acknowledged after the primary was killed"
        if not self.n_acknowledged:
            return "no order was acknowledged"
        if self.n_lost or self.n_doubled or self.n_stale_reads:
            return "a promise was broken; see the counts above"
        return ""


def _say(text: str) -> None:
    print(text, flush=True)


async def _show_progress(run: LoadRun) -> None:
    n_before = 0
    second = 0
    while True:
        await asyncio.sleep(1)
        second += 1
        n_orders = sum(
            item.kind is OperationKind.ORDER
            and item.verdict is OperationVerdict.ANSWERED
            for item in run.operations
        )
        share, _ = run.replica_share(OperationKind.LOOKUP)
        _say(
            f"  {second:3d} s  {run.n_answered - n_before:4d} answered/s  "
            f"{n_orders:4d} orders acknowledged  {share:5.1%} of lookups by replicas"
        )
        n_before = run.n_answered


async def _kill_primary(site: Site) -> float:
    await asyncio.sleep(_KILL_AFTER_S)
    primary = await site.primary(_GROUP)
    if primary is None:
        raise SiteError(f"the group {_GROUP} has no primary to kill")
    killed_ms = now_ms()
    site.processes.kill(primary)
    _say(f"  --- killed {primary}, the primary of {_GROUP}, with SIGKILL ---")
    while await site.primary(_GROUP) is None:
        await asyncio.sleep(0.05)
    _say(f"  --- {await site.primary(_GROUP)} is the new primary ---")
    return killed_ms


async def _run_load(site: Site) -> tuple[LoadRun, float]:
    settings = LoadSettings(
        entry_vms=site.caller_addresses(),
        rate=_RATE,
        duration_s=_DURATION_S,
        has_idempotency=site.system == "cardamomshunt",
    )
    run = LoadRun(KITI_BORA, settings)
    progress = asyncio.create_task(_show_progress(run))
    killing = asyncio.create_task(_kill_primary(site))
    try:
        await run.run()
        if not killing.done():
            raise SiteError("no new primary was promoted")
        return run, await killing
    finally:
        for task in (progress, killing):
            task.cancel()
        await asyncio.gather(progress, killing, return_exceptions=True)


def _print_summary(run: LoadRun, result: DemoResult) -> None:
    reads = [
        run.replica_share(kind)
        for kind in (OperationKind.LOOKUP, OperationKind.OWN_READ)
    ]
    refused = Counter(item.reason for item in run.operations if item.reason)
    gap = result.failover_gap_ms
    _say(f"reads by replicas: {reads[0][0]:.1%} of {reads[0][1]} lookups, ")
    _say(f"                   {reads[1][0]:.1%} of {reads[1][1]} own reads")
    _say(f"failover gap:      {'none' if gap is None else f'{gap:.0f} ms'}")
    _say(
        f"orders:            {result.n_acknowledged} acknowledged, "
        f"{result.n_lost} lost, {result.n_doubled} doubled"
    )
    _say(f"stale reads:       {result.n_stale_reads}")
    _say(f"refused attempts:  {dict(refused) or 'none'}")


def _overall_replica_share(run: LoadRun) -> float:
    shares = [
        run.replica_share(kind)
        for kind in (OperationKind.LOOKUP, OperationKind.OWN_READ)
    ]
    n_reads = sum(count for _, count in shares)
    return sum(share * count for share, count in shares) / n_reads if n_reads else 0.0


async def run_demo(system: str) -> DemoResult:
    """Start a site, kill a primary under load, check, and stop everything."""
    site = Site(KITI_BORA, system=system)
    try:
        _say(f"starting {system}: 3 entry VMs, 3 database groups of 3 instances")
        await site.start()
        _say(f"running {_RATE:.0f} operations/s for {_DURATION_S:.0f} s")
        run, killed_ms = await _run_load(site)
        checks = check_history(run.operations, await site.final_counts())
        result = DemoResult(
            replica_read_share=round(_overall_replica_share(run), 4),
            failover_gap_ms=run.write_gap_ms(killed_ms),
            n_acknowledged=checks.n_acknowledged,
            n_lost=len(checks.lost),
            n_doubled=len(checks.doubled),
            n_stale_reads=checks.n_stale_reads,
        )
        _print_summary(run, result)
        return result
    finally:
        await site.stop()


async def _run(system: str) -> DemoResult:
    async with asyncio.timeout(_TIMEOUT_S):
        return await run_demo(system)


@click.command()
@click.option(
    "--system",
    type=click.Choice(["cardamomshunt", "naive-primary", "naive-split"]),
    default="cardamomshunt",
)
def main(system: str) -> None:
    """Run the demo; exit 1 with the reason if anything fails."""
    try:
        result = asyncio.run(_run(system))
    except KeyboardInterrupt:
        sys.exit("interrupted; everything is stopped")
    except SiteError as error:
        sys.exit(f"demo failed: {error}")
    except TimeoutError:
        sys.exit("demo failed: it did not finish in time")
    _say(msgspec.json.encode(result).decode())
    failure = result.failure()
    if failure:
        sys.exit(f"demo failed: {failure}")


if __name__ == "__main__":
    main()
