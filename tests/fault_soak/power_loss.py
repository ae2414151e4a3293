"""Losses of power at all daemons, right after a confirmed change and repeated."""

import asyncio
import random

from disk_faults import STALL_S, SYNC_MS
from soak_callers import History
from soak_deployment import SoakDeployment
from soak_faults import FaultInjector

_REPLACED_SHARE = 0.5
_LOST_DISK_SHARE = 0.7
_DOWN_S = (0.1, 1.0)
_N_REPETITIONS = (0, 0, 1, 2)
_REPETITION_PAUSE_S = (0.5, 4.0)
_POLL_S = 0.002
# Steps from which on all disks are slow; an empty step never comes.
_SLOW_FROM = ("", "replacement", "change", "start")


class PowerLoss:
    """Kill all daemons at the same moment, after and beside faults of disks.

    The draws are its own, so that the other faults of a seed stay the same.
    """

    def __init__(
        self,
        seed: int,
        deployment: SoakDeployment,
        history: History,
        injector: FaultInjector,
    ) -> None:
        self._draws = random.Random(f"{seed}/power loss")
        self._deployment = deployment
        self._history = history
        self._injector = injector
        self._slow_from = self._draws.choice(_SLOW_FROM)
        self._sync_ms = self._draws.uniform(*SYNC_MS)
        self._stall_s = self._draws.choice((0.0, 0.0, self._draws.uniform(*STALL_S)))
        self._n_repetitions = self._draws.choice(_N_REPETITIONS)

    async def run(self) -> None:
        """Lose the power once as many control nodes count as may be lost."""
        self._slow_down_disks("replacement")
        await self._injector.wait_until_disk_may_be_lost()
        if self._draws.random() < _REPLACED_SHARE:
            await self._injector.replace_control(self._draws)
            await self._injector.wait_until_disk_may_be_lost()
        self._slow_down_disks("change")
        await self._wait_for_confirmed_change()
        version, _ = self._history.acknowledged[-1]
        self._kill_daemons(f"after version {version}")
        self._lose_disk()
        await asyncio.sleep(self._draws.uniform(*_DOWN_S))
        self._slow_down_disks("start")
        self._stall_disks()
        self._start_daemons()
        for _ in range(self._n_repetitions):
            await self._repeat()

    async def _repeat(self) -> None:
        """Lose the power again before or shortly after control has a leader."""
        await asyncio.sleep(self._draws.uniform(*_REPETITION_PAUSE_S))
        self._kill_daemons("again")
        await asyncio.sleep(self._draws.uniform(*_DOWN_S))
        self._start_daemons()

    def _start_daemons(self) -> None:
        for daemon in self._deployment.daemons.values():
            daemon.start()

    def _slow_down_disks(self, step: str) -> None:
        """Slow down all disks if the seed does so from a step on."""
        if step != self._slow_from:
            return
        self._injector.record_fault(f"syncs take {self._sync_ms:.0f} ms everywhere")
        for daemon in self._deployment.daemons.values():
            daemon.disk.slow_down(self._sync_ms)

    def _stall_disks(self) -> None:
        if not self._stall_s:
            return
        self._injector.record_fault(f"syncs stall for {self._stall_s:.1f} s everywhere")
        for daemon in self._deployment.daemons.values():
            daemon.disk.stall(self._stall_s)

    async def _wait_for_confirmed_change(self) -> None:
        n_acknowledged = len(self._history.acknowledged)
        while len(self._history.acknowledged) == n_acknowledged:
            await asyncio.sleep(_POLL_S)

    def _kill_daemons(self, occasion: str) -> None:
        self._injector.record_fault(f"kill all daemons {occasion}")
        self._injector.kill_daemons(list(self._deployment.daemons.values()))

    def _lose_disk(self) -> None:
        daemon = self._draws.choice(self._deployment.controls)
        if self._draws.random() < _LOST_DISK_SHARE:
            self._injector.record_fault(f"lose the disk of {daemon.name}")
            daemon.lose_disk()
