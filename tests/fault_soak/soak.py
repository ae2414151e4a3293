"""Inject random faults into the real daemons and check the guarantees to callers.

`python tests/fault_soak/soak.py --seeds 50 --first-seed 1` prints a line for each
seed. The logs and the list of faults of a seed remain in its folder.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import click

_FOLDER = Path(__file__).parent
sys.path[:0] = [str(_FOLDER), str(_FOLDER.parent / "users_platform")]

from power_loss import PowerLoss  # noqa: E402
from soak_callers import History, SoakCaller, SoakOperator  # noqa: E402
from soak_checks import check_all  # noqa: E402
from soak_deployment import SoakDeployment  # noqa: E402
from soak_faults import FaultInjector  # noqa: E402
from standin import KINDS  # noqa: E402

_N_CALLERS_PER_DATABASE = 3
# Share of transactions in which a caller rests before the commit.
_REST_SHARE = 0.5
_START_TIMEOUT_S = 25.0
_RECOVERY_TIMEOUT_S = 12.0
# A replacement with two waits for the control nodes to count, and a confirmed change.
_POWER_LOSS_TIMEOUT_S = 30.0


@dataclass
class SoakResult:
    """Violations, faults and counts of the run of one seed."""

    seed: int
    folder: Path
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    n_statements: int = 0
    n_acknowledged: int = 0
    n_promotions: int = 0
    # Time after the final loss of power, unless there is none or no recovery.
    recovery_s: float | None = None


class Soak:
    """Run a deployment with callers and inject the random faults of one seed."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        network: int,
        *,
        has_replacements: bool,
        has_teams: bool,
        has_disk_faults: bool,
        has_releases: bool,
    ) -> None:
        self._random = random.Random(seed)
        self._deployment = SoakDeployment(
            self._random, folder, network, has_teams=has_teams
        )
        self._history = History()
        self._injector = FaultInjector(
            seed,
            self._random,
            self._deployment,
            self._history,
            has_replacements=has_replacements,
            has_disk_faults=has_disk_faults,
            has_releases=has_releases,
        )
        self._has_releases = has_releases
        self._power_loss = PowerLoss(
            seed, self._deployment, self._history, self._injector
        )
        self._has_disk_faults = has_disk_faults
        self._callers: list[SoakCaller] = []
        self._operator = SoakOperator(
            self._history,
            self._random,
            self._deployment.control_addresses,
            has_teams=has_teams,
        )
        self.result = SoakResult(
            seed, folder, self._injector.violations, self._injector.faults
        )

    async def run(self, seconds: float) -> SoakResult:
        """Start the deployment, inject faults, wait for recovery, and check."""
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._run_until_recovery(seconds, tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._check()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._injector.cancel()
            await self._deployment.stop()
        return self.result

    async def _run_until_recovery(
        self, seconds: float, tasks: list[asyncio.Task[None]]
    ) -> None:
        """Inject faults and wait for recovery; record it if there is none in time."""
        try:
            await self._start(tasks)
            await self._injector.run(seconds)
            await self._injector.wait_for_end()
            self._deployment.restore()
            self._injector.record_fault("all faults removed")
            await self._check_recovery()
            if self._has_disk_faults:
                await self._lose_power()
        except TimeoutError as error:
            self.result.violations.append(
                f"RECOVER: {str(error) or 'no start in time'}"
            )

    async def _lose_power(self) -> None:
        try:
            async with asyncio.timeout(_POWER_LOSS_TIMEOUT_S):
                await self._power_loss.run()
        except TimeoutError as error:
            raise TimeoutError(
                "no confirmed change before the loss of power"
            ) from error
        self._injector.record_fault("all daemons started")
        started_s = time.monotonic()
        await self._check_recovery()
        self.result.recovery_s = time.monotonic() - started_s

    async def _start(self, tasks: list[asyncio.Task[None]]) -> None:
        deployment = self._deployment
        await deployment.start()
        tasks += [
            asyncio.create_task(deployment.send_reports(server))
            for server in deployment.group.servers
        ]
        async with asyncio.timeout(_START_TIMEOUT_S):
            await self._operator.put(1)
            for entry in deployment.entries:
                await deployment.wait_for_service(entry, "orders")
        tasks.append(asyncio.create_task(self._operator.run()))
        for database in KINDS:
            for _ in range(_N_CALLERS_PER_DATABASE):
                caller = SoakCaller(
                    self._history,
                    database,
                    random.Random(self._random.getrandbits(64)),
                    deployment.choose_entry,
                    _REST_SHARE if self._has_releases else 0.0,
                )
                self._callers.append(caller)
                tasks.append(asyncio.create_task(caller.run()))

    async def _check_recovery(self) -> None:
        """Wait until entry VMs serve each database, and control reads and changes."""
        await_change = partial(self._await_change, time.monotonic())
        steps = {
            "service": self._await_service,
            "readiness": self._await_readiness,
            "configuration": self._await_configuration,
            "confirmed change": await_change,
        }
        end_s = asyncio.get_running_loop().time() + _RECOVERY_TIMEOUT_S
        for name, step in steps.items():
            try:
                async with asyncio.timeout_at(end_s):
                    await step()
            except TimeoutError as error:
                raise TimeoutError(f"no {name} in time") from error

    async def _await_service(self) -> None:
        for entry in self._deployment.entries:
            for database in KINDS:
                await self._deployment.wait_for_service(entry, database)

    async def _await_readiness(self) -> None:
        entry = self._deployment.entries[0]
        while await self._deployment.readiness_status(entry) != 200:
            await asyncio.sleep(0.05)

    async def _await_configuration(self) -> None:
        while await self._operator.read() is None:
            await asyncio.sleep(0.05)

    async def _await_change(self, since_s: float) -> None:
        while not self._is_change_confirmed_since(since_s):
            await asyncio.sleep(0.05)

    def _is_change_confirmed_since(self, since_s: float) -> bool:
        """Return whether a change was confirmed after a time on the monotonic clock."""
        acknowledged = self._history.acknowledged
        return bool(acknowledged) and acknowledged[-1][1] > since_s

    def _check(self) -> None:
        result, deployment = self.result, self._deployment
        databases = {
            session: caller.database
            for caller in self._callers
            for session in caller.sessions
        }
        result.violations += check_all(
            self._history, deployment.group, deployment.provider, databases
        )
        result.n_statements = len(self._history.statements)
        result.n_acknowledged = len(self._history.acknowledged)
        result.n_promotions = len({token for _, token, _ in deployment.provider.calls})


async def run_seed(
    seed: int,
    seconds: float,
    network: int,
    folder: Path | None = None,
    *,
    has_replacements: bool = True,
    has_teams: bool = False,
    has_disk_faults: bool = True,
    has_releases: bool = True,
) -> SoakResult:
    """Run one seed on the loopback network 127.`network`.0.0/16.

    With `has_releases`, primaries are drained, and callers rest in transactions.
    """
    folder = folder or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(
        seed,
        folder,
        network,
        has_replacements=has_replacements,
        has_teams=has_teams,
        has_disk_faults=has_disk_faults,
        has_releases=has_releases,
    )
    result = await soak.run(seconds)
    (folder / "faults.txt").write_text("\n".join(result.faults), encoding="utf-8")
    return result


def _format_recovery(result: SoakResult) -> str:
    if result.recovery_s is None:
        return "no recovery"
    return f"recovery in {result.recovery_s:.1f} s"


async def _run_seeds(
    seeds: list[int], seconds: float, n_at_once: int, first_network: int
) -> list[SoakResult]:
    running = asyncio.current_task()
    assert running is not None
    # On SIGTERM, cancel the runs so that they stop their daemons, which are child
    # processes and would survive.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    networks = asyncio.Queue[int]()
    for number in range(n_at_once):
        networks.put_nowait(first_network + number)

    async def run(seed: int) -> SoakResult:
        network = await networks.get()
        try:
            # Half of the seeds have teams, so that sessions are forwarded.
            result = await run_seed(seed, seconds, network, has_teams=seed % 2 == 0)
        finally:
            networks.put_nowait(network)
        click.echo(
            f"seed {seed}: {result.n_statements} statements, "
            f"{len(result.faults)} faults, {result.n_promotions} promotions, "
            f"{result.n_acknowledged} configurations, "
            f"{_format_recovery(result)}, "
            f"{len(result.violations)} violations"
        )
        for violation in result.violations[:5]:
            click.echo(f"  {violation}")
        if result.violations:
            click.echo(f"  logs in {result.folder}")
        return result

    # A group waits for cancelled runs to stop their daemons, which gather doesn't.
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run(seed)) for seed in seeds]
    return [task.result() for task in tasks]


@click.command()
@click.option("--first-seed", default=1, show_default=True)
@click.option("--seeds", "n_seeds", default=10, show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Duration of faults.")
@click.option("--at-once", default=2, show_default=True, help="Seeds in parallel.")
@click.option("--network", default=100, show_default=True, help="First 127.N network.")
def main(
    first_seed: int, n_seeds: int, seconds: float, at_once: int, network: int
) -> None:
    """Run seeds; exit with 1 if a guarantee was violated."""
    seeds = list(range(first_seed, first_seed + n_seeds))
    results = asyncio.run(_run_seeds(seeds, seconds, at_once, network))
    failed = [result.seed for result in results if result.violations]
    click.echo(f"{len(results)} seeds, failed: {failed or 'none'}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
