"""Spread by relays: one member of each zone talks to the leader for the others."""

from dataclasses import dataclass, field

from cardamomshunt._dissemination.base import DisseminationBase
from cardamomshunt._dissemination.interface import (
    DisseminationEffect,
    DisseminationMember,
    DisseminationSettings,
    GroupReport,
    NodeHeartbeat,
    SendTo,
    StateUpdate,
)
from cardamomshunt._dissemination.state import HeartbeatTable
from cardamomshunt._shared.messages import Message

# A member that missed a beat is greeted again, as it may have missed the greeting and
# send its beats to the last relay. More than one beat, so that no healthy one is.
_N_BEATS_TO_GREETING = 1.5


class RelayAssignment(Message, kw_only=True, tag="RelayDuty"):
    """Make a member the relay of a group until another one is named."""

    epoch: int
    group: str
    members: list[str]


class RelayAnnouncement(Message, kw_only=True, tag="RelayGreeting"):
    """Tell a member where its beats go; `epoch` orders relays."""

    epoch: int


@dataclass(slots=True)
class _Group:
    """Hold what the leader knows of a zone."""

    members: list[str]
    relay: str
    epoch: int
    heard_ms: float
    sequence: int = 0
    lagging: dict[str, int] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    common_version: int = 0


@dataclass(slots=True)
class _Duty:
    """Hold what a relay knows of its zone."""

    epoch: int
    group: str
    members: list[str]
    beats: HeartbeatTable
    n_reports: int = 0


