"""Dissemination of control state, and membership."""
