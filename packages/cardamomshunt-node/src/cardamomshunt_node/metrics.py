"""Prometheus metrics of a daemon."""

from cardamomshunt_node._metrics import (
    NodeMetrics,
    ReadBound,
    ReadRoute,
    WriteGapMeter,
)

__all__ = ["NodeMetrics", "ReadBound", "ReadRoute", "WriteGapMeter"]
