"""The room on a disk, from the stated size and from the file system."""

import os
from pathlib import Path

import pytest
from cardamomshunt_node._disk_room import DiskRoom


@pytest.mark.parametrize(
    ("size_bytes", "free_bytes"), [(10_000, 7_000), (3_000, 0), (2_000, 0)]
)
def test_the_stated_size_bounds_the_room(
    tmp_path: Path, size_bytes: int, free_bytes: int
) -> None:
    """Guards against a log that outgrows a disk smaller than its file system."""
    (tmp_path / "log").mkdir()
    (tmp_path / "log" / "a").write_bytes(bytes(1_000))
    (tmp_path / "b").write_bytes(bytes(2_000))
    assert DiskRoom(tmp_path, size_bytes).free_bytes() == free_bytes


def test_the_file_system_tells_without_a_size(tmp_path: Path) -> None:
    """Guards against a disk of unknown size that counts as full."""
    found = os.statvfs(tmp_path)
    free_bytes = DiskRoom(tmp_path, 0).free_bytes()
    assert free_bytes is not None
    assert 0 < free_bytes <= found.f_blocks * found.f_frsize


def test_a_file_system_that_does_not_tell_is_no_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against changes that are refused where the call is not supported."""

    def fail(path: Path) -> os.statvfs_result:
        raise OSError("not supported")

    monkeypatch.setattr(os, "statvfs", fail)
    assert DiskRoom(tmp_path, 0).free_bytes() is None
    assert DiskRoom(tmp_path, 1_000).free_bytes() == 1_000
