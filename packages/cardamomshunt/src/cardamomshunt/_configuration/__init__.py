"""The configuration document and its changes."""
