"""Shares of the connections of backend servers."""

from cardamomshunt._connection_shares import (
    GRANT_INTERVAL_MS,
    ConnectionAllocator,
    ConnectionLeases,
)

__all__ = ["GRANT_INTERVAL_MS", "ConnectionAllocator", "ConnectionLeases"]
