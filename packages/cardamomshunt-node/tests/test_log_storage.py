"""The data folder retains synced data, truncates torn tails and reports damage."""

import errno
import os
import stat
import time
from pathlib import Path

import pytest
from cardamomshunt.consensus import Entry, EntryKind, Member, Snapshot, Vote
from cardamomshunt.control import (
    ControlNode,
    ControlState,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
)
from cardamomshunt_node._log_storage import (
    LogStorage,
    OpenedStorage,
    StorageCorruptError,
    StorageFullError,
)


def _entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [
        Entry(index, term, EntryKind.COMMAND, b"x" * 40)
        for index in range(first, last + 1)
    ]


def _open(folder: Path) -> tuple[LogStorage, OpenedStorage]:
    storage = LogStorage(folder)
    return storage, storage.open(7)


def _written_storage(folder: Path) -> LogStorage:
    storage, _ = _open(folder)
    storage.write([PersistVote(sequence=1, vote=Vote(1, "a/7"))])
    for index in (1, 4, 7):
        effect = PersistEntries(sequence=index + 1, entries=_entries(index, index + 2))
        storage.write([effect])
    return storage


def _segment(folder: Path) -> Path:
    return sorted(folder.glob("*.segment"))[-1]


def test_reopens_what_was_written(tmp_path: Path) -> None:
    """Guards against losing the vote, entries or identity in a restart."""
    _written_storage(tmp_path).close()
    storage, opened = _open(tmp_path)
    assert opened.restored.vote == Vote(1, "a/7")
    assert opened.restored.entries == _entries(1, 9)
    assert not opened.is_blank
    storage.close()


def test_later_entries_replace_earlier_ones(tmp_path: Path) -> None:
    """Guards against entries of a former leader that reappear after a restart."""
    storage = _written_storage(tmp_path)
    storage.write([PersistVote(sequence=9, vote=Vote(2, ""))])
    storage.write([PersistEntries(sequence=10, entries=_entries(5, 6, term=2))])
    storage.close()
    storage, opened = _open(tmp_path)
    assert opened.restored.entries == _entries(1, 4) + _entries(5, 6, term=2)
    storage.close()


def test_torn_tail_is_truncated_at_every_offset(tmp_path: Path) -> None:
    """Guards against a failed restart after a crash at any byte of the last write."""
    _written_storage(tmp_path).close()
    path = _segment(tmp_path)
    data = path.read_bytes()
    third = data.rfind(b"CSR1")
    for size in range(third + 1, len(data)):
        path.write_bytes(data[:size])
        storage, opened = _open(tmp_path)
        assert opened.restored.entries == _entries(1, 6)
        assert f"offset {third}" in opened.truncated_tail
        storage.close()
        assert path.stat().st_size == third


@pytest.mark.parametrize("name", ["segment", "vote", "identity", "snapshot"])
def test_damage_is_reported_with_file_and_offset(tmp_path: Path, name: str) -> None:
    """Guards against a node that votes although its data is damaged."""
    storage = _written_storage(tmp_path)
    data = Snapshot(index=2, term=1).encode()
    effect = PersistSnapshot(
        sequence=9, index=2, data=data, first_kept=1, is_reset=False
    )
    storage.write([effect])
    storage.close()
    path = _segment(tmp_path) if name == "segment" else tmp_path / name
    damaged = bytearray(path.read_bytes())
    damaged[14] ^= 1
    path.write_bytes(bytes(damaged))
    with pytest.raises(StorageCorruptError) as caught:
        LogStorage(tmp_path).open(7)
    assert str(path) in str(caught.value)
    assert caught.value.offset == 0


@pytest.mark.parametrize("name", ["vote", "identity"])
def test_missing_file_is_reported(tmp_path: Path, name: str) -> None:
    """Guards against a second vote in one term after a part of the folder was lost."""
    _written_storage(tmp_path).close()
    (tmp_path / name).unlink()
    with pytest.raises(StorageCorruptError):
        LogStorage(tmp_path).open(7)


