"""The clock of leases and ages, which goes on while the machine is suspended."""

import time


def boot_ms() -> float:
    """Return the time since boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0


def wall_ms() -> int:
    """Return the time of day as a Unix time."""
    return int(time.time() * 1_000.0)
