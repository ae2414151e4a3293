"""Messages and effects of the membership state machine."""

import enum

import msgspec

from cardamomshunt._shared.messages import Message


class MemberState(enum.Enum):
    """Name what is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State a belief on a member; only the member itself raises its incarnation."""

    node: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Probe(Message, kw_only=True):
    """Ask a member for a sign of life."""

    sequence: int
    records: list[MemberRecord] = []


class ProbeAnswer(Message, kw_only=True):
    """Answer a probe; `node` is the member that was probed."""

    sequence: int
    node: str
    records: list[MemberRecord] = []


class ProbeRequest(Message, kw_only=True):
    """Ask a member to probe another one, which the sender does not reach."""

    sequence: int
    target: str
    records: list[MemberRecord] = []


class MembershipEffect(msgspec.Struct, kw_only=True):
    """Base of what the membership asks its host to do."""


class SendToMember(MembershipEffect, kw_only=True):
    """Send a message to a member."""

    node: str
    address: str
    message: Message


class MemberChanged(MembershipEffect, kw_only=True):
    """Tell that the belief on a member changed."""

    node: str
    zone: str
    state: MemberState


class ZoneChanged(MembershipEffect, kw_only=True):
    """Tell that a whole availability zone stopped or started answering."""

    zone: str
    is_unreachable: bool = msgspec.field(name="is_cut_off")
