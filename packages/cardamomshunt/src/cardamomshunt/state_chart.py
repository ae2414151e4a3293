"""State charts in TOML that the code interprets."""

from cardamomshunt._state_chart import StateChart, TransitionError

__all__ = ["StateChart", "TransitionError"]
