"""Failover and planned handover of databases."""

from cardamomshunt._control.failover import FailoverController, FailoverOptions
from cardamomshunt._control.health_view import Health, HealthView

__all__ = ["FailoverController", "FailoverOptions", "Health", "HealthView"]