def test_reset_drops_the_old_log_even_after_a_crash(tmp_path: Path) -> None:
    """Guards against old entries after an installed snapshot.

    They remain if the process crashes before it has deleted the old segments.
    """
    storage = _written_storage(tmp_path)
    old = {path: path.read_bytes() for path in tmp_path.glob("*.segment")}
    data = Snapshot(index=5, term=1).encode()
    reset = PersistSnapshot(sequence=9, index=5, data=data, first_kept=6, is_reset=True)
    storage.write([reset])
    storage.close()
    for path, content in old.items():
        path.write_bytes(content)
    storage, opened = _open(tmp_path)
    assert opened.restored.snapshot.index == 5
    assert opened.restored.entries == []
    storage.close()


def test_write_is_retried_after_a_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a torn record before later ones after a write to a full disk."""
    storage = _written_storage(tmp_path)
    real_write = os.write

    def write(descriptor: int, data: bytes) -> int:
        real_write(descriptor, bytes(data)[:5])
        raise OSError(errno.ENOSPC, "no space left")

    effect = PersistEntries(sequence=9, entries=_entries(10, 11))
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write)
        with pytest.raises(StorageFullError):
            storage.write([effect])
    assert storage.write([effect]) == 9
    storage.close()
    storage, opened = _open(tmp_path)
    assert opened.restored.entries == _entries(1, 11)
    storage.close()


@pytest.mark.parametrize("levels", [("log",), ("node", "data", "log")])
@pytest.mark.parametrize("is_created_before", [False, True])
def test_a_new_folder_is_durable(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    levels: tuple[str, ...],
    is_created_before: bool,
) -> None:
    # Guards against a power loss that removes the folder with the votes and entries in
    # it, also if a former process ended after it had created the folder.
    folder = tmp_path.joinpath(*levels)
    if is_created_before:
        folder.mkdir(parents=True)
    synced: list[int] = []
    real_fsync = os.fsync

    def record(descriptor: int) -> None:
        synced.append(os.fstat(descriptor).st_ino)
        real_fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    storage = LogStorage(folder)
    storage.open(1)
    storage.close()
    created = (
        [folder] if is_created_before else [folder, *folder.parents][: len(levels)]
    )
    parents = [item.parent.stat().st_ino for item in created]
    # The folder is durable before the first file in it is.
    assert set(parents) <= set(synced[: synced.index(folder.stat().st_ino)])
    # A slow disk delays the node's start by each sync: one for each parent, and two for
    # the identity.
    assert len(synced) == len(parents) + 2


class _FullDisk:
    """Fail one kind of system call as a full disk does, until there is room.

    A write of more than one byte stores a part before it fails.
    """

    def __init__(self, call: str, patch: pytest.MonkeyPatch) -> None:
        self._call = call
        self._patch = patch
        self.n_synced_folders = 0

    def fill(self) -> None:
        real_write, real_ftruncate, real_open = os.write, os.ftruncate, os.open

        def write(descriptor: int, data: bytes) -> int:
            if len(data) > 1:
                return real_write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")

        def ftruncate(descriptor: int, size_bytes: int) -> None:
            if self._call == "ftruncate":
                raise OSError(errno.ENOSPC, "no space left")
            real_ftruncate(descriptor, size_bytes)

        def open_file(path: object, flags: int, *arguments: int) -> int:
            if flags & os.O_CREAT:
                raise OSError(errno.ENOSPC, "no space left")
            return real_open(path, flags, *arguments)  # type: ignore[arg-type]

        def sync(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, "no space left")

        match self._call:
            case "write" | "ftruncate":
                self._patch.setattr(os, "write", write)
                self._patch.setattr(os, "ftruncate", ftruncate)
            case "open":
                self._patch.setattr(os, "open", open_file)
            case "fdatasync" | "fsync":
                self._patch.setattr(os, self._call, sync)

    def free(self) -> None:
        self._patch.undo()
        real_fsync = os.fsync

        def count(descriptor: int) -> None:
            self.n_synced_folders += stat.S_ISDIR(os.fstat(descriptor).st_mode)
            real_fsync(descriptor)

        self._patch.setattr(os, "fsync", count)


@pytest.mark.parametrize("is_new_segment", [False, True])
@pytest.mark.parametrize("call", ["write", "ftruncate", "open", "fdatasync", "fsync"])
def test_storage_recovers_from_a_full_disk_at_each_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, is_new_segment: bool
) -> None:
    """Guards against a node that stays out of the group once its disk has room."""
    storage = _written_storage(tmp_path)
    if is_new_segment:
        storage._close_segment()
    disk = _FullDisk(call, monkeypatch)
    effect = PersistEntries(sequence=9, entries=_entries(10, 11))
    disk.fill()
    is_called = is_new_segment or call not in ("open", "fsync")
    for _ in range(3 if is_called else 0):
        with pytest.raises(StorageFullError):
            storage.write([effect])
    disk.free()
    assert storage.write([effect]) == 9
    storage.write([PersistEntries(sequence=10, entries=_entries(12, 12))])
    monkeypatch.undo()
    storage.close()
    storage, opened = _open(tmp_path)
    assert opened.restored.entries == _entries(1, 12)
    assert not opened.truncated_tail
    storage.close()


def test_a_new_segment_is_not_used_before_its_folder_is_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against acknowledged entries in a file that a power loss removes."""
    storage = _written_storage(tmp_path)
    storage._close_segment()
    disk = _FullDisk("fsync", monkeypatch)
    effect = PersistEntries(sequence=9, entries=_entries(10, 11))
    disk.fill()
    with pytest.raises(StorageFullError):
        storage.write([effect])
    disk.free()
    storage.write([effect])
    assert disk.n_synced_folders == 1
    storage.close()


