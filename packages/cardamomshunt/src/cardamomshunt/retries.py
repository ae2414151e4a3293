"""Retry decisions, their budget, and the verdicts of lost attempts."""

from cardamomshunt._retries import (
    AtMostOnceRetryPolicy,
    Decision,
    RetryBudget,
    RetryPolicy,
)

__all__ = ["AtMostOnceRetryPolicy", "Decision", "RetryBudget", "RetryPolicy"]
