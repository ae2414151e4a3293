"""Failover and handover of databases."""

from cardamomshunt._failover import FailoverController, FailoverOptions
from cardamomshunt._health_view import Health, HealthView

__all__ = ["FailoverController", "FailoverOptions", "Health", "HealthView"]
