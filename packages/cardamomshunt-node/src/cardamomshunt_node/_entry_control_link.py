"""Exchange of an entry VM with the control nodes: its lease, and their updates."""

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import Any

from cardamomshunt.fleet import (
    Assignment,
    AssignmentsChanged,
    BoundExchange,
    ConfigurationInvalidError,
    ControlNodeSelector,
    DocumentChanged,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    ReportsChanged,
    ReportsRequest,
    RouteTable,
    Suspicion,
    digest_of,
)

from cardamomshunt_node._boot_clock import boot_ms, wall_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import DeploymentSettings
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._lease_watch import LeaseWatch
from cardamomshunt_node._owner_directory import OwnerDirectory
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport
from cardamomshunt_node._team_quotas import TeamQuotaWaiter

_RENEW_INTERVAL_MS = 250.0
_SEARCH_INTERVAL_MS = 150.0
# Interval of requests to control nodes that have not answered since the start.
_FIRST_CONTACT_INTERVAL_MS = 60.0
# Requests go to all control nodes after this time without a grant.
_GRANT_LATE_MS = 300.0
# The assigned control node is replaced after this time without a grant through it.
_ASSIGNED_GRANT_TIMEOUT_MS = 600.0
# It is replaced too if it does not send the leader's configuration within this time.
_CONFIGURATION_TIMEOUT_MS = 800.0
_LEADER_TIMEOUT_MS = 500.0
# Interval of requests to control nodes other than the assigned one.
_SAME_ZONE_CONTACT_INTERVAL_MS = 1_000.0
_OTHER_ZONE_CONTACT_INTERVAL_MS = 3_000.0
_CONTROL_NODE_TIMEOUT_MS = 3_500.0
_SUSPICION_INTERVAL_S = 0.05
# Long enough for several requests to all control nodes while no leader answers.
_PARTITIONED_AFTER_MS = 450.0
_SEQUENCE_START_BITS = 48


