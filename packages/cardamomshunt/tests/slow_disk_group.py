"""Control nodes in virtual time whose disks take a given time for each sync."""

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
    RestoredState,
    Snapshot,
    Vote,
)
from cardamomshunt.control import (
    ControlEffect,
    EmitEvent,
    PersistEffect,
    PersistEntries,
    SendMessage,
)
from cardamomshunt.events import EventNumber

OPTIONS = ConsensusOptions(
    election_min_ms=400.0,
    election_max_ms=650.0,
    restart_pre_vote_ms=60.0,
    join_interval_ms=150.0,
    admits_unknown_nodes=True,
)
_STEP_MS = 2.0
_TERM = 7


def make_members(names: list[str]) -> list[Member]:
    """Return voters with these names; the number of each is its incarnation."""
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


class SlowDiskGroup:
    """Nodes that restart with a log, and write in batches as the daemon does.

    A batch takes a sync for its entries and two for each vote or snapshot. Times of a
    sync and of a message vary by `spread`.
    """

    def __init__(
        self,
        names: list[str],
        seed: int,
        *,
        sync_ms: float,
        message_ms: float = 0.3,
        lost: frozenset[str] = frozenset(),
        spread: float = 0.3,
    ) -> None:
        self._random = Random(seed)
        self._sync_ms = sync_ms
        self._message_ms = message_ms
        self._spread = spread
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._queued: dict[str, list[PersistEffect]] = {}
        self._writing: set[str] = set()
        self.now_ms = 0.0
        self.events: list[tuple[float, str, EventNumber, str]] = []
        self.nodes: dict[str, ConsensusNode] = {}
        members = make_members(names)
        for member in members:
            if member.node not in lost:
                start_ms = self._random.uniform(0.0, 300.0)
                self._after(start_ms, lambda item=member: self._start(item, members))

    @property
    def leader(self) -> ConsensusNode | None:
        """Return the leader that holds its lease, if there is one."""
        for node in self.nodes.values():
            if node.has_lease(self.now_ms):
                return node
        return None

    def set_sync_ms(self, sync_ms: float) -> None:
        """Set the time of a sync for the writes that begin from now on."""
        self._sync_ms = sync_ms

    def propose(self, node: ConsensusNode, payload: bytes) -> int:
        """Propose a command at the leader; return its index."""
        index = node.propose(self.now_ms, payload)
        assert index is not None
        self._carry_out(node, node.pop_effects())
        return index

    def count(self, number: EventNumber) -> int:
        """Return how often an event was emitted."""
        return sum(event[2] is number for event in self.events)

    def run_until(self, is_done: Callable[[], bool], limit_ms: float) -> float | None:
        """Run until a condition holds; return the time it took, or None if too long."""
        start_ms = self.now_ms
        while not is_done():
            if self.now_ms >= start_ms + limit_ms:
                return None
            self._advance()
        return self.now_ms - start_ms

    def _advance(self) -> None:
        self.now_ms += _STEP_MS
        while self._due and self._due[0][0] <= self.now_ms:
            heapq.heappop(self._due)[2]()
        for node in list(self.nodes.values()):
            deadline_ms = node.next_deadline_ms()
            if deadline_ms is None or self.now_ms >= deadline_ms:
                self._carry_out(node, node.tick(self.now_ms))

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._due, (due_ms, next(self._numbers), action))

    def _start(self, member: Member, members: list[Member]) -> None:
        entries = [Entry(1, _TERM, EntryKind.COMMAND, b"x")]
        restored = RestoredState(
            member.incarnation, Vote(_TERM, ""), Snapshot(members=members), entries
        )
        self.nodes[member.node] = ConsensusNode(
            member.node,
            members,
            restored,
            Random(self._random.getrandbits(32)),
            self.now_ms,
            OPTIONS,
        )

    def _varied(self, duration_ms: float) -> float:
        factor = self._random.uniform(1.0 - self._spread, 1.0 + self._spread)
        return duration_ms * factor

    def _carry_out(self, node: ConsensusNode, effects: list[ControlEffect]) -> None:
        for effect in effects:
            if isinstance(effect, PersistEffect):
                self._queued.setdefault(node.node, []).append(effect)
            elif isinstance(effect, EmitEvent):
                number = EventNumber(effect.number)
                self.events.append((self.now_ms, node.node, number, effect.detail))
            elif isinstance(effect, SendMessage):
                self._send(node.node, effect)
        if node.node not in self._writing:
            self._write_next(node)

    def _send(self, sender: str, effect: SendMessage) -> None:
        def deliver() -> None:
            node = self.nodes.get(effect.address)
            if node is not None:
                peer = Peer(sender, sender)
                self._carry_out(
                    node, node.on_message(self.now_ms, peer, effect.message)
                )

        self._after(self._varied(self._message_ms), deliver)

    def _write_next(self, node: ConsensusNode) -> None:
        batch = self._queued.pop(node.node, [])
        if not batch:
            return
        n_files = sum(not isinstance(effect, PersistEntries) for effect in batch)
        n_syncs = 2 * n_files + (n_files < len(batch))
        self._writing.add(node.node)

        def finish() -> None:
            self._writing.discard(node.node)
            sequence = batch[-1].sequence
            self._carry_out(node, node.on_storage_done(self.now_ms, sequence))

        duration_ms = sum(self._varied(self._sync_ms) for _ in range(n_syncs))
        self._after(duration_ms, finish)
