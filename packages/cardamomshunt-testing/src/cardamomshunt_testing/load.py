"""Load generator with checks: `python -m cardamomshunt_testing.load`, or a library."""

import asyncio
from collections import Counter

import click
import msgspec

from cardamomshunt_testing._final_state import read_final_counts
from cardamomshunt_testing._load_checks import CheckResult, check_history
from cardamomshunt_testing._load_history import (
    Operation,
    OperationKind,
    OperationVerdict,
    parse_refusal,
)
from cardamomshunt_testing._load_mixes import KITI_BORA, MIXES, ZARQA, Mix
from cardamomshunt_testing._load_runner import LoadRun, LoadSettings, write_gap_ms

__all__ = [
    "KITI_BORA",
    "MIXES",
    "ZARQA",
    "CheckResult",
    "LoadRun",
    "LoadSettings",
    "Mix",
    "Operation",
    "OperationKind",
    "OperationVerdict",
    "check_history",
    "parse_refusal",
    "read_final_counts",
    "write_gap_ms",
]


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def summarize(run: LoadRun, checks: CheckResult) -> dict[str, object]:
    """Return the summary of a run and its checks."""
    replica_share = {
        kind.value: run.replica_share(kind)[0]
        for kind in (OperationKind.LOOKUP, OperationKind.OWN_READ)
    }
    reasons = Counter(item.reason for item in run.operations if item.reason)
    return {
        "n_operations": len(run.operations),
        "n_answered": run.n_answered,
        "n_not_issued": run.n_not_issued,
        "replica_share": replica_share,
        "latency_p50_ms": run.latency.get_value_at_percentile(50) / 1_000,
        "latency_p99_ms": run.latency.get_value_at_percentile(99) / 1_000,
        "reasons": dict(reasons),
        "n_acknowledged": checks.n_acknowledged,
        "n_lost": len(checks.lost),
        "n_doubled": len(checks.doubled),
        "n_ran_despite_not_run": len(checks.ran_despite_not_run),
        "n_stale_reads": checks.n_stale_reads,
    }


async def _run(
    mix: Mix, settings: LoadSettings, groups: list[list[tuple[str, int]]]
) -> dict[str, object]:
    run = LoadRun(mix, settings)
    await run.run()
    counts: Counter[str] = Counter()
    for instances in groups:
        counts.update(await read_final_counts(instances))
    return summarize(run, check_history(run.operations, counts))


@click.command()
@click.option("--mix", type=click.Choice(sorted(MIXES)), default="kiti-bora")
@click.option("--entry-vm", "entry_vms", multiple=True, required=True)
@click.option(
    "--group",
    "groups",
    multiple=True,
    required=True,
    help="Addresses of a group's instances, with commas; once per database.",
)
@click.option("--rate", default=100.0, show_default=True, help="Operations/s.")
@click.option("--duration-s", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    mix: str,
    entry_vms: tuple[str, ...],
    groups: tuple[str, ...],
    rate: float,
    duration_s: float,
    seed: int,
) -> None:
    """Run callers against entry VMs, check the history, and print one JSON line."""
    settings = LoadSettings(
        entry_vms=[_parse_address(item) for item in entry_vms],
        rate=rate,
        duration_s=duration_s,
        seed=seed,
    )
    addresses = [[_parse_address(item) for item in text.split(",")] for text in groups]
    summary = asyncio.run(_run(MIXES[mix], settings, addresses))
    click.echo(msgspec.json.encode(summary))


if __name__ == "__main__":
    main()
