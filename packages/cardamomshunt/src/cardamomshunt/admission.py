"""Queues, fairness, shedding and concurrency limits."""

from cardamomshunt._data_path.admission import (
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
