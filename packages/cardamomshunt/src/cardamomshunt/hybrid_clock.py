"""Hybrid logical clock."""

from cardamomshunt._shared.hybrid_clock import (
    SKEW_MAX_MS,
    HybridClock,
    compose,
    counter_of,
    wall_ms_of,
)

__all__ = ["SKEW_MAX_MS", "HybridClock", "compose", "counter_of", "wall_ms_of"]
