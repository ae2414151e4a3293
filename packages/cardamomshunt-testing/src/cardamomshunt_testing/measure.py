"""Measurements of `make measure`: JSON lines on stdout, plots in measurements/.

The entry VMs run on one machine with everything else, so there are fewer of them than
at the sizes of the design page (`--entry-vms`), and delays between zones are simulated.
"""

import asyncio
import sys
from pathlib import Path

import asyncmy.errors
import click

from cardamomshunt_testing._load_mixes import MIXES, Mix
from cardamomshunt_testing._measure_failover import run_failover
from cardamomshunt_testing._measure_load import (
    SERVICE_TIME_MS,
    run_lagging,
    run_normal,
    run_overload,
)
from cardamomshunt_testing._measure_overhead import run_overhead
from cardamomshunt_testing._measure_plot import save_plot
from cardamomshunt_testing._measure_rows import Row, RowWriter
from cardamomshunt_testing._site import Site, SiteError

SYSTEMS = ("cardamomshunt", "naive-primary", "naive-split")
SCENARIOS = ("proxy-overhead", "normal", "lagging", "overload", "failover")
_LOAD_S = 4.0
_FAILOVER_S = {"cardamomshunt": 28.0, "naive-primary": 1.0, "naive-split": 1.0}
# Without other scenarios there is time for 20 runs of each fault.
_FAILOVER_ONLY_S = 110.0
_N_FAILOVER_RUNS_MAX = 20
# A killed instance has to rejoin within seconds, before the next run.
_REJOIN_QUARANTINE_MS = 500.0
_ERRORS = (SiteError, OSError, TimeoutError, RuntimeError, asyncmy.errors.Error)


async def _run_scenario(
    site: Site, rows: list[Row], scenario: str, seed: int, *, is_only_scenario: bool
) -> None:
    writer = RowWriter(rows, site.mix.name, site.system, scenario)
    if scenario == "normal":
        await run_normal(site, writer, seed, _LOAD_S)
    elif scenario == "lagging":
        await run_lagging(site, writer, seed, _LOAD_S)
    elif scenario == "overload":
        await run_overload(site, writer, seed, _LOAD_S)
    elif scenario == "proxy-overhead":
        await run_overhead(site, writer, seed)
    else:
        duration_s = _FAILOVER_S[site.system]
        if is_only_scenario and site.system == "cardamomshunt":
            duration_s = _FAILOVER_ONLY_S
        deadline_s = asyncio.get_running_loop().time() + duration_s
        await run_failover(site, writer, seed, deadline_s, _N_FAILOVER_RUNS_MAX)


async def _run_site(
    mix: Mix,
    system: str,
    scenarios: list[str],
    rows: list[Row],
    seed: int,
    n_entry_vms: int,
) -> list[str]:
    site = Site(
        mix,
        system=system,
        n_entry_vms=n_entry_vms,
        service_time_ms=SERVICE_TIME_MS,
        rejoin_quarantine_ms=_REJOIN_QUARANTINE_MS,
    )
    failures = []
    try:
        await site.start()
        for index, scenario in enumerate(scenarios):
            try:
                await _run_scenario(
                    site,
                    rows,
                    scenario,
                    seed + 1_000 * index,
                    is_only_scenario=len(scenarios) == 1,
                )
            except _ERRORS as error:
                failures.append(f"{mix.name} {system} {scenario}: {error!r}")
    except SiteError as error:
        failures.append(f"{mix.name} {system}: {error}")
    finally:
        await site.stop()
    return failures


async def run_all(
    scenarios: list[str], systems: list[str], seed: int, n_entry_vms: int
) -> tuple[list[Row], list[str]]:
    """Measure all sizes and systems; return the rows and a message per failure."""
    rows: list[Row] = []
    failures = []
    for mix in MIXES.values():
        for system in systems:
            failures += await _run_site(mix, system, scenarios, rows, seed, n_entry_vms)
    return rows, failures


@click.command()
@click.option("--only", type=click.Choice(SCENARIOS), help="Run one scenario only.")
@click.option("--system", type=click.Choice(SYSTEMS), help="Run one system only.")
@click.option("--seed", default=1, show_default=True)
@click.option("--entry-vms", default=3, show_default=True)
def main(only: str | None, system: str | None, seed: int, entry_vms: int) -> None:
    """Measure all sizes, systems and scenarios."""
    scenarios = [only] if only else list(SCENARIOS)
    systems = [system] if system else list(SYSTEMS)
    rows, failures = asyncio.run(run_all(scenarios, systems, seed, entry_vms))
    if rows:
        save_plot(rows, Path("measurements"))
    for failure in failures:
        print(failure, file=sys.stderr)
    if failures:
        sys.exit(1)


if __name__ == "__main__":
    main()
