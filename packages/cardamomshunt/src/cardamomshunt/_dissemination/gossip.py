"""Spread by two-layer gossip: tables within a zone, reports between zones."""

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

_N_PUSHES = 3
# Every fifth table goes to any member, silent or not. Two sides that each take the
# other for silent would otherwise never speak again after a partition or a restart.
_TABLE_TO_ANYONE_EVERY = 5
# Rounds that a counter may take to reach all of a group, beyond the base-2 logarithm
# of its size; fewer make members look silent that are not.
_N_SPARE_ROUNDS = 6


class GossipTable(Message, kw_only=True):
    """Carry the counters and versions of a zone, in the order of its member names.

    `reports` are the newest reports of other zones.
    """

    counters: list[int]
    common_version: int
    lagging: dict[int, int] = {}
    reports: list[GroupReport] = []


class GossipDissemination(DisseminationBase):
    """Exchange tables with random members of the zone, and reports between zones.

    A member's counter grows with each beat; a counter that stands still for longer
    than gossip takes to reach everyone means silence. The lowest-named live member of
    a zone sends the zone's report to a random member of each other zone.
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
        self._others = {name: sorted(nodes) for name, nodes in groups.items()}
        self._index = {node: index for index, node in enumerate(self._names)}
        self._counters = [0] * len(self._names)
        n_rounds = len(self._names).bit_length() + _N_SPARE_ROUNDS
        self._beats = HeartbeatTable(n_rounds * settings.heartbeat_ms)
        for node in self._names:
            self._beats.expect(node, now_ms)
        self._reports: dict[str, GroupReport] = {}
        self._report_heard_ms: dict[str, float] = dict.fromkeys(self._others, now_ms)

    def publish(
        self, now_ms: float, version: int, payload: bytes
    ) -> list[DisseminationEffect]:
        """Push a new version to some members of each zone."""
        self._state.apply(StateUpdate(version=version, payload=payload))
        self._beats.record(self._own.node, now_ms, version)
        effects = self._push()
        for nodes in self._others.values():
            chosen = self._random.sample(nodes, min(_N_PUSHES, len(nodes)))
            effects += [self._state.send(node) for node in chosen]
        return effects

    def _push(self) -> list[DisseminationEffect]:
        peers = [node for node in self._names if node != self._own.node]
        chosen = self._random.sample(peers, min(_N_PUSHES, len(peers)))
        return [self._state.send(node) for node in chosen]

    def on_message(
        self, now_ms: float, sender: str, message: Message
    ) -> list[DisseminationEffect]:
        """Take over a table, a report or a version."""
        if isinstance(message, StateUpdate):
            effects = self._state.apply(message)
            if effects:
                self._beats.record(self._own.node, now_ms, self.version)
                effects += self._push()
            return effects
        if isinstance(message, StateRequest):
            is_older = message.version < self.version
            return [self._state.send(sender)] if is_older else []
        if isinstance(message, GroupReport):
            self._take_report(now_ms, message)
            return self._ask_if_newer(sender, message.common_version)
        if isinstance(message, GossipTable):
            self._take_table(now_ms, message)
            return self._ask_if_newer(sender, message.common_version)
        return []

    def _ask_if_newer(self, sender: str, version: int) -> list[DisseminationEffect]:
        if version <= self.version:
            return []
        request = StateRequest(version=self.version)
        return [SendTo(node=sender, message=request)]

    def _take_table(self, now_ms: float, table: GossipTable) -> None:
        for index, counter in enumerate(table.counters[: len(self._names)]):
            if counter <= self._counters[index]:
                continue
            if index == self._index[self._own.node]:
                # Others know a counter of before a restart; ours has to pass it.
                self._counters[index] = counter
                continue
            self._counters[index] = counter
            version = table.lagging.get(index, table.common_version)
            self._beats.record(self._names[index], now_ms, version)
        for report in table.reports:
            self._take_report(now_ms, report)

    def _take_report(self, now_ms: float, report: GroupReport) -> None:
        known = self._reports.get(report.group)
        if report.group not in self._others:
            return
        if known is None or report.sequence > known.sequence:
            self._reports[report.group] = report
            self._report_heard_ms[report.group] = now_ms

    def tick(self, now_ms: float) -> list[DisseminationEffect]:
        """Send the table to one member; as representative, also the reports."""
        if now_ms < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        self._counters[self._index[self._own.node]] += 1
        self._beats.record(self._own.node, now_ms, self.version)
        effects: list[DisseminationEffect] = []
        silent = self._beats.unresponsive(now_ms)
        live = [x for x in self._names if x not in silent and x != self._own.node]
        target = self._target(live)
        if target is not None:
            effects.append(SendTo(node=target, message=self._table()))
        if not live or self._own.node < live[0]:
            effects += self._send_reports(now_ms)
        return effects

    def _target(self, live: list[str]) -> str | None:
        counter = self._counters[self._index[self._own.node]]
        peers = live
        if not live or counter % _TABLE_TO_ANYONE_EVERY == 0:
            peers = [node for node in self._names if node != self._own.node]
        return self._random.choice(peers) if peers else None

    def _table(self) -> GossipTable:
        lagging = self._beats.lagging(self.version)
        return GossipTable(
            counters=self._counters,
            common_version=self.version,
            lagging={self._index[x]: self._beats.versions[x] for x in lagging},
            reports=list(self._reports.values()),
        )

    def _send_reports(self, now_ms: float) -> list[DisseminationEffect]:
        # The sum of counters grows for the whole zone, so the report of a new
        # representative overrides the last one's, and one of a cut-off part does not.
        report = self._beats.report(
            self._own.group, sum(self._counters), self.version, now_ms
        )
        return [
            SendTo(node=self._random.choice(nodes), message=report)
            for nodes in self._others.values()
        ]

    def unresponsive_members(self, now_ms: float) -> set[str]:
        """Return the members that their zones miss, and zones without reports."""
        silent = self._beats.unresponsive(now_ms)
        for group, nodes in self._others.items():
            report = self._reports.get(group)
            silence_ms = now_ms - self._report_heard_ms[group]
            if silence_ms > self._beats.unresponsive_after_ms:
                silent |= set(nodes)
            elif report is not None:
                silent |= set(report.unresponsive)
        return silent

    def lagging_members(self, now_ms: float) -> set[str]:
        """Return the members with an older version."""
        lagging = self._beats.lagging(self.version)
        for group, nodes in self._others.items():
            report = self._reports.get(group)
            if report is None or report.common_version < self.version:
                lagging |= set(nodes)
            else:
                lagging |= {x for x, v in report.lagging.items() if v < self.version}
        return lagging
