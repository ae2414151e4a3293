"""Ways to spread control state to all members."""

from cardamomshunt._spread.fan_out import FanOutSpread
from cardamomshunt._spread.gossip import GossipSpread, GossipTable
from cardamomshunt._spread.interface import (
    AbstractSpread,
    GroupReport,
    NodeBeat,
    SendTo,
    SpreadEffect,
    SpreadMember,
    SpreadSettings,
    StateReceived,
    StateRequest,
    StateUpdate,
)
from cardamomshunt._spread.relay import RelayDuty, RelayGreeting, RelaySpread

__all__ = [
    "AbstractSpread",
    "FanOutSpread",
    "GossipSpread",
    "GossipTable",
    "GroupReport",
    "NodeBeat",
    "RelayDuty",
    "RelayGreeting",
    "RelaySpread",
    "SendTo",
    "SpreadEffect",
    "SpreadMember",
    "SpreadSettings",
    "StateReceived",
    "StateRequest",
    "StateUpdate",
]
