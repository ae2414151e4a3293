"""Failover and handover of databases, as the control leader decides them."""

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
    """Set the times of failover."""

    command_timeout_ms: float = 300.0
    command_interval_ms: float = 100.0
    promotion_limit_ms: float = 900.0
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
    """Hold what is volatile of a step; a new leader starts the step again."""

    term: int
    step: FailoverStep
    started_ms: float
    fenced: dict[str, LogPosition] = field(default_factory=dict)
    due_ms: dict[str, float] = field(default_factory=dict)
    is_blocked: bool = False


@dataclass(slots=True)
class _FlapHistory:
    """Count failovers of primaries that had just begun to serve."""

    n_early_failures: int = 0
    last_failover_ms: float = 0.0


@dataclass(slots=True)
class _Proposal:
    record: DatabaseRecord
    event: EventNumber | None
    detail: str
    subject: str


class FailoverController:
    """Decide steps for all databases; each step is proposed before it takes effect.

    `take_proposal` gives the records to propose; the caller calls `on_applied` when
    one is committed. At most one proposal per database is open.
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
        self._flap_histories: dict[str, _FlapHistory] = defaultdict(_FlapHistory)
        self._stale_instance_due_ms: dict[tuple[str, str], float] = {}
        self._open_revisions: dict[str, int] = {}
        self._proposals: list[_Proposal] = []
        self._effects: list[ControlEffect] = []
        self._detection_ms = 600.0
        self._full_evaluation_due_ms = 0.0
        self._draining: dict[str, bool] = {}

    def reset(self) -> None:
        """Forget all volatile state, as after an election."""
        self._progress_by_database.clear()
        self._open_revisions.clear()
        self._proposals.clear()
        self._effects.clear()
        self._first_seen_ms.clear()
        self._full_evaluation_due_ms = 0.0

    def on_applied(self, record: DatabaseRecord) -> None:
        """Note that a record is committed."""
        if (
            self._open_revisions.get(record.database, record.revision)
            <= record.revision
        ):
            self._open_revisions.pop(record.database, None)

    def pop_proposals(self) -> list[DatabaseRecord]:
        """Return the records to propose."""
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
        """Return the target of a handover that is proposed but not yet taken."""
        for proposal in self._proposals:
            if proposal.record.database == database:
                return proposal.record.target_instance
        return None

    def pop_effects(self) -> list[ControlEffect]:
        """Return commands and events."""
        effects, self._effects = self._effects, []
        return effects

    def evaluate(
        self,
        now_ms: float,
        records: dict[str, DatabaseRecord],
        detection_ms: float,
        draining: dict[str, bool],
    ) -> None:
        """Look at all databases and decide what is due."""
        self._detection_ms = detection_ms
        self._draining = draining
        for database in self._due_databases(now_ms, records):
            if database in self._open_revisions:
                continue
            record = records.get(database)
            if record is None:
                self._evaluate_new(now_ms, database)
            else:
                self._evaluate_record(now_ms, record)

    def _due_databases(
        self, now_ms: float, records: dict[str, DatabaseRecord]
    ) -> set[str]:
        """Return the databases with news or a step under way; from time to time all.

        Judging all of them each time would cost most of a core at 450 entry VMs.
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
        if (
            record.step is not FailoverStep.SERVING
            or record.database in self._open_revisions
        ):
            return f"a step is under way: {record.step.value}"
        primary = record.primary_instance
        if target is None:
            target = self._most_advanced_replica(now_ms, record)
        if target is None or target not in record.instances:
            return "there is no such instance in the group"
        if target == primary:
            return f"{target} is the primary already"
        if not self._health_of(now_ms, record.database, target).is_alive:
            return f"{target} is not seen alive"
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
        """Take the answer to a command."""
        record = records.get(reply.database)
        if (
            record is None
            or reply.database in self._open_revisions
            or not reply.is_answered
        ):
            return
        if reply.command_term != record.term:
            return
        attempt = self._step_progress(now_ms, record)
        if (
            record.step is FailoverStep.FENCING
            and reply.kind is InstanceCommandKind.FENCE
        ):
            self._on_fenced(now_ms, record, attempt, reply)
        elif (
            record.step is FailoverStep.PROMOTING
            and reply.kind is InstanceCommandKind.PROMOTE
            and reply.instance == record.primary_instance
        ):
            self._on_promoted(now_ms, record, reply)

    # Helpers

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
        attempt = self._progress_by_database.get(record.database)
        if attempt is None or (attempt.term, attempt.step) != (
            record.term,
            record.step,
        ):
            attempt = _StepProgress(record.term, record.step, now_ms)
            self._progress_by_database[record.database] = attempt
        return attempt

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
        self._open_revisions[record.database] = proposed.revision
        # The server that the step is about; the timeline shows it as the primary.
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
        attempt: _StepProgress,
        instance: str,
        kind: InstanceCommandKind,
    ) -> None:
        """Send a command, again after an interval, until it is answered."""
        if now_ms < attempt.due_ms.get(instance, now_ms):
            return
        attempt.due_ms[instance] = now_ms + self.options.command_interval_ms
        self._send_command(record, instance, kind)

    def _send_command(
        self, record: DatabaseRecord, instance: str, kind: InstanceCommandKind
    ) -> None:
        address = self._health.address(record.database, instance, self._zone)
        self._effects.append(
            CommandInstance(
                database=record.database,
                instance=instance,
                address=address or record.instances[instance].address,
                kind=kind,
                term=record.term,
                timeout_ms=self.options.command_timeout_ms,
            )
        )

    # New databases and instances

    def _observed_instances(
        self, now_ms: float, database: str
    ) -> dict[str, tuple[Health, InstanceRecord]]:
        found = {}
        for instance in self._health.instances(database):
            health = self._health_of(now_ms, database, instance)
            if health.newest_view is None:
                continue
            observation = health.newest_view.observation
            found[instance] = (
                health,
                InstanceRecord(
                    zone=observation.zone,
                    address=observation.address,
                    incarnation=observation.incarnation,
                ),
            )
        return found

    def _evaluate_new(self, now_ms: float, database: str) -> None:
        """Adopt an announced primary, or fence and promote if there is none."""
        observed = self._observed_instances(now_ms, database)
        if not observed:
            return
        first_seen_ms = self._first_seen_ms.setdefault(database, now_ms)
        record = DatabaseRecord(
            database=database,
            term=0,
            primary_instance=None,
            step=FailoverStep.SERVING,
            instances={name: item for name, (_, item) in observed.items()},
        )
        if self._adopt_primary(record, observed):
            return
        has_settled = now_ms - first_seen_ms >= self.options.new_group_grace_ms
        if has_settled and len(observed) >= 2:
            term = max(_term_of(health) for health, _ in observed.values())
            self._propose_fencing(
                record, "suspect", term + 1, "a new group has no primary"
            )

    def _adopt_primary(
        self,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> bool:
        """Propose an announced primary of a newer term than the record's."""
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
        """Tell whether a restarted instance holds all that its former life held."""
        if record.step is not FailoverStep.SERVING or record.primary_instance is None:
            return False
        if instance == record.primary_instance:
            # It was promoted with a majority, so it holds all that was acknowledged.
            return self._is_serving(now_ms, record)
        return self._is_serving(now_ms, record) and self._health.has_caught_up(
            now_ms, record.database, instance, record.primary_instance
        )

    def _is_serving(self, now_ms: float, record: DatabaseRecord) -> bool:
        primary = record.primary_instance or ""
        newest = self._health_of(now_ms, record.database, primary).newest_view
        if newest is None:
            return False
        seen = newest.observation
        return seen.role is InstanceRole.PRIMARY and seen.term == record.term

    def _propose_instance_changes(
        self,
        now_ms: float,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> bool:
        """Propose instances that are new or have moved; none is ever removed."""
        news = {}
        for name, (health, item) in observed.items():
            known = record.instances.get(name)
            if not health.is_alive:
                continue
            if known is None:
                news[name] = item
                continue
            kept = known
            if known.address not in health.addresses:
                kept = msgspec.structs.replace(kept, address=item.address)
            if known.incarnation != item.incarnation and self._has_caught_up(
                now_ms, record, name
            ):
                kept = msgspec.structs.replace(kept, incarnation=item.incarnation)
            if kept != known:
                news[name] = kept
        if not news:
            return False
        self._propose(record, "learn", None, "", instances={**record.instances, **news})
        return True

    # Steps

    def _evaluate_record(self, now_ms: float, record: DatabaseRecord) -> None:
        attempt = self._step_progress(now_ms, record)
        observed = self._observed_instances(now_ms, record.database)
        if self._propose_instance_changes(now_ms, record, observed):
            return
        match record.step:
            case FailoverStep.SERVING:
                self._evaluate_serving(now_ms, record, attempt, observed)
            case FailoverStep.HANDING_OVER:
                self._evaluate_handover(now_ms, record, attempt)
            case FailoverStep.FENCING:
                self._evaluate_fencing(now_ms, record, attempt)
            case FailoverStep.PROMOTING:
                self._evaluate_promoting(now_ms, record, attempt)

    def _evaluate_serving(
        self,
        now_ms: float,
        record: DatabaseRecord,
        attempt: _StepProgress,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> None:
        if self._adopt_primary(record, observed):
            return
        why = self._failure_reason(now_ms, record, attempt)
        if why and self._is_other_alive(record, observed):
            if not self._is_damped(now_ms, record.database):
                self._record_failover(now_ms, record.database, attempt)
                self._emit(
                    EventNumber.PRIMARY_SUSPECTED,
                    record.database,
                    why,
                    record.primary_instance or "",
                )
                self._propose_fencing(record, "suspect", record.term + 1, why)
            return
        self._fence_stale_instances(now_ms, record, observed)

    def _failure_reason(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> str:
        """Return why the primary has failed, or an empty string."""
        primary = record.primary_instance
        if primary is None:
            return "there is no primary"
        health = self._health_of(now_ms, record.database, primary)
        if health.is_unresponsive:
            return f"{primary} is silent"
        has_settled = now_ms - attempt.started_ms >= self.options.role_grace_ms
        if has_settled and health.is_alive and health.has_lost_primary_role:
            return f"{primary} is no longer a primary"
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
        self, now_ms: float, database: str, attempt: _StepProgress
    ) -> None:
        flaps = self._flap_histories[database]
        # A failed primary that had to wait has not served during that wait.
        quick_ms = self.options.stable_primary_ms + self._damping_ms(flaps)
        is_quick = now_ms - attempt.started_ms < quick_ms
        flaps.n_early_failures = flaps.n_early_failures + 1 if is_quick else 0
        flaps.last_failover_ms = now_ms

    def _damping_ms(self, flaps: _FlapHistory) -> float:
        n_excess = flaps.n_early_failures - self.options.n_undamped_failovers
        if n_excess < 0:
            return 0.0
        return min(
            self.options.damping_base_ms * 2.0**n_excess, self.options.damping_max_ms
        )

    def _is_damped(self, now_ms: float, database: str) -> bool:
        """Tell whether a further failover has to wait, so that a group can't flap.

        Only primaries that fail soon after their promotion count: a second failure
        right after a repair must not wait.
        """
        flaps = self._flap_histories[database]
        return now_ms - flaps.last_failover_ms < self._damping_ms(flaps)

    def _fence_stale_instances(
        self,
        now_ms: float,
        record: DatabaseRecord,
        observed: dict[str, tuple[Health, InstanceRecord]],
    ) -> None:
        """Tell instances of older terms, such as a thawed primary, the current term."""
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
            self._send_command(record, instance, InstanceCommandKind.FENCE)

    def _evaluate_handover(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> None:
        primary, target = record.primary_instance, record.target_instance
        if primary is None or target is None:
            self._abandon_handover(record, "the primary is not known")
            return
        source = self._health_of(now_ms, record.database, primary)
        if source.is_unresponsive:
            self._propose_fencing(
                record, "suspect", record.term + 1, f"{primary} is silent"
            )
            return
        if now_ms - attempt.started_ms > self.options.handover_limit_ms:
            self._abandon_handover(record, f"{target} did not catch up")
            return
        quiet_ms = attempt.started_ms + self.options.handover_quiesce_ms
        copy = self._health_of(now_ms, record.database, target)
        if source.newest_view is None or copy.newest_view is None:
            return
        if min(source.newest_view.received_ms, copy.newest_view.received_ms) < quiet_ms:
            return
        position = source.newest_view.observation.log_position
        if copy.newest_view.observation.log_position >= position:
            self._propose_fencing(
                record, "caught_up", record.term + 1, f"{target} holds {position}"
            )

    def _abandon_handover(self, record: DatabaseRecord, why: str) -> None:
        self._propose(
            record,
            "abandon",
            EventNumber.HANDOVER_ABANDONED,
            why,
            target_instance=None,
        )

    def _evaluate_fencing(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> None:
        for instance in record.instances:
            if instance not in attempt.fenced:
                self._send_command_if_due(
                    now_ms, record, attempt, instance, InstanceCommandKind.FENCE
                )
        self._choose_candidate(now_ms, record, attempt)
        waited_ms = now_ms - attempt.started_ms
        if waited_ms > self.options.blocked_after_ms and not attempt.is_blocked:
            attempt.is_blocked = True
            self._emit(
                EventNumber.FAILOVER_BLOCKED,
                record.database,
                f"fenced {sorted(attempt.fenced)} of {sorted(record.instances)}",
            )

    def _on_fenced(
        self,
        now_ms: float,
        record: DatabaseRecord,
        attempt: _StepProgress,
        reply: InstanceReply,
    ) -> None:
        if reply.term > record.term:
            why = f"{reply.instance} knows term {reply.term}"
            self._propose_fencing(record, "fence_again", reply.term + 1, why)
            return
        # An instance that forgot what it held refuses, so that it doesn't count.
        if not reply.is_accepted:
            return
        attempt.fenced[reply.instance] = reply.log_position
        self._choose_candidate(now_ms, record, attempt)

    def _n_for_majority(self, record: DatabaseRecord) -> int:
        return len(record.instances) // 2 + 1

    def _eligible_instances(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> list[str]:
        """Return the fenced instances to choose from; too few if none is safe yet.

        Instances that control reaches but the entry VMs don't are left out at first:
        a cut-off old primary holds entries that nobody acknowledged, and would be
        promoted again and again.
        """
        whole = [
            instance
            for instance, position in attempt.fenced.items()
            if not self._health.has_lost_entries(
                record.database,
                instance,
                record.instances[instance].incarnation,
                position,
            )
        ]
        seen = [
            instance
            for instance in whole
            if not self._health_of(now_ms, record.database, instance).is_unresponsive
        ]
        if len(seen) >= self._n_for_majority(record):
            return seen
        if len(attempt.fenced) == len(record.instances):
            # Nobody else can hold more, so even those that lost entries may be chosen.
            return list(attempt.fenced)
        waited_ms = now_ms - attempt.started_ms
        return whole if waited_ms >= self.options.unresponsive_fence_wait_ms else seen

    def _choose_candidate(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> None:
        """Propose the most advanced fenced instance, given a majority."""
        if record.database in self._open_revisions:
            return
        counted = self._eligible_instances(now_ms, record, attempt)
        if len(counted) < self._n_for_majority(record):
            return
        target = record.target_instance
        is_target_awaited = target is not None and target not in attempt.fenced
        waited_ms = now_ms - attempt.started_ms
        if is_target_awaited and waited_ms < self.options.handover_fence_wait_ms:
            return
        fenced = {instance: attempt.fenced[instance] for instance in counted}
        chosen = self._best_candidate(now_ms, record, fenced)
        self._propose(
            record,
            "choose",
            EventNumber.PROMOTION_STARTED,
            f"{chosen} at {fenced[chosen]}, fenced {sorted(fenced)}",
            primary_instance=chosen,
        )

    def _best_candidate(
        self, now_ms: float, record: DatabaseRecord, fenced: dict[str, LogPosition]
    ) -> str:
        """Return the most advanced instance; among equals a target, then one in use."""

        def rank(instance: str) -> tuple[LogPosition, bool, bool, str]:
            health = self._health_of(now_ms, record.database, instance)
            is_usable = not (health.is_leaving or self._draining.get(instance, False))
            is_target = instance == record.target_instance
            return (fenced[instance], is_target, is_usable, instance)

        return max(fenced, key=rank)

    def _evaluate_promoting(
        self, now_ms: float, record: DatabaseRecord, attempt: _StepProgress
    ) -> None:
        candidate = record.primary_instance
        if candidate is None or candidate not in record.instances:
            self._propose_fencing(record, "fail", record.term + 1, "no candidate")
            return
        if now_ms - attempt.started_ms > self.options.promotion_limit_ms:
            self._fail_promotion(record, f"{candidate} does not answer")
            return
        self._send_command_if_due(
            now_ms, record, attempt, candidate, InstanceCommandKind.PROMOTE
        )

    def _fail_promotion(self, record: DatabaseRecord, why: str, term: int = 0) -> None:
        self._emit(EventNumber.PROMOTION_FAILED, record.database, why)
        self._propose_fencing(record, "fail", term + 1, why)

    def _on_promoted(
        self, now_ms: float, record: DatabaseRecord, reply: InstanceReply
    ) -> None:
        if not reply.is_accepted:
            why = f"{reply.instance} refused and knows term {reply.term}"
            self._fail_promotion(record, why, reply.term)
            return
        number = EventNumber.PROMOTION_DONE
        if record.target_instance is not None:
            number = EventNumber.HANDOVER_DONE
        self._propose(
            record, "promoted", number, f"{reply.instance} serves", target_instance=None
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
                health.newest_view is None
                or health.is_leaving
                or self._draining.get(instance)
            ):
                continue
            position = health.newest_view.observation.log_position
            candidates.append((position, instance))
        return max(candidates)[1] if candidates else None


def _term_of(health: Health) -> int:
    return health.newest_view.observation.term if health.newest_view else 0


def _role_of(health: Health) -> InstanceRole | None:
    return health.newest_view.observation.role if health.newest_view else None
