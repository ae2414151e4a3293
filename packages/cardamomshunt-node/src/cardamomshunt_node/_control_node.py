"""Daemon of a control VM, for deployments whose servers report to control nodes."""

import asyncio
import random
from pathlib import Path

import msgspec
from cardamomshunt.consensus import ConsensusMessage, Member
from cardamomshunt.fleet import (
    Assignment,
    ConfigurationInvalidError,
    CountEntries,
    FleetState,
    LeaseRequest,
    PutDocument,
    RelayedGrants,
    RelayedRequests,
    ReportsChanged,
    ReportsReceived,
    ReportsRequest,
    RouteTable,
    StoreServers,
    StoreShareHolders,
    encode_command,
)

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._consensus_host import ConsensusHost, NotLeaderError
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node._daemon import Daemon
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._deployment import (
    ConfigurationAsked,
    ConfigurationPut,
    ControlReply,
    DeploymentSettings,
    Platform,
    ServerLeft,
    ServerReported,
)
from cardamomshunt_node._entry_service import EntryService
from cardamomshunt_node._http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from cardamomshunt_node._log_storage import LogStorage
from cardamomshunt_node._primary_watch import PrimaryWatch
from cardamomshunt_node._quota_service import QuotaService
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._report_exchange import ReportExchange
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport

_FLUSH_INTERVAL_S = 0.25
_STORE_INTERVAL_S = 1.0
_HOLDERS_COLLECTION_S = 0.02
_LEADER_WAIT_MS = 600.0
# After this time a caller is told that its configuration may not be committed.
_CONFIRMATION_WAIT_MS = 2_000.0
_STOP_TIMEOUT_MS = 1_500.0
_LINGER_S = 0.15
_INCARNATION_BITS = 62


