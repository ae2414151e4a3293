"""Daemon of a control VM, where backend servers report to the control nodes."""

from cardamomshunt_node._control_node import ControlNodeDaemon

__all__ = ["ControlNodeDaemon"]
