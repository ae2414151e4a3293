"""Effects that the control state machines ask their host for."""

from cardamomshunt._control.effects import (
    ControlEffect,
    EmitEvent,
    PersistEffect,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    SendMessage,
)

__all__ = [
    "ControlEffect",
    "EmitEvent",
    "PersistEffect",
    "PersistEntries",
    "PersistSnapshot",
    "PersistVote",
    "SendMessage",
]
