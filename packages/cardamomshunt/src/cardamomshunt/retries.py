"""Retry decisions, the retry budget, and the verdicts of lost attempts."""

from cardamomshunt._data_path.retries import (
    Action,
    AtMostOnceRetryPolicy,
    Decision,
    RepeatRule,
    RetryBudget,
    RetryPolicy,
)

__all__ = [
    "Action",
    "AtMostOnceRetryPolicy",
    "Decision",
    "RepeatRule",
    "RetryBudget",
    "RetryPolicy",
]
