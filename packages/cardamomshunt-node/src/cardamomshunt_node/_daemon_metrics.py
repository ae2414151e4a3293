"""What the metrics of both daemons share."""

from aioprometheus import Registry, render


class DaemonMetrics:
    """Hold the registry that the metrics address serves."""

    def __init__(self) -> None:
        self.registry = Registry()

    def render(self) -> bytes:
        """Return the metrics as text."""
        content, _ = render(self.registry, ["text/plain"])
        return content
