"""Log positions of a database group."""

from cardamomshunt._position import ZERO, LogPosition

__all__ = ["ZERO", "LogPosition"]
