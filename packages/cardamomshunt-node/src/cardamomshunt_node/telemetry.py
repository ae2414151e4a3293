"""Events and metrics of one daemon."""

from cardamomshunt_node._telemetry import Telemetry

__all__ = ["Telemetry"]
