"""Faults that a test can inject into an instance."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Faults:
    """Faults of an instance at present."""

    is_leaving: bool = False
    slow_factor: float = 1.0
    lag_ms: float = 0.0
    partitioned_instances: set[str] = field(default_factory=set)
    partitioned_zones: set[str] = field(default_factory=set)
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.running.set()

    def is_partitioned(self, instance: str, zone: str) -> bool:
        """Return whether an instance is partitioned from this one."""
        return instance in self.partitioned_instances or zone in self.partitioned_zones
