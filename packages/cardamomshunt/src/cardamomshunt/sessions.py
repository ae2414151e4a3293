"""Watermarks of sessions."""

from cardamomshunt._data_path.sessions import Session, SessionStore, read_requirement

__all__ = ["Session", "SessionStore", "read_requirement"]
