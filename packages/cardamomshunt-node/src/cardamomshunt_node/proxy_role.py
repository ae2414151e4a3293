"""Daemon in the role `proxy`."""

from cardamomshunt_node._proxy_role import DRAIN_TIME_MS, ProxyDaemon, run_proxy
from cardamomshunt_node._proxy_start import CannotStartError

__all__ = ["DRAIN_TIME_MS", "CannotStartError", "ProxyDaemon", "run_proxy"]
