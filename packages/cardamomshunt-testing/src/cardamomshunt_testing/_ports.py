"""Choice of free ports on loopback."""

import socket


def free_ports(n_ports: int) -> list[int]:
    """Return ports that were free just now."""
    sockets = [socket.socket() for _ in range(n_ports)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
