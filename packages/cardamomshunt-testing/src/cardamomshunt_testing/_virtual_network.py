"""In-process network whose members exchange encoded messages in virtual time."""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cardamomshunt.messages import Message, decode_envelope, encode_envelope


@dataclass(slots=True, frozen=True)
class Outgoing:
    """Message to a member."""

    receiver: str
    message: Message


class Participant(Protocol):
    """State machine of a member, as the network runs it."""

    def next_deadline_ms(self) -> float | None:
        """Return when the next tick is due, or None."""

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Process expired deadlines and return the messages to send."""

    def receive(self, now_ms: float, sender: str, message: Message) -> list[Outgoing]:
        """Process a message and return the messages to send."""


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that one member sent and received, and its CPU time."""

    n_sent: int = 0
    n_received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0


@dataclass(slots=True)
class VirtualNetwork:
    """Deliver messages after a delay, except between members that are not linked."""

    random_state: random.Random
    delay_ms: Callable[[str, str], float] = lambda sender, receiver: 5.0
    is_linked: Callable[[str, str], bool] = lambda sender, receiver: True
    loss: float = 0.0
    now_ms: float = 0.0
    participants: dict[str, Participant] = field(default_factory=dict)
    traffic: dict[str, Traffic] = field(default_factory=dict)
    _events: list[tuple[float, int, str, str, bytes]] = field(default_factory=list)
    _order: "itertools.count[int]" = field(default_factory=itertools.count)

    def add(self, node: str, participant: Participant) -> None:
        """Add a member and schedule its first tick."""
        self.participants[node] = participant
        self.traffic.setdefault(node, Traffic())
        self._schedule(node)

    def remove(self, node: str) -> None:
        """Remove a member without notifying the others."""
        del self.participants[node]

    def run_until(self, end_ms: float) -> None:
        """Deliver messages and run ticks up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, receiver, sender, payload = heapq.heappop(self._events)
            self.now_ms = at_ms
            participant = self.participants.get(receiver)
            if participant is None:
                continue
            started_s = time.process_time()
            if sender:
                outgoing = self._deliver(participant, receiver, sender, payload)
            else:
                outgoing = self._tick(participant, at_ms)
            self._send_all(receiver, outgoing)
            self.traffic[receiver].cpu_s += time.process_time() - started_s
            if not sender:
                self._schedule(receiver)
        self.now_ms = end_ms

    def _tick(self, participant: Participant, now_ms: float) -> list[Outgoing]:
        deadline_ms = participant.next_deadline_ms()
        if deadline_ms is None or deadline_ms > now_ms:
            return []
        return participant.tick(now_ms)

    def _deliver(
        self, participant: Participant, receiver: str, sender: str, payload: bytes
    ) -> list[Outgoing]:
        traffic = self.traffic[receiver]
        traffic.n_received += 1
        traffic.received_bytes += len(payload)
        _, message = decode_envelope(payload)
        return participant.receive(self.now_ms, sender, message)

    def send_all(self, sender: str, outgoing: list[Outgoing]) -> None:
        """Send messages that a member produced outside of a tick."""
        self._send_all(sender, outgoing)

    def _send_all(self, sender: str, outgoing: list[Outgoing]) -> None:
        traffic = self.traffic[sender]
        for item in outgoing:
            payload = encode_envelope(
                item.message,
                sender=sender,
                reply_address="tcp://10.0.0.1:7100",
                sent_hlc=1 << 57,
            )
            traffic.n_sent += 1
            traffic.sent_bytes += len(payload)
            is_lost = self.random_state.random() < self.loss
            if is_lost or not self.is_linked(sender, item.receiver):
                continue
            at_ms = self.now_ms + self.delay_ms(sender, item.receiver)
            event = (at_ms, next(self._order), item.receiver, sender, payload)
            heapq.heappush(self._events, event)

    def _schedule(self, node: str) -> None:
        participant = self.participants.get(node)
        deadline_ms = participant.next_deadline_ms() if participant else None
        if deadline_ms is None:
            return
        at_ms = max(deadline_ms, self.now_ms + 1.0)
        heapq.heappush(self._events, (at_ms, next(self._order), node, "", b""))
