"""Log positions of a database group."""

from cardamomshunt._shared.position import ZERO, LogPosition

__all__ = ["ZERO", "LogPosition"]
