"""Configuration document and its changes."""
