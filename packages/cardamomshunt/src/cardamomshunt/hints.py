"""Hints that callers give in a leading comment or as connection defaults."""

from cardamomshunt._hints import (
    NO_HINTS,
    parse_hint_assignment,
    parse_hints,
)

__all__ = ["NO_HINTS", "parse_hint_assignment", "parse_hints"]
