"""Numbered events and their catalogue."""

from cardamomshunt._events import (
    CATALOGUE,
    CatalogueEntry,
    EventNumber,
    Severity,
    entry_for,
)

__all__ = ["CATALOGUE", "CatalogueEntry", "EventNumber", "Severity", "entry_for"]
