"""Model of leases on one primary: entry VMs and leaders that freeze, and late messages.

The lease at the entry VMs, the table of the leader and the replicated state are the
product's own. The steps of a replacement are those of the control node's daemon.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cardamomshunt.fleet import (
    LEASE_MS,
    Assignment,
    AssignmentCommand,
    AssignmentPhase,
    AssignPrimary,
    FinishPromotion,
    FleetState,
    LeaseGrant,
    LeaseRequest,
    LeaseTable,
    PrimaryLease,
    PromoteSuccessor,
    StopPrimary,
    encode_command,
)

GROUP = "g"
_SERVERS = ("a", "b", "c")
_FAULTS_END_MS = 16_000.0
_END_MS = 28_000.0
_RENEW_INTERVAL_MS = 250.0
_GRACE_MAX_MS = 400.0
_CHECK_INTERVAL_MS = 30.0
_POLL_MS = 20.0
_WATCH_INTERVAL_MS = 50.0
# A frozen leader is replaced after this time, and within it leads on when it wakes.
_ELECTION_MS = 450.0
_FREEZES_MS = (50.0, 300.0, 900.0, 1_250.0, 1_700.0, 3_000.0)
_DRIFT_MAX = 0.02
_PROMOTION_MAX_MS = 1_200.0


class _Machine:
    """Machine that may freeze; what arrives meanwhile is processed when it wakes."""

    def __init__(self, model: "LeaseModel", name: str) -> None:
        self.model = model
        self.name = name
        self.frozen_until_ms = float("-inf")

    def run_after(self, delay_ms: float, step: Callable[[], None]) -> None:
        """Run a step after a delay, or when the machine wakes."""
        self.model.schedule(delay_ms, lambda: self._run_awake(step))

    def _run_awake(self, step: Callable[[], None]) -> None:
        left_ms = self.frozen_until_ms - self.model.now_ms
        if left_ms > 0.0:
            # What waits for the wake-up is processed in any order.
            self.run_after(left_ms + self.model.random.random(), step)
        else:
            step()


class _Entry(_Machine):
    def __init__(self, model: "LeaseModel", number: int) -> None:
        super().__init__(model, f"e{number}")
        self._rate = 1.0 + model.random.uniform(-_DRIFT_MAX, _DRIFT_MAX)
        self._sequence = 0
        self._process = 0
        # Messages from and to this entry VM are lost until then.
        self.deaf_until_ms = self.mute_until_ms = float("-inf")
        self.start()

    @property
    def _local_ms(self) -> float:
        return self.model.now_ms * self._rate

    def start(self) -> None:
        """Start a process, which knows nothing of the former one."""
        self._process += 1
        self.lease = self.model.lease_class()
        self._released: dict[str, int] = {}
        self._used: set[int] = set()
        self._is_in_grace = False
        self._repeat(0.0, _RENEW_INTERVAL_MS, self._request)
        self._repeat(0.0, _CHECK_INTERVAL_MS, self.check)

    def _in_process(self, step: Callable[[], None]) -> Callable[[], None]:
        """Return the step, which does nothing in a later process."""
        process = self._process
        return lambda: step() if self._process == process else None

    def _repeat(
        self, delay_ms: float, interval_ms: float, step: Callable[[], None]
    ) -> None:
        def run() -> None:
            step()
            next_ms = interval_ms * self.model.random.uniform(0.5, 1.0)
            self._repeat(next_ms, interval_ms, step)

        self.run_after(delay_ms, self._in_process(run))

    def _request(self) -> None:
        self._sequence += 1
        self.lease.on_request_sent(self._sequence, self._local_ms)
        request = LeaseRequest(
            sequence=self._sequence,
            version=1,
            newest_epoch=self.lease.newest_epoch,
            released=dict(self._released),
        )
        if self.model.now_ms < self.mute_until_ms:
            return
        for node in self.model.nodes:
            node.run_after(
                self.model.delay_ms(), lambda node=node: node.on_request(self, request)
            )

    def receive(self, delay_ms: float, step: Callable[[], list[str]]) -> None:
        """Process a message of a control node after its delay."""

        def run() -> None:
            if self.model.now_ms >= self.deaf_until_ms:
                self._follow(step())
                self.check()

        self.run_after(delay_ms, self._in_process(run))

    def on_grant(self, grant: LeaseGrant) -> list[str]:
        return self.lease.on_grant(grant, self._local_ms)

    def on_assignments(self, assignments: dict[str, Assignment]) -> list[str]:
        return self.lease.on_assignments(assignments, self._local_ms)

    def _follow(self, changed: list[str]) -> None:
        """Leave a grace while the lease allows it, then report the release."""
        groups = {*changed, *(item.group for item in self.lease.pop_ended_epochs())}
        if not groups:
            return
        assignment = self.lease.latest_assignment(GROUP)
        if not self.lease.is_in_use(GROUP):
            self._released[GROUP] = assignment.epoch
            self._request()
        elif assignment.phase is not AssignmentPhase.ACTIVE and not self._is_in_grace:
            self._is_in_grace = True
            grace_ms = self.model.random.uniform(0.0, _GRACE_MAX_MS)
            self.run_after(grace_ms, self._in_process(self._release))

    def _release(self) -> None:
        self._is_in_grace = False
        self.lease.release(GROUP)
        self._follow([])

    def check(self) -> None:
        """Use the primary if it may be used, and pass on what may be acknowledged."""
        usable = self.lease.usable_assignment(GROUP, self._local_ms)
        if usable is not None:
            self._used.add(usable.epoch)
        for epoch in self._used:
            if self.lease.ack_refusal(GROUP, epoch, self._local_ms) is None:
                self.model.on_acknowledged(self, epoch)


class _ControlNode(_Machine):
    """Control node; it acts while it leads."""

    def __init__(self, model: "LeaseModel", number: int) -> None:
        super().__init__(model, f"c{number}")
        self.n_elections = 0
        self._table: LeaseTable | None = None
        self._own_tokens: set[int] = set()
        self._steps: Iterator[float] | None = None

    @property
    def is_leader(self) -> bool:
        return self.model.leader is self

    def lead(self) -> None:
        self.n_elections += 1
        self._table = self.model.table_class(self.model.now_ms)
        self._own_tokens = set()
        self._steps = None
        self._watch(self.n_elections)

    def on_request(self, entry: _Entry, request: LeaseRequest) -> None:
        if not self.is_leader:
            return
        assert self._table is not None
        self._table.on_request(entry.name, request, self.model.now_ms)
        assignments = dict(self.model.state.assignments)
        newest = max((item.epoch for item in assignments.values()), default=-1)
        grant = LeaseGrant(
            sequence=request.sequence,
            lease_ms=LEASE_MS,
            n_entries=1,
            assignments=assignments if request.newest_epoch != newest else None,
        )
        entry.receive(self.model.delay_ms(), lambda: entry.on_grant(grant))

    def _watch(self, n_elections: int) -> None:
        """Go on with a replacement, or begin one at times."""
        if not self.is_leader or self.n_elections != n_elections:
            return
        pause_ms = _WATCH_INTERVAL_MS
        if self._steps is not None:
            pause_ms = next(self._steps, None)
            if pause_ms is None:
                self._steps, pause_ms = None, _WATCH_INTERVAL_MS
        elif self.model.should_replace():
            self._steps = self._replace()
        self.run_after(pause_ms, lambda: self._watch(n_elections))

    def _replace(self) -> Iterator[float]:
        """Take the steps of a replacement; yield the pauses between them."""
        while True:
            assignment = self.model.state.assignments[GROUP]
            match assignment.phase:
                case AssignmentPhase.ACTIVE:
                    self._commit(StopPrimary(group=GROUP, epoch=assignment.epoch))
                case AssignmentPhase.STOPPING:
                    yield from self._await_release(assignment.epoch)
                    released_ms = self.model.now_ms
                    # The servers are asked, and a replica catches up.
                    yield self.model.random.uniform(5.0, 500.0)
                    if self._choose(assignment, released_ms):
                        return
                case AssignmentPhase.PROMOTING:
                    if assignment.epoch in self._own_tokens:
                        yield self.model.random.uniform(5.0, _PROMOTION_MAX_MS)
                        self._finish(assignment, assignment.successor)
                        return
                    yield from self._await_release(assignment.epoch)
                    self._promote(assignment, assignment.successor, self.model.now_ms)
            yield 5.0

    def _await_release(self, epoch: int) -> Iterator[float]:
        assert self._table is not None
        while not self._table.is_released(GROUP, epoch, self.model.now_ms):
            yield _POLL_MS

    def _choose(self, assignment: Assignment, released_ms: float) -> bool:
        """Choose a successor; return whether the former primary is active again."""
        if self.model.random.random() < 0.2:
            self._finish(assignment, assignment.server)
            return True
        others = [name for name in _SERVERS if name != assignment.server]
        self._promote(assignment, self.model.random.choice(others), released_ms)
        return False

    def _promote(
        self, assignment: Assignment, successor: str, released_ms: float
    ) -> None:
        command = PromoteSuccessor(
            group=GROUP, epoch=assignment.epoch, successor=successor
        )
        if self._commit(command):
            self.model.on_successor(released_ms)

    def _finish(self, assignment: Assignment, server: str) -> None:
        self._commit(
            FinishPromotion(group=GROUP, epoch=assignment.epoch, server=server)
        )

    def _commit(self, command: AssignmentCommand) -> bool:
        took_effect = self.model.commit(command)
        self._own_tokens.add(self.model.state.assignments[GROUP].epoch)
        return took_effect


@dataclass
class LeaseModel:
    """Random schedule of faults; `violations` says what the successor may lack."""

    seed: int
    lease_class: type[PrimaryLease] = PrimaryLease
    table_class: type[LeaseTable] = LeaseTable
    now_ms: float = 1_000.0
    violations: list[str] = field(default_factory=list)
    n_replacements: int = 0
    n_acknowledged: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.state = FleetState()
        self._index = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._acknowledged: list[tuple[float, int, str]] = []
        # Epochs below were counted as released when the newest successor was chosen.
        self._released_before = -1
        self.entries: list[_Entry] = []
        self.commit(AssignPrimary(group=GROUP, server=_SERVERS[0]))
        self.nodes = [_ControlNode(self, number) for number in (1, 2)]
        self.entries = [_Entry(self, n) for n in range(self.random.randint(1, 4))]
        self.leader = self.nodes[0]
        self.leader.lead()
        self.schedule(500.0, self._cause_fault)

    def schedule(self, delay_ms: float, step: Callable[[], None]) -> None:
        """Run a step after a delay."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), step))

    def run(self) -> "LeaseModel":
        """Run the schedule: faults, then a time without any."""
        while self._events and self._events[0][0] < _END_MS:
            self.now_ms, _, step = heapq.heappop(self._events)
            step()
        return self

    @property
    def is_serving(self) -> bool:
        """Return whether each entry VM acknowledged for the current primary lately."""
        current = self.state.assignments[GROUP]
        recent = {
            name
            for at_ms, epoch, name in self._acknowledged
            if epoch == current.epoch and at_ms > _END_MS - 1_000.0
        }
        return recent == {entry.name for entry in self.entries}

    def should_replace(self) -> bool:
        """Return whether a replacement is under way, or begins now."""
        if self.state.assignments[GROUP].phase is not AssignmentPhase.ACTIVE:
            return True
        return self._has_faults and self.random.random() < 0.05

    @property
    def _has_faults(self) -> bool:
        return self.now_ms < _FAULTS_END_MS

    def delay_ms(self) -> float:
        """Return the delay of a message, which is late at times."""
        if self._has_faults and self.random.random() < 0.05:
            return self.random.uniform(200.0, 1_500.0)
        return self.random.uniform(1.0, 15.0)

    def commit(self, command: AssignmentCommand | AssignPrimary) -> bool:
        """Apply a command of the leader, and tell the entry VMs, unless that is lost."""
        self._index += 1
        took_effect = self.state.apply(self._index, encode_command(command))
        known = dict(self.state.assignments)
        for entry in self.entries:
            if not self._has_faults or self.random.random() < 0.8:
                entry.receive(
                    self.delay_ms(), lambda entry=entry: entry.on_assignments(known)
                )
        return took_effect

    def on_successor(self, released_ms: float) -> None:
        """Check that nothing was acknowledged since the release was counted."""
        self.n_replacements += 1
        self._released_before = self.state.assignments[GROUP].epoch
        for at_ms, epoch, entry in reversed(self._acknowledged):
            if at_ms <= released_ms:
                return
            if epoch < self._released_before:
                self._report(at_ms, epoch, entry)

    def on_acknowledged(self, entry: _Entry, epoch: int) -> None:
        """Record an acknowledgement, and check that no successor was chosen before."""
        self.n_acknowledged += 1
        self._acknowledged.append((self.now_ms, epoch, entry.name))
        if epoch < self._released_before:
            self._report(self.now_ms, epoch, entry.name)

    def _report(self, at_ms: float, epoch: int, entry: str) -> None:
        self.violations.append(
            f"{entry} acknowledged for epoch {epoch} at {at_ms:.0f} ms, although it "
            f"counted as released before epoch {self._released_before}"
        )

    # Faults

    def _cause_fault(self) -> None:
        if not self._has_faults:
            return
        faults = (self._freeze_entry, self._freeze_leader, self._cut, self._restart)
        self.random.choices(faults, weights=(4, 2, 2, 1))[0]()
        self.schedule(self.random.uniform(50.0, 1_500.0), self._cause_fault)

    def _freeze_entry(self) -> None:
        entry = self.random.choice(self.entries)
        entry.frozen_until_ms = self.now_ms + self.random.choice(_FREEZES_MS)

    def _freeze_leader(self) -> None:
        leader, freeze_ms = self.leader, self.random.choice(_FREEZES_MS)
        leader.frozen_until_ms = self.now_ms + freeze_ms
        if freeze_ms > _ELECTION_MS:
            self.schedule(_ELECTION_MS, lambda: self._replace_leader(leader))

    def _replace_leader(self, former: _ControlNode) -> None:
        if self.leader is not former:
            return
        self.leader = next(node for node in self.nodes if node is not former)
        self.leader.run_after(0.0, self.leader.lead)

    def _cut(self) -> None:
        entry = self.random.choice(self.entries)
        until_ms = self.now_ms + self.random.choice(_FREEZES_MS)
        if self.random.random() < 0.5:
            entry.deaf_until_ms = until_ms
        else:
            entry.mute_until_ms = until_ms

    def _restart(self) -> None:
        self.random.choice(self.entries).start()
