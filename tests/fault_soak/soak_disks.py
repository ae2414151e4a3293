"""Disks of the daemons of a soak, with slow and stalled syncs, and losses of power."""

import os
import random
import shutil
import time
from dataclasses import dataclass
from pathlib import Path

from synced_files import SyncedFiles

DISK_FILE_VARIABLE = "SOAK_DISK_FILE"
# Share by which the duration of a sync varies.
SYNC_SPREAD = 0.3
_LOG_FOLDER_NAME = "log"
# Probabilities that a write reaches the disk although no sync covers it.
_KEPT_SHARES = (0.0, 0.0, 0.5)


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


def synced_files_of(disk_file: Path) -> SyncedFiles:
    """Return the record of the syncs of the control log beside a disk file."""
    log_folder = disk_file.with_suffix("") / _LOG_FOLDER_NAME
    return SyncedFiles(log_folder, disk_file.with_suffix(".synced"))


class SoakDisk:
    """The disk of one daemon: its data folder, and how long its syncs take."""

    __slots__ = ("data_folder", "path", "state")

    def __init__(self, data_folder: Path) -> None:
        self.data_folder = data_folder
        self.path = data_folder.with_suffix(".disk")
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

    def lose(self) -> None:
        """Remove the data."""
        shutil.rmtree(self.data_folder, ignore_errors=True)
        synced_files_of(self.path).clear()

    def lose_power(self, draws: random.Random) -> list[str]:
        """Drop what was not synced of a control log, all or a part; return that."""
        kept_share = draws.choice(_KEPT_SHARES)
        return synced_files_of(self.path).drop_unsynced(draws, kept_share)

    def _write(self, state: DiskState) -> None:
        self.state = state
        temporary = self.path.with_suffix(".new")
        text = f"{state.sync_ms} {state.stalled_until_s}"
        temporary.write_text(text, encoding="ascii")
        os.replace(temporary, self.path)
