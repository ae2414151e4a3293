"""Ways to spread control state to all members."""

from cardamomshunt._spread_fan_out import FanOutSpread
from cardamomshunt._spread_gossip import GossipSpread, GossipTable
from cardamomshunt._spread_interface import (
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
from cardamomshunt._spread_relay import RelayDuty, RelayGreeting, RelaySpread

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
