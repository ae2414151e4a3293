"""Room left on the disk of a control node."""

import os
import stat
from pathlib import Path


class DiskRoom:
    """Measure the room for a folder on a disk of a stated size.

    With a size of 0 bytes, only the file system tells.
    """

    def __init__(self, folder: Path, size_bytes: int) -> None:
        self._folder = folder
        self._size_bytes = size_bytes

    def used_bytes(self) -> int:
        """Return the size of all files in the folder."""
        used_bytes = 0
        for path in self._folder.rglob("*"):
            try:
                found = path.stat()
            except FileNotFoundError:
                # A segment or a temporary file was removed meanwhile.
                continue
            if stat.S_ISREG(found.st_mode):
                used_bytes += found.st_size
        return used_bytes

    def free_bytes(self) -> int | None:
        """Return the room that is left, or None if nothing tells."""
        known = [self._file_system_bytes()]
        if self._size_bytes:
            known.append(max(0, self._size_bytes - self.used_bytes()))
        return min((item for item in known if item is not None), default=None)

    def _file_system_bytes(self) -> int | None:
        try:
            found = os.statvfs(self._folder)
        except OSError:
            return None
        return found.f_bavail * found.f_frsize
