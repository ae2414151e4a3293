"""Disks of the daemons of a soak, whose syncs can be slow or stall."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

DISK_FILE_VARIABLE = "SOAK_DISK_FILE"
# Share by which the duration of a sync varies.
SYNC_SPREAD = 0.3


@dataclass(frozen=True, slots=True)
class DiskState:
    """Duration of a sync, and until when no sync ends, on the monotonic clock."""

    sync_ms: float = 0.0
    stalled_until_s: float = 0.0


def read_disk_state(path: Path) -> DiskState:
    """Return the state in a file; a missing file is a disk without faults."""
    try:
        sync_ms, stalled_until_s = path.read_text(encoding="ascii").split()
    except FileNotFoundError:
        return DiskState()
    return DiskState(float(sync_ms), float(stalled_until_s))


class SoakDisk:
    """Set how long the syncs of one daemon take, also while it runs."""

    __slots__ = ("path", "state")

    def __init__(self, path: Path) -> None:
        self.path = path
        self.state = DiskState()

    def slow_down(self, sync_ms: float) -> None:
        """Make each later sync take a time; 0 ends that."""
        self._write(DiskState(sync_ms, self.state.stalled_until_s))

    def stall(self, duration_s: float) -> None:
        """Let no sync end for a time."""
        self._write(DiskState(self.state.sync_ms, time.monotonic() + duration_s))

    def copy_faults(self, other: "SoakDisk") -> None:
        """Take over the faults of another disk."""
        self._write(other.state)

    def restore(self) -> None:
        """End all faults."""
        self._write(DiskState())

    def _write(self, state: DiskState) -> None:
        self.state = state
        temporary = self.path.with_suffix(".new")
        text = f"{state.sync_ms} {state.stalled_until_s}"
        temporary.write_text(text, encoding="ascii")
        os.replace(temporary, self.path)
