"""Choice of free ports on loopback."""

import random
import socket

# Below the range that the system takes the ports of outgoing connections from; one of
# those may be taken again between this choice and the bind.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000

# A port that is not bound yet looks free, so that a process never hands it out twice.
_returned_ports: set[int] = set()


def free_ports(n_ports: int) -> list[int]:
    """Return ports that were free just now and that no earlier call returned."""
    source = random.SystemRandom()
    found: list[int] = []
    while len(found) < n_ports:
        port = source.randrange(_FIRST_PORT, _LAST_PORT)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as item:
        item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            item.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
