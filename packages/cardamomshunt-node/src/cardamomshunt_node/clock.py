"""Time at which a process began to load its modules."""

from cardamomshunt_node._boot_clock import LOADED_MS

__all__ = ["LOADED_MS"]
