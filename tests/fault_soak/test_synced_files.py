"""Tests of the loss of power that the soak plays on data folders."""

import os
import random

import pytest
from synced_files import SyncedFiles


@pytest.fixture
def data_folder(tmp_path):
    """Return an empty data folder."""
    folder = tmp_path / "data"
    folder.mkdir()
    return folder


@pytest.fixture
def synced(data_folder):
    """Return the record of what the syncs of the data folder cover."""
    return SyncedFiles(data_folder, data_folder.with_suffix(".synced"))


def _sync(synced, path):
    descriptor = os.open(path, os.O_RDONLY)
    synced.record_sync(descriptor)
    os.close(descriptor)


def _append(path, text):
    with path.open("a") as file:
        file.write(text)


def _drop_all(synced):
    return synced.drop_unsynced(random.Random(1), 0.0)


def test_bytes_after_the_last_sync_are_dropped(data_folder, synced):
    """Guards against a loss of power that keeps what was not synced."""
    path = data_folder / "log"
    _append(path, "synced")
    _sync(synced, path)
    _append(path, " and not")
    assert _drop_all(synced) == ["8 bytes of log"]
    assert path.read_text() == "synced"
    assert _drop_all(synced) == []


def test_a_write_is_torn_at_any_point(data_folder, synced):
    """Guards against losses of power that keep whole writes only."""
    path = data_folder / "log"
    _sync_new_file(synced, path)
    found = set()
    for seed in range(50):
        _append(path, "abc")
        synced.drop_unsynced(random.Random(seed), 0.3)
        found.add(path.read_text())
        path.write_text("")
        _sync(synced, path)
    assert found == {"", "a", "ab", "abc"}


def _sync_new_file(synced, path):
    path.touch()
    _sync(synced, path)


@pytest.mark.parametrize(
    ("is_folder_synced", "expected"), [(False, "old"), (True, "new")]
)
def test_a_replaced_file_needs_a_sync_of_the_folder(
    data_folder, synced, is_folder_synced, expected
):
    """Guards against a loss of power that keeps names which were not synced."""
    path, temporary = data_folder / "vote", data_folder / "vote.tmp"
    _append(path, "old")
    _sync(synced, path)
    _append(temporary, "new")
    _sync(synced, temporary)
    temporary.rename(path)
    if is_folder_synced:
        _sync(synced, data_folder)
    _drop_all(synced)
    assert path.read_text() == expected


def test_a_removed_file_returns_unless_the_folder_was_synced(data_folder, synced):
    """Guards against a loss of power that keeps a removal which was not synced."""
    path = data_folder / "log"
    _append(path, "synced")
    _sync(synced, path)
    path.unlink()
    _drop_all(synced)
    assert path.read_text() == "synced"
    path.unlink()
    _sync(synced, data_folder)
    _drop_all(synced)
    assert not path.exists()


def test_a_new_file_without_a_sync_is_dropped(data_folder, synced):
    """Guards against a loss of power that keeps a file which was never synced."""
    (data_folder / "log").touch()
    _drop_all(synced)
    assert list(data_folder.iterdir()) == []


def test_what_a_loss_of_power_kept_remains(data_folder, synced):
    """Guards against a second loss of power that drops what the first one showed."""
    path = data_folder / "log"
    _append(path, "kept")
    synced.drop_unsynced(random.Random(1), 1.0)
    _drop_all(synced)
    assert path.read_text() == "kept"
