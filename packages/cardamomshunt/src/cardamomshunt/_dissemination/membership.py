"""Membership by probes, with suspicion, indirect probes and flap damping."""

import math
import random
from dataclasses import dataclass, field

from cardamomshunt._dissemination.flap_damping import FlapDamping
from cardamomshunt._dissemination.membership_messages import (
    MemberChanged,
    MemberRecord,
    MembershipEffect,
    MemberState,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    SendToMember,
    ZoneChanged,
)
from cardamomshunt._shared.messages import Message

_N_RECORDS_PER_MESSAGE = 6
# Times that a record is sent, for each doubling of the number of members. With fewer,
# lost messages leave some members without the update.
_N_SENDS_PER_DOUBLING = 3
# Every tenth probe goes to a dead or unreachable member, so that the end of a partition
# is detected without the cost of probing all of them.
_N_PROBES_PER_PROBE_OF_ABSENT = 10
_STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Intervals of probes; the probe timeout exceeds a round trip between zones."""

    probe_interval_ms: float = 1_000.0
    probe_timeout_ms: float = 300.0
    suspicion_ms: float = 4_000.0
    zone_timeout_ms: float = 5_000.0
    flap_half_life_ms: float = 60_000.0


def is_newer(candidate: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record overrides another one of the same member.

    >>> alive = MemberRecord("a", "z", "x", 1)
    >>> is_newer(MemberRecord("a", "z", "x", 1, MemberState.SUSPECT), alive)
    True
    """
    return (candidate.incarnation, _STATE_RANK[candidate.state]) > (
        known.incarnation,
        _STATE_RANK[known.state],
    )


@dataclass(slots=True)
class _Member:
    record: MemberRecord
    damping: FlapDamping
    last_heard_ms: float
    suspected_ms: float = 0.0

    @property
    def is_present(self) -> bool:
        return self.record.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class _PendingProbe:
    target: str
    sent_ms: float
    is_indirect: bool = False
    requested_by: str | None = None
    requested_sequence: int = 0


@dataclass(slots=True)
class _UpdateQueue:
    """Choose updated records to attach to messages, the least often sent first."""

    n_sends: dict[str, int] = field(default_factory=dict)

    def add(self, node: str) -> None:
        self.n_sends[node] = 0

    def select(self, n_members: int) -> list[str]:
        limit = _N_SENDS_PER_DOUBLING * math.ceil(math.log2(n_members + 1))
        chosen = sorted(self.n_sends, key=self.n_sends.__getitem__)
        chosen = chosen[:_N_RECORDS_PER_MESSAGE]
        for node in chosen:
            self.n_sends[node] += 1
            if self.n_sends[node] >= limit:
                del self.n_sends[node]
        return chosen


