"""Verdicts and refusals."""

from cardamomshunt._shared.verdict import (
    RETRYABLE_REASONS,
    Refusal,
    RefusalReason,
    Verdict,
)

__all__ = ["RETRYABLE_REASONS", "Refusal", "RefusalReason", "Verdict"]
