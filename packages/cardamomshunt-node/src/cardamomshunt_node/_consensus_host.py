"""Host of a control node's replicated log, with its sockets, timers and disk."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from cardamomshunt.consensus import (
    ConsensusMessage,
    ConsensusNode,
    ConsensusOptions,
    Entry,
    EntryKind,
    Member,
    Peer,
    Snapshot,
)
from cardamomshunt.control_effects import (
    ControlEffect,
    EmitEvent,
    PersistEffect,
    SendMessage,
)
from cardamomshunt.events import EventNumber

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._log_storage import LogStorage, OpenedStorage
from cardamomshunt_node._storage_task import StorageDone, StorageFailed, StorageTask
from cardamomshunt_node._storage_watch import StorageWatch
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport

# A lost packet delays a connection by 200 ms; an election timeout has to exceed the
# delay of two.
OPTIONS = ConsensusOptions(
    election_min_ms=400.0,
    election_max_ms=650.0,
    heartbeat_ms=100.0,
    restart_pre_vote_ms=60.0,
    join_interval_ms=150.0,
    n_entries_per_message=16,
    admits_unknown_nodes=True,
)
_N_ENTRIES_BETWEEN_SNAPSHOTS = 200
_PEER_RESET_MS = 500.0


class NotLeaderError(Exception):
    """Raised if this node did not commit a command, which may still be committed."""


class ConsensusHost:
    """Run the consensus node with its timers, storage and pending commands."""

    def __init__(
        self,
        node: str,
        members: list[Member],
        opened: OpenedStorage,
        storage: LogStorage,
        transport: StreamTransport,
        log: DecisionLog,
        metrics: ControlMetrics,
        apply: Callable[[int, bytes], bool],
        install: Callable[[bytes], None],
        encode_state: Callable[[], bytes],
        operator_address: str,
        may_form: bool,
        n_disks_lost_max: int,
        predecessor_ended_ms: float | None,
    ) -> None:
        self.node = ConsensusNode(
            node,
            members,
            opened.restored,
            random.Random(),
            boot_ms(),
            replace(OPTIONS, n_voters=2 * n_disks_lost_max + 1),
            operator_address=operator_address,
            may_form=may_form,
            predecessor_ended_ms=predecessor_ended_ms,
        )
        self._transport = transport
        self._decision_log = log
        self._metrics = metrics
        self._apply = apply
        self._install = install
        self._encode_state = encode_state
        watch = StorageWatch(log, metrics.storage)
        self._storage = StorageTask(storage, self._on_storage, watch.observe)
        self._pending_commands: dict[int, tuple[int, asyncio.Future[bool]]] = {}
        self.applied_index = 0
        self._snapshot_index = 0
        self._wake_up = asyncio.Event()
        self._was_leader = False
        self._last_heard_ms: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.on_applied: Callable[[], None] = lambda: None
        self.on_leadership: Callable[[bool], None] = lambda is_leader: None
        if opened.restored.snapshot.index:
            self._install(opened.restored.snapshot.state)
            self.applied_index = opened.restored.snapshot.index
            self._snapshot_index = self.applied_index

    def start(self) -> None:
        """Start the timers and the storage task."""
        self._tasks = [
            asyncio.create_task(self._run_timers()),
            asyncio.create_task(self._storage.run()),
        ]

    async def stop(self) -> None:
        """Cancel the timers and the storage task."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def is_idle(self) -> bool:
        """Return whether all writes are durable."""
        return self._storage.is_idle

    @property
    def oldest_write_age_ms(self) -> float:
        """Return the age of the oldest write that is not durable, or 0."""
        return self._storage.oldest_age_ms

    @property
    def may_act(self) -> bool:
        """Return whether this node holds the leader lease, so that no other can lead."""
        return self.node.has_lease(boot_ms())

    def leader_address(self) -> str | None:
        """Return the peer address of the known leader."""
        leader = self.node.member(self.node.leader or "")
        return leader.peer_address if leader else None

    def leader_operator_address(self) -> str | None:
        """Return the operator address of the known leader."""
        leader = self.node.member(self.node.leader or "")
        return leader.operator_address if leader else None

    async def propose(self, payload: bytes) -> bool:
        """Commit a command; return whether it took effect.

        Raise NotLeaderError if the outcome is ambiguous. While this node leads there is
        no time limit, as the same command, proposed again, would only be written after
        this one.
        """
        index = self.node.propose(boot_ms(), payload)
        if index is None:
            raise NotLeaderError
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_commands[index] = (self.node.term, future)
        self._run_effects(self.node.pop_effects())
        self._process_ready()
        try:
            return await future
        finally:
            self._pending_commands.pop(index, None)

    def transfer_leadership(self) -> None:
        """Transfer leadership to another node before a stop."""
        self.node.transfer_leadership(boot_ms())
        self._run_effects(self.node.pop_effects())
        self._process_ready()

    def on_message(self, received: StreamMessage, message: ConsensusMessage) -> None:
        """Process a message from another control node."""
        sender = received.envelope.sender
        self._last_heard_ms[sender] = boot_ms()
        peer = Peer(sender, received.envelope.reply_address)
        self._run_effects(self.node.on_message(boot_ms(), peer, message))
        self._process_ready()

    def _on_storage(self, done: StorageDone | StorageFailed) -> None:
        if isinstance(done, StorageDone):
            effects = self.node.on_storage_done(boot_ms(), done.sequence)
        elif done.is_full:
            effects = self.node.on_storage_full(boot_ms(), done.reason)
        else:
            effects = self.node.on_storage_failed(boot_ms(), done.reason)
        self._run_effects(effects)
        self._process_ready()

    async def _run_timers(self) -> None:
        while True:
            deadline_ms = self.node.next_deadline_ms()
            wait_ms = 500.0 if deadline_ms is None else deadline_ms - boot_ms()
            if wait_ms > 0.0:
                await self._wait(wait_ms)
            self._run_effects(self.node.tick(boot_ms()))
            self._reset_unresponsive_peers()
            self._process_ready()
            await asyncio.sleep(0.002)

    async def _wait(self, wait_ms: float) -> None:
        self._wake_up.clear()
        try:
            async with asyncio.timeout(wait_ms / 1_000.0):
                await self._wake_up.wait()
        except TimeoutError:
            return

    def _reset_unresponsive_peers(self) -> None:
        """Reset connections to unresponsive members, as the connections may be dead."""
        now_ms = boot_ms()
        if not self.node.is_leader:
            return
        for member in self.node.members:
            last_heard_ms = self._last_heard_ms.setdefault(member.node, now_ms)
            if (
                member.node != self.node.node
                and now_ms > last_heard_ms + _PEER_RESET_MS
            ):
                self._last_heard_ms[member.node] = now_ms
                self._transport.reset(member.peer_address)

    def _run_effects(self, effects: list[ControlEffect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage():
                    self._transport.send(effect.address, effect.message)
                case PersistEffect():
                    self._storage.put(effect)
                case EmitEvent():
                    self._emit(effect)

    def _emit(self, event: EmitEvent) -> None:
        self._metrics.count_event(event.number)
        self._decision_log.write(
            EventNumber(event.number).name.lower(),
            subject=event.subject,
            detail=event.detail,
            term=self.node.term,
        )

    def _process_ready(self) -> None:
        """Apply committed entries and report a change of leadership."""
        ready = self.node.pop_ready()
        for item in ready:
            if isinstance(item, Snapshot):
                self._install(item.state)
                self.applied_index = self._snapshot_index = item.index
            else:
                self._apply_entry(item)
        if ready:
            self.on_applied()
        if self.applied_index >= self._snapshot_index + _N_ENTRIES_BETWEEN_SNAPSHOTS:
            self._snapshot_index = self.applied_index
            self.node.compact(self._encode_state(), self.applied_index)
            self._run_effects(self.node.pop_effects())
        if self.node.is_leader != self._was_leader:
            self._was_leader = self.node.is_leader
            if not self._was_leader:
                self._fail_pending()
            self.on_leadership(self._was_leader)
        self._wake_up.set()

    def _apply_entry(self, entry: Entry) -> None:
        is_effective = False
        if entry.kind is EntryKind.COMMAND:
            is_effective = self._apply(entry.index, entry.payload)
        self.applied_index = entry.index
        term, future = self._pending_commands.get(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(is_effective)
        else:
            future.set_exception(NotLeaderError())

    def _fail_pending(self) -> None:
        for _, future in self._pending_commands.values():
            if not future.done():
                future.set_exception(NotLeaderError())
