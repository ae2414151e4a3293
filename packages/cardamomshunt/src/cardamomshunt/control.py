"""Control node, its effects and its replicated state."""

from cardamomshunt._control.effects import (
    CommandInstance,
    ControlEffect,
    EmitEvent,
    InstanceCommandKind,
    InstanceReply,
    PersistEffect,
    PersistEntries,
    PersistFormation,
    PersistSnapshot,
    PersistVote,
    ReplyOperator,
    SendMessage,
)
from cardamomshunt._control.node import ControlNode, ControlOptions
from cardamomshunt._control.state import (
    ApplyPatch,
    ControlState,
    DatabaseRecord,
    InstanceRecord,
    SetDatabase,
    encode_command,
)
from cardamomshunt._control.status import node_statuses

__all__ = [
    "ApplyPatch",
    "CommandInstance",
    "ControlEffect",
    "ControlNode",
    "ControlOptions",
    "ControlState",
    "DatabaseRecord",
    "EmitEvent",
    "InstanceCommandKind",
    "InstanceRecord",
    "InstanceReply",
    "PersistEffect",
    "PersistEntries",
    "PersistFormation",
    "PersistSnapshot",
    "PersistVote",
    "ReplyOperator",
    "SendMessage",
    "SetDatabase",
    "encode_command",
    "node_statuses",
]
