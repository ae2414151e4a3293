"""Group member: terms, fencing, replication state and confirmed positions."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cardamomshunt.messages import InstanceRole, TokenEcho
from cardamomshunt.position import LogPosition
from cardamomshunt_node.mysql_server import ServerError

from cardamomshunt_testing._standin_engine import Answer, Engine, Step
from cardamomshunt_testing._standin_faults import Faults
from cardamomshunt_testing._standin_log import InstanceLog, LogEntry
from cardamomshunt_testing._standin_messages import Append, AppendReply
from cardamomshunt_testing._standin_settings import StandinSettings

_N_ENTRIES_PER_APPEND = 500
_N_ENTRIES_PER_REPLAY = 200


@dataclass(slots=True)
class Peer:
    """Replication progress of another instance in the current term of the primary."""

    match_position: int = 0
    next_position: int = 1
    round: int = 0
    incarnation: int = 0
    is_counted: bool = False
    wake_up: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class PendingToken:
    """Token that waits until a majority acknowledges the term after its receipt."""

    token: str
    round: int
    position: LogPosition


def fenced_error(detail: str) -> ServerError:
    """Return the error for a write that this instance must not accept."""
    return ServerError(1290, "HY000", f"cardamomshunt_fenced: {detail}")


class Member:
    """Run the replication protocol of one instance in its group."""

    def __init__(
        self, settings: StandinSettings, log: InstanceLog, faults: Faults
    ) -> None:
        self.settings = settings
        self.log = log
        self.faults = faults
        self.incarnation = time.time_ns() // 1_000_000
        self.engine = Engine()
        self.is_ready = asyncio.Event()
        self.is_ready.set()
        self.role = InstanceRole.REPLICA
        self.epoch = 0
        self.committed = 0
        self.applied = 0
        self.round = 0
        self.n_committed_truncated = 0
        self.is_recovering = False
        self.quarantine_end = 0.0
        self.peers = {peer.instance: Peer() for peer in settings.peers}
        self.known_incarnations: dict[str, int] = {}
        self.on_change: Callable[[bool], None] = lambda is_urgent: None
        self._primary_of_term: tuple[str, int] | None = None
        self._needs_rebuild = False
        self._due_position = 0
        self._commit_times: deque[tuple[float, int]] = deque()
        self._wake_applier = asyncio.Event()
        self._waiters: set[asyncio.Future[None]] = set()
        self._tokens: dict[str, deque[PendingToken]] = {}
        self._echoes: dict[str, TokenEcho] = {}

    @property
    def term(self) -> int:
        """Return the highest term that the instance promised or serves."""
        return self.log.term

    @property
    def is_primary(self) -> bool:
        """Return whether the instance accepts writes."""
        return self.role is InstanceRole.PRIMARY

    @property
    def log_position(self) -> LogPosition:
        """Return the end of the log, or zero while it recovers from an empty log."""
        return LogPosition(0, 0) if self.is_recovering else self.log.end

    @property
    def applied_position(self) -> LogPosition:
        """Return the last applied entry, or zero while the state is rebuilt."""
        if not self.is_ready.is_set():
            return LogPosition(0, 0)
        return self.log.position_at(self.applied)

    @property
    def committed_position(self) -> LogPosition:
        """Return the last entry that a majority is known to store."""
        return self.log.position_at(min(self.committed, len(self.log.entries)))

    def start_group(self) -> None:
        """Start the group's log in term 1 as its first primary."""
        self.log.set_term(1)
        self._become_primary(self.settings.schema)

    def start_recovery(self) -> None:
        """Rejoin with an empty log, without counting in majorities until caught up.

        The instance has lost which entries and terms it acknowledged. It waits until
        fencing rounds from before its restart have ended, then has to store the whole
        log of a primary.
        """
        self.is_recovering = True
        quarantine_s = self.settings.rejoin_quarantine_ms / 1_000
        self.quarantine_end = time.monotonic() + quarantine_s

    def end_recovery(self) -> None:
        """Count in majorities of the group again."""
        self.is_recovering = False
        self._notify_change(is_urgent=True)

    def fence(self, term: int) -> tuple[bool, int, LogPosition]:
        """Promise a term; return whether it is accepted, the term and the log's end."""
        if term < self.term:
            return False, self.term, self.log_position
        if term > self.term:
            self._adopt_term(term)
        return not self.is_recovering, self.term, self.log_position

    def promote(self, term: int) -> tuple[bool, int, LogPosition]:
        """Become primary of the promised term; a repeated call is accepted again."""
        has_other_primary = self._primary_of_term not in (None, self._identity())
        if term != self.term or self.is_recovering or has_other_primary:
            return False, self.term, self.log_position
        if not self.is_primary:
            self._become_primary([])
        return True, self.term, self.log_position

    def _identity(self) -> tuple[str, int]:
        return self.settings.instance, self.incarnation

    def _become_primary(self, statements: Sequence[str]) -> None:
        self.role = InstanceRole.PRIMARY
        self.epoch += 1
        self._primary_of_term = self._identity()
        next_position = len(self.log.entries) + 1
        for peer in self.peers.values():
            peer.match_position = 0
            peer.next_position = next_position
            peer.is_counted = False
            peer.round = 0
        self._tokens.clear()
        self._echoes.clear()
        self._commit_times.clear()
        # Entries of older terms count as committed only after an entry of this term.
        self.log.append([LogEntry(self.term, next_position, list(statements))])
        self.is_ready.clear()
        self._wake_applier.set()
        self._advance_commit()
        self._notify_change(is_urgent=True)

    def _adopt_term(self, term: int) -> None:
        self.log.set_term(term)
        self._primary_of_term = None
        if self.is_primary:
            self._step_down()
        self._notify_change(is_urgent=True)

    def _step_down(self) -> None:
        self.role = InstanceRole.REPLICA
        self.epoch += 1
        self._echoes.clear()
        self._tokens.clear()
        if self.applied > self.committed:
            # A replica must not serve entries that a new primary may truncate.
            self._start_rebuild()

    def _start_rebuild(self) -> None:
        self._needs_rebuild = True
        self.is_ready.clear()
        self._wake_applier.set()

    def check_writable(self, bound_term: int | None, epoch: int | None = None) -> None:
        """Raise the fenced error unless this connection may write."""
        if not self.is_primary:
            raise fenced_error(f"{self.settings.instance} is not the primary")
        if bound_term is not None and bound_term != self.term:
            raise fenced_error(f"connection has term {bound_term}, not {self.term}")
        if epoch is not None and epoch != self.epoch:
            raise fenced_error("the transaction began under an older term")

    def commit(
        self, steps: Sequence[Step], statement: str | None = None
    ) -> tuple[Answer | None, LogPosition]:
        """Commit a transaction and append its writes to the log as one entry."""
        answer = self.engine.run(steps, statement, is_commit=True)
        statements = [step.statement for step in steps if step.is_write]
        if statement is not None:
            statements.append(statement)
        position = len(self.log.entries) + 1
        self.log.append([LogEntry(self.term, position, statements)])
        self.applied = position
        self._advance_commit()
        self._notify_change(is_urgent=False)
        return answer, self.log.end

    def make_append(self, name: str) -> Append:
        """Build the next message for a peer."""
        peer = self.peers[name]
        previous = self.log.position_at(
            min(peer.next_position - 1, len(self.log.entries))
        )
        start = previous.position
        entries = self.log.entries[start : start + _N_ENTRIES_PER_APPEND]
        # Messages are pipelined: a peer that misses one rejects the next, and its
        # next position is then reset.
        peer.next_position = start + len(entries) + 1
        return Append(
            term=self.term,
            primary=self.settings.instance,
            incarnation=self.incarnation,
            round=self.round,
            previous_term=previous.term,
            previous_position=start,
            last_position=len(self.log.entries),
            committed_position=self.committed,
            entries=entries,
        )

    def on_append(self, message: Append) -> AppendReply:
        """Append the entries of a primary, or reject those of an older term."""
        sender = (message.primary, message.incarnation)
        if message.term < self.term or (
            message.term == self.term and self._primary_of_term not in (None, sender)
        ):
            return self._reply(message, False, 0)
        if message.term > self.term:
            self._adopt_term(message.term)
        self._primary_of_term = sender
        self.known_incarnations[message.primary] = message.incarnation
        if not self._contains_entry(message.previous_term, message.previous_position):
            hint = min(len(self.log.entries), message.previous_position - 1)
            return self._reply(message, False, hint)
        self._append_entries(message)
        match_position = message.previous_position + len(message.entries)
        self._record_committed(min(message.committed_position, match_position))
        self._check_recovered(message, match_position)
        return self._reply(message, True, match_position)

    def _contains_entry(self, term: int, position: int) -> bool:
        return (
            position <= len(self.log.entries)
            and self.log.position_at(position).term == term
        )

    def _append_entries(self, message: Append) -> None:
        new_entries = message.entries
        for index, entry in enumerate(message.entries):
            if entry.position > len(self.log.entries):
                new_entries = message.entries[index:]
                break
            if self.log.position_at(entry.position).term != entry.term:
                self._truncate(entry.position - 1)
                new_entries = message.entries[index:]
                break
        else:
            return
        self.log.append(new_entries)
        self._notify_change(is_urgent=False)

    def _truncate(self, position: int) -> None:
        if position < self.committed:
            # Only a promotion without a fenced majority leads here; tests check this.
            self.n_committed_truncated += self.committed - position
            self.committed = position
        self.log.truncate(position)
        if self.applied > position:
            self._start_rebuild()

    def _record_committed(self, committed: int) -> None:
        if committed <= self.committed:
            return
        self.committed = committed
        self._commit_times.append((time.monotonic(), committed))
        self._wake_applier.set()
        self._notify_change(is_urgent=False)

    def _check_recovered(self, message: Append, match_position: int) -> None:
        if not self.is_recovering or time.monotonic() < self.quarantine_end:
            return
        if match_position >= message.last_position:
            self.end_recovery()

    def _reply(self, message: Append, is_accepted: bool, match: int) -> AppendReply:
        return AppendReply(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            term=self.term,
            round=message.round,
            is_accepted=is_accepted,
            is_counted=not self.is_recovering,
            match_position=match,
        )

    def on_reply(self, reply: AppendReply) -> None:
        """Apply the acknowledgement of a peer."""
        if reply.term > self.term:
            self._adopt_term(reply.term)
            return
        peer = self.peers.get(reply.instance)
        if peer is None or not self.is_primary or reply.term != self.term:
            return
        if reply.incarnation < peer.incarnation:
            # A late reply of an earlier incarnation says nothing about this one.
            return
        if reply.incarnation > peer.incarnation:
            peer.incarnation = reply.incarnation
            peer.match_position = 0
        self.known_incarnations[reply.instance] = reply.incarnation
        peer.is_counted = reply.is_counted
        if not reply.is_accepted:
            peer.next_position = min(peer.next_position, reply.match_position + 1)
            peer.wake_up.set()
            return
        peer.match_position = max(peer.match_position, reply.match_position)
        peer.next_position = max(peer.next_position, peer.match_position + 1)
        peer.round = max(peer.round, reply.round)
        if peer.next_position <= len(self.log.entries):
            peer.wake_up.set()
        self._advance_commit()
        self._confirm_tokens()
        self._notify_waiters()

    def _majority_value(self, own_value: int, values: list[int]) -> int:
        """Return the value that a majority of the group has reached."""
        ordered = sorted([own_value, *values], reverse=True)
        n_majority = self.settings.n_majority
        return ordered[n_majority - 1] if len(ordered) >= n_majority else 0

    def _advance_commit(self) -> None:
        values = [
            item.match_position for item in self.peers.values() if item.is_counted
        ]
        majority_position = self._majority_value(len(self.log.entries), values)
        if (
            majority_position > self.committed
            and self.log.position_at(majority_position).term == self.term
        ):
            self.committed = majority_position
            self._notify_change(is_urgent=False)

    def confirmed_round(self) -> int:
        """Return the newest round in which a majority acknowledged the term."""
        if (
            not self.is_primary
            or self.log.position_at(self.committed).term != self.term
        ):
            return 0
        values = [item.round for item in self.peers.values() if item.is_counted]
        return self._majority_value(self.round, values)

    def start_round(self) -> int:
        """Start a round in which all peers acknowledge the term again."""
        self.round += 1
        self.wake_peers()
        return self.round

    def wake_peers(self) -> None:
        """Wake the senders of all peers."""
        for peer in self.peers.values():
            peer.wake_up.set()

    def on_token(self, target: str, token: str) -> None:
        """Record a token that an entry VM has just sent."""
        if not self.is_primary or not token:
            return
        pending = self._tokens.setdefault(target, deque(maxlen=16))
        pending.append(PendingToken(token, self.start_round(), self.log.end))

    def _confirm_tokens(self) -> None:
        confirmed = self.confirmed_round()
        for target, pending in self._tokens.items():
            while pending and pending[0].round <= confirmed:
                item = pending.popleft()
                self._echoes[target] = TokenEcho(
                    token=item.token, position=item.position
                )

    def echo(self, target: str) -> TokenEcho | None:
        """Return the newest confirmed token of an entry VM."""
        return self._echoes.get(target)

    async def await_majority(self, position: LogPosition, timeout_ms: float) -> bool:
        """Return whether a majority stores an entry of this primary in time."""
        epoch = self.epoch
        is_met_in_time = await self._wait_until(
            lambda: self.epoch != epoch or self.committed >= position.position,
            timeout_ms,
        )
        return is_met_in_time and self.epoch == epoch and self.is_primary

    async def confirm_position(self, timeout_ms: float) -> LogPosition:
        """Return the end of the log as of the call, confirmed by a majority.

        A majority has to acknowledge the term after the call; raise the fenced error
        if it does not within the timeout.
        """
        self.check_writable(None)
        epoch = self.epoch
        position = self.log.end
        number = self.start_round()
        await self._wait_until(
            lambda: self.epoch != epoch or self.confirmed_round() >= number, timeout_ms
        )
        if self.epoch != epoch or self.confirmed_round() < number:
            raise fenced_error("no majority acknowledged the term")
        return position

    async def _wait_until(self, is_met: Callable[[], bool], timeout_ms: float) -> bool:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1_000
        while not is_met():
            waiter: asyncio.Future[None] = loop.create_future()
            self._waiters.add(waiter)
            try:
                async with asyncio.timeout_at(deadline):
                    await waiter
            except TimeoutError:
                return is_met()
            finally:
                self._waiters.discard(waiter)
        return True

    def _notify_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _notify_change(self, is_urgent: bool) -> None:
        self._notify_waiters()
        if self.is_primary:
            self.wake_peers()
        self.on_change(is_urgent)

    async def run_applier(self) -> None:
        """Apply committed entries after the lag, and rebuild the state when needed."""
        while True:
            delay_s = self._apply_step()
            if delay_s == 0:
                await asyncio.sleep(0)
                continue
            self._wake_applier.clear()
            try:
                async with asyncio.timeout(delay_s):
                    await self._wake_applier.wait()
            except TimeoutError:
                continue

    def wake_applier(self) -> None:
        """Wake the applier after a change of the lag."""
        self._wake_applier.set()

    def _apply_step(self) -> float | None:
        """Apply some entries; return the time until more may be due."""
        if not self.faults.running.is_set():
            return 0.05
        if self._needs_rebuild:
            self._needs_rebuild = False
            self.engine.close()
            self.engine = Engine()
            self.applied = 0
        target, delay_s = self._apply_target()
        if self.applied < target:
            stop = min(target, self.applied + _N_ENTRIES_PER_REPLAY)
            self.engine.replay(self.log.entries[self.applied : stop])
            self.applied = stop
            self._notify_change(is_urgent=False)
            return 0
        if not self.is_ready.is_set():
            self.is_ready.set()
            self._notify_change(is_urgent=False)
        return delay_s

    def _apply_target(self) -> tuple[int, float | None]:
        if self.is_primary:
            return len(self.log.entries), None
        if not self.is_ready.is_set():
            return self.committed, None
        now = time.monotonic()
        lag_s = self.faults.lag_ms / 1_000
        while self._commit_times and self._commit_times[0][0] + lag_s <= now:
            self._due_position = max(
                self._due_position, self._commit_times.popleft()[1]
            )
        target = max(min(self._due_position, self.committed), self.applied)
        if self._commit_times:
            return target, max(self._commit_times[0][0] + lag_s - now, 0.001)
        return target, None
