"""Schedules of the control state machines on fakes, from fixed seeds.

A schedule drives control nodes, entry VMs and a database group through virtual time,
with loss, delay, duplication, reordering, partitions, freezes, crashes and lost disks,
and collects violations of the invariants.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from cardamomshunt.configuration import ClusterConfiguration, apply_changes
from cardamomshunt.consensus import ConsensusOptions, Member, Peer
from cardamomshunt.control import (
    CommandInstance,
    ControlEffect,
    ControlNode,
    ControlOptions,
    EmitEvent,
    PersistEffect,
    ReplyOperator,
    SendMessage,
)
from cardamomshunt.failover import FailoverOptions
from cardamomshunt.messages import (
    Change,
    ConfigurationUpdate,
    FailoverStep,
    HealthReport,
    Heartbeat,
    Message,
    NodeRole,
    TopologyUpdate,
    decode_envelope,
    encode_envelope,
)
from cardamomshunt.operator_messages import (
    PatchOutcome,
    PatchReply,
    PatchRequest,
)

from cardamomshunt_testing._fake_disk import FakeDisk
from cardamomshunt_testing._fake_group import FakeGroup

_TICK_MS = 10.0
_REPORT_MS = 100.0
_ZONES = ["zone-a", "zone-b", "zone-c"]


@dataclass(slots=True)
class ScheduleOptions:
    """Set what a schedule does."""

    n_nodes: int = 3
    n_proxies: int = 6
    duration_ms: float = 12_000.0
    loss: float = 0.05
    duplication: float = 0.05
    delay_ms: tuple[float, float] = (1.0, 12.0)
    sync_ms: tuple[float, float] = (1.0, 15.0)
    clock_drift: float = 0.024
    fault_interval_ms: tuple[float, float] = (150.0, 900.0)
    has_faults: bool = True
    has_lost_disks: bool = True
    has_database: bool = True
    patch_interval_ms: float = 150.0
    control: ControlOptions = field(
        default_factory=lambda: ControlOptions(n_entries_per_snapshot=30)
    )
    consensus: ConsensusOptions = field(default_factory=ConsensusOptions)
    failover: FailoverOptions = field(default_factory=FailoverOptions)


@dataclass(slots=True)
class _Host:
    name: str
    zone: str
    disk: FakeDisk
    clock_rate: float
    clock_offset_ms: float
    node: ControlNode | None = None
    is_frozen: bool = False
    crashes_at_write: bool = False
    n_starts: int = 0
    pending_inputs: list[Callable[[], None]] = field(default_factory=list)
    configuration_version: int = 0
    last_led_term: int = 0

    def clock(self, now_ms: float) -> float:
        return self.clock_offset_ms + now_ms * self.clock_rate


@dataclass(slots=True)
class _Proxy:
    name: str
    zone: str
    sequence: int = 0
    configuration: ClusterConfiguration = field(default_factory=ClusterConfiguration)
    topology: TopologyUpdate = field(
        default_factory=lambda: TopologyUpdate(version=0, databases=[])
    )
    last_heard_ms: dict[str, float] = field(default_factory=dict)


class Schedule:
    """Run one schedule; `violations` is empty if all invariants held."""

    def __init__(
        self,
        seed: int,
        options: ScheduleOptions | None = None,
        node_type: type[ControlNode] = ControlNode,
    ) -> None:
        # A copy, because the faults are switched off for the end of the schedule.
        self.options = replace(options or ScheduleOptions())
        self.random = Random(seed)
        self.now_ms = 0.0
        self.violations: list[str] = []
        self.events: list[tuple[float, EmitEvent]] = []
        self.n_messages = 0
        self.blocked: set[frozenset[str]] = set()
        self.delay_factor = 1.0
        self._node_type = node_type
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._incarnations = itertools.count(1)
        self._committed: dict[int, tuple[int, bytes]] = {}
        self._commit_terms: dict[int, int] = {}
        self._leader_of_term: dict[int, str] = {}
        self._documents: dict[int, str] = {}
        self._accepted_versions: dict[str, int] = {}
        self._sent_patches: list[PatchRequest] = []
        self._request_ids = itertools.count(1)
        self._open_requests: dict[tuple[str, int, int], str] = {}
        names = [f"control-{i}" for i in range(1, self.options.n_nodes + 1)]
        self.members = [
            Member(
                node=name,
                zone=_ZONES[i % 3],
                peer_address=name,
                operator_address=name,
            )
            for i, name in enumerate(names)
        ]
        self.hosts = {name: self._new_host(i) for i, name in enumerate(names)}
        self.proxies = {
            f"proxy-{i}": _Proxy(f"proxy-{i}", _ZONES[i % 3])
            for i in range(self.options.n_proxies)
        }
        self.group = FakeGroup("orders", _ZONES)
        self.zones = {
            **{host.name: host.zone for host in self.hosts.values()},
            **{proxy.name: proxy.zone for proxy in self.proxies.values()},
            **{item.name: item.zone for item in self.group.instances.values()},
        }
        for host in self.hosts.values():
            self.boot(host)

    def _new_host(self, number: int) -> _Host:
        drift = self.options.clock_drift
        return _Host(
            name=self.members[number].node,
            zone=self.members[number].zone,
            disk=FakeDisk(next(self._incarnations)),
            clock_rate=self.random.uniform(1.0 - drift, 1.0 + drift),
            clock_offset_ms=self.random.uniform(0.0, 1e6),
        )

    @property
    def n_accepted_patches(self) -> int:
        """Return how many patches were accepted."""
        return len(self._accepted_versions)

    # Time

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(
            self._queue, (self.now_ms + delay_ms, next(self._counter), action)
        )

    def every(self, interval_ms: float, action: Callable[[], None]) -> None:
        """Run an action again and again."""

        def repeat() -> None:
            action()
            self.after(interval_ms, repeat)

        self.after(interval_ms, repeat)

    def run(self, until_ms: float) -> None:
        """Run up to a time, or to the first violation."""
        while self._queue and self._queue[0][0] <= until_ms and not self.violations:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
            self.violations.extend(self.group.violations)
        self.now_ms = max(self.now_ms, until_ms) if not self.violations else self.now_ms

    def start(self) -> "Schedule":
        """Start the periodic actions."""
        for host in self.hosts.values():
            self.every(_TICK_MS, lambda host=host: self._tick(host))  # type: ignore[misc]
        for proxy in self.proxies.values():
            self.after(
                self.random.uniform(0.0, _REPORT_MS),
                lambda proxy=proxy: self.every(  # type: ignore[misc]
                    _REPORT_MS, lambda: self._report(proxy)
                ),
            )
        if self.options.has_database:
            self.every(20.0, self._write)
            self.every(10.0, self._replicate)
        self.every(self.options.patch_interval_ms, self._send_patch)
        if self.options.has_faults:
            self._schedule_next_fault()
        return self

    def run_all(self) -> "Schedule":
        """Run the whole schedule, heal everything, and check the end state."""
        self.start()
        self.run(self.options.duration_ms)
        if not self.violations:
            self.options.has_faults = False
            self.end_faults()
            self.run(self.options.duration_ms + 8_000.0)
            self._check_final_state()
        return self

    # Control nodes

    def boot(self, host: _Host) -> None:
        """Start a control node from its disk."""
        host.n_starts += 1
        # A restarted node knows what is committed only when it hears a leader.
        host.configuration_version = 0
        host.node = self._node_type(
            host.name,
            host.zone,
            self.members,
            host.disk.restore(),
            Random(self.random.random()),
            host.clock(self.now_ms),
            consensus_options=self.options.consensus,
            options=self.options.control,
            failover_options=self.options.failover,
        )

    def crash(self, host: _Host, loses_disk: bool = False) -> None:
        """Kill a control node in the middle of its writes."""
        host.node = None
        host.is_frozen = False
        host.pending_inputs.clear()
        host.disk.crash(self.random)
        if loses_disk:
            host.disk = FakeDisk(next(self._incarnations))

    def freeze(self, host: _Host) -> None:
        """Stop a process; its inputs wait."""
        host.is_frozen = host.node is not None

    def thaw(self, host: _Host) -> None:
        """Let a process go on."""
        host.is_frozen = False
        waiting, host.pending_inputs = host.pending_inputs, []
        for action in waiting:
            action()

    def end_faults(self) -> None:
        """End all faults."""
        self.blocked.clear()
        self.delay_factor = 1.0
        for host in self.hosts.values():
            if host.node is None:
                self.boot(host)
            self.thaw(host)
        for instance in self.group.instances.values():
            instance.is_frozen = False
            if not instance.is_up:
                self.group.start(instance.name, keeps_log=True)

    def leader(self) -> _Host | None:
        """Return the node that has the lease."""
        for host in self.hosts.values():
            node = host.node
            if node is None or host.is_frozen or not node.is_ready:
                continue
            if node.consensus.has_lease(host.clock(self.now_ms)):
                return host
        return None

    def _tick(self, host: _Host) -> None:
        if host.node is not None and not host.is_frozen:
            self._run_effects(host, host.node.tick(host.clock(self.now_ms)))

    def _deliver_input(
        self, host: _Host, call: Callable[[ControlNode, float], list[ControlEffect]]
    ) -> None:
        """Give an input to the process that runs now, or queue it while frozen."""
        life = host.n_starts

        def deliver() -> None:
            if host.node is not None and host.n_starts == life:
                effects = call(host.node, host.clock(self.now_ms))
                self._run_effects(host, effects)

        if host.is_frozen:
            host.pending_inputs.append(deliver)
        else:
            deliver()

    def _run_effects(self, host: _Host, effects: list[ControlEffect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage():
                    self.send(host.name, effect.address, effect.message)
                case PersistEffect():
                    self._persist(host, effect)
                case CommandInstance():
                    self._run_command(host, effect)
                case ReplyOperator():
                    self._on_reply(host, effect)
                case EmitEvent():
                    self.events.append((self.now_ms, effect))
        self._check_node(host)

    def _persist(self, host: _Host, effect: PersistEffect) -> None:
        is_running = bool(host.disk.pending_writes)
        host.disk.pending_writes.append(effect)
        if host.crashes_at_write:
            host.crashes_at_write = False
            delay_ms = self.random.uniform(0.0, self.options.sync_ms[1])
            self.after(delay_ms, lambda: self._crash_temporarily(host))
        if not is_running:
            self._schedule_sync(host)

    def _schedule_sync(self, host: _Host) -> None:
        life = host.n_starts

        def done() -> None:
            if host.n_starts != life or host.node is None:
                return
            sequence = host.disk.sync()
            if sequence is not None:
                self._deliver_input(
                    host, lambda node, now: node.on_storage_done(now, sequence)
                )

        self.after(self.random.uniform(*self.options.sync_ms), done)

    def _run_command(self, host: _Host, command: CommandInstance) -> None:
        def reply() -> None:
            if not self._is_delivered(host.name, command.instance):
                return
            answer = self.group.command(command)
            if self._is_delivered(host.name, command.instance):
                self.after(
                    self._delay_ms(),
                    lambda: self._deliver_input(
                        host, lambda node, now: node.on_instance_reply(now, answer)
                    ),
                )

        self.after(self._delay_ms(), reply)

    # Network

    def _delay_ms(self) -> float:
        return self.random.uniform(*self.options.delay_ms) * self.delay_factor

    def _is_delivered(self, a: str, b: str) -> bool:
        if self.random.random() < self.options.loss:
            return False
        zones = frozenset((self.zones[a], self.zones[b]))
        return frozenset((a, b)) not in self.blocked and zones not in self.blocked

    def partition_zone(self, zone: str) -> None:
        """Cut a zone off from the others."""
        for other in _ZONES:
            if other != zone:
                self.blocked.add(frozenset((zone, other)))

    def isolate_node(self, name: str) -> None:
        """Cut a process off from everything."""
        for other in self.zones:
            if other != name:
                self.blocked.add(frozenset((name, other)))

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send through the faulty network; encoding keeps processes apart."""
        payload = encode_envelope(message, sender=sender, reply_address=sender)
        n_copies = 1 + (self.random.random() < self.options.duplication)
        for _ in range(n_copies):
            if receiver in self.zones and self._is_delivered(sender, receiver):
                self.n_messages += 1
                self.after(
                    self._delay_ms(), lambda: self._deliver(sender, receiver, payload)
                )

    def _deliver(self, sender: str, receiver: str, payload: bytes) -> None:
        _, message = decode_envelope(payload)
        if receiver in self.proxies:
            self._on_proxy_message(self.proxies[receiver], message)
            return
        host = self.hosts[receiver]
        peer = Peer(sender, sender)
        self._deliver_input(host, lambda node, now: node.on_message(now, peer, message))

    # Entry VMs

    def _report(self, proxy: _Proxy) -> None:
        proxy.sequence += 1
        heartbeat = Heartbeat(
            node=proxy.name,
            role=NodeRole.PROXY,
            zone=proxy.zone,
            incarnation=1,
            operator_address=proxy.name,
            configuration_version=proxy.configuration.version,
            topology_version=proxy.topology.version,
        )
        observations = []
        for item in self.group.instances.values():
            if item.is_responsive and self._is_delivered(proxy.name, item.name):
                proxy.last_heard_ms[item.name] = self.now_ms - self._delay_ms()
            if item.name in proxy.last_heard_ms:
                silence_ms = self.now_ms - proxy.last_heard_ms[item.name]
                observations.append(self.group.observe(item, silence_ms, proxy.zone))
        report = HealthReport(
            node=proxy.name,
            zone=proxy.zone,
            sequence=proxy.sequence,
            observations=observations,
        )
        for name in self.hosts:
            self.send(proxy.name, name, heartbeat)
            if self.options.has_database:
                self.send(proxy.name, name, report)

    def _on_proxy_message(self, proxy: _Proxy, message: Message) -> None:
        if isinstance(message, TopologyUpdate):
            if message.version > proxy.topology.version:
                proxy.topology = message
        elif isinstance(message, ConfigurationUpdate):
            self._on_configuration(proxy, message)

    def _on_configuration(self, proxy: _Proxy, update: ConfigurationUpdate) -> None:
        if update.version <= proxy.configuration.version:
            return
        if update.base_version is None:
            proxy.configuration = ClusterConfiguration.from_json(update.snapshot)
        elif update.base_version == proxy.configuration.version:
            proxy.configuration = _apply_all(
                proxy.configuration, update.changes, update.version
            )
        self._check_document(proxy.name, proxy.configuration)

    # Database group

    def _write(self) -> None:
        steps = [
            item.step
            for proxy in self.proxies.values()
            for item in proxy.topology.databases
        ]
        is_held = any(step is not FailoverStep.SERVING for step in steps)
        if not is_held:
            self.group.write()

    def _replicate(self) -> None:
        self.group.replicate(self.now_ms, self._is_delivered)

    # Operators

    def _send_patch(self) -> None:
        """Send a patch to a random node: a new one, a race, or one sent before."""
        host = self.random.choice(list(self.hosts.values()))
        if host.node is None:
            return
        if self._sent_patches and self.random.random() < 0.3:
            request = self.random.choice(self._sent_patches[-10:])
        else:
            base = max(self._documents, default=0)
            request = PatchRequest(
                patch_id=f"patch-{len(self._sent_patches)}",
                base_version=base,
                changes=[
                    Change(
                        path="policy.detection_ms",
                        value=float(self.random.randint(600, 700)),
                    )
                ],
            )
            self._sent_patches.append(request)
        self.request(host, request)

    def request(self, host: _Host, request: Message) -> int:
        """Send an operator's request to a node."""
        request_id = next(self._request_ids)
        if isinstance(request, PatchRequest):
            key = (host.name, host.n_starts, request_id)
            self._open_requests[key] = request.patch_id
        self._deliver_input(
            host, lambda node, now: node.on_operator_request(now, request_id, request)
        )
        return request_id

    def _on_reply(self, host: _Host, effect: ReplyOperator) -> None:
        patch_id = self._open_requests.pop(
            (host.name, host.n_starts, effect.request_id), None
        )
        reply = effect.message
        if patch_id is None or not isinstance(reply, PatchReply):
            return
        if reply.outcome is not PatchOutcome.ACCEPTED:
            if patch_id in self._accepted_versions:
                self.violations.append(f"{patch_id} was accepted and then refused")
            return
        known = self._accepted_versions.setdefault(patch_id, reply.version)
        if known != reply.version:
            self.violations.append(
                f"{patch_id} got versions {known} and {reply.version}"
            )
        owners = [
            key for key, value in self._accepted_versions.items() if value == known
        ]
        if len(owners) > 1:
            self.violations.append(f"{owners} were both accepted as version {known}")

    # Invariants

    def _check_node(self, host: _Host) -> None:
        node = host.node
        if node is None:
            return
        self._check_leadership(host, node)
        self._check_committed(host, node)
        version = node.state.configuration.version
        if version < host.configuration_version:
            self.violations.append(
                f"{host.name} went from version {host.configuration_version} to {version}"
            )
        host.configuration_version = version
        self._check_document(host.name, node.state.configuration)

    def _check_leadership(self, host: _Host, node: ControlNode) -> None:
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
        with_lease = [
            item.name
            for item in self.hosts.values()
            if item.node
            and item.node.consensus.is_leader
            and item.node.consensus.has_lease(item.clock(self.now_ms))
        ]
        if len(with_lease) > 1:
            self.violations.append(f"{with_lease} have a lease at the same time")

    def _check_completeness(self, host: _Host, node: ControlNode) -> None:
        log = node.consensus.log
        for index, (term, _) in self._committed.items():
            # A late leader of an older term owes nothing to commits of newer ones.
            if self._commit_terms[index] >= node.consensus.term:
                continue
            if index > log.base_index and log.term_at(index) != term:
                self.violations.append(
                    f"leader {host.name} of term {node.consensus.term} lacks "
                    f"committed entry {index} of term {term}"
                )
                return

    def _check_committed(self, host: _Host, node: ControlNode) -> None:
        log = node.consensus.log
        index = node.consensus.commit_index
        # Newly committed entries are the last ones; older ones were checked before.
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

    def _check_document(self, name: str, document: ClusterConfiguration) -> None:
        text = document.to_json()
        known = self._documents.setdefault(document.version, text)
        if known != text:
            self.violations.append(
                f"{name} has another document of version {document.version}"
            )

    def _check_final_state(self) -> None:
        """Check what must hold after all faults have ended."""
        leader = self.leader()
        if self.violations:
            return
        if leader is None or leader.node is None:
            self.violations.append("no leader after all faults ended")
            return
        state = leader.node.state
        ids = [record.entry.patch_id for record in state.versions]
        if len(set(ids)) != len(ids):
            self.violations.append("a patch was applied twice")
        for patch_id, version in self._accepted_versions.items():
            stored = state.patch_replies.get(patch_id)
            if stored is None or stored.version != version:
                self.violations.append(f"accepted {patch_id} is not in the state")
        self._check_logs()

    def _check_logs(self) -> None:
        """Check that equal index and term mean equal logs up to there."""
        nodes = [host.node for host in self.hosts.values() if host.node]
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

    # Faults

    def _schedule_next_fault(self) -> None:
        delay_ms = self.random.uniform(*self.options.fault_interval_ms)

        def fault() -> None:
            if not self.options.has_faults:
                return
            self.random.choice(self._available_faults())()
            self._schedule_next_fault()

        self.after(delay_ms, fault)

    def _available_faults(self) -> list[Callable[[], None]]:
        faults = [
            self._fault_crash,
            self._fault_crash,
            self._fault_crash_at_write,
            self._fault_crash_all,
            self._fault_freeze,
            self._fault_partition,
            self._fault_partition,
            self._fault_block_link,
            self._fault_block_link,
            self._end_network_faults,
            self._fault_delay,
        ]
        if self.options.has_lost_disks:
            faults.append(self._fault_lost_disk)
        if self.options.has_database:
            faults += [self._fault_instance] * 4
        return faults

    def _choose_host(self) -> _Host:
        leader = self.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(list(self.hosts.values()))

    def _crash_temporarily(self, host: _Host) -> None:
        if host.node is None:
            return
        self.crash(host)
        self.after(self.random.uniform(20.0, 1_500.0), lambda: self._restart(host))

    def _restart(self, host: _Host) -> None:
        if host.node is None:
            self.boot(host)

    def _fault_crash(self) -> None:
        self._crash_temporarily(self._choose_host())

    def _fault_crash_at_write(self) -> None:
        """Crash a node while its next write is under way."""
        self._choose_host().crashes_at_write = True

    def _fault_crash_all(self) -> None:
        """Crash all nodes at the same moment, as a power loss does."""
        for host in self.hosts.values():
            self._crash_temporarily(host)

    def _fault_freeze(self) -> None:
        host = self._choose_host()
        self.freeze(host)
        self.after(self.random.uniform(100.0, 2_000.0), lambda: self.thaw(host))

    def _fault_lost_disk(self) -> None:
        """Lose a disk while all nodes vote, so that a majority keeps its logs."""
        leader = self.leader()
        if leader is None or leader.node is None:
            return
        consensus = leader.node.consensus
        voters = {(item.node, item.incarnation) for item in consensus.voters}
        disks = {(host.name, host.disk.incarnation) for host in self.hosts.values()}
        if voters == disks and consensus.can_change_members():
            host = self._choose_host()
            self.crash(host, loses_disk=True)
            self.boot(host)

    def _fault_partition(self) -> None:
        if self.random.random() < 0.5:
            self.partition_zone(self.random.choice(_ZONES))
        else:
            self.isolate_node(self.random.choice(list(self.zones)))
        self.after(self.random.uniform(200.0, 2_500.0), self.blocked.clear)

    def _fault_block_link(self) -> None:
        """Cut one link between control nodes, while others reach both ends."""
        pair = frozenset(self.random.sample(list(self.hosts), 2))
        self.blocked.add(pair)
        self.after(
            self.random.uniform(200.0, 2_500.0), lambda: self.blocked.discard(pair)
        )

    def _end_network_faults(self) -> None:
        self.blocked.clear()
        self.delay_factor = 1.0

    def _fault_delay(self) -> None:
        self.delay_factor = 10.0

    def _fault_instance(self) -> None:
        """Kill, freeze or restart one instance; a majority keeps its logs."""
        instances = list(self.group.instances.values())
        down = [item for item in instances if not item.is_responsive]
        if down:
            item = self.random.choice(down)
            if item.is_up:
                item.is_frozen = False
            else:
                keeps_log = self.random.random() < 0.7
                may_lose_log = self.group.may_lose_log(item.name)
                self.group.start(item.name, keeps_log or not may_lose_log)
            return
        item = self.random.choice(instances)
        if self.random.random() < 0.5:
            item.is_frozen = True
        else:
            self.group.stop(item.name)


def _apply_all(
    document: ClusterConfiguration, changes: list[Change], version: int
) -> ClusterConfiguration:
    """Apply changes of several versions one by one."""
    for change in changes:
        document = apply_changes(document, [change], version)
    document.version = version
    return document


def run_schedule(seed: int, **options: Any) -> Schedule:
    """Run one schedule from a seed."""
    return Schedule(seed, ScheduleOptions(**options)).run_all()
