"""Choice of the instance that serves a read."""

from cardamomshunt._data_path.routing import LeastDelayPolicy, RoutingPolicy

__all__ = ["LeastDelayPolicy", "RoutingPolicy"]
