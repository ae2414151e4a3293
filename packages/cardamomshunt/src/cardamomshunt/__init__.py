"""Coordination parts of a database proxy with session consistency, without I/O."""
