"""Structured log on standard output, with a bounded queue and without blocking."""

import fcntl
import os
from collections import deque
from typing import Any

import msgspec

from cardamomshunt_node._boot_clock import boot_ms, wall_ms

_N_PENDING_LINES_MAX = 2_000
_N_REQUEST_LINES_PER_S_MAX = 400
# A caller's names and ids may have the size of a message. Texts of a longer line are cut.
_LINE_SIZE_MAX_BYTES = 4_096
_N_CHARACTERS_OF_LONG_TEXT = 256
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def _encode(line: dict[str, Any]) -> bytes:
    try:
        data = _ENCODER.encode(line)
    except UnicodeEncodeError:
        # A caller's text may hold bytes that are no UTF-8.
        line = {name: _printable(line[name]) for name in line}
        data = _ENCODER.encode(line)
    if len(data) <= _LINE_SIZE_MAX_BYTES:
        return data
    return _ENCODER.encode({name: _shorten(line[name]) for name in line})


def _shorten(value: Any) -> Any:
    if not isinstance(value, str) or len(value) <= _N_CHARACTERS_OF_LONG_TEXT:
        return value
    return f"{value[:_N_CHARACTERS_OF_LONG_TEXT]}..."


def _printable(value: Any) -> Any:
    r"""Return a text with bytes that are no UTF-8 as hexadecimal escapes.

    >>> print(_printable(b"k\xff".decode(errors="surrogateescape")))
    k\xff
    """
    if not isinstance(value, str):
        return value
    return value.encode(errors="surrogateescape").decode(errors="backslashreplace")


class DecisionLog:
    """Write one JSON line for each decision, and count dropped lines.

    Lines of requests are limited to a number a second. If the reader of the log is
    too slow, a bounded queue fills, and further lines are dropped and counted.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._n_dropped = 0
        self._second = 0
        self._n_this_second = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line on a change of the state or decisions of the process."""
        line = {"ts_ms": wall_ms(), "node": self._node, "event": event, **fields}
        if len(self._pending) >= _N_PENDING_LINES_MAX:
            self._n_dropped += 1
            return
        if self._n_dropped:
            line["n_dropped_before"] = self._n_dropped
            self._n_dropped = 0
        self._pending.append(_encode(line) + b"\n")
        self.flush()

    def write_request(self, event: str, **fields: Any) -> None:
        """Write a line on one request, unless the limit a second is reached."""
        second = int(boot_ms() / 1_000.0)
        if second != self._second:
            self._second, self._n_this_second = second, 0
        self._n_this_second += 1
        if self._n_this_second > _N_REQUEST_LINES_PER_S_MAX:
            self._n_dropped += 1
            return
        self.write(event, **fields)

    def flush(self) -> None:
        """Write pending lines as far as that is possible without blocking."""
        while self._pending:
            try:
                n_written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the process continues without a log.
                self._pending.clear()
                return
            if n_written < len(self._pending[0]):
                self._pending[0] = self._pending[0][n_written:]
                return
            self._pending.popleft()
