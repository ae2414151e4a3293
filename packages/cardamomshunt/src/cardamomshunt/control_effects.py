"""Effects that the control state machines request from their host."""

from cardamomshunt._control.effects import (
    ControlEffect,
    EmitEvent,
    PersistEffect,
    PersistEntries,
    PersistFormation,
    PersistSnapshot,
    PersistVote,
    SendMessage,
)

__all__ = [
    "ControlEffect",
    "EmitEvent",
    "PersistEffect",
    "PersistEntries",
    "PersistFormation",
    "PersistSnapshot",
    "PersistVote",
    "SendMessage",
]
