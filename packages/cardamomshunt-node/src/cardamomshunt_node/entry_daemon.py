"""The daemon of an entry VM for deployments whose servers announce themselves."""

from cardamomshunt_node._entry_daemon import EntryDaemon

__all__ = ["EntryDaemon"]