class ControlNodeDaemon(Daemon):
    """Run a control VM: its replicated state, its leases and the control calls.

    `predecessor_ended_ms` is a time when the former process on this disk had ended, so
    that no leader can have been heard later; None stands for now.
    """

    def __init__(
        self,
        platform: Platform,
        settings: DeploymentSettings,
        log: DecisionLog | None = None,
        predecessor_ended_ms: float | None = None,
    ) -> None:
        self._predecessor_ended_ms = predecessor_ended_ms
        self._metrics = ControlMetrics()
        super().__init__(platform, settings, log, self._metrics)
        self._state = FleetState()
        self._table = RouteTable()
        self._transport = StreamTransport(
            settings.host, settings.peer_address, self._on_message
        )
        self._published_assignments: dict[str, Assignment] = {}
        self._is_announced = False
        self._document_commits: dict[bytes, asyncio.Task[bool]] = {}
        self._reports = ReportExchange(
            self._transport,
            self._log,
            self._peers,
            lambda: self._entries.assigned_entries(),
        )
        self._storage = LogStorage(Path(settings.data_folder) / "log")
        self._host = self._open_host()
        self._primaries = PrimaryWatch(
            platform,
            settings,
            self._host,
            self._reports.registry,
            self._log,
            self._metrics,
            lambda: self._state.assignments,
            lambda: self._table.groups,
        )
        self._quotas = QuotaService(
            self._log,
            lambda: self._host.node.term,
            lambda: self._state,
            lambda: self._table,
        )
        self._entries = EntryService(
            settings,
            self._host,
            self._transport,
            self._reports,
            self._metrics,
            lambda: self._state,
            lambda: self._primaries.leases,
            lambda: self._steps.record(RecoveryStep.FIRST_LEASE),
            self._quotas,
        )
        self._control = HttpServer(settings.control_address, self._answer)

    def _open_host(self) -> ConsensusHost:
        settings = self._settings
        # Random, as a time of day that is set back could return twice and give a new
        # disk the incarnation of the one it replaces.
        new_incarnation = 1 + random.getrandbits(_INCARNATION_BITS)
        opened = self._storage.open(new_incarnation)
        if opened.truncated_tail:
            self._log.write("torn_record_cut", detail=opened.truncated_tail)
        members = [
            Member(
                node=peer.rpartition(":")[0],
                zone="",
                peer_address=peer,
                operator_address=control,
            )
            for peer, control in zip(
                settings.seed_peer_addresses, settings.control_addresses, strict=True
            )
        ]
        host = ConsensusHost(
            settings.host,
            members,
            opened,
            self._storage,
            self._transport,
            self._log,
            self._metrics,
            self._apply,
            self._install_snapshot,
            lambda: self._state.encode(),
            settings.control_address,
            settings.is_first_start,
            settings.n_disks_lost_max,
            self._predecessor_ended_ms,
        )
        host.on_leadership = self._on_leadership
        host.on_applied = self._on_applied
        return host

    async def run(self) -> None:
        """Run until SIGTERM, then transfer leadership."""
        self._install_signals()
        await self._transport.start()
        await self._control.start()
        await self._metrics_server.start()
        self._steps.record(RecoveryStep.LISTENING)
        self._host.start()
        self._reports.merge_stored(list(self._state.servers.values()))
        tasks = [
            asyncio.create_task(self._primaries.run()),
            asyncio.create_task(self._reports.run()),
            asyncio.create_task(self._flush_log()),
            asyncio.create_task(self._store_fleet()),
            asyncio.create_task(self._store_share_holders()),
        ]
        self._log.write("started", role="control", zone=self._settings.zone)
        await self._stop.wait()
        self._log.write("stopping", is_leader=self._host.node.is_leader)
        await self._shut_down()
        for task in tasks:
            task.cancel()
        await self._host.stop()
        self._log.write("stopped", role="control")

    async def _shut_down(self) -> None:
        if self._host.node.is_leader:
            self._host.transfer_leadership()
        end_ms = boot_ms() + _STOP_TIMEOUT_MS
        while boot_ms() < end_ms and (
            self._host.node.is_leader or not self._host.is_idle
        ):
            await asyncio.sleep(0.02)
        await asyncio.sleep(_LINGER_S)
        await self._control.stop()
        await self._transport.stop()

    async def _flush_log(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            self._log.flush()

    async def _store_fleet(self) -> None:
        """Store the number of entry VMs and the servers while this node leads."""
        while True:
            await asyncio.sleep(_STORE_INTERVAL_S)
            n_entries = self._entries.count_to_store()
            if n_entries is not None:
                await self._store(CountEntries(n_entries=n_entries))
            reports = self._reports.registry.one_per_server(self._table.groups)
            servers = self._state.servers_to_store(reports)
            if servers is not None:
                await self._store(servers)

    async def _store_share_holders(self) -> None:
        """Store new entry VMs soon, as their operations wait for a first share."""
        while True:
            try:
                async with asyncio.timeout(_STORE_INTERVAL_S):
                    await self._quotas.is_store_due.wait()
            except TimeoutError:
                pass
            # Entry VMs that start at the same time are stored together.
            await asyncio.sleep(_HOLDERS_COLLECTION_S)
            self._quotas.is_store_due.clear()
            holders = self._quotas.holders_to_store() if self._host.may_act else None
            if holders is not None:
                await self._store(holders)

    async def _store(
        self, command: CountEntries | StoreServers | StoreShareHolders
    ) -> None:
        if not self._host.may_act:
            return
        try:
            await self._host.propose(encode_command(command))
        except NotLeaderError:
            self._log.write("store_unsure", command=type(command).__name__)

    def _reload(self) -> None:
        self._log.write("reloaded")

    # Replicated state

    def _apply(self, index: int, payload: bytes) -> bool:
        return self._state.apply(index, payload)

    def _on_applied(self) -> None:
        """Use the applied state, and send what changed to the entry VMs."""
        if self._state.version != self._table.version:
            self._load_table()
            self._entries.publish_document()
        self._reports.merge_stored(list(self._state.servers.values()))
        if self._host.leader_address() is not None:
            self._steps.record(RecoveryStep.LEADER_KNOWN)
        if self._state.servers:
            self._steps.record(RecoveryStep.FIRST_SERVER)
        if self._host.may_act and not self._is_announced:
            self._is_announced = True
            self._entries.announce_leadership()
        if self._state.assignments != self._published_assignments:
            self._published_assignments = dict(self._state.assignments)
            self._entries.publish_assignments(dict(self._state.assignments))

    def _install_snapshot(self, data: bytes) -> None:
        self._state = FleetState.decode(data)
        self._load_table()

    def _load_table(self) -> None:
        if not self._state.document:
            return
        try:
            self._table = self._platform.parse_configuration(self._state.document)
        except ConfigurationInvalidError as error:
            # An earlier version of this program accepted it; a newer one replaces it.
            self._table = RouteTable(version=self._state.version)
            self._log.write(
                "configuration_unreadable",
                version=self._state.version,
                reason=str(error),
            )
            return
        self._log.write("configuration", version=self._state.version)
        self._steps.record(RecoveryStep.FIRST_CONFIGURATION)

    def _peers(self) -> list[str]:
        addresses = {member.peer_address for member in self._host.node.members}
        addresses |= set(self._settings.seed_peer_addresses)
        return sorted(addresses - {self._settings.peer_address})

    def _on_leadership(self, is_leader: bool) -> None:
        self._is_announced = False
        self._primaries.on_leadership(is_leader)
        self._log.write(
            "leading" if is_leader else "following", term=self._host.node.term
        )

    # Messages

    def _on_message(self, received: StreamMessage) -> None:
        address = received.envelope.reply_address
        match received.message:
            case ConsensusMessage():
                self._steps.record(RecoveryStep.FIRST_CONTACT)
                self._host.on_message(received, received.message)
            case LeaseRequest():
                self._entries.on_request(address, received.message)
            case RelayedRequests():
                self._entries.on_relayed_requests(address, received.message)
            case RelayedGrants():
                self._entries.on_relayed_grants(received.message)
            case ReportsChanged():
                self._reports.on_reports(address, received.message)
            case ReportsReceived():
                self._reports.on_receipt(received.message)
            case ReportsRequest():
                self._reports.on_request(address, received.message)

    # Control calls

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        call = self._platform.parse_control_call(request)
        match call:
            case ServerReported():
                reply = await self._accept_report(call)
            case ServerLeft():
                await self._reports.deregister(call.server)
                reply = ControlReply(200)
            case ConfigurationPut():
                reply = await self._put_configuration(call.document)
            case ConfigurationAsked():
                reply = await self._read_configuration()
            case _:
                reply = ControlReply(404)
        self._metrics.count_call(type(call).__name__, reply.status)
        return self._platform.control_response(reply, request)

    async def _accept_report(self, call: ServerReported) -> ControlReply:
        if call.report is None:
            self._log.write("report_unusable")
            return ControlReply(400)
        await self._reports.accept_report(call.report)
        return ControlReply(200)

    async def _await_leader(self) -> ControlReply | None:
        """Wait for a leader; return None if it is this node, else the reply to send.

        The reply redirects to the leader, or says that none is known.
        """
        end_ms = boot_ms() + _LEADER_WAIT_MS
        while not self._host.may_act:
            redirect = self._host.leader_operator_address()
            if redirect and not self._host.node.is_leader:
                return ControlReply(307, redirect=redirect)
            if boot_ms() >= end_ms:
                return ControlReply(503, b'{"error":"no leader is known"}')
            await asyncio.sleep(0.02)
        return None

    async def _put_configuration(self, document: bytes) -> ControlReply:
        try:
            table = self._platform.parse_configuration(document)
        except ConfigurationInvalidError as error:
            self._log.write("configuration_refused", reason=str(error))
            return ControlReply(400, msgspec.json.encode({"error": str(error)}))
        reply = await self._await_leader()
        if reply is not None:
            return reply
        if table.version <= self._state.version:
            self._log.write(
                "configuration_overtaken",
                version=table.version,
                newest=self._state.version,
            )
            return ControlReply(200, b"{}")
        try:
            async with asyncio.timeout(_CONFIRMATION_WAIT_MS / 1_000.0):
                await asyncio.shield(self._commit_document(table.version, document))
        except (NotLeaderError, TimeoutError) as error:
            self._log.write(
                "configuration_unsure",
                version=table.version,
                reason=type(error).__name__,
            )
            return ControlReply(503, b'{"error":"not confirmed in time"}')
        self._log.write("configuration_acknowledged", version=table.version)
        return ControlReply(200, b"{}")

    def _commit_document(self, version: int, document: bytes) -> asyncio.Task[bool]:
        """Return the commit of a document, which repeated calls share.

        Callers repeat a configuration that is not confirmed in time, and each further
        copy in the log would delay what comes after it.
        """
        commit = self._document_commits.get(document)
        if commit is None:
            command = PutDocument(version=version, document=document)
            commit = asyncio.create_task(self._host.propose(encode_command(command)))
            self._document_commits[document] = commit
            commit.add_done_callback(lambda done: self._forget_commit(document, done))
        return commit

    def _forget_commit(self, document: bytes, commit: asyncio.Task[bool]) -> None:
        del self._document_commits[document]
        if not commit.cancelled():
            # Its callers may all have left; asyncio reports errors nobody looked at.
            commit.exception()

    async def _read_configuration(self) -> ControlReply:
        reply = await self._await_leader()
        if reply is not None:
            return reply
        if not self._state.version:
            return ControlReply(503, b'{"error":"no configuration yet"}')
        return ControlReply(200, self._state.document)

    def _update_metrics(self) -> None:
        self._metrics.set_state(
            self._host.node.is_leader,
            self._state.version,
            len(self._entries.live_entries()),
        )
        self._metrics.storage.set_oldest_age(self._host.oldest_write_age_ms)
