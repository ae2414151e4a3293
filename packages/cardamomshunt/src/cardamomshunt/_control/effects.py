"""Effects that the control state machines request from their host."""

import enum

import msgspec

from cardamomshunt._consensus.formation_messages import FormationRecord
from cardamomshunt._consensus.messages import Entry, Vote
from cardamomshunt._shared.messages import InstanceAddress, Message
from cardamomshunt._shared.position import ZERO, LogPosition


class ControlEffect(msgspec.Struct, kw_only=True):
    """Base of the actions that a control node requests from its host."""


class SendMessage(ControlEffect, kw_only=True):
    """Send a message to a listener address, without a guarantee of delivery.

    A bulk message may be large, and must not delay others to the same address.
    """

    address: str
    message: Message
    is_bulk: bool = False


class PersistEffect(ControlEffect, kw_only=True):
    """Base of disk writes.

    The host performs them in order of `sequence`, syncs the disk, and then calls
    `on_storage_done` with the highest sequence that is durable.
    """

    sequence: int


class PersistVote(PersistEffect, kw_only=True):
    """Write the term and the vote durably."""

    vote: Vote


class PersistFormation(PersistEffect, kw_only=True):
    """Write the record of the formation of a group durably."""

    record: FormationRecord


class PersistEntries(PersistEffect, kw_only=True):
    """Write entries durably, replacing all entries from the first one's index on."""

    entries: list[Entry]


class PersistSnapshot(PersistEffect, kw_only=True):
    """Write an encoded snapshot durably, then remove log entries before `first_kept`.

    With `is_reset` the whole log is removed.
    """

    index: int
    data: bytes
    first_kept: int
    is_reset: bool


class InstanceCommandKind(enum.Enum):
    """Command to a backend server."""

    FENCE = "fence"
    PROMOTE = "promote"


class CommandInstance(ControlEffect, kw_only=True):
    """Run `CALL cardamomshunt_fence(term)` or `_promote(term)` on a backend server."""

    database: str
    instance: str
    address: InstanceAddress
    kind: InstanceCommandKind
    term: int
    timeout_ms: float


class InstanceReply(msgspec.Struct, kw_only=True):
    """Answer to a command; without `is_answered` the command may have run."""

    database: str
    instance: str
    kind: InstanceCommandKind
    command_term: int
    is_answered: bool
    is_accepted: bool = False
    term: int = 0
    log_position: LogPosition = ZERO


class ReplyOperator(ControlEffect, kw_only=True):
    """Answer an operator's request."""

    request_id: int
    message: Message


class EmitEvent(ControlEffect, kw_only=True):
    """Log a numbered event of the catalogue in docs/events.md."""

    number: int
    subject: str = ""
    detail: str = ""
    database: str = ""