def test_folder_is_locked(tmp_path: Path) -> None:
    """Guards against two processes that vote with the same data folder."""
    storage = _written_storage(tmp_path)
    with pytest.raises(OSError, match="another process"):
        LogStorage(tmp_path).open(7)
    storage.close()


def test_restart_after_a_thousand_patches_is_fast(tmp_path: Path) -> None:
    """Guards against restarts that take longer than 1 s."""
    # The log is built by a single-node group that writes to the real storage.
    from random import Random

    from cardamomshunt.messages import Change
    from cardamomshunt.operator_messages import PatchRequest

    member = Member(node="a", zone="z", peer_address="a", operator_address="a")
    storage, opened = _open(tmp_path)
    node = ControlNode("a", "z", [member], opened.restored, Random(1), 0.0)

    def run(effects: list[object], now_ms: float) -> None:
        persist = [item for item in effects if hasattr(item, "sequence")]
        if persist:
            run(node.on_storage_done(now_ms, storage.write(persist)), now_ms)

    for now_ms in range(0, 3_000, 10):
        run(node.tick(float(now_ms)), float(now_ms))
    assert node.is_ready
    for number in range(1_000):
        request = PatchRequest(
            patch_id=f"p{number}",
            base_version=number,
            changes=[Change(path="policy.detection_ms", value=600 + number % 9)],
        )
        run(node.on_operator_request(3_000.0, number, request), 3_000.0)
    assert node.state.configuration.version == 1_000
    storage.close()
    started = time.perf_counter()
    storage, opened = _open(tmp_path)
    node = ControlNode("a", "z", [member], opened.restored, Random(1), 0.0)
    now_ms = 0.0
    while not node.is_ready:
        now_ms += 10.0
        run(node.tick(now_ms), now_ms)
    elapsed_s = time.perf_counter() - started
    assert node.state.configuration.version == 1_000
    assert len(ControlState.decode(node.state.encode()).patch_replies) == 1_000
    storage.close()
    assert elapsed_s < 1.0
