"""Abstract base class of the dissemination strategies, with messages and effects."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from cardamomshunt._shared.messages import Message


class StateUpdate(Message, kw_only=True):
    """State of one version; `payload` is opaque to dissemination."""

    version: int
    payload: bytes


class NodeHeartbeat(Message, kw_only=True, tag="NodeBeat"):
    """Heartbeat of a member, with the version that it has."""

    version: int


class StateRequest(Message, kw_only=True):
    """Request for a state newer than `version`."""

    version: int


class GroupReport(Message, kw_only=True):
    """Compact summary of a group: the common version and the members that differ."""

    group: str
    sequence: int
    common_version: int
    lagging: dict[str, int] = {}
    unresponsive: list[str] = msgspec.field(default_factory=list, name="silent")


class DisseminationEffect(msgspec.Struct, kw_only=True):
    """Base class of the effects that the host carries out."""


class SendTo(DisseminationEffect, kw_only=True):
    """Send a message to a member."""

    node: str
    message: Message


class StateReceived(DisseminationEffect, kw_only=True):
    """Deliver a newer state to the host."""

    version: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class DisseminationMember:
    """Name of a member and of its group, which is its availability zone."""

    node: str
    group: str


@dataclass(slots=True, frozen=True)
class DisseminationSettings:
    """Heartbeat intervals; a member is unresponsive after three missed heartbeats."""

    heartbeat_ms: float = 500.0
    unresponsive_after_ms: float = 1_600.0


class AbstractDissemination(ABC):
    """Disseminate versions of a state from a leader, and collect heartbeats for it.

    Messages may be lost, duplicated and reordered; a member's version never decreases.
    """

    @property
    @abstractmethod
    def version(self) -> int:
        """Return the newest version that this member has received."""

    @abstractmethod
    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Disseminate a new version; called on the leader."""

    @abstractmethod
    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Process a message from another member."""

    @abstractmethod
    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Act on deadlines that have passed."""

    @abstractmethod
    def next_deadline_ms(self) -> float | None:
        """Return when `tick` has to be called next, or None."""

    @abstractmethod
    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members without a recent heartbeat, as known to the leader."""

    @abstractmethod
    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members with an older version, as known to the leader."""
