"""Control node: replicated log, failover, configuration and operator requests."""

from dataclasses import dataclass
from random import Random

import msgspec

from cardamomshunt._consensus.messages import (
    ConsensusMessage,
    Entry,
    EntryKind,
    Member,
    Peer,
    Snapshot,
)
from cardamomshunt._consensus.node import ConsensusNode
from cardamomshunt._consensus.options import ConsensusOptions, RestoredState
from cardamomshunt._control.command_relay import (
    CommandRelay,
    RelayedCommand,
    RelayedReply,
)
from cardamomshunt._control.effects import (
    CommandInstance,
    ControlEffect,
    EmitEvent,
    InstanceReply,
    ReplyOperator,
    SendMessage,
)
from cardamomshunt._control.failover import FailoverController, FailoverOptions
from cardamomshunt._control.health_view import HealthView
from cardamomshunt._control.node_registry import NodeRegistry, NodeView
from cardamomshunt._control.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    DrainReply,
    DrainRequest,
    HandoverReply,
    HandoverRequest,
    MemberChangeReply,
    MemberChangeRequest,
    OperatorError,
    OperatorErrorCode,
    PatchOutcome,
    PatchReply,
    PatchRequest,
    StatusReply,
    StatusRequest,
)
from cardamomshunt._control.state import (
    ApplyPatch,
    Command,
    ControlState,
    SetDatabase,
    SetDrain,
    encode_command,
)
from cardamomshunt._control.status import (
    database_statuses,
    find_problems,
    node_statuses,
)
from cardamomshunt._data_path.connection_leases import (
    GRANT_INTERVAL_MS,
    ConnectionAllocator,
)
from cardamomshunt._shared.events import EventNumber
from cardamomshunt._shared.messages import (
    ConfigurationUpdate,
    DemandReport,
    DrainInstance,
    HealthReport,
    Heartbeat,
    Message,
    NodeRole,
)


@dataclass(slots=True, frozen=True)
class ControlOptions:
    """Intervals and limits of a control node."""

    evaluation_interval_ms: float = 20.0
    node_update_interval_ms: float = 250.0
    heartbeat_interval_ms: float = 500.0
    in_force_wait_ms: float = 3_000.0
    drain_interval_ms: float = 1_000.0
    n_entries_per_snapshot: int = 1_000


@dataclass(slots=True)
class _PendingRequest:
    """Operator's request that waits until its command is committed or in force.

    `version` and `deadline_ms` are those of a committed patch.
    """

    request_id: int
    command: Command
    version: int | None = None
    deadline_ms: float = 0.0


