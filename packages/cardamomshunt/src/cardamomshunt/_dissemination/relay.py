"""Dissemination by relays: one member of each zone exchanges messages with the leader."""

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

# A relay announces itself again to a member whose heartbeat is overdue, as the member may
# have missed the announcement and still send to the previous relay. The limit exceeds one
# interval so that no healthy member is affected.
_N_HEARTBEATS_TO_ANNOUNCEMENT = 1.5


class RelayAssignment(Message, kw_only=True, tag="RelayDuty"):
    """Appointment of a member as the relay of a group, until another is appointed."""

    epoch: int
    group: str
    members: list[str]


class RelayAnnouncement(Message, kw_only=True, tag="RelayGreeting"):
    """Announcement by a relay that it receives heartbeats; `epoch` orders relays."""

    epoch: int


@dataclass(slots=True)
class _Group:
    """State of a zone as known to the leader."""

    members: list[str]
    relay: str
    epoch: int
    last_report_ms: float
    sequence: int = 0
    lagging: dict[str, int] = field(default_factory=dict)
    unresponsive: set[str] = field(default_factory=set)
    common_version: int = 0


@dataclass(slots=True)
class _ActiveAssignment:
    """State of a zone as known to its relay."""

    epoch: int
    group: str
    members: list[str]
    heartbeats: HeartbeatTable
    n_reports: int = 0


class RelayDissemination(DisseminationBase):
    """Send versions to one relay per zone, and receive one aggregated report per zone.

    The leader appoints another relay when a report is overdue. Members without a relay
    send their heartbeats to the leader.
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
        self._assignment: _ActiveAssignment | None = None
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
        """Process a message from the leader, a relay or a member."""
        if isinstance(message, StateUpdate):
            return self._on_state(message)
        if isinstance(message, NodeHeartbeat):
            return self._on_heartbeat(now_ms, sender, message)
        if isinstance(message, RelayAnnouncement):
            return self._on_announcement(sender, message)
        if isinstance(message, RelayAssignment):
            return self._on_assignment(now_ms, message)
        if isinstance(message, GroupReport):
            return self._on_report(now_ms, sender, message)
        return []

    def _on_state(self, update: StateUpdate) -> list[DisseminationEffect]:
        effects = self._state.apply(update)
        if not effects:
            return []
        if self._assignment is not None:
            others = [
                node for node in self._assignment.members if node != self._own.node
            ]
            return [*effects, *(self._state.send(node) for node in others)]
        return [*effects, self._heartbeat()]

    def _on_heartbeat(
        self, now_ms: float, sender: str, heartbeat: NodeHeartbeat
    ) -> list[DisseminationEffect]:
        if self._assignment is not None:
            self._assignment.heartbeats.record(sender, now_ms, heartbeat.version)
        if heartbeat.version < self.version:
            return [self._state.send(sender)]
        return []

    def _on_announcement(
        self, sender: str, announcement: RelayAnnouncement
    ) -> list[DisseminationEffect]:
        if announcement.epoch < self._relay_epoch:
            return []
        is_new = announcement.epoch > self._relay_epoch
        self._relay, self._relay_epoch = sender, announcement.epoch
        if self._assignment is not None and announcement.epoch > self._assignment.epoch:
            self._assignment = None
        return [self._heartbeat()] if is_new else []

    def _on_assignment(
        self, now_ms: float, assignment: RelayAssignment
    ) -> list[DisseminationEffect]:
        if self._assignment is not None and assignment.epoch <= self._assignment.epoch:
            return []
        heartbeats = HeartbeatTable(self._settings.unresponsive_after_ms)
        for node in assignment.members:
            if node != self._own.node:
                heartbeats.expect(node, now_ms)
        self._assignment = _ActiveAssignment(
            assignment.epoch, assignment.group, assignment.members, heartbeats
        )
        return self._announce(self._assignment, list(heartbeats.last_heartbeat_ms))

    def _announce(
        self, assignment: _ActiveAssignment, nodes: list[str]
    ) -> list[DisseminationEffect]:
        announcement = RelayAnnouncement(epoch=assignment.epoch)
        return [SendTo(node=node, message=announcement) for node in nodes]

    def _on_report(
        self, now_ms: float, sender: str, report: GroupReport
    ) -> list[DisseminationEffect]:
        group = self._groups.get(report.group)
        is_current = group is not None and group.relay == sender
        if group is None or not is_current or report.sequence <= group.sequence:
            return []
        group.last_report_ms = now_ms
        group.sequence = report.sequence
        group.common_version = report.common_version
        group.lagging = report.lagging
        group.unresponsive = set(report.unresponsive)
        if report.common_version < self.version:
            return [self._state.send(sender)]
        return []

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send a heartbeat or a report; on the leader, replace unresponsive relays."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        if self._is_leader:
            return self._replace_unresponsive_relays(now_ms)
        if self._assignment is None:
            return [self._heartbeat()]
        return self._report(now_ms, self._assignment)

    def _heartbeat(self) -> SendTo:
        return SendTo(node=self._relay, message=NodeHeartbeat(version=self.version))

    def _report(
        self, now_ms: float, assignment: _ActiveAssignment
    ) -> list[DisseminationEffect]:
        assignment.n_reports += 1
        report = assignment.heartbeats.report(
            assignment.group, assignment.n_reports, self.version, now_ms
        )
        timeout_ms = _N_HEARTBEATS_TO_ANNOUNCEMENT * self._settings.heartbeat_ms
        overdue = assignment.heartbeats.unresponsive_for(now_ms, timeout_ms)
        return [
            SendTo(node=self._leader, message=report),
            *self._announce(assignment, sorted(overdue)),
        ]

    def _replace_unresponsive_relays(self, now_ms: float) -> list[DisseminationEffect]:
        effects: list[DisseminationEffect] = []
        for name, group in self._groups.items():
            is_overdue = (
                now_ms - group.last_report_ms > self._settings.unresponsive_after_ms
            )
            if not group.relay or is_overdue:
                self._appoint_relay(now_ms, group)
            if not group.sequence:
                # Repeated until the first report, as the assignment may be lost.
                effects += self._send_assignment(name, group)
        return effects

    def _appoint_relay(self, now_ms: float, group: _Group) -> None:
        """Appoint the next responsive member and restart the timeout of its report."""
        if group.relay:
            group.unresponsive.add(group.relay)
        candidates = [node for node in group.members if node not in group.unresponsive]
        if not candidates:
            # Every member of an unreachable zone appears unresponsive, so all of them
            # are tried again in turn.
            candidates = group.members
        group.relay = candidates[self._epoch % len(candidates)]
        self._epoch += 1
        group.epoch = self._epoch
        group.sequence = 0
        group.last_report_ms = now_ms

    def _send_assignment(self, name: str, group: _Group) -> list[DisseminationEffect]:
        assignment = RelayAssignment(
            epoch=group.epoch, group=name, members=group.members
        )
        effects: list[DisseminationEffect] = [
            SendTo(node=group.relay, message=assignment)
        ]
        if self.version:
            effects.append(self._state.send(group.relay))
        return effects

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members that relays reported, and relays that were replaced."""
        unresponsive: set[str] = set()
        for group in self._groups.values():
            unresponsive |= group.unresponsive
        return unresponsive

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members that have an older version."""
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
