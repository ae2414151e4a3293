"""Decisions on requests, connections and retries, without I/O."""
