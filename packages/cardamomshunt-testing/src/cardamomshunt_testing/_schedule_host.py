"""Control node of a schedule, with its clock and disk."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.control import ControlNode

from cardamomshunt_testing._fake_disk import FakeDisk

ZONES = ["zone-a", "zone-b", "zone-c"]


@dataclass(slots=True)
class ScheduledHost:
    """Process of a control node, with its clock and disk."""

    name: str
    zone: str
    disk: FakeDisk
    clock_rate: float
    clock_offset_ms: float
    node: ControlNode | None = None
    is_frozen: bool = False
    crashes_at_write: bool = False
    n_starts: int = 0
    pending_inputs: list[Callable[[], None]] = field(default_factory=list)
    configuration_version: int = 0
    last_led_term: int = 0

    def clock(self, now_ms: float) -> float:
        """Return the time of this process's clock."""
        return self.clock_offset_ms + now_ms * self.clock_rate
