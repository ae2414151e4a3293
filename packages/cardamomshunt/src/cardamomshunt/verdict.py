"""Verdicts and refusals."""

from cardamomshunt._verdict import (
    RETRYABLE_REASONS,
    Refusal,
    RefusalReason,
    Verdict,
)

__all__ = ["RETRYABLE_REASONS", "Refusal", "RefusalReason", "Verdict"]
