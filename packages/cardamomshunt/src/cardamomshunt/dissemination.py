"""Dissemination of control state to all members."""

from cardamomshunt._dissemination.fan_out import FanOutDissemination
from cardamomshunt._dissemination.gossip import GossipDissemination, GossipTable
from cardamomshunt._dissemination.interface import (
    AbstractDissemination,
    DisseminationEffect,
    DisseminationMember,
    DisseminationSettings,
    GroupReport,
    NodeHeartbeat,
    SendTo,
    StateReceived,
    StateRequest,
    StateUpdate,
)
from cardamomshunt._dissemination.relay import (
    RelayAnnouncement,
    RelayAssignment,
    RelayDissemination,
)

__all__ = [
    "AbstractDissemination",
    "DisseminationEffect",
    "DisseminationMember",
    "DisseminationSettings",
    "FanOutDissemination",
    "GossipDissemination",
    "GossipTable",
    "GroupReport",
    "NodeHeartbeat",
    "RelayAnnouncement",
    "RelayAssignment",
    "RelayDissemination",
    "SendTo",
    "StateReceived",
    "StateRequest",
    "StateUpdate",
]