class RelayDissemination(DisseminationBase):
    """Send versions to one relay a zone, and get one aggregated report a zone.

    The leader names another relay when a report is missing; members without a relay
    send their beats to the leader.
    """

    def __init__(
        self,
        now_ms: float,
        own: DisseminationMember,
        leader: str,
        members: list[DisseminationMember],
        settings: DisseminationSettings,
        phase: float,
    ) -> None:
        super().__init__(now_ms, own, leader, settings, phase)
        self._relay = leader
        self._relay_epoch = 0
        self._duty: _Duty | None = None
        self._epoch = 0
        self._groups: dict[str, _Group] = {}
        if self._is_leader:
            self._build_groups(now_ms, members)

    def _build_groups(self, now_ms: float, members: list[DisseminationMember]) -> None:
        by_group: dict[str, list[str]] = {}
        for member in members:
            if member.node != self._own.node:
                by_group.setdefault(member.group, []).append(member.node)
        for name, nodes in by_group.items():
            self._groups[name] = _Group(sorted(nodes), "", 0, now_ms)

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Send a new version to every relay."""
        self._state.apply(StateUpdate(version=version, payload=payload))
        return [
            self._state.send(item.relay) for item in self._groups.values() if item.relay
        ]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Take over a message of the leader, a relay or a member."""
        if isinstance(message, StateUpdate):
            return self._take_state(message)
        if isinstance(message, NodeHeartbeat):
            return self._take_beat(now_ms, sender, message)
        if isinstance(message, RelayAnnouncement):
            return self._take_greeting(sender, message)
        if isinstance(message, RelayAssignment):
            return self._take_duty(now_ms, message)
        if isinstance(message, GroupReport):
            return self._take_report(now_ms, sender, message)
        return []

    def _take_state(self, update: StateUpdate) -> list[DisseminationEffect]:
        effects = self._state.apply(update)
        if not effects:
            return []
        if self._duty is not None:
            others = [node for node in self._duty.members if node != self._own.node]
            return [*effects, *(self._state.send(node) for node in others)]
        return [*effects, self._beat()]

    def _take_beat(
        self, now_ms: float, sender: str, beat: NodeHeartbeat
    ) -> list[DisseminationEffect]:
        if self._duty is not None:
            self._duty.beats.record(sender, now_ms, beat.version)
        if beat.version < self.version:
            return [self._state.send(sender)]
        return []

    def _take_greeting(
        self, sender: str, greeting: RelayAnnouncement
    ) -> list[DisseminationEffect]:
        if greeting.epoch < self._relay_epoch:
            return []
        is_new = greeting.epoch > self._relay_epoch
        self._relay, self._relay_epoch = sender, greeting.epoch
        if self._duty is not None and greeting.epoch > self._duty.epoch:
            self._duty = None
        return [self._beat()] if is_new else []

    def _take_duty(
        self, now_ms: float, duty: RelayAssignment
    ) -> list[DisseminationEffect]:
        if self._duty is not None and duty.epoch <= self._duty.epoch:
            return []
        beats = HeartbeatTable(self._settings.unresponsive_after_ms)
        for node in duty.members:
            if node != self._own.node:
                beats.expect(node, now_ms)
        self._duty = _Duty(duty.epoch, duty.group, duty.members, beats)
        return self._greet(self._duty, list(beats.last_heartbeat_ms))

    def _greet(self, duty: _Duty, nodes: list[str]) -> list[DisseminationEffect]:
        greeting = RelayAnnouncement(epoch=duty.epoch)
        return [SendTo(node=node, message=greeting) for node in nodes]

    def _take_report(
        self, now_ms: float, sender: str, report: GroupReport
    ) -> list[DisseminationEffect]:
        group = self._groups.get(report.group)
        is_current = group is not None and group.relay == sender
        if group is None or not is_current or report.sequence <= group.sequence:
            return []
        group.heard_ms = now_ms
        group.sequence = report.sequence
        group.common_version = report.common_version
        group.lagging = report.lagging
        group.silent = set(report.unresponsive)
        if report.common_version < self.version:
            return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send a beat or a report; on the leader, replace silent relays."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        if self._is_leader:
            return self._replace_silent_relays(now_ms)
        if self._duty is None:
            return [self._beat()]
        return self._report(now_ms, self._duty)

    def _beat(self) -> SendTo:
        return SendTo(node=self._relay, message=NodeHeartbeat(version=self.version))

    def _report(self, now_ms: float, duty: _Duty) -> list[DisseminationEffect]:
        duty.n_reports += 1
        report = duty.beats.report(duty.group, duty.n_reports, self.version, now_ms)
        patience_ms = _N_BEATS_TO_GREETING * self._settings.heartbeat_ms
        late = duty.beats.unresponsive_for(now_ms, patience_ms)
        return [
            SendTo(node=self._leader, message=report),
            *self._greet(duty, sorted(late)),
        ]

    def _replace_silent_relays(self, now_ms: float) -> list[DisseminationEffect]:
        effects: list[DisseminationEffect] = []
        for name, group in self._groups.items():
            is_silent = now_ms - group.heard_ms > self._settings.unresponsive_after_ms
            if not group.relay or is_silent:
                self._name_relay(now_ms, group)
            if not group.sequence:
                # Repeated until the first report, as the order may be lost.
                effects += self._order(name, group)
        return effects

    def _name_relay(self, now_ms: float, group: _Group) -> None:
        """Name the next member that was not silent; it is given time to report."""
        if group.relay:
            group.silent.add(group.relay)
        candidates = [node for node in group.members if node not in group.silent]
        if not candidates:
            # A cut-off zone looks like this; all of it is tried again in turn.
            candidates = group.members
        group.relay = candidates[self._epoch % len(candidates)]
        self._epoch += 1
        group.epoch = self._epoch
        group.sequence = 0
        group.heard_ms = now_ms

    def _order(self, name: str, group: _Group) -> list[DisseminationEffect]:
        duty = RelayAssignment(epoch=group.epoch, group=name, members=group.members)
        effects: list[DisseminationEffect] = [SendTo(node=group.relay, message=duty)]
        if self.version:
            effects.append(self._state.send(group.relay))
        return effects

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members that the relays or the leader miss."""
        silent: set[str] = set()
        for group in self._groups.values():
            silent |= group.silent
        return silent

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members with an older version."""
        lagging: set[str] = set()
        for group in self._groups.values():
            if group.common_version < self.version:
                lagging |= set(group.members)
            else:
                lagging |= {
                    node
                    for node, version in group.lagging.items()
                    if version < self.version
                }
        return lagging
