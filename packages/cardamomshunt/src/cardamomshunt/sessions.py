"""Watermarks of sessions."""

from cardamomshunt._sessions import Session, SessionStore, required_of_read

__all__ = ["Session", "SessionStore", "required_of_read"]
