"""Times of the steps of a start, from the start of the process to full service."""

import enum

from cardamomshunt_node._boot_clock import LOADED_MS, boot_ms
from cardamomshunt_node._decision_log import DecisionLog


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
    """Log how long after the first module was loaded each step was reached, once."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._reached: set[RecoveryStep] = set()

    def record(self, step: RecoveryStep) -> None:
        """Log a step unless it was reached before."""
        if step in self._reached:
            return
        self._reached.add(step)
        self._log.write(
            "recovery_step",
            step=step.value,
            elapsed_ms=round(boot_ms() - LOADED_MS),
        )
