"""Failover and planned handover of databases, decided by the control leader."""

from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from cardamomshunt._control.effects import (
    CommandInstance,
    ControlEffect,
    EmitEvent,
    InstanceCommandKind,
    InstanceReply,
)
from cardamomshunt._control.health_view import Health, HealthView
from cardamomshunt._control.state import DatabaseRecord, InstanceRecord
from cardamomshunt._shared.events import EventNumber
from cardamomshunt._shared.messages import FailoverStep, InstanceRole
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.state_chart import StateChart

CHART = StateChart.load("failover")


@dataclass(slots=True, frozen=True)
class FailoverOptions:
    """Timeouts, intervals and limits of failovers and handovers.

    Commands and promotions that are not answered in time are given more time at the
    next try, up to the maxima, as the server or the network may be slow.
    """

    command_timeout_ms: float = 300.0
    command_timeout_max_ms: float = 2_400.0
    command_interval_ms: float = 100.0
    promotion_limit_ms: float = 900.0
    promotion_limit_max_ms: float = 7_200.0
    blocked_after_ms: float = 5_000.0
    new_group_grace_ms: float = 1_000.0
    full_evaluation_interval_ms: float = 1_000.0
    role_grace_ms: float = 1_500.0
    stale_instance_fence_interval_ms: float = 500.0
    handover_quiesce_ms: float = 150.0
    handover_limit_ms: float = 2_000.0
    handover_fence_wait_ms: float = 300.0
    n_undamped_failovers: int = 3
    stable_primary_ms: float = 3_000.0
    unresponsive_fence_wait_ms: float = 1_000.0
    damping_base_ms: float = 1_000.0
    damping_max_ms: float = 30_000.0


@dataclass(slots=True)
class _StepProgress:
    """Volatile progress of a failover step; a new leader starts the step again."""

    term: int
    step: FailoverStep
    started_ms: float
    fenced: dict[str, LogPosition] = field(default_factory=dict)
    due_ms: dict[str, float] = field(default_factory=dict)
    is_blocked: bool = False


@dataclass(slots=True)
class _FlapHistory:
    """Recent failovers of primaries that failed soon after their promotion."""

    n_early_failures: int = 0
    last_failover_ms: float = 0.0


@dataclass(slots=True)
class _Proposal:
    """Record to propose, with the event to emit for it."""

    record: DatabaseRecord
    event: EventNumber | None
    detail: str
    subject: str


