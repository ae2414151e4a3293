"""Hints that callers give in a leading comment or as connection defaults."""

from cardamomshunt._data_path.hints import (
    NO_HINTS,
    parse_hint_assignment,
    parse_hints,
)

__all__ = ["NO_HINTS", "parse_hint_assignment", "parse_hints"]
