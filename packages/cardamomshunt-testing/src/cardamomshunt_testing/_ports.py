"""Choice of free ports on loopback."""

import random
import socket

# Below the ephemeral range of outgoing connections, from which the system could use a
# chosen port again before the caller binds it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000

# A returned port looks free until its caller binds it; it is not returned twice.
_returned_ports: set[int] = set()


def free_ports(n_ports: int) -> list[int]:
    """Return free ports that no earlier call of this process returned."""
    generator = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < n_ports:
        port = generator.randrange(_FIRST_PORT, _LAST_PORT)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
