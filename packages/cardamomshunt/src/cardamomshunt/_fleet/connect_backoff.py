"""Pauses between attempts to connect to a server that has no connection free."""

import random
from collections.abc import Callable

_PAUSE_RANGE_MS = (60.0, 200.0)
_DOUBLINGS_MAX = 2
# Several attempts fit in the time that the most urgent statement has left.
_LEFT_SHARE_MAX = 0.25
_PAUSE_MIN_MS = 10.0


def full_server_pause_ms(
    n_refusals: int,
    left_ms: float,
    uniform: Callable[[float, float], float] = random.uniform,
) -> float:
    """Return the pause after a refusal, doubled after each earlier one in a row.

    `left_ms` is the time until the earliest deadline of a statement that waits. A pause
    past it would refuse a statement that the server could still take.

    >>> full_server_pause_ms(2, 10_000.0, uniform=max)
    800.0
    >>> full_server_pause_ms(2, 600.0, uniform=max)
    150.0
    """
    pause_ms = uniform(*_PAUSE_RANGE_MS) * 2.0 ** min(n_refusals, _DOUBLINGS_MAX)
    return min(pause_ms, max(left_ms * _LEFT_SHARE_MAX, _PAUSE_MIN_MS))
