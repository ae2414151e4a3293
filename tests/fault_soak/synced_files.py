"""Record what the syncs of a data folder cover, and drop the rest as a power loss does."""

import json
import os
import random
import shutil
import stat
from dataclasses import asdict, dataclass, field
from pathlib import Path

_RECORD_NAME = "record"


@dataclass(slots=True)
class _Record:
    """Names that survive a loss of power, and the bytes of each file that do.

    Files are known by their inode. Hard links in the folder of the record keep removed
    files, so that no inode number is used twice.
    """

    inodes: dict[str, int] = field(default_factory=dict)
    sizes_bytes: dict[str, int] = field(default_factory=dict)

    @staticmethod
    def read(folder: Path) -> "_Record":
        try:
            return _Record(**json.loads((folder / _RECORD_NAME).read_bytes()))
        except FileNotFoundError:
            return _Record()

    def write(self, folder: Path) -> None:
        """Replace the record; a process may be killed at any point of this."""
        temporary = folder / f"{_RECORD_NAME}.new"
        temporary.write_text(json.dumps(asdict(self)), encoding="ascii")
        os.replace(temporary, folder / _RECORD_NAME)


def _inodes(folder: Path) -> dict[str, int]:
    return {item.name: item.inode() for item in os.scandir(folder)}


class SyncedFiles:
    """Know which files and bytes of one data folder survive a loss of power."""

    def __init__(self, data_folder: Path, record_folder: Path) -> None:
        self._data_folder = data_folder
        self._folder = record_folder

    def record_sync(self, descriptor: int) -> None:
        """Record a sync of the data folder or of a file in it."""
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if self._data_folder not in (path, path.parent):
            return
        self._folder.mkdir(exist_ok=True)
        record = _Record.read(self._folder)
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            self._record_names(record)
            return
        self._link(path, status.st_ino)
        record.inodes.setdefault(path.name, status.st_ino)
        record.sizes_bytes[str(status.st_ino)] = status.st_size
        record.write(self._folder)

    def _record_names(self, record: _Record) -> None:
        record.inodes = _inodes(self._data_folder)
        for name, inode in record.inodes.items():
            self._link(self._data_folder / name, inode)
        kept = {str(inode) for inode in record.inodes.values()}
        record.sizes_bytes = {
            inode: size for inode, size in record.sizes_bytes.items() if inode in kept
        }
        record.write(self._folder)
        for link in self._folder.iterdir():
            if link.name.isdigit() and link.name not in kept:
                link.unlink()

    def _link(self, path: Path, inode: int) -> None:
        link = self._folder / str(inode)
        if not link.exists():
            os.link(path, link)

    def drop_unsynced(self, draws: random.Random, kept_share: float) -> list[str]:
        """Drop writes and names that no sync covers; return what was dropped.

        Each of them has reached the disk with the given probability, and a write may
        have reached it in part, unless the probability is 0.
        """
        if not self._data_folder.exists():
            return []
        record = _Record.read(self._folder)
        dropped = self._drop_names(record, draws, kept_share)
        for path in sorted(self._data_folder.iterdir()):
            n_synced = record.sizes_bytes.get(str(path.stat().st_ino), 0)
            n_dropped = path.stat().st_size - n_synced
            if n_dropped <= 0 or draws.random() < kept_share:
                continue
            if kept_share:
                n_dropped = draws.randint(1, n_dropped)
            os.truncate(path, path.stat().st_size - n_dropped)
            dropped.append(f"{n_dropped} bytes of {path.name}")
        self._record_all()
        return dropped

    def _drop_names(
        self, record: _Record, draws: random.Random, kept_share: float
    ) -> list[str]:
        present = _inodes(self._data_folder)
        dropped = []
        for name in sorted({*present, *record.inodes}):
            inode = record.inodes.get(name)
            if present.get(name) != inode and draws.random() >= kept_share:
                self._restore_name(name, inode)
                dropped.append(f"the name {name}")
        return dropped

    def _record_all(self) -> None:
        """Record that the disk holds all that is present."""
        self._folder.mkdir(exist_ok=True)
        sizes_bytes = {
            str(item.inode()): item.stat().st_size
            for item in os.scandir(self._data_folder)
        }
        self._record_names(_Record(sizes_bytes=sizes_bytes))

    def _restore_name(self, name: str, inode: int | None) -> None:
        path = self._data_folder / name
        path.unlink(missing_ok=True)
        if inode is not None:
            os.link(self._folder / str(inode), path)

    def clear(self) -> None:
        """Forget all files, as their disk is lost."""
        shutil.rmtree(self._folder, ignore_errors=True)
