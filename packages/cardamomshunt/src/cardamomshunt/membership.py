"""Membership of daemons, with failure detection by probes."""

from cardamomshunt._dissemination.membership import (
    Membership,
    MembershipSettings,
    is_newer,
)
from cardamomshunt._dissemination.membership_messages import (
    MemberChanged,
    MemberRecord,
    MembershipEffect,
    MemberState,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    SendToMember,
    ZoneChanged,
)

__all__ = [
    "MemberChanged",
    "MemberRecord",
    "MemberState",
    "Membership",
    "MembershipEffect",
    "MembershipSettings",
    "Probe",
    "ProbeAnswer",
    "ProbeRequest",
    "SendToMember",
    "ZoneChanged",
    "is_newer",
]
