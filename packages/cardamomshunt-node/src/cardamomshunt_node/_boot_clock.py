"""Clock of leases and ages, which also advances while the machine is suspended."""

import time


def boot_ms() -> float:
    """Return the time since boot in milliseconds, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0


def wall_ms() -> int:
    """Return the Unix time in milliseconds, which may be set forward or back.

    It labels what people read and tells two starts apart; no decision depends on its
    course.
    """
    return int(time.time() * 1_000.0)
