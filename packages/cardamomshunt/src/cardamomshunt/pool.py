"""Connections to backend servers."""

from cardamomshunt._pool import Connection, ConnectionPool, InstanceState, Outbox

__all__ = ["Connection", "ConnectionPool", "InstanceState", "Outbox"]
