"""Metrics of the writes to the data folder of a control node."""

from aioprometheus import Gauge, Histogram, Registry

from cardamomshunt_node._storage_task import WriteTimes

_WRITE_BUCKETS_MS = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 5_000.0
]  # fmt: skip


class StorageMetrics:
    """Time of ended writes, and the age of the oldest one that is not durable."""

    def __init__(
        self, registry: Registry, const_labels: dict[str, str] | None = None
    ) -> None:
        self._writes = Histogram(
            "cardamomshunt_storage_write_ms",
            "Time of a batch of writes to the disk, with its syncs.",
            const_labels,
            registry,
            _WRITE_BUCKETS_MS,
        )
        self._oldest_age = Gauge(
            "cardamomshunt_storage_oldest_write_ms",
            "Age of the oldest write that is not durable, 0 if there is none.",
            const_labels,
            registry,
        )

    def observe(self, times: WriteTimes) -> None:
        """Record the time of a write that ended."""
        if times.is_ended:
            self._writes.observe({}, times.elapsed_ms)

    def set_oldest_age(self, age_ms: float) -> None:
        """Set the age of the oldest write that is not durable."""
        self._oldest_age.set({}, age_ms)
