"""Abstract base class of ways to spread control state, with messages and effects."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from cardamomshunt._shared.messages import Message


class StateUpdate(Message, kw_only=True):
    """Carry the state of a version; `payload` is opaque here."""

    version: int
    payload: bytes


class NodeHeartbeat(Message, kw_only=True, tag="NodeBeat"):
    """Report a member as alive, with the version that it has."""

    version: int


class StateRequest(Message, kw_only=True):
    """Ask a member for a state newer than `version`."""

    version: int


class GroupReport(Message, kw_only=True):
    """Describe a group in a few bytes: what is true of all, and the exceptions."""

    group: str
    sequence: int
    common_version: int
    lagging: dict[str, int] = {}
    unresponsive: list[str] = msgspec.field(default_factory=list, name="silent")


class DisseminationEffect(msgspec.Struct, kw_only=True):
    """Base of what a spread asks its host to do."""


class SendTo(DisseminationEffect, kw_only=True):
    """Send a message to a member."""

    node: str
    message: Message


class StateReceived(DisseminationEffect, kw_only=True):
    """Hand a newer state to the host."""

    version: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class DisseminationMember:
    """Name a member and its group, which is its availability zone."""

    node: str
    group: str


@dataclass(slots=True, frozen=True)
class DisseminationSettings:
    """Set the pace; a member is silent after three lost beats."""

    heartbeat_ms: float = 500.0
    unresponsive_after_ms: float = 1_600.0


class AbstractDissemination(ABC):
    """Spread versions of a state from a leader, and collect signs of life for it.

    Messages may be lost, repeated and reordered; versions never go back.
    """

    @property
    @abstractmethod
    def version(self) -> int:
        """Return the newest version that this member has."""

    @abstractmethod
    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Spread a new version; for the leader."""

    @abstractmethod
    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Take over a message."""

    @abstractmethod
    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Act on deadlines that have passed."""

    @abstractmethod
    def next_deadline_ms(self) -> float | None:
        """Return the time of the next needed tick."""

    @abstractmethod
    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members without a sign of life, as the leader knows."""

    @abstractmethod
    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members with an older version, as the leader knows."""