class Membership:
    """Decide which members are alive, and which zones are unreachable, without I/O.

    A member that does not answer is probed through other members: one in its zone, one
    in the zone of the prober and one in a third. If none of them reaches it, it is
    suspected, and declared dead unless it refutes the suspicion with a higher incarnation
    in time. While no member of its zone answers, it stays suspected, as a failure of the
    link to the zone is the more likely cause.
    """

    def __init__(
        self,
        now_ms: float,
        own: MemberRecord,
        seeds: list[MemberRecord],
        random_state: random.Random,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._own = own
        self._settings = settings or MembershipSettings()
        self._random = random_state
        self._members: dict[str, _Member] = {}
        self._updates = _UpdateQueue()
        self._probes: dict[int, _PendingProbe] = {}
        self._queue: list[str] = []
        self._unreachable_zones: set[str] = set()
        self._n_probes = 0
        self._sequence = 0
        # A random phase prevents members that start together from probing in lockstep.
        self._next_probe_ms = now_ms + random_state.random() * (
            self._settings.probe_interval_ms
        )
        for record in seeds:
            if record.node != own.node:
                self._add(now_ms, record)
        self._updates.add(own.node)

    @property
    def own(self) -> MemberRecord:
        """Return this member's own record."""
        return self._own

    @property
    def is_isolated(self) -> bool:
        """Return whether no other zone answers, so that this one is partitioned."""
        others = {member.record.zone for member in self._members.values()}
        others.discard(self._own.zone)
        return bool(others) and others <= self._unreachable_zones

    def unreachable_zones(self) -> set[str]:
        """Return the zones of which no member answers."""
        return set(self._unreachable_zones)

    def state_of(self, node: str) -> MemberState | None:
        """Return the believed state of a member, or None if it is unknown."""
        member = self._members.get(node)
        return member.record.state if member else None

    def usable_members(self, now_ms: float) -> list[str]:
        """Return the members that are alive and not damped."""
        return [
            node
            for node, member in self._members.items()
            if member.record.state is MemberState.ALIVE
            and not member.damping.is_damped(now_ms)
        ]

    def leave(self) -> list[MembershipEffect]:
        """Notify a few members that this one leaves intentionally."""
        self._own = _with_state(self._own, MemberState.LEFT)
        self._updates.add(self._own.node)
        present = [node for node, member in self._members.items() if member.is_present]
        targets = self._random.sample(present, min(3, len(present)))
        return [self._send_probe(node, sequence=0) for node in targets]

    def next_deadline_ms(self) -> float | None:
        """Return when `tick` has to be called next."""
        timeout_ms = self._settings.probe_timeout_ms
        timeouts = [
            probe.sent_ms + timeout_ms
            for probe in self._probes.values()
            if not probe.is_indirect and probe.requested_by is None
        ]
        return min([self._next_probe_ms, *timeouts])

    def tick(self, now_ms: float) -> list[MembershipEffect]:
        """Probe the next member and process probes that were not answered."""
        effects = self._probe_indirectly(now_ms)
        if now_ms < self._next_probe_ms:
            return effects
        self._next_probe_ms = now_ms + self._settings.probe_interval_ms
        effects += self._suspect_unresponsive(now_ms)
        effects += self._expire_suspicions(now_ms)
        target = self._next_target()
        if target is not None:
            self._sequence += 1
            self._probes[self._sequence] = _PendingProbe(target, now_ms)
            effects.append(self._send_probe(target, self._sequence))
        return effects

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[MembershipEffect]:
        """Process a message from another member."""
        if not isinstance(message, Probe | ProbeAnswer | ProbeRequest):
            return []
        effects = self._merge_records(now_ms, message.records)
        effects += self._record_contact(now_ms, sender)
        if isinstance(message, Probe):
            effects += self._answer(sender, message)
        elif isinstance(message, ProbeRequest):
            effects += self._on_probe_request(now_ms, sender, message)
        else:
            effects += self._on_answer(now_ms, message)
        return effects

    def _answer(self, sender: str, probe: Probe) -> list[MembershipEffect]:
        member = self._members.get(sender)
        if member is None or not probe.sequence:
            return []
        answer = ProbeAnswer(
            sequence=probe.sequence,
            node=self._own.node,
            records=self._records(subject=sender),
        )
        return [_send(member.record, answer)]

    def _on_probe_request(
        self, now_ms: float, sender: str, request: ProbeRequest
    ) -> list[MembershipEffect]:
        if request.target not in self._members:
            return []
        self._sequence += 1
        self._probes[self._sequence] = _PendingProbe(
            request.target,
            now_ms,
            requested_by=sender,
            requested_sequence=request.sequence,
        )
        return [self._send_probe(request.target, self._sequence)]

    def _on_answer(self, now_ms: float, answer: ProbeAnswer) -> list[MembershipEffect]:
        probe = self._probes.pop(answer.sequence, None)
        if probe is None or probe.target != answer.node:
            return []
        effects = self._record_contact(now_ms, answer.node)
        requester = self._members.get(probe.requested_by or "")
        if requester is not None:
            relayed = ProbeAnswer(
                sequence=probe.requested_sequence,
                node=answer.node,
                records=self._records(subject=answer.node),
            )
            effects.append(_send(requester.record, relayed))
        return effects

    def _send_probe(self, node: str, sequence: int) -> MembershipEffect:
        probe = Probe(sequence=sequence, records=self._records(subject=node))
        return _send(self._members[node].record, probe)

    def _records(self, subject: str) -> list[MemberRecord]:
        """Choose records to attach, including that of `subject` if it is not alive.

        A suspected member thus learns of the suspicion and can refute it.
        """
        chosen = self._updates.select(len(self._members))
        member = self._members.get(subject)
        is_suspected = member and member.record.state is not MemberState.ALIVE
        if is_suspected and subject not in chosen:
            chosen.append(subject)
        if self._own.node not in chosen:
            chosen.append(self._own.node)
        return [
            self._own if node == self._own.node else self._members[node].record
            for node in chosen
        ]

    def _probe_indirectly(self, now_ms: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        timeout_ms = self._settings.probe_timeout_ms
        for sequence, probe in self._probes.items():
            is_overdue = now_ms >= probe.sent_ms + timeout_ms
            if not is_overdue or probe.is_indirect or probe.requested_by is not None:
                continue
            probe.is_indirect = True
            for helper in self._helpers(probe.target):
                request = ProbeRequest(
                    sequence=sequence,
                    target=probe.target,
                    records=self._records(subject=helper),
                )
                effects.append(_send(self._members[helper].record, request))
        return effects

    def _helpers(self, target: str) -> list[str]:
        """Choose a helper in the target's zone, in this one and in a third one."""
        target_zone = self._members[target].record.zone
        by_kind: dict[int, list[str]] = {0: [], 1: [], 2: []}
        for node, member in self._members.items():
            if node == target or member.record.state is not MemberState.ALIVE:
                continue
            zone = member.record.zone
            kind = 0 if zone == target_zone else 1 if zone == self._own.zone else 2
            by_kind[kind].append(node)
        return [self._random.choice(nodes) for nodes in by_kind.values() if nodes]

    def _suspect_unresponsive(self, now_ms: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        timeout_ms = self._settings.probe_interval_ms
        for sequence, probe in list(self._probes.items()):
            if now_ms - probe.sent_ms < timeout_ms:
                continue
            del self._probes[sequence]
            member = self._members[probe.target]
            is_own_probe = probe.requested_by is None
            if is_own_probe and member.record.state is MemberState.ALIVE:
                effects += self._set_state(now_ms, member, MemberState.SUSPECT)
        return effects

    def _expire_suspicions(self, now_ms: float) -> list[MembershipEffect]:
        effects = self._update_unreachable_zones(now_ms)
        for member in self._members.values():
            is_due = (
                member.record.state is MemberState.SUSPECT
                and now_ms - member.suspected_ms >= self._settings.suspicion_ms
            )
            if is_due and member.record.zone not in self._unreachable_zones:
                effects += self._set_state(now_ms, member, MemberState.DEAD)
        return effects

    def _update_unreachable_zones(self, now_ms: float) -> list[MembershipEffect]:
        """Update which zones are unreachable.

        A zone becomes unreachable if it has several members and none of them answers.
        """
        by_zone: dict[str, list[_Member]] = {}
        for member in self._members.values():
            if member.record.state is not MemberState.LEFT:
                by_zone.setdefault(member.record.zone, []).append(member)
        effects: list[MembershipEffect] = []
        for zone, members in by_zone.items():
            last_heard_ms = max(member.last_heard_ms for member in members)
            is_unresponsive = now_ms - last_heard_ms >= self._settings.zone_timeout_ms
            is_suspected = any(
                member.record.state is MemberState.SUSPECT for member in members
            )
            was_unreachable = zone in self._unreachable_zones
            is_unreachable = (
                zone != self._own.zone
                and len(members) > 1
                and is_unresponsive
                and (is_suspected or was_unreachable)
            )
            if is_unreachable == was_unreachable:
                continue
            self._unreachable_zones ^= {zone}
            effects.append(ZoneChanged(zone=zone, is_unreachable=is_unreachable))
            if not is_unreachable:
                # Suspicion timeouts restart, as the link was the cause.
                for member in members:
                    member.suspected_ms = now_ms
        return effects

    def _next_target(self) -> str | None:
        self._n_probes += 1
        absent = [
            node
            for node, member in self._members.items()
            if member.record.state is MemberState.DEAD
            or (member.is_present and member.record.zone in self._unreachable_zones)
        ]
        if absent and self._n_probes % _N_PROBES_PER_PROBE_OF_ABSENT == 0:
            return self._random.choice(absent)
        while True:
            if not self._queue:
                self._queue = [
                    node for node, member in self._members.items() if member.is_present
                ]
                self._random.shuffle(self._queue)
            if not self._queue:
                return self._random.choice(absent) if absent else None
            node = self._queue.pop()
            if self._members[node].is_present:
                return node

    def _merge_records(
        self, now_ms: float, records: list[MemberRecord]
    ) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for record in records:
            if record.node == self._own.node:
                self._refute(record)
                continue
            member = self._members.get(record.node)
            if member is None:
                self._add(now_ms, record)
                self._updates.add(record.node)
                effects.append(_changed(record))
            elif is_newer(record, member.record):
                effects += self._override(now_ms, member, record)
        return effects

    def _refute(self, record: MemberRecord) -> None:
        """Refute a suspicion of this member with a higher incarnation."""
        is_leaving = self._own.state is MemberState.LEFT
        is_wrong = record.state is not MemberState.ALIVE
        is_later = record.incarnation >= self._own.incarnation
        if (
            is_leaving
            or not is_later
            or not (is_wrong or record.incarnation > self._own.incarnation)
        ):
            return
        self._own = MemberRecord(
            self._own.node,
            self._own.zone,
            self._own.address,
            record.incarnation + 1,
        )
        self._updates.add(self._own.node)

    def _override(
        self, now_ms: float, member: _Member, record: MemberRecord
    ) -> list[MembershipEffect]:
        is_suppressed = (
            record.state is MemberState.DEAD and record.zone in self._unreachable_zones
        )
        if is_suppressed:
            return []
        before = member.record.state
        member.record = record
        self._updates.add(record.node)
        if record.state is before:
            return []
        if record.state is MemberState.SUSPECT:
            member.suspected_ms = now_ms
        elif record.state is MemberState.ALIVE:
            member.damping.on_return(now_ms)
        return [_changed(record)]

    def _record_contact(self, now_ms: float, node: str) -> list[MembershipEffect]:
        member = self._members.get(node)
        if member is None:
            return []
        member.last_heard_ms = now_ms
        if member.record.zone not in self._unreachable_zones:
            return []
        return self._update_unreachable_zones(now_ms)

    def _set_state(
        self, now_ms: float, member: _Member, state: MemberState
    ) -> list[MembershipEffect]:
        member.record = _with_state(member.record, state)
        if state is MemberState.SUSPECT:
            member.suspected_ms = now_ms
        self._updates.add(member.record.node)
        return [_changed(member.record)]

    def _add(self, now_ms: float, record: MemberRecord) -> None:
        self._members[record.node] = _Member(
            record,
            FlapDamping(self._settings.flap_half_life_ms),
            last_heard_ms=now_ms,
            suspected_ms=now_ms,
        )


def _send(record: MemberRecord, message: Message) -> SendToMember:
    return SendToMember(node=record.node, address=record.address, message=message)


def _changed(record: MemberRecord) -> MemberChanged:
    return MemberChanged(node=record.node, zone=record.zone, state=record.state)


def _with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    return MemberRecord(
        record.node, record.zone, record.address, record.incarnation, state
    )
