"""Decisions for deployments whose servers announce themselves."""
