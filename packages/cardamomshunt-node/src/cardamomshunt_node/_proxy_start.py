"""Errors that keep a daemon from starting."""


class CannotStartError(Exception):
    """Say in one line which setting keeps the daemon from starting, and why."""
