"""Verdicts on whether a request may have run, and refusals with a reason."""

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether a request ran, did not run or may have run."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class RefusalReason(enum.Enum):
    """Reason of a refusal, as documented in docs/callers.md."""

    BAD_HINT = "bad_hint"
    UNKNOWN_DATABASE = "unknown_database"
    UNSUPPORTED_STATEMENT = "unsupported_statement"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OVERLOADED = "overloaded"
    TOO_STALE = "too_stale"
    NO_PRIMARY = "no_primary"
    NO_BACKEND = "no_backend"
    SHUTTING_DOWN = "shutting_down"
    CONNECTION_LOST = "connection_lost"
    NOT_ACKNOWLEDGED = "not_acknowledged"
    TRANSACTION_LOST = "transaction_lost"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_KEY_REVOKED = "idempotency_key_revoked"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    CANCELLED = "cancelled"


RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.DEADLINE_EXCEEDED,
        RefusalReason.OVERLOADED,
        RefusalReason.TOO_STALE,
        RefusalReason.NO_PRIMARY,
        RefusalReason.NO_BACKEND,
        RefusalReason.SHUTTING_DOWN,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TRANSACTION_LOST,
        RefusalReason.TOO_MANY_CONNECTIONS,
    }
)


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a request: its reason, and whether the request may have run."""

    verdict: Verdict
    reason: RefusalReason
    detail: str

    @property
    def may_retry(self) -> bool:
        """Return whether a retry is safe and may succeed.

        >>> Refusal(Verdict.NOT_RUN, RefusalReason.OVERLOADED, "queue full").may_retry
        True
        >>> Refusal(
        ...     Verdict.MAY_HAVE_RUN, RefusalReason.CONNECTION_LOST, "reset"
        ... ).may_retry
        False
        """
        return self.verdict is Verdict.NOT_RUN and self.reason in RETRYABLE_REASONS

    def __str__(self) -> str:
        retry = "yes" if self.may_retry else "no"
        return (
            f"cardamomshunt verdict={self.verdict.value} reason={self.reason.value} "
            f"retry={retry}: {self.detail}"
        )
