"""Control nodes that exchange messages in simulated time, with instant disks."""

from random import Random

from cardamomshunt.consensus import (
    ConsensusNode,
    ConsensusOptions,
    Entry,
    Member,
    Peer,
    RestoredState,
    Snapshot,
    Vote,
)
from cardamomshunt.control import ControlEffect, PersistEffect, SendMessage


def make_members(names: list[str]) -> list[Member]:
    return [
        Member(
            node=name,
            zone="z",
            peer_address=name,
            operator_address=name,
            incarnation=number,
        )
        for number, name in enumerate(names, start=1)
    ]


class Cluster:
    """Nodes that exchange messages while they are up, with instant disks."""

    def __init__(
        self,
        node_type: type[ConsensusNode],
        logs: dict[str, list[Entry]],
        term: int,
        options: ConsensusOptions | None = None,
    ) -> None:
        members = make_members(list(logs))
        self.up = set(logs)
        self.queue: list[tuple[str, SendMessage]] = []
        self.now_ms = 0.0
        self.nodes = {
            member.node: node_type(
                member.node,
                members,
                RestoredState(
                    incarnation=member.incarnation,
                    vote=Vote(term, "gone"),
                    snapshot=Snapshot(members=members),
                    entries=logs[member.node],
                ),
                Random(member.incarnation),
                0.0,
                options,
            )
            for member in members
        }

    def run(self, name: str, effects: list[ControlEffect]) -> None:
        sequences = [e.sequence for e in effects if isinstance(e, PersistEffect)]
        self.queue += [(name, e) for e in effects if isinstance(e, SendMessage)]
        if sequences:
            node = self.nodes[name]
            self.run(name, node.on_storage_done(self.now_ms, max(sequences)))

    def deliver_one(self) -> None:
        sender, effect = self.queue.pop(0)
        if sender in self.up and effect.address in self.up:
            node = self.nodes[effect.address]
            peer = Peer(sender, sender)
            self.run(node.node, node.on_message(self.now_ms, peer, effect.message))

    def elect(self, name: str, at_ms: float) -> None:
        """Run a node's election, delivering all messages until it leads."""
        self.now_ms = at_ms
        for _ in range(3):
            self.queue.clear()
            self.run(name, self.nodes[name].tick(self.now_ms))
            while self.queue and not self.nodes[name].is_leader:
                self.deliver_one()
            if self.nodes[name].is_leader:
                break
            # In the first round the candidate may only learn the newest term.
            self.now_ms += 700.0
        assert self.nodes[name].is_leader


class OpenCluster(Cluster):
    """Nodes on a simulated clock; nodes that are not members may join."""

    def __init__(self, names: list[str], options: ConsensusOptions) -> None:
        super().__init__(ConsensusNode, {name: [] for name in names}, 0, options)
        self._options = options

    def add(self, name: str, seeds: list[str], may_form: bool) -> ConsensusNode:
        node = ConsensusNode(
            name,
            make_members(seeds),
            RestoredState(incarnation=77),
            Random(77),
            self.now_ms,
            self._options,
            operator_address=f"{name}-operator",
            may_form=may_form,
        )
        self.nodes[name] = node
        self.up.add(name)
        return node

    def pass_time(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 20.0
            for name in sorted(self.up):
                self.run(name, self.nodes[name].tick(self.now_ms))
            while self.queue:
                self.deliver_one()

    @property
    def leader(self) -> ConsensusNode:
        leaders = [n for n in self.nodes.values() if n.is_leader and n.node in self.up]
        return max(leaders, key=lambda node: node.term)

    def voters(self) -> set[str]:
        return {member.node for member in self.leader.voters}


class DelayedCluster(OpenCluster):
    """Nodes whose messages take time to some of them, and from them."""

    def __init__(self, names: list[str], options: ConsensusOptions) -> None:
        super().__init__(names, options)
        self.delay_ms: dict[str, float] = {}
        self._in_flight: list[tuple[float, str, SendMessage]] = []

    def pass_time(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 5.0
            for name in sorted(self.up):
                deadline_ms = self.nodes[name].next_deadline_ms()
                if deadline_ms is not None and self.now_ms >= deadline_ms:
                    self.run(name, self.nodes[name].tick(self.now_ms))
            self._deliver_due()

    def _deliver_due(self) -> None:
        for sender, effect in self.queue:
            due_ms = self.now_ms + self.delay_of(sender, effect)
            self._in_flight.append((due_ms, sender, effect))
        due = [item for item in self._in_flight if item[0] <= self.now_ms]
        self._in_flight = [item for item in self._in_flight if item[0] > self.now_ms]
        self.queue = [(sender, effect) for _, sender, effect in due]
        for _ in due:
            self.deliver_one()

    def delay_of(self, sender: str, effect: SendMessage) -> float:
        """Return the time that a message takes."""
        ends = (sender, effect.address)
        return max(self.delay_ms.get(name, 1.0) for name in ends)
