"""Tests of the slow and stalled syncs of the soak."""

import time

import pytest
from daemon_on_test_disk import wait_for_disk
from soak_disks import SYNC_SPREAD, SoakDisk


@pytest.fixture
def disk(tmp_path):
    """Return the disk of a daemon."""
    return SoakDisk(tmp_path / "control-1")


def _measure_wait_s(disk):
    started_s = time.monotonic()
    wait_for_disk(disk.path)
    return time.monotonic() - started_s


def _slow_down(disk):
    disk.slow_down(100.0)


def _stall(disk):
    disk.stall(0.1)


def _slow_down_and_stall(disk):
    disk.slow_down(10.0)
    disk.stall(0.1)


def _stall_and_slow_down(disk):
    disk.stall(0.1)
    disk.slow_down(10.0)


def _copy_a_slow_disk(disk):
    slow = SoakDisk(disk.data_folder.with_name("control-2"))
    slow.slow_down(100.0)
    disk.copy_faults(slow)


@pytest.mark.parametrize(
    "fault",
    [_slow_down, _stall, _slow_down_and_stall, _stall_and_slow_down, _copy_a_slow_disk],
)
def test_a_sync_takes_the_time_of_its_disk_until_restored(disk, fault):
    """Guards against faults of disks that delay no sync, or never end."""
    fault(disk)
    assert _measure_wait_s(disk) > 0.1 * (1.0 - SYNC_SPREAD) - 0.01
    disk.restore()
    assert _measure_wait_s(disk) < 0.05


def test_a_disk_without_faults_delays_no_sync(disk):
    """Guards against daemons that fail on a disk to which no fault has come."""
    assert _measure_wait_s(disk) < 0.05
