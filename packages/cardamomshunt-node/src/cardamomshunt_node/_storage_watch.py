"""Log lines and metrics of slow writes to the data folder of a control node."""

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._storage_metrics import StorageMetrics
from cardamomshunt_node._storage_task import WriteTimes

# The heartbeat interval. An election waits for a write at the candidate and then for one
# at a voter, and two of this length outlast the election timeout after a restart.
_SLOW_WRITE_MS = 100.0
_LOG_INTERVAL_MS = 1_000.0


class StorageWatch:
    """Record the times of writes, and log those that are slow or stalled.

    Lines on slow writes are limited to one a second, besides those on stalled ones,
    which are limited by the time of a stall.
    """

    def __init__(self, log: DecisionLog, metrics: StorageMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._next_line_ms = float("-inf")
        self._n_unlogged = 0
        self._is_stalled = False

    def observe(self, times: WriteTimes) -> None:
        """Record a write that ended or is stalled."""
        self._metrics.observe(times)
        if not times.is_ended:
            self._is_stalled = True
            self._log.write("write_stalled", **_fields(times))
        elif self._is_stalled:
            self._is_stalled = False
            self._log_slow(times)
        elif times.elapsed_ms > _SLOW_WRITE_MS:
            self._log_slow_within_limit(times)

    def _log_slow_within_limit(self, times: WriteTimes) -> None:
        now_ms = boot_ms()
        if now_ms < self._next_line_ms:
            self._n_unlogged += 1
            return
        self._next_line_ms = now_ms + _LOG_INTERVAL_MS
        self._log_slow(times)

    def _log_slow(self, times: WriteTimes) -> None:
        n_unlogged, self._n_unlogged = self._n_unlogged, 0
        self._log.write("slow_write", **_fields(times), n_unlogged=n_unlogged)


def _fields(times: WriteTimes) -> dict[str, float]:
    return {
        "elapsed_ms": round(times.elapsed_ms, 1),
        "waited_ms": round(times.waited_ms, 1),
        "n_effects": times.n_effects,
    }
