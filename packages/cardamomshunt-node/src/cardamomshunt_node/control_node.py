"""Daemon of a control VM, for deployments whose servers report to control nodes."""

from cardamomshunt_node._control_node import ControlNodeDaemon

__all__ = ["ControlNodeDaemon"]
