"""Invariants of the control nodes of a schedule."""

import itertools
from collections.abc import Iterable

from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.control import ControlNode

from cardamomshunt_testing._schedule_host import ScheduledHost


class ScheduleInvariants:
    """Check the control nodes of a schedule, and add what is wrong to `violations`."""

    def __init__(self, hosts: Iterable[ScheduledHost], violations: list[str]) -> None:
        self._hosts = list(hosts)
        self.violations = violations
        self._committed: dict[int, tuple[int, bytes]] = {}
        self._commit_terms: dict[int, int] = {}
        self._leader_of_term: dict[int, str] = {}
        self.documents: dict[int, str] = {}

    def check_node(self, now_ms: float, host: ScheduledHost) -> None:
        """Check the invariants of one node after it has handled an input."""
        node = host.node
        if node is None:
            return
        self._check_leadership(now_ms, host, node)
        self._check_committed(host, node)
        version = node.state.configuration.version
        if version < host.configuration_version:
            self.violations.append(
                f"{host.name} went from version "
                f"{host.configuration_version} back to {version}"
            )
        host.configuration_version = version
        self.check_document(host.name, node.state.configuration)

    def _check_leadership(
        self, now_ms: float, host: ScheduledHost, node: ControlNode
    ) -> None:
        consensus = node.consensus
        if not consensus.is_leader:
            return
        key = f"{host.name}/{host.disk.incarnation}"
        first = self._leader_of_term.setdefault(consensus.term, key)
        if first != key:
            self.violations.append(
                f"{first} and {key} both lead in term {consensus.term}"
            )
        if host.last_led_term != consensus.term:
            host.last_led_term = consensus.term
            self._check_completeness(host, node)
        lease_holders = [
            item.name
            for item in self._hosts
            if item.node
            and item.node.consensus.is_leader
            and item.node.consensus.has_lease(item.clock(now_ms))
        ]
        if len(lease_holders) > 1:
            self.violations.append(f"{lease_holders} have a lease at the same time")

    def _check_completeness(self, host: ScheduledHost, node: ControlNode) -> None:
        log = node.consensus.log
        for index, (term, _) in self._committed.items():
            # A leader of an older term need not have entries that were committed in
            # a newer term.
            if self._commit_terms[index] >= node.consensus.term:
                continue
            if index > log.base_index and log.term_at(index) != term:
                self.violations.append(
                    f"leader {host.name} of term {node.consensus.term} lacks "
                    f"committed entry {index} of term {term}"
                )
                return

    def _check_committed(self, host: ScheduledHost, node: ControlNode) -> None:
        log = node.consensus.log
        index = node.consensus.commit_index
        # Checks backwards from the newest entry up to the last one checked before.
        while index > log.base_index:
            entry = log.entry_at(index)
            known = self._committed.setdefault(index, (entry.term, entry.payload))
            self._commit_terms.setdefault(index, node.consensus.term)
            if known != (entry.term, entry.payload):
                self.violations.append(
                    f"{host.name} committed another entry {index}: "
                    f"term {entry.term} instead of {known[0]}"
                )
                return
            if index <= getattr(node, "checked_index", 0):
                break
            index -= 1
        node.checked_index = node.consensus.commit_index  # type: ignore[attr-defined]

    def check_document(self, name: str, document: ClusterConfiguration) -> None:
        """Check that all have the same document of a version."""
        text = document.to_json()
        known = self.documents.setdefault(document.version, text)
        if known != text:
            self.violations.append(
                f"{name} has a different document of version {document.version}"
            )

    def check_final_state(
        self, leader: ScheduledHost | None, accepted_versions: dict[str, int]
    ) -> None:
        """Check the invariants that apply after all faults have ended."""
        if self.violations:
            return
        if leader is None or leader.node is None:
            self.violations.append(
                "no node has the leader lease after all faults ended"
            )
            return
        state = leader.node.state
        ids = [record.entry.patch_id for record in state.versions]
        if len(set(ids)) != len(ids):
            self.violations.append("a patch was applied twice")
        for patch_id, version in accepted_versions.items():
            stored = state.patch_replies.get(patch_id)
            if stored is None or stored.version != version:
                self.violations.append(f"the state lacks accepted {patch_id}")
        self._check_logs()

    def _check_logs(self) -> None:
        """Check that logs with equal index and term of an entry are equal up to it."""
        nodes = [host.node for host in self._hosts if host.node]
        for a, b in itertools.combinations(nodes, 2):
            first, second = a.consensus.log, b.consensus.log
            index = min(first.last_index, second.last_index)
            base = max(first.base_index, second.base_index)
            while index > base and first.term_at(index) != second.term_at(index):
                index -= 1
            for position in range(base + 1, index + 1):
                if first.entry_at(position) != second.entry_at(position):
                    self.violations.append(f"logs differ at entry {position}")
                    return
