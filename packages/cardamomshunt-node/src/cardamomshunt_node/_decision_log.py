"""Structured log lines on standard output, bounded and never blocking."""

import fcntl
import os
from collections import deque
from typing import Any

import msgspec

from cardamomshunt_node._boot_clock import wall_ms

_N_WAITING_MAX = 2_000
_N_LINES_PER_S_MAX = 400
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Write one JSON line for each decision; count what had to be left out.

    Request decisions share a budget of lines a second. A reader that does not read
    fills a bounded queue, after which lines are dropped and counted.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._n_dropped = 0
        self._second = 0
        self._n_this_second = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line on a change of what the process believes or does."""
        line = {"ts_ms": wall_ms(), "node": self._node, "event": event, **fields}
        if len(self._waiting) >= _N_WAITING_MAX:
            self._n_dropped += 1
            return
        if self._n_dropped:
            line["n_dropped_before"] = self._n_dropped
            self._n_dropped = 0
        self._waiting.append(_ENCODER.encode(line) + b"\n")
        self.flush()

    def write_request(self, event: str, **fields: Any) -> None:
        """Write a line on one request, within the budget of lines a second."""
        second = wall_ms() // 1_000
        if second != self._second:
            self._second, self._n_this_second = second, 0
        self._n_this_second += 1
        if self._n_this_second > _N_LINES_PER_S_MAX:
            self._n_dropped += 1
            return
        self.write(event, **fields)

    def flush(self) -> None:
        """Write what the reader takes without waiting."""
        while self._waiting:
            try:
                n_written = os.write(self._descriptor, self._waiting[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more; the process goes on without it.
                self._waiting.clear()
                return
            if n_written < len(self._waiting[0]):
                self._waiting[0] = self._waiting[0][n_written:]
                return
            self._waiting.popleft()
