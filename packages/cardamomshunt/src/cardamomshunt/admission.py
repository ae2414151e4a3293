"""Queues, fairness, shedding and concurrency limits."""

from cardamomshunt._admission import (
    AdmissionPolicy,
    ConcurrencyLimit,
    FairQueue,
    Lane,
    ReservedSharePolicy,
)

__all__ = [
    "AdmissionPolicy",
    "ConcurrencyLimit",
    "FairQueue",
    "Lane",
    "ReservedSharePolicy",
]
