"""State charts, defined in TOML."""

from cardamomshunt._shared.state_chart import StateChart, TransitionError

__all__ = ["StateChart", "TransitionError"]
