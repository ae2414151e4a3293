"""Run a daemon whose syncs take as long as the disk file of the soak says.

`python daemon_on_test_disk.py ROLE` runs `python -m cardamomshunt_platform ROLE`.
"""

import os
import random
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path

from soak_disks import DISK_FILE_VARIABLE, SYNC_SPREAD, read_disk_state

_STALL_POLL_S = 0.01


def wait_for_disk(disk_file: Path) -> None:
    """Wait as long as a sync takes now; a stalled disk ends no sync."""
    sync_ms = read_disk_state(disk_file).sync_ms
    time.sleep(sync_ms * random.uniform(1.0 - SYNC_SPREAD, 1.0 + SYNC_SPREAD) / 1_000.0)
    while time.monotonic() < read_disk_state(disk_file).stalled_until_s:
        time.sleep(_STALL_POLL_S)


def _delay_sync(sync: Callable[[int], None], disk_file: Path) -> Callable[[int], None]:
    def sync_late(descriptor: int) -> None:
        wait_for_disk(disk_file)
        sync(descriptor)

    return sync_late


def _run_daemon(role: str) -> None:
    disk_file = Path(os.environ[DISK_FILE_VARIABLE])
    os.fsync = _delay_sync(os.fsync, disk_file)
    os.fdatasync = _delay_sync(os.fdatasync, disk_file)
    sys.argv = ["cardamomshunt_platform", role]
    runpy.run_module("cardamomshunt_platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    _run_daemon(sys.argv[1])
