"""Base class of the metrics of the entry and control daemons."""

from aioprometheus import Registry, render


class DaemonMetrics:
    """Registry of the metrics that are served on the metrics address."""

    def __init__(self) -> None:
        self.registry = Registry()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        content, _ = render(self.registry, ["text/plain"])
        return content
