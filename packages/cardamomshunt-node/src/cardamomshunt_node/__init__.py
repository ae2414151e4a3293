"""Daemon of the cardamomshunt database proxy."""
