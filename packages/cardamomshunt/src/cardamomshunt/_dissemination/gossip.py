"""Dissemination by two-layer gossip: tables within a zone, reports between zones."""

import random

from cardamomshunt._dissemination.base import DisseminationBase
from cardamomshunt._dissemination.interface import (
    DisseminationEffect,
    DisseminationMember,
    DisseminationSettings,
    GroupReport,
    SendTo,
    StateRequest,
    StateUpdate,
)
from cardamomshunt._dissemination.state import HeartbeatTable
from cardamomshunt._shared.messages import Message

_N_PUSH_TARGETS = 3
# Every fifth table goes to any member, responsive or not. Otherwise two sides that each
# consider the other unresponsive would never reconnect after a partition or a restart.
_N_ROUNDS_PER_TABLE_TO_ANYONE = 5
# Rounds that a counter may take to reach a whole group, beyond the base-2 logarithm of
# the group's size. Fewer rounds report live members as unresponsive.
_N_SPARE_ROUNDS = 6


class GossipTable(Message, kw_only=True):
    """Heartbeat counters and versions of a zone, in the order of its member names.

    `reports` are the newest reports of the other zones.
    """

    counters: list[int]
    common_version: int
    lagging: dict[int, int] = {}
    reports: list[GroupReport] = []


class GossipDissemination(DisseminationBase):
    """Exchange tables with random members of the zone, and reports between zones.

    A member increments its counter with each heartbeat. It is unresponsive if the
    counter has not changed for longer than gossip takes to reach every member. The live
    member of a zone with the lowest name is its representative, and sends the zone's
    report to a random member of each other zone.
    """

    def __init__(
        self,
        now_ms: float,
        own: DisseminationMember,
        leader: str,
        members: list[DisseminationMember],
        settings: DisseminationSettings,
        random_state: random.Random,
    ) -> None:
        super().__init__(now_ms, own, leader, settings, random_state.random())
        self._random = random_state
        groups: dict[str, list[str]] = {}
        for member in members:
            groups.setdefault(member.group, []).append(member.node)
        self._names = sorted(groups.pop(own.group))
        self._other_groups = {name: sorted(nodes) for name, nodes in groups.items()}
        self._index = {node: index for index, node in enumerate(self._names)}
        self._counters = [0] * len(self._names)
        n_rounds = len(self._names).bit_length() + _N_SPARE_ROUNDS
        self._heartbeats = HeartbeatTable(n_rounds * settings.heartbeat_ms)
        for node in self._names:
            self._heartbeats.expect(node, now_ms)
        self._reports: dict[str, GroupReport] = {}
        self._report_received_ms: dict[str, float] = dict.fromkeys(
            self._other_groups, now_ms
        )

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Push a new version to some members of each zone."""
        self._state.apply(StateUpdate(version=version, payload=payload))
        self._heartbeats.record(self._own.node, now_ms, version)
        effects = self._push()
        for nodes in self._other_groups.values():
            chosen = self._random.sample(nodes, min(_N_PUSH_TARGETS, len(nodes)))
            effects += [self._state.send(node) for node in chosen]
        return effects

    def _push(self) -> list[DisseminationEffect]:
        peers = [node for node in self._names if node != self._own.node]
        chosen = self._random.sample(peers, min(_N_PUSH_TARGETS, len(peers)))
        return [self._state.send(node) for node in chosen]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Merge a table or report, apply a version, or answer a request for one."""
        if isinstance(message, StateUpdate):
            effects = self._state.apply(message)
            if effects:
                self._heartbeats.record(self._own.node, now_ms, self.version)
                effects += self._push()
            return effects
        if isinstance(message, StateRequest):
            is_older = message.version < self.version
            return [self._state.send(sender)] if is_older else []
        if isinstance(message, GroupReport):
            self._merge_report(now_ms, message)
            return self._request_if_newer(sender, message.common_version)
        if isinstance(message, GossipTable):
            self._merge_table(now_ms, message)
            return self._request_if_newer(sender, message.common_version)
        return []

    def _request_if_newer(self, sender: str, version: int) -> list[DisseminationEffect]:
        if version <= self.version:
            return []
        request = StateRequest(version=self.version)
        return [SendTo(node=sender, message=request)]

    def _merge_table(self, now_ms: float, table: GossipTable) -> None:
        for index, counter in enumerate(table.counters[: len(self._names)]):
            if counter <= self._counters[index]:
                continue
            if index == self._index[self._own.node]:
                # The others have a counter from before a restart, which this member's
                # counter has to exceed.
                self._counters[index] = counter
                continue
            self._counters[index] = counter
            version = table.lagging.get(index, table.common_version)
            self._heartbeats.record(self._names[index], now_ms, version)
        for report in table.reports:
            self._merge_report(now_ms, report)

    def _merge_report(self, now_ms: float, report: GroupReport) -> None:
        known = self._reports.get(report.group)
        if report.group not in self._other_groups:
            return
        if known is None or report.sequence > known.sequence:
            self._reports[report.group] = report
            self._report_received_ms[report.group] = now_ms

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send the table to one member and, as representative, the reports."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        self._counters[self._index[self._own.node]] += 1
        self._heartbeats.record(self._own.node, now_ms, self.version)
        effects: list[DisseminationEffect] = []
        unresponsive = self._heartbeats.unresponsive(now_ms)
        live = [
            node
            for node in self._names
            if node not in unresponsive and node != self._own.node
        ]
        target = self._target(live)
        if target is not None:
            effects.append(SendTo(node=target, message=self._table()))
        if not live or self._own.node < live[0]:
            effects += self._send_reports(now_ms)
        return effects

    def _target(self, live: list[str]) -> str | None:
        counter = self._counters[self._index[self._own.node]]
        peers = live
        if not live or counter % _N_ROUNDS_PER_TABLE_TO_ANYONE == 0:
            peers = [node for node in self._names if node != self._own.node]
        return self._random.choice(peers) if peers else None

    def _table(self) -> GossipTable:
        lagging = self._heartbeats.lagging(self.version)
        return GossipTable(
            counters=self._counters,
            common_version=self.version,
            lagging={
                self._index[node]: self._heartbeats.versions[node] for node in lagging
            },
            reports=list(self._reports.values()),
        )

    def _send_reports(self, now_ms: float) -> list[DisseminationEffect]:
        # The sum of counters increases for the whole zone, so the report of a new
        # representative replaces its predecessor's, and that of a partitioned minority
        # does not.
        report = self._heartbeats.report(
            self._own.group, sum(self._counters), self.version, now_ms
        )
        return [
            SendTo(node=self._random.choice(nodes), message=report)
            for nodes in self._other_groups.values()
        ]

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members reported as unresponsive, or without a zone report."""
        unresponsive = self._heartbeats.unresponsive(now_ms)
        for group, nodes in self._other_groups.items():
            report = self._reports.get(group)
            since_report_ms = now_ms - self._report_received_ms[group]
            if since_report_ms > self._heartbeats.unresponsive_after_ms:
                unresponsive |= set(nodes)
            elif report is not None:
                unresponsive |= set(report.unresponsive)
        return unresponsive

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members that have an older version."""
        lagging = self._heartbeats.lagging(self.version)
        for group, nodes in self._other_groups.items():
            report = self._reports.get(group)
            if report is None or report.common_version < self.version:
                lagging |= set(nodes)
            else:
                lagging |= {
                    node
                    for node, version in report.lagging.items()
                    if version < self.version
                }
        return lagging
