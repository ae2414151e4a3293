"""State charts in TOML that the code interprets."""

from cardamomshunt._shared.state_chart import StateChart, TransitionError

__all__ = ["StateChart", "TransitionError"]
