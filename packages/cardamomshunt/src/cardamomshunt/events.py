"""Numbered log events and their catalogue."""

from cardamomshunt._shared.events import (
    CATALOGUE,
    CatalogueEntry,
    EventNumber,
    Severity,
    entry_for,
)

__all__ = ["CATALOGUE", "CatalogueEntry", "EventNumber", "Severity", "entry_for"]
