"""Signals that arrive before a daemon has installed its handlers."""

from cardamomshunt_node._early_signals import hold_reloads, take_held_reload

__all__ = ["hold_reloads", "take_held_reload"]
