"""Watermarks of sessions."""

from cardamomshunt._sessions import Session, SessionStore

__all__ = ["Session", "SessionStore"]
