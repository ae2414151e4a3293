"""Errors that prevent a daemon from starting."""


class CannotStartError(Exception):
    """Raised when a daemon can't start; the text names the setting and the reason."""
