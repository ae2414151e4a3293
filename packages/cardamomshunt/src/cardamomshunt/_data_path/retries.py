"""Decisions after an attempt: complete, repeat or refuse with a correct verdict."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from cardamomshunt._data_path.effects import AttemptOutcome
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

N_ATTEMPTS_MAX = 8
N_TOKENS_MAX = 20.0  # burst of retries above the ratio


class RepeatRule(enum.Enum):
    """Rule for sending a request again after an attempt with an unknown outcome.

    HARMLESS requests may be repeated freely, KEYED ones because the idempotency key
    makes the server run them at most once.
    """

    HARMLESS = "harmless"
    KEYED = "keyed"
    NEVER = "never"


class Action(enum.Enum):
    """Action that follows an attempt."""

    COMPLETE = "complete"
    REPEAT = "repeat"
    REPEAT_IN_NEW_TERM = "repeat_in_new_term"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class Decision:
    """Decision on what follows an attempt; `refusal` is set for REFUSE."""

    action: Action
    refusal: Refusal | None = None


COMPLETE = Decision(Action.COMPLETE)
REPEAT = Decision(Action.REPEAT)
REPEAT_IN_NEW_TERM = Decision(Action.REPEAT_IN_NEW_TERM)

_REASONS = {
    AttemptOutcome.LOST: RefusalReason.CONNECTION_LOST,
    AttemptOutcome.NOT_ACKNOWLEDGED: RefusalReason.NOT_ACKNOWLEDGED,
    AttemptOutcome.NOT_SENT: RefusalReason.NO_BACKEND,
    AttemptOutcome.FENCED: RefusalReason.NO_PRIMARY,
    AttemptOutcome.KEY_REUSED: RefusalReason.IDEMPOTENCY_KEY_REUSED,
    AttemptOutcome.KEY_REVOKED: RefusalReason.IDEMPOTENCY_KEY_REVOKED,
    AttemptOutcome.BACKEND_ERROR: RefusalReason.CONNECTION_LOST,
}


class RetryBudget:
    """Limit retries to a share of requests, with a bounded burst (token bucket)."""

    __slots__ = ("_n_tokens", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._n_tokens = N_TOKENS_MAX

    def on_request(self) -> None:
        """Add the share of a token that one request earns."""
        self._n_tokens = min(N_TOKENS_MAX, self._n_tokens + self.ratio)

    def has_token(self) -> bool:
        """Return whether the budget allows a retry now."""
        return self._n_tokens >= 1.0

    def try_acquire(self) -> bool:
        """Acquire a token for one retry; return False if there is none."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


class RetryPolicy(ABC):
    """Decide what follows an attempt outside a transaction."""

    @abstractmethod
    def decide(
        self,
        outcome: AttemptOutcome,
        rule: RepeatRule,
        *,
        n_attempts: int,
        may_have_run: bool,
        budget: RetryBudget,
        detail: str,
    ) -> Decision:
        """Return the decision; `may_have_run` refers to earlier attempts."""


class AtMostOnceRetryPolicy(RetryPolicy):
    """Repeat requests that did not run, harmless requests and keyed writes.

    A write without an idempotency key is never repeated once it may have run.
    """

    def decide(
        self,
        outcome: AttemptOutcome,
        rule: RepeatRule,
        *,
        n_attempts: int,
        may_have_run: bool,
        budget: RetryBudget,
        detail: str,
    ) -> Decision:
        """Return the decision by outcome, then by rule, then by budget."""
        if outcome is AttemptOutcome.OK:
            return COMPLETE
        if outcome is AttemptOutcome.BACKEND_ERROR and not may_have_run:
            return COMPLETE
        if outcome in (AttemptOutcome.KEY_REUSED, AttemptOutcome.KEY_REVOKED):
            # The key belongs to another statement or is revoked, so no attempt of this
            # statement ran.
            return _refuse(outcome, Verdict.NOT_RUN, detail)
        is_possible = n_attempts < N_ATTEMPTS_MAX
        if outcome is AttemptOutcome.FENCED:
            # Limited by the deadline only, as a failover may outlast any number of
            # attempts.
            return REPEAT_IN_NEW_TERM
        if outcome is AttemptOutcome.NOT_SENT and is_possible:
            return REPEAT
        is_unknown = outcome in (AttemptOutcome.LOST, AttemptOutcome.NOT_ACKNOWLEDGED)
        if (
            is_unknown
            and rule is not RepeatRule.NEVER
            and is_possible
            and budget.try_acquire()
        ):
            return REPEAT
        verdict = (
            Verdict.MAY_HAVE_RUN if is_unknown or may_have_run else Verdict.NOT_RUN
        )
        return _refuse(outcome, verdict, detail)


def _refuse(outcome: AttemptOutcome, verdict: Verdict, detail: str) -> Decision:
    reason = _REASONS[outcome]
    text = detail or f"the attempt ended as {outcome.value}"
    return Decision(Action.REFUSE, Refusal(verdict, reason, text))
