"""Hints from callers, in a leading comment or as defaults of a connection."""

from cardamomshunt._data_path.hints import (
    NO_HINTS,
    parse_hint_assignment,
    parse_hints,
)

__all__ = ["NO_HINTS", "parse_hint_assignment", "parse_hints"]
