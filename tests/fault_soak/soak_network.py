"""Loopback network of a test of the fault soak."""

import contextlib
from collections.abc import Iterator

from cardamomshunt_testing.loopback import reserve_network
from soak_deployment import N_CONTROLS, N_ENTRIES
from soak_processes import CALLER_PORT, PEER_PORT

_PROVIDER_PORT = 18_083
_ENDPOINTS = [
    *((f"9.{number}", _PROVIDER_PORT) for number in (8, 9)),
    *((f"1.{number}", PEER_PORT) for number in range(1, N_CONTROLS + 1)),
    *((f"2.{number}", PEER_PORT) for number in range(1, N_ENTRIES + 1)),
    *((f"2.{number}", CALLER_PORT) for number in range(1, N_ENTRIES + 1)),
]


@contextlib.contextmanager
def reserve_soak_network() -> Iterator[int]:
    """Yield the number of a loopback network that only one test uses."""
    number, lock = reserve_network(_ENDPOINTS)
    try:
        yield number
    finally:
        lock.close()
