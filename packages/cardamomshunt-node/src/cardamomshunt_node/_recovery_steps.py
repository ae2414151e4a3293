"""Times of the steps of a start, from the start of the process to full service."""

import enum
import os
from pathlib import Path

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog

# Index of the start time in /proc/self/stat, counted after the name of the program.
_START_TIME_FIELD = 19


class RecoveryStep(enum.Enum):
    """Step of a start; a process takes each of its role's steps once."""

    IMPORTS = "imports"
    LISTENING = "listening"
    FIRST_CONTACT = "first_contact"
    LEADER_KNOWN = "leader_known"
    FIRST_LEASE = "first_lease"
    FIRST_CONFIGURATION = "first_configuration"
    FIRST_SERVER = "first_server"
    FIRST_CONNECTION = "first_connection"
    FIRST_BOUND = "first_bound"
    FIRST_ANSWER = "first_answer"


class RecoverySteps:
    """Log how long after the start of the process each step was reached, once."""

    def __init__(self, log: DecisionLog, started_ms: float | None = None) -> None:
        self._log = log
        self._started_ms = process_started_ms() if started_ms is None else started_ms
        self._reached: set[RecoveryStep] = set()

    def record(self, step: RecoveryStep) -> None:
        """Log a step unless it was reached before."""
        if step in self._reached:
            return
        self._reached.add(step)
        self._log.write(
            "recovery_step",
            step=step.value,
            elapsed_ms=round(boot_ms() - self._started_ms),
        )


def process_started_ms() -> float:
    """Return when this process started, on the boot clock; now if that is unknown.

    The kernel rounds down to a tick, so one is added.
    """
    now = boot_ms()
    try:
        stat = Path("/proc/self/stat").read_text(encoding="utf-8")
    except OSError:
        return now
    n_ticks = int(stat.rpartition(")")[2].split()[_START_TIME_FIELD])
    return min((n_ticks + 1) * 1_000.0 / os.sysconf("SC_CLK_TCK"), now)
