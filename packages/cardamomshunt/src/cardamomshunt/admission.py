"""Admission control: queues, fairness, load shedding and concurrency limits."""

from cardamomshunt._data_path.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    ConcurrencyLimit,
    FairQueue,
    ReservedSharePolicy,
)

__all__ = [
    "AdmissionPolicy",
    "AdmissionQueue",
    "ConcurrencyLimit",
    "FairQueue",
    "ReservedSharePolicy",
]
