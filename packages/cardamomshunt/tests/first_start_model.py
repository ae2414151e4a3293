"""Control nodes at their first start in simulated time, with losses and restarts."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from cardamomshunt.consensus import (
    ConsensusNode,
    ConsensusOptions,
    Entry,
    EntryKind,
    Member,
    Peer,
)
from cardamomshunt.control import ControlEffect, PersistEffect, SendMessage
from cardamomshunt_testing._fake_disk import FakeDisk

OPTIONS = ConsensusOptions(
    election_min_ms=400.0,
    election_max_ms=650.0,
    heartbeat_ms=100.0,
    restart_pre_vote_ms=60.0,
    join_interval_ms=150.0,
    admits_unknown_nodes=True,
    forms_with_majority=True,
)
TICK_MS = 20.0
PROPOSAL_MS = 300.0
DELAY_MS = (1.0, 20.0)
SYNC_MS = (1.0, 30.0)
LOSS_SHARE = 0.05


class Machine:
    """Process and disk of a control node; only the first disk may form a group."""

    def __init__(self, name: str, network: "FirstStart", *, may_form: bool) -> None:
        self.name = name
        self.disk = FakeDisk(network.random.getrandbits(32))
        self.may_form = may_form
        self.node: ConsensusNode | None = None
        self._network = network

    def start(self) -> None:
        """Start the process with what is on the disk."""
        self.node = ConsensusNode(
            self.name,
            self._network.seeds,
            self.disk.restore(),
            self._network.random,
            self._network.now_ms,
            OPTIONS,
            operator_address=self.name,
            may_form=self.may_form,
        )

    def stop(self) -> None:
        """End the process; some of what is not durable is lost."""
        self.node = None
        self.disk.crash(self._network.random)

    def lose_disk(self) -> None:
        """Replace the disk of the stopped process by an empty one."""
        self.disk = FakeDisk(self._network.random.getrandbits(32))
        self.may_form = False

    def handle(self, effects: list[ControlEffect]) -> None:
        """Run effects, and record what is applied."""
        node, disk = self.node, self.disk
        assert node is not None
        for effect in effects:
            if isinstance(effect, PersistEffect):
                disk.pending_writes.append(effect)
                self._network.after_sync(lambda: self._sync(node, disk))
            elif isinstance(effect, SendMessage):
                self._network.send(self, effect)
        for item in node.pop_ready():
            if isinstance(item, Entry):
                self._network.on_applied(item)

    def _sync(self, node: ConsensusNode, disk: FakeDisk) -> None:
        if self.node is not node:
            return
        sequence = disk.sync()
        if sequence is not None:
            self.handle(node.on_storage_done(self._network.now_ms, sequence))

    def tick(self) -> None:
        """Run what is due."""
        if self.node is None:
            return
        now_ms = self._network.now_ms
        due_ms = self.node.next_deadline_ms()
        if due_ms is not None and now_ms >= due_ms:
            self.handle(self.node.tick(now_ms))

    def propose(self) -> None:
        """Propose a command of its own if this node leads."""
        if self.node is None or not self.node.is_leader:
            return
        payload = f"{self.name}-{next(self._network.numbers)}".encode()
        self.node.propose(self._network.now_ms, payload)
        self.handle(self.node.pop_effects())


class FirstStart:
    """Run machines on one clock, and compare what they apply.

    `n_acknowledged` counts the commands that some node has applied, and `conflicts`
    names the indexes at which nodes have applied different entries.
    """

    def __init__(self, seed: int, n_seeds: int = 3) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        names = [f"seed-{number}" for number in range(n_seeds)]
        self.seeds = [
            Member(node=name, zone="", peer_address=name, operator_address=name)
            for name in names
        ]
        self.machines = {name: Machine(name, self, may_form=True) for name in names}
        self.cut_links: set[tuple[str, str]] = set()
        self.had_cuts = False
        self.numbers = itertools.count()
        self.conflicts: list[int] = []
        self._applied: dict[int, Entry] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._repeat(TICK_MS, lambda machine: machine.tick())
        self._repeat(PROPOSAL_MS, lambda machine: machine.propose())

    @property
    def n_acknowledged(self) -> int:
        """Return the number of commands that some node has applied."""
        entries = self._applied.values()
        return sum(entry.kind is EntryKind.COMMAND for entry in entries)

    def add(self, name: str) -> Machine:
        """Add a successor at an address of its own, with an empty disk."""
        machine = self.machines[name] = Machine(name, self, may_form=False)
        return machine

    def _repeat(self, interval_ms: float, action: Callable[[Machine], None]) -> None:
        def run() -> None:
            for machine in list(self.machines.values()):
                action(machine)
            self.at(self.now_ms + interval_ms, run)

        self.at(0.0, run)

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_ms, next(self.numbers), action))

    def run(self, until_ms: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def after_sync(self, action: Callable[[], None]) -> None:
        """Run an action once a write may be durable."""
        self.at(self.now_ms + self.random.uniform(*SYNC_MS), action)

    def send(self, sender: Machine, effect: SendMessage) -> None:
        """Deliver a message after a delay, unless it is lost."""
        receiver = self.machines.get(effect.address)
        if receiver is None or (sender.name, receiver.name) in self.cut_links:
            return
        if sender is not receiver and self.random.random() < LOSS_SHARE:
            return
        node = receiver.node
        peer = Peer(sender.name, sender.name)

        def deliver() -> None:
            if node is not None and receiver.node is node:
                receiver.handle(node.on_message(self.now_ms, peer, effect.message))

        self.at(self.now_ms + self.random.uniform(*DELAY_MS), deliver)

    def on_applied(self, entry: Entry) -> None:
        """Compare an applied entry with that of other nodes."""
        if self._applied.setdefault(entry.index, entry) != entry:
            self.conflicts.append(entry.index)
