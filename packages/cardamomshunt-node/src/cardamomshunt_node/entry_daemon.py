"""Daemon of an entry VM, where backend servers report to the control nodes."""

from cardamomshunt_node._entry_daemon import EntryDaemon

__all__ = ["EntryDaemon"]
