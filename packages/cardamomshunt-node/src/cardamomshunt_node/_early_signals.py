"""Reload signals that arrive before a daemon has installed its handlers."""

import signal
from types import FrameType

_held: list[int] = []


def hold_reloads() -> None:
    """Keep SIGHUP for the daemon, as it would end a process without a handler."""
    signal.signal(signal.SIGHUP, _hold)


def take_held_reload() -> bool:
    """Return whether SIGHUP arrived since `hold_reloads`, and forget it."""
    is_held = bool(_held)
    _held.clear()
    return is_held


def _hold(number: int, frame: FrameType | None) -> None:
    _held.append(number)
