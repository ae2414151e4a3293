"""Random faults of the disks of control nodes: slow and stalled syncs."""

import asyncio
import random
import time
from collections.abc import Callable

from soak_deployment import SoakDeployment
from soak_processes import DaemonProcess

SYNC_MS = (50.0, 500.0)
STALL_S = (1.0, 3.0)
_SLOW_S = (1.0, 4.0)
_SLOW_PAUSE_S = (0.5, 4.0)
_STALL_PAUSE_S = (1.0, 6.0)


class DiskFaults:
    """Make the syncs of one or all control nodes slow, or stall, time and again.

    The draws are its own, so that the other faults of a seed stay the same.
    """

    def __init__(
        self,
        seed: int,
        deployment: SoakDeployment,
        record_fault: Callable[[str], None],
    ) -> None:
        self._slow_draws = random.Random(f"{seed}/slow disks")
        self._stall_draws = random.Random(f"{seed}/stalled disks")
        self._deployment = deployment
        self._record_fault = record_fault

    async def run(self, end_s: float) -> None:
        """Begin faults until a time; slow and stalled syncs overlap."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._slow_down_disks(end_s))
            group.create_task(self._stall_disks(end_s))

    async def _slow_down_disks(self, end_s: float) -> None:
        draws = self._slow_draws
        await asyncio.sleep(draws.uniform(*_SLOW_PAUSE_S))
        while time.monotonic() < end_s:
            chosen = self._choose_controls(draws)
            sync_ms = draws.uniform(*SYNC_MS)
            self._record(f"syncs take {sync_ms:.0f} ms", chosen)
            for daemon in chosen:
                daemon.disk.slow_down(sync_ms)
            await asyncio.sleep(draws.uniform(*_SLOW_S))
            # A successor takes over the speed of the disk that it replaces.
            for daemon in [*chosen, *self._deployment.controls]:
                daemon.disk.slow_down(0.0)
            await asyncio.sleep(draws.uniform(*_SLOW_PAUSE_S))

    async def _stall_disks(self, end_s: float) -> None:
        draws = self._stall_draws
        await asyncio.sleep(draws.uniform(*_STALL_PAUSE_S))
        while time.monotonic() < end_s:
            chosen = self._choose_controls(draws)
            duration_s = draws.uniform(*STALL_S)
            self._record(f"syncs stall for {duration_s:.1f} s", chosen)
            for daemon in chosen:
                daemon.disk.stall(duration_s)
            await asyncio.sleep(duration_s + draws.uniform(*_STALL_PAUSE_S))

    def _choose_controls(self, draws: random.Random) -> list[DaemonProcess]:
        controls = self._deployment.controls
        if draws.random() < 0.5:
            return controls
        return [draws.choice(controls)]

    def _record(self, text: str, chosen: list[DaemonProcess]) -> None:
        names = ", ".join(daemon.name for daemon in chosen)
        self._record_fault(f"{text} at {names}")
