"""Authentication of messages between processes."""

from cardamomshunt_node._keys import Key, KeyFileError, KeyRing, load_key_ring

__all__ = ["Key", "KeyFileError", "KeyRing", "load_key_ring"]
