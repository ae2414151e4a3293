"""What an entry VM can prove about the age of replicas."""

from cardamomshunt._freshness import BoundHistory, ReadRequirement

__all__ = ["BoundHistory", "ReadRequirement"]
