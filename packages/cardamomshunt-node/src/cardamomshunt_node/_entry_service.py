"""Service of a control node for entry VMs: leases, configurations and reports."""

import asyncio
import random
from collections.abc import Callable

from cardamomshunt.fleet import (
    LEASE_MS,
    Assignment,
    AssignmentsChanged,
    BoundExchange,
    DocumentChanged,
    FleetState,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    LeaseTable,
    RelayedGrant,
    RelayedGrants,
    RelayedRequest,
    RelayedRequests,
    ZoneMembers,
    ZonePaces,
    digest_of,
)
from cardamomshunt.messages import Message
from msgspec import structs

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._consensus_host import ConsensusHost
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._deployment import DeploymentSettings
from cardamomshunt_node._quota_service import QuotaService
from cardamomshunt_node._report_exchange import ReportExchange
from cardamomshunt_node._stream_transport import StreamTransport

_ENTRY_TIMEOUT_MS = 6_000.0
_ASSIGNED_ENTRY_TIMEOUT_MS = 2_000.0
_RESYNC_PAUSE_MS = 400.0
_DOCUMENT_TIMEOUT_MS = 700.0
_FULL_SERVER_TIMEOUT_MS = 500.0
# A new leader has heard from all running entry VMs after the first time, and from
# those that were restarting or partitioned after the second.
_COUNT_STABLE_MS = 2_500.0
_COUNT_SHRINKS_MS = 20_000.0
# Requests of a zone are collected this long for one message to the leader.
_RELAY_INTERVAL_S = 0.015
_NUMBER_START_BITS = 48
# A grant to an older request is of an earlier process, as sequences start at random.
_N_REQUESTS_AWAITED_MAX = 32