class FailoverController:
    """Decide the failover steps of all databases.

    A step takes effect only after its record is committed: the caller proposes the
    records from `pop_proposals` and calls `on_applied` for each committed one. At most
    one proposal per database is pending.
    """

    def __init__(
        self,
        health: HealthView,
        options: FailoverOptions | None = None,
        zone: str = "",
    ) -> None:
        self._zone = zone
        self.options = options or FailoverOptions()
        self._health = health
        self._progress_by_database: dict[str, _StepProgress] = {}
        self._first_seen_ms: dict[str, float] = {}
        # Promotions in a row that a candidate did not answer in time, though alive.
        self._n_late_promotions: dict[str, int] = defaultdict(int)
        self._flap_histories: dict[str, _FlapHistory] = defaultdict(_FlapHistory)
        self._stale_instance_due_ms: dict[tuple[str, str], float] = {}
        self._pending: dict[str, int] = {}
        self._proposals: list[_Proposal] = []
        self._effects: list[ControlEffect] = []
        self._detection_ms = 600.0
        self._full_evaluation_due_ms = 0.0
        self._draining: dict[str, bool] = {}

    def reset(self) -> None:
        """Clear unfinished steps and proposals after a change of leadership."""
        self._progress_by_database.clear()
        self._pending.clear()
        self._proposals.clear()
        self._effects.clear()
        self._first_seen_ms.clear()
        self._full_evaluation_due_ms = 0.0

    def on_applied(self, record: DatabaseRecord) -> None:
        """Clear the pending proposal of a database whose record is committed."""
        if self._pending.get(record.database, record.revision) <= record.revision:
            self._pending.pop(record.database, None)

    def pop_proposals(self) -> list[DatabaseRecord]:
        """Return and clear the records to propose, and emit their events."""
        proposals, self._proposals = self._proposals, []
        for proposal in proposals:
            if proposal.event is not None:
                self._emit(
                    proposal.event,
                    proposal.record.database,
                    f"term {proposal.record.term}: {proposal.detail}",
                    proposal.subject,
                )
        return [proposal.record for proposal in proposals]

    def proposed_target(self, database: str) -> str | None:
        """Return the target of a handover whose proposal has not been popped yet."""
        for proposal in self._proposals:
            if proposal.record.database == database:
                return proposal.record.target_instance
        return None

    def pop_effects(self) -> list[ControlEffect]:
        """Return and clear the commands to run and the events to log."""
        effects, self._effects = self._effects, []
        return effects

    def evaluate(
        self,
        now_ms: float,
        records: dict[str, DatabaseRecord],
        detection_ms: float,
        draining: dict[str, bool],
    ) -> None:
        """Evaluate the databases that are due and propose their next steps."""
        self._detection_ms = detection_ms
        self._draining = draining
        for database in self._due_databases(now_ms, records):
            if database in self._pending:
                continue
            record = records.get(database)
            if record is None:
                self._evaluate_new(now_ms, database)
            else:
                self._evaluate_record(now_ms, record)

    def _due_databases(
        self, now_ms: float, records: dict[str, DatabaseRecord]
    ) -> set[str]:
        """Return the databases with relevant reports or an unfinished step.

        All databases are included only once per full evaluation interval: evaluating
        them all each time would take most of a core at 450 entry VMs.
        """
        due = self._health.pop_databases_to_evaluate()
        if now_ms >= self._full_evaluation_due_ms:
            self._full_evaluation_due_ms = (
                now_ms + self.options.full_evaluation_interval_ms
            )
            return due | {*self._health.databases(), *records}
        for database, record in records.items():
            if record.step is not FailoverStep.SERVING:
                due.add(database)
        return due

    def start_handover(
        self, now_ms: float, record: DatabaseRecord, target: str | None
    ) -> str:
        """Propose a handover; return an error text or an empty string."""
        if record.step is not FailoverStep.SERVING or record.database in self._pending:
            return f"another step is in progress: {record.step.value}"
        primary = record.primary_instance
        if target is None:
            target = self._most_advanced_replica(now_ms, record)
        if target is None or target not in record.instances:
            return "the group has no such instance, or no replica that can take over"
        if target == primary:
            return f"{target} is already the primary"
        if not self._health_of(now_ms, record.database, target).is_alive:
            return f"{target} is not reported as alive by any entry VM"
        self._propose(
            record,
            "hand_over",
            EventNumber.HANDOVER_STARTED,
            f"from {primary} to {target}",
            target_instance=target,
        )
        return ""

    def on_reply(
        self, now_ms: float, records: dict[str, DatabaseRecord], reply: InstanceReply
    ) -> None:
        """Handle the answer to a command of the current term."""
        record = records.get(reply.database)
        if record is None or reply.database in self._pending or not reply.is_answered:
            return
        if reply.command_term != record.term:
            return
        progress = self._step_progress(now_ms, record)
        if (
            record.step is FailoverStep.FENCING
            and reply.kind is InstanceCommandKind.FENCE
        ):
            self._on_fenced(now_ms, record, progress, reply)
        elif (
            record.step is FailoverStep.PROMOTING
            and reply.kind is InstanceCommandKind.PROMOTE
            and reply.instance == record.primary_instance
        ):
            self._on_promoted(now_ms, record, reply)

    def _emit(
        self, number: EventNumber, database: str, detail: str, subject: str = ""
    ) -> None:
        self._effects.append(
            EmitEvent(
                number=number.value,
                subject=subject or database,
                detail=detail,
                database=database,
            )
        )

    def _health_of(self, now_ms: float, database: str, instance: str) -> Health:
        return self._health.health(now_ms, database, instance, self._detection_ms)

    def _step_progress(self, now_ms: float, record: DatabaseRecord) -> _StepProgress:
        progress = self._progress_by_database.get(record.database)
        if progress is None or (progress.term, progress.step) != (
            record.term,
            record.step,
        ):
            progress = _StepProgress(record.term, record.step, now_ms)
            self._progress_by_database[record.database] = progress
        return progress

    def _propose(
        self,
        record: DatabaseRecord,
        event: str,
        number: EventNumber | None,
        detail: str,
        **changes: object,
    ) -> None:
        step = FailoverStep(CHART.next_state(record.step.value, event))
        proposed = msgspec.structs.replace(
            record, step=step, revision=record.revision + 1, **changes
        )
        self._pending[record.database] = proposed.revision
        # The timeline shows the subject of a step as the primary.
        subject = proposed.primary_instance or record.primary_instance or ""
        self._proposals.append(_Proposal(proposed, number, detail, subject))

    def _propose_fencing(
        self, record: DatabaseRecord, event: str, term: int, reason: str
    ) -> None:
        self._propose(
            record,
            event,
            EventNumber.FENCING_STARTED,
            reason,
            term=max(term, record.term + 1),
            primary_instance=None,
        )

    def _send_command_if_due(
        self,
        now_ms: float,
        record: DatabaseRecord,
        progress: _StepProgress,
        instance: str,
        kind: InstanceCommandKind,
    ) -> None:
        """Send a command, or repeat it if the command interval has passed."""
        if now_ms < progress.due_ms.get(instance, now_ms):
            return
        options = self.options
        waited_ms = now_ms - progress.started_ms
        timeout_ms = min(
            options.command_timeout_ms + waited_ms, options.command_timeout_max_ms
        )
        # As many commands run at a time, however long each may take.
        slowdown = timeout_ms / options.command_timeout_ms
        progress.due_ms[instance] = now_ms + options.command_interval_ms * slowdown
        self._send_command(record, instance, kind, timeout_ms)

    def _send_command(
        self,
        record: DatabaseRecord,
        instance: str,
        kind: InstanceCommandKind,
        timeout_ms: float,
    ) -> None:
        address = self._health.address(record.database, instance, self._zone)
        self._effects.append(
            CommandInstance(
                database=record.database,
                instance=instance,
                address=address or record.instances[instance].address,
                kind=kind,
                term=record.term,
                timeout_ms=timeout_ms,
            )
        )

    def _observed_instances(
        self, now_ms: float, database: str
    ) -> dict[str, tuple[Health, InstanceRecord]]:
        observed = {}
        for instance in self._health.instances(database):
            health = self._health_of(now_ms, database, instance)
            if health.newest is None:
                continue
            observation = health.newest.observation
            observed[instance] = (
                health,
                InstanceRecord(
                    zone=observation.zone,
                    address=observation.address,
                    incarnation=observation.incarnation,
                ),
            )
        return observed

    def _evaluate_new(self, now_ms: float, database: str) -> None:
        """Adopt an announced primary of a new database, or fence it to promote one."""
        observed = self._observed_instances(now_ms, database)
        if not observed:
            return
        first_seen_ms = self._first_seen_ms.setdefault(database, now_ms)
        record = DatabaseRecord(
            database=database,
            term=0,
            primary_instance=None,
            step=FailoverStep.SERVING,
            instances={name: current for name, (_, current) in observed.items()},
        )
        if self._adopt_primary(record, observed):
            return
        is_grace_over = now_ms - first_seen_ms >= self.options.new_group_grace_ms
        if is_grace_over and len(observed) >= 2:
            term = max(_term_of(health) for health, _ in observed.values())
            self._propose_fencing(
                record, "suspect", term + 1, "a new group has no primary"
            )

    def _adopt_primary(
        self,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> bool:
        """Propose an announced primary if its term is newer than the record's."""
        primaries = [
            (_term_of(health), instance)
            for instance, (health, _) in observed.items()
            if health.is_alive and _role_of(health) is InstanceRole.PRIMARY
        ]
        if not primaries or max(primaries)[0] <= record.term:
            return False
        term, instance = max(primaries)
        self._propose(
            record,
            "adopt",
            EventNumber.INSTANCE_ANNOUNCED,
            f"{instance} announces itself as primary",
            term=term,
            primary_instance=instance,
            target_instance=None,
        )
        return True

    def _has_caught_up(
        self, now_ms: float, record: DatabaseRecord, instance: str
    ) -> bool:
        """Return whether a restarted instance has all entries it had before."""
        if record.step is not FailoverStep.SERVING or record.primary_instance is None:
            return False
        if instance == record.primary_instance:
            # Its promotion fenced a majority, so it has every acknowledged write.
            return self._is_serving(now_ms, record)
        return self._is_serving(now_ms, record) and self._health.has_caught_up(
            now_ms, record.database, instance, record.primary_instance
        )

    def _is_serving(self, now_ms: float, record: DatabaseRecord) -> bool:
        primary = record.primary_instance or ""
        newest = self._health_of(now_ms, record.database, primary).newest
        if newest is None:
            return False
        observation = newest.observation
        return (
            observation.role is InstanceRole.PRIMARY and observation.term == record.term
        )

    def _propose_instance_changes(
        self,
        now_ms: float,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> bool:
        """Propose instances that are new, moved or restarted; none is ever removed."""
        changed = {}
        for name, (health, current) in observed.items():
            known = record.instances.get(name)
            if not health.is_alive:
                continue
            if known is None:
                changed[name] = current
                continue
            updated = known
            if known.address not in health.addresses:
                updated = msgspec.structs.replace(updated, address=current.address)
            if known.incarnation != current.incarnation and self._has_caught_up(
                now_ms, record, name
            ):
                updated = msgspec.structs.replace(
                    updated, incarnation=current.incarnation
                )
            if updated != known:
                changed[name] = updated
        if not changed:
            return False
        self._propose(
            record, "learn", None, "", instances={**record.instances, **changed}
        )
        return True

    def _evaluate_record(self, now_ms: float, record: DatabaseRecord) -> None:
        progress = self._step_progress(now_ms, record)
        observed = self._observed_instances(now_ms, record.database)
        if self._propose_instance_changes(now_ms, record, observed):
            return
        match record.step:
            case FailoverStep.SERVING:
                self._evaluate_serving(now_ms, record, progress, observed)
            case FailoverStep.HANDING_OVER:
                self._evaluate_handover(now_ms, record, progress)
            case FailoverStep.FENCING:
                self._evaluate_fencing(now_ms, record, progress)
            case FailoverStep.PROMOTING:
                self._evaluate_promoting(now_ms, record, progress)

    def _evaluate_serving(
        self,
        now_ms: float,
        record: DatabaseRecord,
        progress: _StepProgress,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> None:
        if self._adopt_primary(record, observed):
            return
        reason = self._failure_reason(now_ms, record, progress)
        if reason and self._is_other_alive(record, observed):
            if not self._is_damped(now_ms, record.database):
                self._record_failover(now_ms, record.database, progress)
                self._emit(
                    EventNumber.PRIMARY_SUSPECTED,
                    record.database,
                    reason,
                    record.primary_instance or "",
                )
                self._propose_fencing(record, "suspect", record.term + 1, reason)
            return
        self._fence_stale_instances(now_ms, record, observed)

    def _failure_reason(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> str:
        """Return why the primary counts as failed, or an empty string."""
        primary = record.primary_instance
        if primary is None:
            return "there is no primary"
        health = self._health_of(now_ms, record.database, primary)
        if health.is_unresponsive:
            return f"{primary} is unresponsive"
        is_grace_over = now_ms - progress.started_ms >= self.options.role_grace_ms
        if is_grace_over and health.is_alive and health.has_lost_primary_role:
            return f"{primary} no longer has the role of primary"
        return ""

    def _is_other_alive(
        self,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> bool:
        return any(
            health.is_alive
            for instance, (health, _) in observed.items()
            if instance != record.primary_instance
        )

    def _record_failover(
        self, now_ms: float, database: str, progress: _StepProgress
    ) -> None:
        history = self._flap_histories[database]
        # During the damping delay the failed primary did not serve.
        early_ms = self.options.stable_primary_ms + self._damping_ms(history)
        is_early = now_ms - progress.started_ms < early_ms
        history.n_early_failures = history.n_early_failures + 1 if is_early else 0
        history.last_failover_ms = now_ms

    def _damping_ms(self, history: _FlapHistory) -> float:
        n_excess = history.n_early_failures - self.options.n_undamped_failovers
        if n_excess < 0:
            return 0.0
        return min(
            self.options.damping_base_ms * 2.0**n_excess, self.options.damping_max_ms
        )

    def _is_damped(self, now_ms: float, database: str) -> bool:
        """Return whether the next failover has to wait, to damp flapping.

        Only primaries that fail soon after their promotion count, so that a second
        failure of a group that has been stable again is handled at once.
        """
        history = self._flap_histories[database]
        return now_ms - history.last_failover_ms < self._damping_ms(history)

    def _fence_stale_instances(
        self,
        now_ms: float,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> None:
        """Fence instances of older terms, such as a primary that resumes after a freeze.

        The fence command carries the current term.
        """
        for instance, (health, _) in observed.items():
            if instance == record.primary_instance or not health.is_alive:
                continue
            if _term_of(health) >= record.term:
                continue
            key = (record.database, instance)
            if now_ms < self._stale_instance_due_ms.get(key, now_ms):
                continue
            self._stale_instance_due_ms[key] = (
                now_ms + self.options.stale_instance_fence_interval_ms
            )
            self._send_command(
                record,
                instance,
                InstanceCommandKind.FENCE,
                self.options.stale_instance_fence_interval_ms,
            )

    def _evaluate_handover(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> None:
        primary, target = record.primary_instance, record.target_instance
        if primary is None or target is None:
            self._abandon_handover(record, "the primary or the target is not known")
            return
        source = self._health_of(now_ms, record.database, primary)
        if source.is_unresponsive:
            self._propose_fencing(
                record, "suspect", record.term + 1, f"{primary} is unresponsive"
            )
            return
        if now_ms - progress.started_ms > self.options.handover_limit_ms:
            self._abandon_handover(record, f"{target} did not catch up in time")
            return
        quiesced_ms = progress.started_ms + self.options.handover_quiesce_ms
        replica = self._health_of(now_ms, record.database, target)
        if source.newest is None or replica.newest is None:
            return
        if min(source.newest.received_ms, replica.newest.received_ms) < quiesced_ms:
            return
        position = source.newest.observation.log_position
        if replica.newest.observation.log_position >= position:
            self._propose_fencing(
                record, "caught_up", record.term + 1, f"{target} has reached {position}"
            )

    def _abandon_handover(self, record: DatabaseRecord, reason: str) -> None:
        self._propose(
            record,
            "abandon",
            EventNumber.HANDOVER_ABANDONED,
            reason,
            target_instance=None,
        )

    def _evaluate_fencing(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> None:
        for instance in record.instances:
            if instance not in progress.fenced:
                self._send_command_if_due(
                    now_ms, record, progress, instance, InstanceCommandKind.FENCE
                )
        self._choose_candidate(now_ms, record, progress)
        waited_ms = now_ms - progress.started_ms
        if waited_ms > self.options.blocked_after_ms and not progress.is_blocked:
            progress.is_blocked = True
            self._emit(
                EventNumber.FAILOVER_BLOCKED,
                record.database,
                f"fenced only {sorted(progress.fenced)} of {sorted(record.instances)}",
            )

    def _on_fenced(
        self,
        now_ms: float,
        record: DatabaseRecord,
        progress: _StepProgress,
        reply: InstanceReply,
    ) -> None:
        if reply.term > record.term:
            reason = f"{reply.instance} is already in term {reply.term}"
            self._propose_fencing(record, "fence_again", reply.term + 1, reason)
            return
        # An instance that lost its log refuses, so that it does not count.
        if not reply.is_accepted:
            return
        progress.fenced[reply.instance] = reply.log_position
        self._choose_candidate(now_ms, record, progress)

    def _n_for_majority(self, record: DatabaseRecord) -> int:
        return len(record.instances) // 2 + 1

    def _eligible_instances(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> list[str]:
        """Return the fenced instances that may be promoted and count for a majority.

        They are fewer than a majority while no choice is safe. Instances that control
        reaches but the entry VMs do not are left out at first: a partitioned old
        primary has unacknowledged entries and would be promoted again and again.
        """
        complete = [
            instance
            for instance, position in progress.fenced.items()
            if not self._health.has_lost_entries(
                record.database,
                instance,
                record.instances[instance].incarnation,
                position,
            )
        ]
        responsive = [
            instance
            for instance in complete
            if not self._health_of(now_ms, record.database, instance).is_unresponsive
        ]
        if len(responsive) >= self._n_for_majority(record):
            return responsive
        if len(progress.fenced) == len(record.instances):
            # No other instance can have more entries, so those that lost some may count.
            return list(progress.fenced)
        waited_ms = now_ms - progress.started_ms
        return (
            complete
            if waited_ms >= self.options.unresponsive_fence_wait_ms
            else responsive
        )

    def _choose_candidate(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> None:
        """Propose the most advanced fenced instance once a majority is fenced."""
        if record.database in self._pending:
            return
        eligible = self._eligible_instances(now_ms, record, progress)
        if len(eligible) < self._n_for_majority(record):
            return
        target = record.target_instance
        is_target_awaited = target is not None and target not in progress.fenced
        waited_ms = now_ms - progress.started_ms
        if is_target_awaited and waited_ms < self.options.handover_fence_wait_ms:
            return
        fenced = {instance: progress.fenced[instance] for instance in eligible}
        chosen = self._best_candidate(now_ms, record, fenced)
        self._propose(
            record,
            "choose",
            EventNumber.PROMOTION_STARTED,
            f"{chosen} at {fenced[chosen]}; fenced: {sorted(fenced)}",
            primary_instance=chosen,
        )

    def _best_candidate(
        self, now_ms: float, record: DatabaseRecord, fenced: dict[str, LogPosition]
    ) -> str:
        """Return the most advanced instance.

        Among equals, a handover target goes first, then an instance that is neither
        leaving nor draining.
        """

        def rank(instance: str) -> tuple[LogPosition, bool, bool, str]:
            health = self._health_of(now_ms, record.database, instance)
            is_usable = not (health.is_leaving or self._draining.get(instance, False))
            is_target = instance == record.target_instance
            return (fenced[instance], is_target, is_usable, instance)

        return max(fenced, key=rank)

    def _evaluate_promoting(
        self, now_ms: float, record: DatabaseRecord, progress: _StepProgress
    ) -> None:
        candidate = record.primary_instance
        if candidate is None or candidate not in record.instances:
            self._propose_fencing(
                record, "fail", record.term + 1, "the promotion has no candidate"
            )
            return
        if now_ms - progress.started_ms > self._promotion_limit_ms(record.database):
            if self._health_of(now_ms, record.database, candidate).is_alive:
                self._n_late_promotions[record.database] += 1
            self._fail_promotion(record, f"{candidate} did not answer in time")
            return
        self._send_command_if_due(
            now_ms, record, progress, candidate, InstanceCommandKind.PROMOTE
        )

    def _promotion_limit_ms(self, database: str) -> float:
        """Return how long a promotion may take; each late one doubles it."""
        options = self.options
        limit_ms = options.promotion_limit_ms * 2.0 ** self._n_late_promotions[database]
        return min(limit_ms, options.promotion_limit_max_ms)

    def _fail_promotion(
        self, record: DatabaseRecord, reason: str, term: int = 0
    ) -> None:
        self._emit(EventNumber.PROMOTION_FAILED, record.database, reason)
        self._propose_fencing(record, "fail", term + 1, reason)

    def _on_promoted(
        self, now_ms: float, record: DatabaseRecord, reply: InstanceReply
    ) -> None:
        if not reply.is_accepted:
            reason = f"{reply.instance} refused; it is in term {reply.term}"
            self._fail_promotion(record, reason, reply.term)
            return
        self._n_late_promotions.pop(record.database, None)
        number = EventNumber.PROMOTION_DONE
        if record.target_instance is not None:
            number = EventNumber.HANDOVER_DONE
        self._propose(
            record,
            "promoted",
            number,
            f"{reply.instance} serves writes",
            target_instance=None,
        )

    def _most_advanced_replica(
        self, now_ms: float, record: DatabaseRecord
    ) -> str | None:
        candidates = []
        for instance in record.instances:
            health = self._health_of(now_ms, record.database, instance)
            if instance == record.primary_instance or not health.is_alive:
                continue
            if (
                health.newest is None
                or health.is_leaving
                or self._draining.get(instance)
            ):
                continue
            position = health.newest.observation.log_position
            candidates.append((position, instance))
        return max(candidates)[1] if candidates else None


def _term_of(health: Health) -> int:
    return health.newest.observation.term if health.newest else 0


def _role_of(health: Health) -> InstanceRole | None:
    return health.newest.observation.role if health.newest else None
