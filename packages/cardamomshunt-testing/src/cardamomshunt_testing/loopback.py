"""Reservation of loopback networks, so that runs at the same time use others."""

import itertools
import os
import socket
from collections.abc import Iterable

_N_NETWORKS = 250
_NETWORKS = itertools.count(os.getpid())
_LOCK_PORT = 17_439


def reserve_network(
    endpoints: Iterable[tuple[str, int]],
) -> tuple[int, socket.socket]:
    """Reserve a network 127.N; close the socket to free it; raise OSError if none is.

    `endpoints` are last two parts of addresses, as in "1.3", and ports that must be
    unused.
    """
    needed = list(endpoints)
    for number in itertools.islice(_NETWORKS, _N_NETWORKS):
        network = 1 + number % _N_NETWORKS
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.0.1", _LOCK_PORT))
            _check_unused(network, needed)
        except OSError:
            lock.close()
            continue
        return network, lock
    raise OSError("all loopback networks are in use")


def _check_unused(network: int, endpoints: list[tuple[str, int]]) -> None:
    """Raise OSError if a process still listens at an address of a freed network."""
    for host, port in endpoints:
        with socket.create_server((f"127.{network}.{host}", port)):
            pass
