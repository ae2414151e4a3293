"""Watermarks of sessions."""

from cardamomshunt._data_path.sessions import Session, SessionStore, required_of_read

__all__ = ["Session", "SessionStore", "required_of_read"]
