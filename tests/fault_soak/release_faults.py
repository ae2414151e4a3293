"""Planned replacements of the primary, beside entry VMs that freeze and wake."""

import asyncio
import random
import signal
import time
from collections.abc import Callable

from soak_deployment import SoakDeployment
from soak_processes import DaemonProcess

_PAUSE_S = (0.5, 4.0)
_FREEZE_SHARE = 0.7
# From well before the order to stop until the leases have ended.
_FREEZE_AHEAD_S = (0.0, 0.5)
_REPLACEMENT_TIMEOUT_S = 4.0
# The entry VM wakes between the call of the promotion and the new primary's service.
_WAKE_AFTER_CALL_S = (0.0, 0.2)
_POLL_S = 0.01


class ReleaseFaults:
    """Have the primary drained time and again, mostly with a frozen entry VM.

    The draws are its own, so that the other faults of a seed stay the same.
    """

    def __init__(
        self,
        seed: int,
        deployment: SoakDeployment,
        record_fault: Callable[[str], None],
    ) -> None:
        self._random = random.Random(f"{seed}/releases")
        self._deployment = deployment
        self._record_fault = record_fault

    async def run(self, end_s: float) -> None:
        """Begin releases until a time, one after another."""
        while time.monotonic() < end_s:
            await asyncio.sleep(self._random.uniform(*_PAUSE_S))
            await self._release_primary()

    async def _release_primary(self) -> None:
        former = self._deployment.group.primary
        entry = self._choose_entry()
        n_calls = len(self._deployment.provider.calls)
        if entry is not None:
            await self._freeze(entry)
        self._record_fault(f"release {former.name}")
        former.state = "draining"
        try:
            await self._wait_for_call(n_calls)
            await asyncio.sleep(self._random.uniform(*_WAKE_AFTER_CALL_S))
        finally:
            if entry is not None:
                self._wake(entry)
        await asyncio.sleep(1.0)
        former.state = "ready"

    def _choose_entry(self) -> DaemonProcess | None:
        """Choose an entry VM to freeze if others serve meanwhile."""
        serving = [
            item
            for item in self._deployment.entries
            if item.is_running and not item.is_paused and not item.stopping_since_s
        ]
        if len(serving) < 2 or self._random.random() >= _FREEZE_SHARE:
            return None
        return self._random.choice(serving)

    async def _freeze(self, entry: DaemonProcess) -> None:
        self._record_fault(f"freeze {entry.name}")
        entry.disrupted_until_s = float("inf")
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(*_FREEZE_AHEAD_S))

    def _wake(self, entry: DaemonProcess) -> None:
        self._record_fault(f"wake {entry.name}")
        entry.send_signal(signal.SIGCONT)
        entry.disrupted_until_s = time.monotonic()

    async def _wait_for_call(self, n_calls: int) -> None:
        """Wait until the provider is called, or for as long as a replacement takes."""
        end_s = time.monotonic() + _REPLACEMENT_TIMEOUT_S
        calls = self._deployment.provider.calls
        while len(calls) == n_calls and time.monotonic() < end_s:
            await asyncio.sleep(_POLL_S)
