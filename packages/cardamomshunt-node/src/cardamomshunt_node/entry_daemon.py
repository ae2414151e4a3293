"""Daemon of an entry VM, for deployments whose servers report to control nodes."""

from cardamomshunt_node._entry_daemon import EntryDaemon

__all__ = ["EntryDaemon"]
