"""Freshness of reads: confirmed bounds and requirements."""

from cardamomshunt._data_path.freshness import (
    BoundHistory,
    DatedPosition,
    ReadRequirement,
)

__all__ = ["BoundHistory", "DatedPosition", "ReadRequirement"]