class EntryService:
    """Grant or relay the lease requests of entry VMs, and send them updates.

    The assigned control node of an entry VM is one in its zone. It relays requests to
    the leader, many in one message, and sends configurations and reports, so that
    these cross between zones only once for each control node.
    """

    def __init__(
        self,
        settings: DeploymentSettings,
        host: ConsensusHost,
        transport: StreamTransport,
        reports: ReportExchange,
        metrics: ControlMetrics,
        state: Callable[[], FleetState],
        leases: Callable[[], LeaseTable | None],
        on_granted: Callable[[], None],
        quotas: QuotaService,
    ) -> None:
        self._quotas = quotas
        self._settings = settings
        self._host = host
        self._transport = transport
        self._reports = reports
        self._metrics = metrics
        self._state = state
        self._leases = leases
        self._on_granted = on_granted
        self._leader_since_ms = boot_ms()
        self._last_heard_ms: dict[str, float] = {}
        self._members = ZoneMembers()
        self._assigned_last_heard_ms: dict[str, float] = {}
        self._resynced_ms: dict[str, float] = {}
        # Version and time of the last configuration sent to each entry VM, until the
        # entry VM confirms it.
        self._document_sent: dict[str, tuple[int, float]] = {}
        self._document: DocumentChanged | None = None
        self._full_reported_ms: dict[str, float] = {}
        self._overload_reported_ms: dict[str, float] = {}
        self._zone_paces = ZonePaces()
        self._bounds = BoundExchange()
        self._number = random.getrandbits(_NUMBER_START_BITS)
        self._pending: dict[str, LeaseRequest] = {}
        self._relayed: dict[str, LeaseRequest] = {}
        self._flush_timer: asyncio.TimerHandle | None = None

    # Entry VMs

    def live_entries(self) -> list[str]:
        """Return the entry VMs with a recent request through any control node."""
        return _recent_keys(self._last_heard_ms, _ENTRY_TIMEOUT_MS)

    def assigned_entries(self) -> list[str]:
        """Return the entry VMs that this node is assigned to."""
        return _recent_keys(self._assigned_last_heard_ms, _ASSIGNED_ENTRY_TIMEOUT_MS)

    def control_addresses(self) -> list[str]:
        """Return the peer addresses of the control nodes."""
        return sorted(member.peer_address for member in self._host.node.members)

    # Updates

    def publish_document(self) -> None:
        """Send the configuration to the assigned entry VMs.

        An entry VM that has not confirmed an earlier version gets the newest one only
        after that, so that quick changes of a large document do not fill its link.
        """
        now = boot_ms()
        for address in self.assigned_entries():
            if not self._is_sending(address, now):
                self._send_document(address, now)

    def _is_sending(self, address: str, now: float) -> bool:
        """Return whether a configuration sent to an entry VM is not confirmed yet."""
        sent = self._document_sent.get(address)
        return sent is not None and now < sent[1] + _DOCUMENT_TIMEOUT_MS

    def _send_document(self, address: str, now: float) -> None:
        state = self._state()
        if self._document is None or self._document.version != state.version:
            self._document = DocumentChanged.of(state.version, state.document)
        self._document_sent[address] = (state.version, now)
        self._transport.send(address, self._document)

    def publish_assignments(self, assignments: dict[str, Assignment]) -> None:
        """Send changed assignments to the assigned entry VMs."""
        self._send_to_assigned(AssignmentsChanged(assignments=assignments))

    def announce_leadership(self) -> None:
        """Notify all entry VMs that this node leads now."""
        self._leader_since_ms = boot_ms()
        self._members.on_leadership(self._leader_since_ms)
        hint = LeaderHint(
            leader_address=self._settings.peer_address,
            control_addresses=self.control_addresses(),
            zone=self._settings.zone,
        )
        for address in self.live_entries():
            self._transport.send(address, hint)

    def _send_to_assigned(self, message: Message) -> None:
        for address in self.assigned_entries():
            self._transport.send(address, message)

    # Requests

    def on_request(self, address: str, request: LeaseRequest) -> None:
        """Grant a request, relay it to the leader, or answer with a leader hint."""
        now = boot_ms()
        self._last_heard_ms[address] = now
        self._members.record(address, request, now)
        if request.is_for_assigned_control_node:
            self._assigned_last_heard_ms[address] = now
            self._bounds.receive(address, request.answered_number, request.bounds)
            for server in request.full_servers:
                self._full_reported_ms[server] = now
            for server in request.overloaded_servers:
                self._overload_reported_ms[server] = now
            if request.paces is not None:
                self._zone_paces.receive(address, request.paces, now)
            self._resync(address, request, now)
        if self._may_grant:
            grant = self._grant(address, request, now, self._n_entries(now))
            self._send_grant(address, request, grant, now)
        elif request.is_for_assigned_control_node and self._host.leader_address():
            self._relay(address, request)
        else:
            self._send_hint(address, request)

    @property
    def _may_grant(self) -> bool:
        return self._host.may_act and self._leases() is not None

    def _grant(
        self, entry: str, request: LeaseRequest, now: float, n_entries: int
    ) -> LeaseGrant:
        leases = self._leases()
        assert leases is not None
        leases.on_request(entry, request, now)
        self._metrics.count_grant()
        self._on_granted()
        quota = self._quotas.grant(entry, request)
        return LeaseGrant(
            sequence=request.sequence,
            lease_ms=LEASE_MS,
            n_entries=n_entries,
            assignments=self._newer_assignments(request.newest_epoch),
            leader_address=self._settings.peer_address,
            version=self._state().version,
            quota_number=quota.number,
            quota_shares=quota.shares,
            zone_entries=self._changed_zone_entries(request, now),
        )

    def _changed_zone_entries(
        self, request: LeaseRequest, now: float
    ) -> list[str] | None:
        """Return the entry VMs of the sender's zone, or None if it has the same list."""
        entries = self._members.entries_of(request.zone, self._state().n_entries, now)
        if entries is None or digest_of(entries) == request.entries_digest:
            return None
        return entries

    def _n_entries(self, now: float) -> int:
        """Return the number of entry VMs, or 0 if it is not known yet."""
        n_stored = self._state().n_entries
        if not n_stored and now < self._leader_since_ms + _COUNT_STABLE_MS:
            return 0
        return max(n_stored, len(self.live_entries()))

    def count_to_store(self) -> int | None:
        """Return the number of entry VMs if the stored one has to change."""
        n_stored, n_live = self._state().n_entries, len(self.live_entries())
        led_ms = boot_ms() - self._leader_since_ms
        is_grown = n_live > n_stored and led_ms > _COUNT_STABLE_MS
        is_shrunk = n_live < n_stored and led_ms > _COUNT_SHRINKS_MS
        return n_live if is_grown or is_shrunk else None

    def _newer_assignments(self, known_epoch: int) -> dict[str, Assignment] | None:
        """Return the assignments, or None if the entry VM knows the newest epoch."""
        assignments = self._state().assignments
        newest = max((item.epoch for item in assignments.values()), default=-1)
        return dict(assignments) if known_epoch != newest else None

    def _send_grant(
        self, address: str, request: LeaseRequest, grant: LeaseGrant, now: float
    ) -> None:
        """Send a grant, completed with the fields that this node knows itself."""
        number, bounds, full_servers, overloaded_servers = 0, [], [], []
        paces = None
        if request.is_for_assigned_control_node:
            self._number += 1
            number = self._number
            self._bounds.record_request(number, now)
            bounds = self._bounds.bounds_for(address, now)
            full_servers = _recent_keys(self._full_reported_ms, _FULL_SERVER_TIMEOUT_MS)
            overloaded_servers = _recent_keys(
                self._overload_reported_ms, _FULL_SERVER_TIMEOUT_MS
            )
            if request.paces is not None:
                paces = self._zone_paces.of_others(address, now)
        self._transport.send(
            address,
            structs.replace(
                grant,
                control_addresses=self._missing_addresses(request),
                zone=self._settings.zone,
                number=number,
                bounds=bounds,
                full_servers=full_servers,
                overloaded_servers=overloaded_servers,
                paces=paces,
            ),
        )

    def _missing_addresses(self, request: LeaseRequest) -> list[str] | None:
        addresses = self.control_addresses()
        return addresses if digest_of(addresses) != request.control_digest else None

    def _send_hint(self, address: str, request: LeaseRequest) -> None:
        self._transport.send(
            address,
            LeaderHint(
                leader_address=self._host.leader_address() or "",
                control_addresses=self._missing_addresses(request),
                zone=self._settings.zone,
            ),
        )

    def _resync(self, address: str, request: LeaseRequest, now: float) -> None:
        """Send the configuration or reports that an entry VM misses.

        An earlier message with them may have been lost.
        """
        sent = self._document_sent.get(address)
        if sent is not None and request.version >= sent[0]:
            del self._document_sent[address]
        is_behind = request.version < self._state().version
        if is_behind and not self._is_sending(address, now):
            self._send_document(address, now)
        if request.registry_digest == self._reports.registry.digest():
            return
        if now >= self._resynced_ms.get(address, 0.0) + _RESYNC_PAUSE_MS:
            self._resynced_ms[address] = now
            self._reports.send_all(address)

    # Relay

    def _relay(self, address: str, request: LeaseRequest) -> None:
        """Queue a request for the next message to the leader.

        Suspicions, released epochs and requests for tokens, for which operations may
        wait, are sent at once.
        """
        self._pending[address] = request
        needs_tokens = any(item.n_needed >= 1.0 for item in request.quota_demands or [])
        if request.suspicions or request.released or needs_tokens:
            self._flush_pending()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(_RELAY_INTERVAL_S, self._flush_pending)

    def _flush_pending(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        leader = self._host.leader_address()
        pending, self._pending = self._pending, {}
        if not leader or not pending:
            return
        self._relayed.update(pending)
        requests = [
            RelayedRequest(entry, _without_relay_fields(request))
            for entry, request in pending.items()
        ]
        self._transport.send(leader, RelayedRequests(requests=requests))

    def on_relayed_requests(self, relay: str, message: RelayedRequests) -> None:
        """Grant the requests that another control node relayed."""
        if not self._may_grant:
            return
        now = boot_ms()
        for item in message.requests:
            self._last_heard_ms[item.entry] = now
            self._members.record(item.entry, item.request, now)
        n_entries = self._n_entries(now)
        grants = [
            RelayedGrant(
                item.entry, self._grant(item.entry, item.request, now, n_entries)
            )
            for item in message.requests
        ]
        self._transport.send(relay, RelayedGrants(grants=grants))

    def on_relayed_grants(self, message: RelayedGrants) -> None:
        """Send grants of the leader to the entry VMs that requested them."""
        now = boot_ms()
        for item in message.grants:
            request = self._relayed.get(item.entry)
            if request is None:
                continue
            n_newer = request.sequence - item.grant.sequence
            if n_newer == 0:
                del self._relayed[item.entry]
            # Later than the next request over a slow link, and yet the newest lease.
            if 0 <= n_newer < _N_REQUESTS_AWAITED_MAX:
                self._send_grant(item.entry, request, item.grant, now)


def _without_relay_fields(request: LeaseRequest) -> LeaseRequest:
    return structs.replace(
        request,
        is_for_assigned_control_node=False,
        bounds=[],
        full_servers=[],
        overloaded_servers=[],
        paces=None,
    )


def _recent_keys(last_heard_ms: dict[str, float], timeout_ms: float) -> list[str]:
    """Remove the keys not heard from within the timeout; return the others."""
    now = boot_ms()
    for address in [key for key, at in last_heard_ms.items() if now > at + timeout_ms]:
        del last_heard_ms[address]
    return list(last_heard_ms)
