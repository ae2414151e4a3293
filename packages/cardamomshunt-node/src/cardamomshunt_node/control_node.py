"""The daemon of a control VM for deployments whose servers announce themselves."""

from cardamomshunt_node._control_node import ControlNodeDaemon

__all__ = ["ControlNodeDaemon"]
