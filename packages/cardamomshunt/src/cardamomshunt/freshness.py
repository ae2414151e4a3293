"""What an entry VM can prove about the age of replicas."""

from cardamomshunt._data_path.freshness import (
    BoundHistory,
    DatedPosition,
    ReadRequirement,
)

__all__ = ["BoundHistory", "DatedPosition", "ReadRequirement"]