class ControlNode:
    """Combine the state machines of one control node, without I/O.

    Each input returns the effects that the host has to carry out.
    """

    consensus_type: type[ConsensusNode] = ConsensusNode
    failover_type: type[FailoverController] = FailoverController
    state_type: type[ControlState] = ControlState

    def __init__(
        self,
        node: str,
        zone: str,
        initial_members: list[Member],
        restored: RestoredState,
        random: Random,
        now_ms: float,
        consensus_options: ConsensusOptions | None = None,
        failover_options: FailoverOptions | None = None,
        options: ControlOptions | None = None,
    ) -> None:
        self.node = node
        self.zone = zone
        self.options = options or ControlOptions()
        self.consensus = self.consensus_type(
            node, initial_members, restored, random, now_ms, consensus_options
        )
        self.state = self.state_type.decode(restored.snapshot.state)
        self.applied_index = restored.snapshot.index
        self.health = HealthView()
        self.registry = NodeRegistry()
        self._relay = CommandRelay()
        self.failover = self.failover_type(self.health, failover_options, zone)
        self._grants = ConnectionAllocator()
        self._grants_due_ms = now_ms
        self._heartbeat_due_ms = now_ms
        self._evaluation_due_ms = now_ms
        self._nodes_due_ms = now_ms
        self._pending: list[_PendingRequest] = []
        # A restarted process may serve an older version until the leader updates it, so
        # each start is a new incarnation.
        self._incarnation = random.getrandbits(62)
        self._was_ready = False
        self._effects: list[ControlEffect] = []

    @property
    def is_ready(self) -> bool:
        """Return whether this node leads and has applied all committed entries."""
        consensus = self.consensus
        return (
            consensus.is_leader
            and consensus.commit_index >= consensus.first_index_of_term
            and self.applied_index == consensus.commit_index
        )

    def next_deadline_ms(self) -> float | None:
        """Return when `tick` is due."""
        due = [self._heartbeat_due_ms]
        consensus_due_ms = self.consensus.next_deadline_ms()
        if consensus_due_ms is not None:
            due.append(consensus_due_ms)
        if self.is_ready:
            due.append(self._evaluation_due_ms)
        return min(due)

    def tick(self, now_ms: float) -> list[ControlEffect]:
        """Run the periodic work that is due."""
        self._effects.extend(self.consensus.tick(now_ms))
        if now_ms >= self._heartbeat_due_ms:
            self._heartbeat_due_ms = now_ms + self.options.heartbeat_interval_ms
            self._send_heartbeat(now_ms)
        if self.is_ready and now_ms >= self._evaluation_due_ms:
            self._evaluation_due_ms = now_ms + self.options.evaluation_interval_ms
            self._evaluate(now_ms)
            self._maintain_nodes(now_ms)
        return self._collect_effects(now_ms)

    def on_message(
        self, now_ms: float, sender: Peer, message: Message
    ) -> list[ControlEffect]:
        """Handle a message from another daemon."""
        match message:
            case ConsensusMessage():
                effects = self.consensus.on_message(now_ms, sender, message)
                self._effects.extend(effects)
            case Heartbeat():
                view = self.registry.on_heartbeat(now_ms, sender.address, message)
                self.health.confirm_report(
                    now_ms, message.node, message.health_sequence
                )
                self._update_node(now_ms, view)
            case HealthReport():
                self.health.on_report(now_ms, message)
                self.registry.on_report(now_ms, sender.address, message)
            case DemandReport():
                self._grants.on_demand(now_ms, message)
            case RelayedCommand():
                self._run_relayed_command(sender, message)
            case RelayedReply():
                if self.is_ready:
                    reply = message.as_reply()
                    self.failover.on_reply(now_ms, self.state.databases, reply)
        return self._collect_effects(now_ms)

    def on_storage_done(self, now_ms: float, sequence: int) -> list[ControlEffect]:
        """Record that all writes up to `sequence` are durable."""
        self._effects.extend(self.consensus.on_storage_done(now_ms, sequence))
        return self._collect_effects(now_ms)

    def on_storage_failed(
        self, now_ms: float, reason: str, is_full: bool = False
    ) -> list[ControlEffect]:
        """Stop voting and leading; only a full disk may recover, not a failed one."""
        if is_full:
            self._effects.extend(self.consensus.on_storage_full(now_ms, reason))
        else:
            self._effects.extend(self.consensus.on_storage_failed(now_ms, reason))
        return self._collect_effects(now_ms)

    def on_instance_reply(
        self, now_ms: float, reply: InstanceReply
    ) -> list[ControlEffect]:
        """Handle the answer of a backend server to a command."""
        relayed = self._relay.prepare_reply(reply)
        if relayed is not None:
            self._send(*relayed)
        if self.is_ready:
            self.failover.on_reply(now_ms, self.state.databases, reply)
        return self._collect_effects(now_ms)

    def on_operator_request(
        self, now_ms: float, request_id: int, request: Message
    ) -> list[ControlEffect]:
        """Handle an operator's request; the answer may come with later effects."""
        reply = self._answer(now_ms, request_id, request)
        if reply is not None:
            self._effects.append(ReplyOperator(request_id=request_id, message=reply))
        return self._collect_effects(now_ms)

    def transfer_leadership(self, now_ms: float) -> list[ControlEffect]:
        """Transfer leadership to another node before a planned stop."""
        self.consensus.transfer_leadership(now_ms)
        return self._collect_effects(now_ms)

    def _collect_effects(self, now_ms: float) -> list[ControlEffect]:
        """Propose and apply what an input led to, and return all effects."""
        self._propose_records(now_ms)
        self._apply_committed(now_ms)
        self._update_leadership(now_ms)
        self._effects.extend(self.consensus.pop_effects())
        for effect in self.failover.pop_effects():
            self._effects.append(effect)
            if isinstance(effect, CommandInstance):
                self._relay_command(effect)
        effects, self._effects = self._effects, []
        return effects

    def _relay_command(self, command: CommandInstance) -> None:
        """Send a repeated command to the other control nodes too.

        The leader may be unable to reach the server.
        """
        message = self._relay.prepare_command(command)
        if message is None:
            return
        for member in self.consensus.members:
            if member.node != self.node:
                self._send(member.peer_address, message)

    def _run_relayed_command(self, sender: Peer, message: RelayedCommand) -> None:
        # Only members of the control group may send commands to servers.
        if self.consensus.member(sender.node) is None:
            return
        address = self.health.address(message.database, message.instance, self.zone)
        self._effects.append(self._relay.accept(sender.address, message, address))

    def _propose_records(self, now_ms: float) -> None:
        for record in self.failover.pop_proposals():
            command = SetDatabase(record=record)
            self.consensus.propose(now_ms, encode_command(command))

    def _apply_committed(self, now_ms: float) -> None:
        for item in self.consensus.pop_ready():
            if isinstance(item, Snapshot):
                self.state = self.state_type.decode(item.state)
                self.applied_index = item.index
            else:
                self._apply_entry(now_ms, item)
        n_since = self.applied_index - self.consensus.log.snapshot.index
        if n_since >= self.options.n_entries_per_snapshot:
            self.consensus.compact(self.state.encode(), self.applied_index)
            self._emit(EventNumber.SNAPSHOT_WRITTEN, self.node, str(self.applied_index))

    def _apply_entry(self, now_ms: float, entry: Entry) -> None:
        self.applied_index = entry.index
        if entry.kind is not EntryKind.COMMAND:
            return
        topology_version = self.state.topology_version
        command = self.state.apply(entry.payload)
        match command:
            case SetDatabase():
                self.failover.on_applied(command.record)
                self._relay.remove_database(command.record.database)
            case ApplyPatch():
                self._on_patch_applied(now_ms, command)
            case SetDrain():
                self._on_drain_applied(now_ms, command)
        if self.consensus.is_leader and self.state.topology_version > topology_version:
            self._update_proxies(now_ms)

    def _update_leadership(self, now_ms: float) -> None:
        if self.is_ready == self._was_ready:
            return
        if self.consensus.is_leader and self._was_ready:
            return
        self._was_ready = self.is_ready
        self.failover.reset()
        if self._was_ready:
            self._update_proxies(now_ms)
        else:
            self._reject_pending()

    def _reject_pending(self) -> None:
        pending, self._pending = self._pending, []
        for item in pending:
            error = OperatorError(
                code=OperatorErrorCode.NO_LEADER,
                detail="leadership changed; send the same request again",
            )
            self._effects.append(
                ReplyOperator(request_id=item.request_id, message=error)
            )

    def _emit(self, number: EventNumber, subject: str, detail: str = "") -> None:
        self._effects.append(
            EmitEvent(number=number.value, subject=subject, detail=detail)
        )

    def _evaluate(self, now_ms: float) -> None:
        if not self.consensus.has_lease(now_ms):
            return
        self.failover.evaluate(
            now_ms,
            self.state.databases,
            self.state.configuration.policy.detection_ms,
            self.state.draining,
        )

    def _maintain_nodes(self, now_ms: float) -> None:
        if now_ms >= self._nodes_due_ms:
            self._nodes_due_ms = now_ms + self.options.node_update_interval_ms
            for view in self.registry.proxies(now_ms):
                self._update_node(now_ms, view)
                self._send_drains(now_ms, view)
        if now_ms >= self._grants_due_ms:
            self._grants_due_ms = now_ms + GRANT_INTERVAL_MS
            self._send_grants(now_ms)
            self.health.remove_expired(now_ms)
            self.registry.remove_expired(now_ms)
        self._check_in_force(now_ms)

    def _update_proxies(self, now_ms: float) -> None:
        for view in self.registry.proxies(now_ms):
            self._update_node(now_ms, view)

    def _update_node(self, now_ms: float, view: NodeView) -> None:
        """Send topology and configuration to an entry VM that has older ones."""
        if not self.is_ready or view.heartbeat.role is not NodeRole.PROXY:
            return
        if view.needs_topology(now_ms, self.state.topology_version):
            view.topology_sent = (self.state.topology_version, now_ms)
            self._send(view.address, self.state.topology())
        version = self.state.configuration.version
        if view.needs_configuration(now_ms, version):
            view.configuration_sent = (version, now_ms)
            self._send(view.address, self._configuration_update(view))

    def _configuration_update(self, view: NodeView) -> ConfigurationUpdate:
        configuration = self.state.configuration
        base = view.heartbeat.configuration_version
        changes = self.state.changes_since(base)
        if changes is None or base == 0:
            return ConfigurationUpdate(
                version=configuration.version,
                base_version=None,
                snapshot=configuration.to_json(),
            )
        return ConfigurationUpdate(
            version=configuration.version, base_version=base, changes=changes
        )

    def _send(self, address: str, message: Message) -> None:
        self._effects.append(SendMessage(address=address, message=message))

    def _send_grants(self, now_ms: float) -> None:
        n_max = {}
        for database in self.health.databases():
            for instance in self.health.instances(database):
                views = self.health.fresh_views(now_ms, database, instance)
                if views:
                    n_max[instance] = views[0].observation.n_connections_max
        n_floor = self.state.configuration.policy.n_connections_floor
        for grants in self._grants.grants(now_ms, n_max, n_floor):
            view = self.registry.nodes.get(grants.node)
            if view is not None and grants.grants:
                self._send(view.address, grants)

    def _send_drains(self, now_ms: float, view: NodeView) -> None:
        """Send the drain orders again, because messages can be lost."""
        if now_ms < view.drain_due_ms:
            return
        view.drain_due_ms = now_ms + self.options.drain_interval_ms
        for target, is_draining in self.state.draining.items():
            if target in self.registry.nodes and target != view.heartbeat.node:
                continue
            self._send(
                view.address, DrainInstance(instance=target, is_draining=is_draining)
            )

    def _send_heartbeat(self, now_ms: float) -> None:
        """Send this node's versions to the other control nodes."""
        own_member = self.consensus.member(self.node)
        if own_member is None:
            return
        heartbeat = Heartbeat(
            node=self.node,
            role=NodeRole.CONTROL,
            zone=self.zone,
            incarnation=self._incarnation,
            operator_address=own_member.operator_address,
            configuration_version=self.state.configuration.version,
            topology_version=self.state.topology_version,
        )
        self.registry.on_heartbeat(now_ms, own_member.peer_address, heartbeat)
        for member in self.consensus.members:
            if member.node != self.node:
                self._send(member.peer_address, heartbeat)

    def _leader_error(self) -> OperatorError:
        leader = self.consensus.leader
        member = self.consensus.member(leader) if leader else None
        if member is None or leader == self.node:
            return OperatorError(
                code=OperatorErrorCode.NO_LEADER, detail="no leader is known"
            )
        return OperatorError(
            code=OperatorErrorCode.NOT_LEADER,
            detail=f"the leader is {leader}",
            leader_operator_address=member.operator_address,
        )

    def _answer(
        self, now_ms: float, request_id: int, request: Message
    ) -> Message | None:
        if isinstance(request, StatusRequest):
            return self._status(now_ms)
        if not self.is_ready:
            return self._leader_error()
        if not self.consensus.has_lease(now_ms):
            return OperatorError(
                code=OperatorErrorCode.NO_QUORUM,
                detail="this leader cannot reach a majority of the control nodes",
            )
        match request:
            case PatchRequest():
                return self._on_patch(now_ms, request_id, request)
            case ConfigurationRequest():
                return self._on_configuration(now_ms, request)
            case HandoverRequest():
                return self._on_handover(now_ms, request)
            case DrainRequest():
                return self._on_drain(now_ms, request_id, request)
            case MemberChangeRequest():
                return self._on_member_change(now_ms, request)
        return OperatorError(
            code=OperatorErrorCode.UNSUPPORTED,
            detail=f"a control node does not support {type(request).__name__}",
        )

    def _status(self, now_ms: float) -> StatusReply:
        consensus = self.consensus
        return StatusReply(
            node=self.node,
            is_authoritative=self.is_ready and consensus.has_lease(now_ms),
            configuration_version=self.state.configuration.version,
            leader=consensus.leader,
            databases=database_statuses(now_ms, self.state, self.health),
            nodes=node_statuses(now_ms, self.registry, consensus.leader),
            problems=find_problems(
                now_ms, self.state, self.registry, consensus.failure
            ),
        )

    def _propose(self, now_ms: float, request_id: int, command: Command) -> None:
        self._pending.append(_PendingRequest(request_id, command))
        if self.consensus.propose(now_ms, encode_command(command)) is None:
            self._reject_pending()

    def _on_patch(
        self, now_ms: float, request_id: int, request: PatchRequest
    ) -> Message | None:
        if request.is_dry_run:
            return self.state.check_patch(request)
        if request.patch_id in self.state.patch_replies:
            self._emit(EventNumber.PATCH_REPEATED, request.patch_id)
        command = ApplyPatch(
            patch_id=request.patch_id,
            base_version=request.base_version,
            changes=request.changes,
            author=request.author,
        )
        self._propose(now_ms, request_id, command)
        return None

    def _on_patch_applied(self, now_ms: float, command: ApplyPatch) -> None:
        reply = self.state.patch_replies[command.patch_id]
        is_accepted = reply.outcome is PatchOutcome.ACCEPTED
        if is_accepted:
            self._heartbeat_due_ms = now_ms
        if not self.consensus.is_leader:
            return
        number = EventNumber.PATCH_REFUSED
        if is_accepted:
            number = EventNumber.PATCH_ACCEPTED
            self._update_proxies(now_ms)
        self._emit(number, command.patch_id, f"version {reply.version}")
        for pending in list(self._pending):
            is_same = (
                isinstance(pending.command, ApplyPatch)
                and pending.command.patch_id == command.patch_id
            )
            if not is_same:
                continue
            pending.version = reply.version
            pending.deadline_ms = now_ms + self.options.in_force_wait_ms
            if not is_accepted:
                self._reply_patch(now_ms, pending, reply)
        self._check_in_force(now_ms)

    def _check_in_force(self, now_ms: float) -> None:
        """Answer accepted patches that are in force or have reached their deadline."""
        for pending in list(self._pending):
            if not isinstance(pending.command, ApplyPatch) or pending.version is None:
                continue
            is_done = self.registry.is_in_force_on_live_nodes(now_ms, pending.version)
            if is_done or now_ms >= pending.deadline_ms:
                reply = self.state.patch_replies[pending.command.patch_id]
                self._reply_patch(now_ms, pending, reply)

    def _reply_patch(
        self, now_ms: float, pending: _PendingRequest, first: PatchReply
    ) -> None:
        self._pending.remove(pending)
        reply = first
        if first.outcome is PatchOutcome.ACCEPTED:
            in_force, missing = self.registry.in_force(now_ms, first.version)
            reply = msgspec.structs.replace(
                first, in_force_on=in_force, missing_on=missing
            )
            number = EventNumber.PATCH_IN_FORCE
            if missing:
                number = EventNumber.PATCH_NOT_IN_FORCE
            self._emit(number, first.patch_id, ", ".join(missing))
        self._effects.append(
            ReplyOperator(request_id=pending.request_id, message=reply)
        )

    def _on_configuration(
        self, now_ms: float, request: ConfigurationRequest
    ) -> Message:
        newest = self.state.configuration.version
        version = newest if request.version is None else request.version
        document = self.state.document_at(version)
        if document is None:
            n_retained = len(self.state.versions)
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"version {version} is not available; "
                f"available are {newest - n_retained} to {newest}",
            )
        in_force, missing = self.registry.in_force(now_ms, version)
        history = self.state.versions[-request.n_history :] if request.n_history else []
        return ConfigurationReply(
            version=version,
            document_json=document.to_json(),
            history=[record.entry for record in history],
            in_force_on=in_force,
            missing_on=missing,
        )

    def _on_handover(self, now_ms: float, request: HandoverRequest) -> Message:
        record = self.state.databases.get(request.database)
        if record is None:
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"there is no database {request.database!r}; known databases: "
                f"{', '.join(sorted(self.state.databases)) or 'none'}",
            )
        problem = self.failover.start_handover(now_ms, record, request.to_instance)
        if problem:
            return OperatorError(code=OperatorErrorCode.UNKNOWN_TARGET, detail=problem)
        proposed = self.failover.proposed_target(record.database)
        return HandoverReply(
            database=record.database,
            from_instance=record.primary_instance or "",
            to_instance=proposed or "",
            term=record.term,
        )

    def _on_drain(
        self, now_ms: float, request_id: int, request: DrainRequest
    ) -> Message | None:
        known = {*self.registry.nodes}
        for record in self.state.databases.values():
            known |= set(record.instances)
        if request.target not in known:
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"there is no instance or entry VM {request.target!r}",
            )
        command = SetDrain(target=request.target, is_draining=request.is_draining)
        self._propose(now_ms, request_id, command)
        return None

    def _on_drain_applied(self, now_ms: float, command: SetDrain) -> None:
        """Send the drain order at once, and hand over a primary on a drained instance."""
        if not self.consensus.is_leader:
            return
        self._emit(EventNumber.DRAIN_ORDERED, command.target, str(command.is_draining))
        for view in self.registry.proxies(now_ms):
            view.drain_due_ms = now_ms
            self._send_drains(now_ms, view)
        detail = (
            self._start_drain_handover(now_ms, command) if command.is_draining else ""
        )
        for pending in list(self._pending):
            if pending.command == command:
                self._pending.remove(pending)
                reply = DrainReply(
                    target=command.target,
                    is_draining=command.is_draining,
                    detail=detail,
                )
                self._effects.append(
                    ReplyOperator(request_id=pending.request_id, message=reply)
                )

    def _start_drain_handover(self, now_ms: float, command: SetDrain) -> str:
        for record in self.state.databases.values():
            if record.primary_instance == command.target:
                problem = self.failover.start_handover(now_ms, record, None)
                return problem or f"handing over {record.database}"
        return ""

    def _on_member_change(self, now_ms: float, request: MemberChangeRequest) -> Message:
        members = [m for m in self.consensus.members if m.node != request.node]
        is_known = len(members) < len(self.consensus.members)
        if request.is_removal != is_known:
            problem = "is not a member" if request.is_removal else "is already a member"
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"{request.node} {problem}",
            )
        if not request.is_removal:
            members.append(
                Member(
                    node=request.node,
                    zone=request.zone,
                    peer_address=request.peer_address,
                    operator_address=request.operator_address,
                    is_voter=False,
                )
            )
        if not self.consensus.propose_members(now_ms, members):
            return OperatorError(
                code=OperatorErrorCode.NO_QUORUM,
                detail="another membership change is in progress",
            )
        number = (
            EventNumber.MEMBER_REMOVED
            if request.is_removal
            else EventNumber.MEMBER_CATCHING_UP
        )
        self._emit(number, request.node)
        return MemberChangeReply(
            members=[member.node for member in members],
            is_caught_up=request.is_removal,
        )
