"""Leases of connections to backend servers."""

from cardamomshunt._data_path.connection_leases import (
    GRANT_INTERVAL_MS,
    N_CONNECTIONS_RESERVED,
    ConnectionAllocator,
    ConnectionLeases,
)

__all__ = [
    "GRANT_INTERVAL_MS",
    "N_CONNECTIONS_RESERVED",
    "ConnectionAllocator",
    "ConnectionLeases",
]
