"""Messages and effects of the membership state machine."""

import enum

import msgspec

from cardamomshunt._shared.messages import Message


class MemberState(enum.Enum):
    """State that a member is believed to be in."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Believed state of a member; only the member itself raises its incarnation."""

    node: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Probe(Message, kw_only=True):
    """Probe of a member, which answers if it is alive."""

    sequence: int
    records: list[MemberRecord] = []


class ProbeAnswer(Message, kw_only=True):
    """Answer to a probe; `node` is the member that was probed."""

    sequence: int
    node: str
    records: list[MemberRecord] = []


class ProbeRequest(Message, kw_only=True):
    """Request to probe another member, which the sender can't reach."""

    sequence: int
    target: str
    records: list[MemberRecord] = []


class MembershipEffect(msgspec.Struct, kw_only=True):
    """Base class of the effects that the host carries out."""


class SendToMember(MembershipEffect, kw_only=True):
    """Send a message to a member."""

    node: str
    address: str
    message: Message


class MemberChanged(MembershipEffect, kw_only=True):
    """Report that the believed state of a member changed."""

    node: str
    zone: str
    state: MemberState


class ZoneChanged(MembershipEffect, kw_only=True):
    """Report that a whole availability zone became unreachable or reachable."""

    zone: str
    is_unreachable: bool = msgspec.field(name="is_cut_off")