class EntryControlLink:
    """Renew the lease of an entry VM and apply the updates of the control nodes.

    Requests go to the assigned control node, one in the zone of this entry VM, which
    relays them to the leader.
    """

    def __init__(
        self,
        settings: DeploymentSettings,
        view: FleetView,
        log: DecisionLog,
        parse_configuration: Callable[[bytes], RouteTable],
        on_assignments: Callable[[list[str], dict[str, Assignment]], None],
        record_step: Callable[[RecoveryStep], None],
        quotas: TeamQuotaWaiter,
        directory: OwnerDirectory,
        metrics: EntryMetrics,
    ) -> None:
        self._lease_watch = LeaseWatch(view.lease, log, metrics)
        self._directory = directory
        self._settings = settings
        self._view = view
        self._log = log
        self._parse_configuration = parse_configuration
        self._on_assignments = on_assignments
        self._record_step = record_step
        self._quotas = quotas
        quotas.request_shares = self._request_shares
        # Higher than that of earlier processes at the same address. If the time of day
        # was set back, this process gets shares once the leases of those have ended.
        self._incarnation = wall_ms()
        self._transport = StreamTransport(
            settings.node, settings.peer_address, self._on_message
        )
        self._control_node_selector = ControlNodeSelector(settings.node, settings.zone)
        self._bounds = BoundExchange()
        self._assigned_control_node = ""
        self._assigned_granted_ms = boot_ms()
        self._answered_number = 0
        # The version that the assigned control node has to send, and since when.
        self._awaited_version = (0, boot_ms())
        # Starts at random, so that a late answer to an earlier run of this process
        # matches no request.
        self._sequence = random.getrandbits(_SEQUENCE_START_BITS)
        self._leader = ""
        self._granted_ms = boot_ms()
        self._control_addresses: set[str] = set(settings.seed_peer_addresses)
        self._control_digest = 0
        self._last_heard_ms: dict[str, float] = {}
        self._last_contacted_ms: dict[str, float] = {}
        self._connect_started_ms: dict[str, float] = {}
        self._released: dict[str, int] = {}
        self._was_granted = False
        self._renew = asyncio.Event()

    async def start(self) -> None:
        """Listen; raise OSError if the address is taken."""
        await self._transport.start()

    async def stop(self) -> None:
        """Close all sockets."""
        await self._transport.stop()

    def add_seeds(self, addresses: list[str]) -> None:
        """Add control nodes from reloaded settings."""
        self._control_addresses |= set(addresses)

    def release(self, group: str, epoch: int) -> None:
        """Notify the leader that the primary of an epoch is not used any more."""
        self._released[group] = epoch
        self._renew.set()

    def start_draining(self) -> None:
        """Notify the leader at once that this entry VM opens no more sessions."""
        self._directory.is_draining = True
        self._renew.set()

    # Requests

    async def renew_lease(self) -> None:
        """Renew the lease periodically, more often while it is late."""
        while True:
            self._send_requests()
            is_stable = (
                boot_ms() <= self._granted_ms + _RENEW_INTERVAL_MS
                and not self._view.suspicions()
            )
            interval_ms = _RENEW_INTERVAL_MS if is_stable else _SEARCH_INTERVAL_MS
            if not self._was_granted:
                interval_ms = _FIRST_CONTACT_INTERVAL_MS
            self._renew.clear()
            try:
                async with asyncio.timeout(interval_ms / 1_000.0):
                    await self._renew.wait()
            except TimeoutError:
                continue

    async def report_suspicions(self) -> None:
        """Notify the leader at once when a primary stops answering."""
        reported: list[Suspicion] = []
        while True:
            await asyncio.sleep(_SUSPICION_INTERVAL_S)
            suspicions = self._view.suspicions()
            if suspicions != reported:
                reported = suspicions
                for item in suspicions:
                    self._log.write(
                        "primary_silent",
                        group=item.group,
                        server=item.server,
                        epoch=item.epoch,
                    )
                self._renew.set()

    def _send_requests(self) -> None:
        now = boot_ms()
        since_grant_ms = now - self._granted_ms
        if self._leader and since_grant_ms > _LEADER_TIMEOUT_MS:
            self._log.write(
                "leader_lost", leader=self._leader, silent_ms=round(since_grant_ms)
            )
            self._transport.reset(self._leader)
            self._leader = ""
        is_late = since_grant_ms > _GRANT_LATE_MS
        if (
            self._assigned_control_node
            and self._was_granted
            and now > self._assigned_granted_ms + _ASSIGNED_GRANT_TIMEOUT_MS
        ):
            self._control_node_selector.quarantine(self._assigned_control_node, now)
        self._choose_control_node(now)
        for address in sorted(
            self._control_addresses | {self._assigned_control_node} - {""}
        ):
            if self._is_request_due(address, now, is_late=is_late):
                self._reconnect_if_unresponsive(address, now)
                self._send_request(address, now, has_quotas=is_late)

    def _request_shares(self) -> None:
        """Ask for tokens of rate limits before the next regular request."""
        if self._assigned_control_node:
            self._send_request(self._assigned_control_node, boot_ms())

    def _choose_control_node(self, now: float) -> None:
        assigned = self._control_node_selector.choose(
            self._control_addresses, self._leader, now
        )
        if assigned != self._assigned_control_node:
            self._log.write(
                "home", control=assigned, former=self._assigned_control_node
            )
            self._assigned_control_node, self._answered_number = assigned, 0
            self._assigned_granted_ms = now
            self._bounds.forget_peer(assigned)

    def _is_request_due(self, address: str, now: float, *, is_late: bool) -> bool:
        if not self._was_granted:
            return self._is_first_request_due(address, now)
        return (
            is_late
            or address == self._assigned_control_node
            or self._is_contact_due(address, now)
        )

    def _is_first_request_due(self, address: str, now: float) -> bool:
        """Return whether to ask for the first lease of this process.

        Control nodes that start at the same time may not listen yet. Those that answered
        send a hint when they lead, and are asked less often.
        """
        interval_ms = _FIRST_CONTACT_INTERVAL_MS
        if address in self._last_heard_ms:
            interval_ms = _SEARCH_INTERVAL_MS
        return now >= self._last_contacted_ms.get(address, float("-inf")) + interval_ms

    def _is_contact_due(self, address: str, now: float) -> bool:
        interval_ms = _OTHER_ZONE_CONTACT_INTERVAL_MS
        if self._control_node_selector.is_in_same_zone(address):
            interval_ms = _SAME_ZONE_CONTACT_INTERVAL_MS
        return now >= self._last_contacted_ms.get(address, float("-inf")) + interval_ms

    def _reconnect_if_unresponsive(self, address: str, now: float) -> None:
        """Reconnect to a control node that sent nothing since the last reconnect."""
        started_ms = self._connect_started_ms.setdefault(address, now)
        last_ms = max(started_ms, self._last_heard_ms.get(address, started_ms))
        if now > last_ms + _CONTROL_NODE_TIMEOUT_MS:
            self._connect_started_ms[address] = now
            self._transport.reset(address)

    def _send_request(self, address: str, now: float, has_quotas: bool = False) -> None:
        self._last_contacted_ms[address] = now
        self._sequence += 1
        self._view.lease.on_request_sent(self._sequence, now)
        is_assigned = address == self._assigned_control_node
        bounds = []
        if is_assigned and self._control_node_selector.is_in_same_zone(address):
            self._bounds.record_request(self._sequence, now)
            for group, bound in self._view.newest_bounds().items():
                self._bounds.add(group, bound)
            bounds = self._bounds.bounds_for(address, now)
        quota_fields = self._quota_fields() if is_assigned or has_quotas else {}
        self._transport.send(
            address,
            LeaseRequest(
                sequence=self._sequence,
                version=self._view.table.version,
                registry_digest=self._view.registry.digest(),
                newest_epoch=self._view.lease.newest_epoch,
                suspicions=self._view.suspicions(),
                released=self._released,
                is_for_assigned_control_node=is_assigned,
                control_digest=self._control_digest,
                answered_number=self._answered_number,
                bounds=bounds,
                full_servers=self._view.full_servers() if is_assigned else [],
                overloaded_servers=(
                    self._view.overloaded_servers() if is_assigned else []
                ),
                # Without teams there are no owners, and no list is needed.
                zone=self._settings.zone if self._view.table.has_teams else "",
                is_draining=self._directory.is_draining,
                incarnation=self._incarnation if self._view.table.has_teams else 0,
                entries_digest=self._directory.digest,
                watched_groups=self._directory.watched_groups(),
                paces=self._view.pace_report() if is_assigned else None,
                **quota_fields,
            ),
        )

    def _quota_fields(self) -> dict[str, Any]:
        """Return the fields of a request that report shares and demand."""
        if not self._quotas.is_active:
            return {}
        report = self._quotas.report(self._sequence)
        return {
            "has_quota_report": True,
            "quota_number": report.number,
            "quota_demands": report.demands,
            "is_quota_report_complete": report.is_complete,
        }

    # Answers and updates

    def _on_message(self, received: StreamMessage) -> None:
        address = received.envelope.reply_address
        now = boot_ms()
        was_unresponsive = (
            now > self._last_heard_ms.get(address, 0.0) + _CONTROL_NODE_TIMEOUT_MS
        )
        self._last_heard_ms[address] = now
        self._record_step(RecoveryStep.FIRST_CONTACT)
        if was_unresponsive:
            self._transport.send(address, ReportsRequest())
        match received.message:
            case LeaseGrant():
                self._on_grant(address, received.message)
            case LeaderHint():
                self._on_hint(address, received.message)
            case AssignmentsChanged():
                self._apply_assignments(received.message.assignments)
            case DocumentChanged():
                self._on_document(received.message)
            case ReportsChanged():
                self._on_reports(received.message)

    def _on_grant(self, address: str, grant: LeaseGrant) -> None:
        self._granted_ms = boot_ms()
        if not self._was_granted:
            self._was_granted, self._assigned_granted_ms = True, self._granted_ms
        self._view.record_n_entries(grant.n_entries)
        self._update_control_nodes(address, grant.zone, grant.control_addresses)
        if grant.leader_address and grant.leader_address != self._leader:
            self._log.write("leader", leader=grant.leader_address)
            self._leader = grant.leader_address
            self._record_step(RecoveryStep.LEADER_KNOWN)
        if address == self._assigned_control_node:
            self._assigned_granted_ms = self._granted_ms
        if address == self._assigned_control_node and grant.number:
            self._answered_number = grant.number
            self._view.record_full_servers(grant.full_servers)
            self._view.record_overloaded_servers(grant.overloaded_servers)
            if grant.paces is not None:
                self._view.record_paces(grant.paces)
            newer = self._bounds.receive(address, grant.sequence, grant.bounds)
            for group, bound in newer.items():
                self._view.add_bound(group, bound.position, bound.since_ms)
        self._quotas.on_grant(grant)
        if grant.zone_entries is not None:
            self._directory.record_entries(grant.zone_entries)
        self._check_version(grant.version)
        known = grant.assignments or {}
        now = boot_ms()
        # The sweep may not have run since the lease ended.
        self.check_lease(now)
        changed = self._view.lease.on_grant(grant, now)
        if self._lease_watch.on_granted(self._leader, now):
            self._record_step(RecoveryStep.FIRST_LEASE)
            self._view.notify()
        self._on_assignments(changed, known)

    def _check_version(self, version: int) -> None:
        """Replace an assigned control node that lacks the newest configuration.

        It may relay leases and yet be partitioned from the other control nodes, or not
        be a member of them any more.
        """
        now = boot_ms()
        awaited_version, since_ms = self._awaited_version
        if awaited_version <= self._view.table.version:
            self._awaited_version = (version, now)
        elif now > since_ms + _CONFIGURATION_TIMEOUT_MS:
            self._log.write(
                "home_behind",
                control=self._assigned_control_node,
                version=self._view.table.version,
                newest=version,
            )
            self._awaited_version = (version, now)
            self._control_node_selector.quarantine(self._assigned_control_node, now)
            self._renew.set()

    def _on_hint(self, address: str, hint: LeaderHint) -> None:
        self._update_control_nodes(address, hint.zone, hint.control_addresses)
        if hint.leader_address and hint.leader_address != self._leader:
            self._control_addresses.add(hint.leader_address)
            is_late = boot_ms() > self._granted_ms + _RENEW_INTERVAL_MS
            if not self._leader or is_late:
                self._leader = hint.leader_address
                self._record_step(RecoveryStep.LEADER_KNOWN)
                self._send_request(hint.leader_address, boot_ms())

    def _update_control_nodes(
        self, address: str, zone: str, addresses: list[str] | None
    ) -> None:
        if zone:
            self._control_node_selector.record_zone(address, zone)
            if zone == self._settings.zone and not self._assigned_control_node:
                self._choose_control_node(boot_ms())
                self._send_request(address, boot_ms())
        if addresses:
            self._control_addresses = set(addresses) | set(
                self._settings.seed_peer_addresses
            )
            self._control_digest = digest_of(addresses)

    def _apply_assignments(self, assignments: dict[str, Assignment]) -> None:
        changed = self._view.lease.on_assignments(assignments, boot_ms())
        self._on_assignments(changed, assignments)

    def _on_reports(self, message: ReportsChanged) -> None:
        for report in message.reports:
            if self._view.merge_report(report):
                self._log.write(
                    "server",
                    server=report.server,
                    state=report.state.value,
                    role=report.role.value,
                    sequence=report.sequence,
                )

    def _on_document(self, message: DocumentChanged) -> None:
        if message.version <= self._view.table.version:
            return
        try:
            table = self._parse_configuration(message.document)
        except (ConfigurationInvalidError, zlib.error) as error:
            self._log.write(
                "configuration_unreadable", version=message.version, reason=str(error)
            )
            return
        self._log.write(
            "configuration", version=table.version, former=self._view.table.version
        )
        self._view.set_table(table)

    # State

    def check_lease(self, now: float) -> None:
        """Log the expiry of the lease."""
        self._lease_watch.check(self._leader, now)

    def is_partitioned(self, now: float) -> bool:
        """Return whether too few control nodes answer to get a lease again."""
        if now < self._granted_ms + _PARTITIONED_AFTER_MS:
            return False
        n_responsive = sum(
            now <= self._last_heard_ms.get(address, 0.0) + _PARTITIONED_AFTER_MS
            for address in self._control_addresses
        )
        return 2 * n_responsive <= len(self._control_addresses)
