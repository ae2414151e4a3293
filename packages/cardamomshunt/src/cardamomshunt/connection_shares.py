"""Shares of the connections of backend servers."""

from cardamomshunt._connection_shares import ConnectionAllocator, ConnectionLeases

__all__ = ["ConnectionAllocator", "ConnectionLeases"]
