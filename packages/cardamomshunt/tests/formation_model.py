"""Seeds that form their first group in simulated time, with losses, cuts and restarts."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cardamomshunt._consensus.followers import majority
from cardamomshunt._consensus.formation_acceptor import FormationAcceptor
from cardamomshunt._consensus.formation_messages import (
    FormationAccept,
    FormationAccepted,
    FormationPrepare,
    FormationPromise,
    FormationRecord,
)
from cardamomshunt._consensus.formation_proposer import FormationProposer
from cardamomshunt._consensus.messages import Member

TICK_MS = 20.0
HELLO_MS = 150.0
DELAY_MS = (1.0, 20.0)
SYNC_MS = (1.0, 30.0)
LOSS_SHARE = 0.05


@dataclass
class Formed:
    """Tell other seeds which members have been chosen."""

    members: list[Member]


@dataclass
class Hello:
    """Report an empty log."""

    incarnation: int


@dataclass
class Disk:
    """What remains of a seed when its process ends."""

    incarnation: int
    record: FormationRecord = field(default_factory=FormationRecord)
    members: list[Member] | None = None


class Seed:
    """Process and disk of one seed; `disk` is None while the seed is lost for good."""

    def __init__(self, name: str, network: "SeedNetwork") -> None:
        self.name = name
        self.disk = Disk(incarnation=network.random.getrandbits(32))
        # Only the disk of the first start may be an acceptor.
        self.is_first_disk = True
        self.generation = 0
        self.is_running = False
        self._network = network
        self._proposer: FormationProposer | None = None
        self._acceptor: FormationAcceptor | None = None

    def start(self, now_ms: float) -> None:
        """Start the process with what is on the disk."""
        self.generation += 1
        self.is_running = True
        if self.is_first_disk:
            incarnation = self.disk.incarnation
            self._acceptor = FormationAcceptor(incarnation, self.disk.record)
            self._proposer = FormationProposer(
                self.name,
                incarnation,
                self._network.members,
                self._network.random,
                now_ms,
                majority(len(self._network.members)),
            )

    def stop(self) -> None:
        """End the process; what is not durable yet is lost."""
        self.generation += 1
        self.is_running = False
        self._acceptor = self._proposer = None

    def lose_disk(self) -> None:
        """Replace the disk of the stopped process by an empty one."""
        self.disk = Disk(incarnation=self._network.random.getrandbits(32))
        self.is_first_disk = False

    def tick(self, now_ms: float) -> None:
        """Send what is due."""
        if self._proposer is None or self.disk.members is not None:
            return
        message = self._proposer.tick(now_ms)
        if message is not None:
            self._network.broadcast(self, message)

    def say_hello(self) -> None:
        """Report an empty log to the other seeds."""
        if self.disk.members is None:
            self._network.broadcast(self, Hello(self.disk.incarnation))

    def receive(self, now_ms: float, sender: "Seed", message: object) -> None:
        """Handle a message."""
        if self.disk.members is not None:
            self._network.send(self, sender, Formed(self.disk.members))
            return
        if isinstance(message, Formed):
            self._adopt(message.members)
        elif self._proposer is not None and self._acceptor is not None:
            self._negotiate(now_ms, sender, message)

    def _adopt(self, members: list[Member]) -> None:
        own = (self.name, self.disk.incarnation)
        if any((item.node, item.incarnation) == own for item in members):
            self._form(members)

    def _form(self, members: list[Member]) -> None:
        self.disk.members = members
        self._network.on_formed(members)

    def _negotiate(self, now_ms: float, sender: "Seed", message: object) -> None:
        assert self._proposer is not None
        assert self._acceptor is not None
        match message:
            case Hello():
                self._proposer.on_empty_seed(sender.name, message.incarnation)
            case FormationPrepare():
                reply = self._acceptor.on_prepare(message)
                self._send_durable(sender, reply)
            case FormationPromise():
                self._proposer.on_promise(now_ms, sender.name, message)
            case FormationAccept():
                accepted = self._acceptor.on_accept(message)
                self._send_durable(sender, accepted)
            case FormationAccepted():
                members = self._proposer.on_accepted(now_ms, sender.name, message)
                if members is not None:
                    self._form(members)
                    self._network.broadcast(self, Formed(members))

    def _send_durable(self, receiver: "Seed", reply: object) -> None:
        assert self._acceptor is not None
        record, generation = self._acceptor.record, self.generation

        def on_durable() -> None:
            if self.generation == generation:
                self.disk.record = record
                self._network.send(self, receiver, reply)

        self._network.after_sync(self, on_durable)


class SeedNetwork:
    """Run seeds on one clock; messages are delayed, reordered, doubled and lost."""

    def __init__(self, seed: int, n_seeds: int = 3) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        names = [f"seed-{number}" for number in range(n_seeds)]
        self.members = [
            Member(node=name, zone="", peer_address=name, operator_address=name)
            for name in names
        ]
        self.seeds = {name: Seed(name, self) for name in names}
        self.cut_links: set[tuple[str, str]] = set()
        self.formed: list[list[Member]] = []
        self.loss_share = LOSS_SHARE
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._synced_ms = dict.fromkeys(names, 0.0)
        self._repeat(TICK_MS, lambda seed: seed.tick(self.now_ms))
        self._repeat(HELLO_MS, lambda seed: seed.say_hello())

    def _repeat(self, interval_ms: float, action: Callable[[Seed], None]) -> None:
        def run() -> None:
            for seed in self.seeds.values():
                if seed.is_running:
                    action(seed)
            self.at(self.now_ms + interval_ms, run)

        self.at(0.0, run)

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_ms, next(self._numbers), action))

    def run(self, until_ms: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def broadcast(self, sender: Seed, message: object) -> None:
        """Send a message to all seeds, the sender included."""
        for seed in self.seeds.values():
            self.send(sender, seed, message)

    def send(self, sender: Seed, receiver: Seed, message: object) -> None:
        """Deliver a message after a delay, unless it is lost."""
        if (sender.name, receiver.name) in self.cut_links:
            return
        if sender is not receiver and self.random.random() < self.loss_share:
            return
        generation = receiver.generation

        def deliver() -> None:
            if receiver.is_running and receiver.generation == generation:
                receiver.receive(self.now_ms, sender, message)

        self.at(self.now_ms + self.random.uniform(*DELAY_MS), deliver)

    def after_sync(self, seed: Seed, action: Callable[[], None]) -> None:
        """Run an action once a write is durable; writes end in their order."""
        end_ms = self.now_ms + self.random.uniform(*SYNC_MS)
        self._synced_ms[seed.name] = max(self._synced_ms[seed.name], end_ms)
        self.at(self._synced_ms[seed.name], action)

    def on_formed(self, members: list[Member]) -> None:
        """Record the members with which a seed starts."""
        if members not in self.formed:
            self.formed.append(members)
