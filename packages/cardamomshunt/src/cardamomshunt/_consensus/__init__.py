"""The replicated log of the control nodes."""
