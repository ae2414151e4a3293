"""Run a daemon whose syncs take as long as its disk file says, and are recorded.

`python daemon_on_test_disk.py ROLE` runs `python -m cardamomshunt_platform ROLE`.
"""

import os
import random
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path

from soak_disks import (
    DISK_FILE_VARIABLE,
    SYNC_SPREAD,
    read_disk_state,
    synced_files_of,
)

_STALL_POLL_S = 0.01


def wait_for_disk(disk_file: Path) -> None:
    """Wait as long as a sync takes now; a stalled disk ends no sync."""
    sync_ms = read_disk_state(disk_file).sync_ms
    time.sleep(sync_ms * random.uniform(1.0 - SYNC_SPREAD, 1.0 + SYNC_SPREAD) / 1_000.0)
    while time.monotonic() < read_disk_state(disk_file).stalled_until_s:
        time.sleep(_STALL_POLL_S)


def _wrap_sync(sync: Callable[[int], None], disk_file: Path) -> Callable[[int], None]:
    synced_files = synced_files_of(disk_file)

    def wrapped(descriptor: int) -> None:
        wait_for_disk(disk_file)
        sync(descriptor)
        synced_files.record_sync(descriptor)

    return wrapped


def _run_daemon(role: str) -> None:
    disk_file = Path(os.environ[DISK_FILE_VARIABLE])
    os.fsync = _wrap_sync(os.fsync, disk_file)
    os.fdatasync = _wrap_sync(os.fdatasync, disk_file)
    sys.argv = ["cardamomshunt_platform", role]
    runpy.run_module("cardamomshunt_platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    _run_daemon(sys.argv[1])
