"""Connections to backend servers."""

from cardamomshunt._data_path.pool import (
    Connection,
    ConnectionPool,
    InstanceState,
    Outbox,
)

__all__ = ["Connection", "ConnectionPool", "InstanceState", "Outbox"]
