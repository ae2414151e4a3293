"""Random schedules of the control state machines for a stated time.

`python -m cardamomshunt_testing.soak --seconds 60 --first-seed 0` prints the number of
schedules, and each failing seed with the command that repeats it.
"""

import time
from dataclasses import dataclass, field

import click
from cardamomshunt.consensus import ConsensusOptions

from cardamomshunt_testing.control_schedules import Schedule, ScheduleOptions


def options_for(seed: int) -> ScheduleOptions:
    """Return the options of a seed, so that a seed alone repeats a schedule."""
    profiles = (
        ScheduleOptions(),
        ScheduleOptions(has_database=False),
        ScheduleOptions(fault_interval_ms=(50.0, 400.0)),
        ScheduleOptions(n_nodes=5, has_database=False),
        ScheduleOptions(sync_ms=(5.0, 60.0), has_database=False),
        ScheduleOptions(
            n_nodes=5,
            fault_interval_ms=(50.0, 400.0),
            has_database=False,
            consensus=ConsensusOptions(n_entries_per_message=1, chunk_size_bytes=200),
        ),
    )
    return profiles[seed % len(profiles)]


@dataclass(slots=True)
class SoakResult:
    """Count schedules, and hold the first violation of each failing seed."""

    n_schedules: int = 0
    n_patches: int = 0
    n_promotions: int = 0
    n_acknowledged: int = 0
    failures: dict[int, str] = field(default_factory=dict)

    def run(self, seed: int) -> None:
        """Run the schedule of a seed."""
        schedule = Schedule(seed, options_for(seed)).run_all()
        self.n_schedules += 1
        self.n_patches += schedule.n_accepted_patches
        self.n_promotions += schedule.group.n_promotions
        self.n_acknowledged += len(schedule.group.acknowledged)
        if schedule.violations:
            self.failures[seed] = schedule.violations[0]


@click.command()
@click.option("--seconds", default=120.0, show_default=True, help="Time to run.")
@click.option("--first-seed", default=10_000, show_default=True)
@click.option("--seed", default=None, type=int, help="Run only this seed.")
def main(seconds: float, first_seed: int, seed: int | None) -> None:
    """Run schedules until the time is up; fail if an invariant was violated."""
    result = SoakResult()
    started = time.monotonic()
    next_seed = first_seed if seed is None else seed
    while result.n_schedules == 0 or (
        seed is None and time.monotonic() - started < seconds
    ):
        result.run(next_seed)
        next_seed += 1
    click.echo(
        f"{result.n_schedules} schedules in {time.monotonic() - started:.0f} s "
        f"(seeds {first_seed if seed is None else seed} to {next_seed - 1}): "
        f"{result.n_patches} accepted patches, {result.n_promotions} promotions, "
        f"{result.n_acknowledged} acknowledged writes, {len(result.failures)} failures"
    )
    for failing, problem in result.failures.items():
        click.echo(f"seed {failing}: {problem}")
        click.echo(f"  python -m cardamomshunt_testing.soak --seed {failing}")
    if result.failures:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
