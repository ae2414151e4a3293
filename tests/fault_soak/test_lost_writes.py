"""A control log keeps after a loss of power what a process read from it before."""

import os
import random

import pytest
from cardamomshunt.consensus import Entry, EntryKind, Snapshot, Vote
from cardamomshunt.control import PersistEntries, PersistSnapshot, PersistVote
from cardamomshunt_node._log_storage import LogStorage
from synced_files import SyncedFiles


class _KilledError(BaseException):
    """Ends a write, as a kill of its process does."""


@pytest.fixture
def synced(tmp_path, monkeypatch):
    """Record the syncs of the log folder."""
    record = SyncedFiles(tmp_path / "log", tmp_path / "synced")
    for name in ("fsync", "fdatasync"):
        sync = getattr(os, name)

        def sync_and_record(descriptor, sync=sync):
            sync(descriptor)
            record.record_sync(descriptor)

        monkeypatch.setattr(os, name, sync_and_record)
    return record


def _kill_at_sync(monkeypatch, number):
    """Let a process end when it begins a sync of a number."""
    left = [number]

    def count_syncs(sync):
        def run(descriptor):
            left[0] -= 1
            if not left[0]:
                raise _KilledError
            sync(descriptor)

        return run

    for name in ("fsync", "fdatasync"):
        monkeypatch.setattr(os, name, count_syncs(getattr(os, name)))


def _read(folder):
    storage = LogStorage(folder)
    restored = storage.open(7).restored
    storage.close()
    return restored


def _entries(first, last, term=1):
    return [
        Entry(index, term, EntryKind.COMMAND, b"x" * 40)
        for index in range(first, last + 1)
    ]


_VOTE = PersistVote(sequence=2, vote=Vote(2, "b/8"))
_ENTRIES = PersistEntries(sequence=2, entries=_entries(4, 6))
_SNAPSHOT = PersistSnapshot(
    sequence=2,
    index=3,
    data=Snapshot(index=3, term=1).encode(),
    first_kept=3,
    is_reset=False,
)
_RESET = PersistSnapshot(
    sequence=2,
    index=9,
    data=Snapshot(index=9, term=1).encode(),
    first_kept=10,
    is_reset=True,
)


@pytest.mark.parametrize(
    ("write", "sync_number"),
    [
        pytest.param(_ENTRIES, 1, id="entries"),
        pytest.param(_VOTE, 1, id="vote"),
        pytest.param(_VOTE, 2, id="name-of-vote"),
        pytest.param(_SNAPSHOT, 1, id="snapshot"),
        pytest.param(_SNAPSHOT, 2, id="name-of-snapshot"),
        pytest.param(_RESET, 2, id="name-of-reset"),
        pytest.param(_RESET, 3, id="removed-segments"),
    ],
)
def test_what_a_start_reads_survives_a_loss_of_power(
    tmp_path, synced, monkeypatch, write, sync_number
):
    """Guards against votes and acknowledgements of data that no sync covers.

    A process that is killed in a write leaves it in the page cache, where the next one
    reads it.
    """
    folder = tmp_path / "log"
    storage = LogStorage(folder)
    storage.open(7)
    storage.write([PersistVote(sequence=1, vote=Vote(1, "a/7"))])
    storage.write([PersistEntries(sequence=1, entries=_entries(1, 3))])
    with monkeypatch.context() as patch:
        _kill_at_sync(patch, sync_number)
        with pytest.raises(_KilledError):
            storage.write([write])
    storage.close()
    read = _read(folder)
    synced.drop_unsynced(random.Random(1), 0.0)
    assert _read(folder) == read
