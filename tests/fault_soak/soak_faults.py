"""Random faults of one seed, injected into the deployment of a soak."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine

from disk_faults import DiskFaults
from release_faults import ReleaseFaults
from server_faults import ServerFaults, wait_for_fault_end
from soak_callers import History
from soak_checks import check_planned_stop
from soak_deployment import SoakDeployment
from soak_processes import STOP_TIMEOUT_S, DaemonProcess

_FAULT_INTERVAL_S = (0.15, 1.1)
# Time in which a control node counts again after a start, whatever its disk holds.
# Another disk is lost only after that.
_CATCH_UP_S = 4.0
_REPLACEMENT_PAUSE_S = (0.5, 3.0)
_N_ENTRIES_MIN = 1
# Kills keep what was written, unless they stand for a loss of power.
_POWER_LOSS_SHARE = 0.5


class FaultInjector:
    """Draw faults and run them side by side; record them, and what they violate."""

    def __init__(
        self,
        seed: int,
        draws: random.Random,
        deployment: SoakDeployment,
        history: History,
        *,
        has_replacements: bool,
        has_disk_faults: bool,
        has_releases: bool,
    ) -> None:
        self.faults: list[str] = []
        self.violations: list[str] = []
        self._seed = seed
        self._random = draws
        self._deployment = deployment
        self._history = history
        self._has_replacements = has_replacements
        self._has_disk_faults = has_disk_faults
        self._has_releases = has_releases
        # Own draws, so that the other faults of a seed stay the same.
        self._power_draws = random.Random(f"{seed}/lost writes")
        # Other faults spare the control nodes while disks are lost one after another.
        self._are_controls_spared = False
        self._is_losing_disk = False
        self._n_controls = len(deployment.controls)
        self._pending: set[asyncio.Task[None]] = set()
        self._started_s = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Inject faults for a time; those that have begun may go on after it."""
        self._started_s = time.monotonic()
        await self._inject_faults(seconds)

    async def wait_for_end(self) -> None:
        """Wait until all faults have ended."""
        if self._pending:
            await asyncio.gather(*self._pending, return_exceptions=False)

    async def cancel(self) -> None:
        """End all faults now."""
        for task in self._pending:
            task.cancel()
        await asyncio.gather(*self._pending, return_exceptions=True)

    async def _inject_faults(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        servers = ServerFaults(self._random, self._deployment, self.record_fault)
        faults: list[Callable[[], Coroutine[None, None, None]]] = [
            self._fault_kill,
            self._fault_kill,
            self._fault_pause,
            self._fault_pause,
            self._fault_planned_stop,
            self._fault_planned_stop,
            self._fault_reload,
            self._fault_kill_all_controls,
            self._fault_lost_disk,
            self._fault_full_disk,
            servers.disrupt_link,
            servers.disrupt_link,
            servers.reset_connections,
            servers.freeze_server,
            servers.freeze_server,
            servers.delay_replication,
            servers.lose_answers,
            servers.disrupt_provider,
        ]
        if self._has_replacements:
            self._start_fault(self._replace_controls(end_s))
        if self._has_disk_faults:
            disks = DiskFaults(self._seed, self._deployment, self.record_fault)
            self._start_fault(disks.run(end_s))
        if self._has_releases:
            releases = ReleaseFaults(self._seed, self._deployment, self.record_fault)
            self._start_fault(releases.run(end_s))
        while time.monotonic() < end_s:
            await asyncio.sleep(self._random.uniform(*_FAULT_INTERVAL_S))
            self._start_fault(self._random.choice(faults)())

    def _start_fault(self, fault: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(fault)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    def record_fault(self, text: str) -> None:
        """Record what happens, with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self.faults.append(f"{elapsed_s:7.3f} {text}")

    def _choose_daemon(self) -> DaemonProcess | None:
        """Choose a running daemon; at least one entry VM remains in service."""
        candidates = [
            item for item in self._deployment.daemons.values() if item.is_running
        ]
        serving = [
            item
            for item in self._deployment.entries
            if item.is_running and not item.is_paused
        ]
        if len(serving) <= _N_ENTRIES_MIN:
            candidates = [item for item in candidates if item.role == "control"]
        if self._are_controls_spared:
            candidates = [item for item in candidates if item.role != "control"]
        return self._random.choice(candidates) if candidates else None

    async def _fault_kill(self) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            return
        self.record_fault(f"kill {daemon.name}")
        daemon.disrupted_until_s = float("inf")
        self.kill_daemons([daemon])
        await wait_for_fault_end(self._random)
        daemon.start()
        daemon.disrupted_until_s = time.monotonic()

    async def _fault_pause(self) -> None:
        daemon = self._choose_daemon()
        if daemon is None or daemon.is_paused:
            return
        self.record_fault(f"pause {daemon.name}")
        daemon.disrupted_until_s = float("inf")
        daemon.send_signal(signal.SIGSTOP)
        await wait_for_fault_end(self._random)
        daemon.send_signal(signal.SIGCONT)
        daemon.disrupted_until_s = time.monotonic()

    async def _fault_planned_stop(self) -> None:
        daemon = self._choose_daemon()
        if daemon is None or daemon.is_paused or daemon.stopping_since_s:
            return
        self.record_fault(f"stop {daemon.name}")
        started_s = daemon.stopping_since_s = time.monotonic()
        is_undisrupted = daemon.disrupted_until_s < started_s
        daemon.send_signal(signal.SIGTERM)
        while daemon.is_running and time.monotonic() < started_s + STOP_TIMEOUT_S:
            await asyncio.sleep(0.05)
        if daemon.is_running:
            daemon.kill()
        ended_s = time.monotonic()
        is_undisrupted = is_undisrupted and daemon.disrupted_until_s < started_s
        if is_undisrupted and daemon.role == "entry":
            self.violations += check_planned_stop(
                self._history, daemon.name, started_s, ended_s
            )
        daemon.start()

    async def _fault_reload(self) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            self.record_fault(f"reload {daemon.name}")
            daemon.write_settings()
            daemon.send_signal(signal.SIGHUP)

    async def _fault_kill_all_controls(self) -> None:
        if self._are_controls_spared:
            return
        self.record_fault("kill all control nodes")
        self.kill_daemons(self._deployment.controls)
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        for daemon in self._deployment.controls:
            daemon.start()

    def kill_daemons(self, daemons: list[DaemonProcess]) -> None:
        """Kill daemons at the same moment, or cut their power with faults of disks."""
        for daemon in daemons:
            daemon.send_signal(signal.SIGKILL)
        for daemon in daemons:
            daemon.kill()
        if self._has_disk_faults and self._power_draws.random() < _POWER_LOSS_SHARE:
            self._lose_power(daemons)

    def _lose_power(self, daemons: list[DaemonProcess]) -> None:
        """Drop what the daemons have not synced."""
        self.record_fault("the power is lost")
        for daemon in daemons:
            if dropped := daemon.disk.lose_power(self._power_draws):
                self.record_fault(f"{daemon.name} loses {', '.join(dropped)}")

    def _may_lose_disk(self) -> bool:
        """Return whether all control nodes have had the time to count again.

        A node that was killed, paused, full or stalled counts as lost for as long after
        that.
        """
        if self._is_losing_disk:
            return False
        undisturbed_since_s = max(
            item.undisturbed_since_s for item in self._deployment.controls
        )
        return time.monotonic() >= undisturbed_since_s + _CATCH_UP_S

    async def wait_until_disk_may_be_lost(self) -> None:
        """Return once another disk may be lost."""
        while not self._may_lose_disk():
            await asyncio.sleep(0.05)

    async def _replace_controls(self, end_s: float) -> None:
        """Lose the disks of control nodes one after another, as soon as allowed.

        The draws are its own, so that the other faults of a seed stay the same.
        """
        draws = random.Random(f"{self._seed}/replacements")
        while time.monotonic() < end_s:
            await asyncio.sleep(draws.uniform(*_REPLACEMENT_PAUSE_S))
            self._are_controls_spared = True
            for _ in range(draws.randint(1, 3)):
                await self.wait_until_disk_may_be_lost()
                await self.replace_control(draws)
            await self.wait_until_disk_may_be_lost()
            self._are_controls_spared = False

    async def replace_control(self, draws: random.Random) -> None:
        """Lose a control node; a successor at another address starts a while later."""
        self._is_losing_disk = True
        lost = draws.choice(self._deployment.controls)
        self._n_controls += 1
        self.record_fault(f"replace {lost.name} by control-{self._n_controls}")
        lost.is_removed = True
        lost.kill()
        del self._deployment.daemons[lost.name]
        self._deployment.update_control_addresses()
        await asyncio.sleep(draws.uniform(0.1, 2.0))
        host = f"127.{self._deployment.network}.1.{self._n_controls}"
        seeds = list(self._deployment.control_addresses)
        successor = self._deployment.add_daemon(
            "control", host, self._n_controls, seeds, lost.zone
        )
        # Only the first nodes may form a group.
        successor.n_starts = 1
        successor.disk.copy_faults(lost.disk)
        successor.start()
        self._deployment.update_control_addresses()
        self._is_losing_disk = False

    async def _fault_lost_disk(self) -> None:
        """Remove the data of one control node, unless another may be catching up."""
        if not self._may_lose_disk():
            return
        self._is_losing_disk = True
        daemon = self._random.choice(self._deployment.controls)
        self.record_fault(f"lose the disk of {daemon.name}")
        daemon.kill()
        daemon.lose_disk()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        daemon.start()
        self._is_losing_disk = False

    async def _fault_full_disk(self) -> None:
        daemon = self._random.choice(self._deployment.controls)
        if self._are_controls_spared:
            return
        self.record_fault(f"fill the disk of {daemon.name}")
        daemon.disrupted_until_s = float("inf")
        daemon.limit_file_size(0)
        await wait_for_fault_end(self._random)
        daemon.limit_file_size(-1)
        daemon.disrupted_until_s = time.monotonic()
