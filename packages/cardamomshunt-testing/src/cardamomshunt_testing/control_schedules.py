"""Seeded random schedules that run the control state machines on fakes.

A schedule simulates control nodes, entry VMs and a database group in virtual time,
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
from cardamomshunt_testing._schedule_faults import FaultInjector
from cardamomshunt_testing._schedule_host import ZONES, ScheduledHost
from cardamomshunt_testing._schedule_invariants import ScheduleInvariants

_TICK_INTERVAL_MS = 10.0
_REPORT_INTERVAL_MS = 100.0


@dataclass(slots=True)
class ScheduleOptions:
    """Options of a schedule: its size, network, disks, clocks and faults."""

    n_nodes: int = 3
    n_proxies: int = 6
    duration_ms: float = 12_000.0
    loss: float = 0.05
    duplication: float = 0.05
    delay_ms: tuple[float, float] = (1.0, 12.0)
    sync_ms: tuple[float, float] = (1.0, 15.0)
    command_ms: float = 0.0
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
class _Proxy:
    """Entry VM, reduced to its reports and to the updates that it received."""

    name: str
    zone: str
    sequence: int = 0
    configuration: ClusterConfiguration = field(default_factory=ClusterConfiguration)
    topology: TopologyUpdate = field(
        default_factory=lambda: TopologyUpdate(version=0, databases=[])
    )
    last_heard_ms: dict[str, float] = field(default_factory=dict)


class Schedule:
    """Run one schedule; `violations` is empty if no invariant was violated."""

    def __init__(
        self,
        seed: int,
        options: ScheduleOptions | None = None,
        node_type: type[ControlNode] = ControlNode,
    ) -> None:
        # Copied, because `run_all` disables faults before the final checks.
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
        self._accepted_versions: dict[str, int] = {}
        self._sent_patches: list[PatchRequest] = []
        self._request_ids = itertools.count(1)
        self._open_requests: dict[tuple[str, int, int], str] = {}
        names = [f"control-{i}" for i in range(1, self.options.n_nodes + 1)]
        self.members = [
            Member(
                node=name,
                zone=ZONES[i % 3],
                peer_address=name,
                operator_address=name,
            )
            for i, name in enumerate(names)
        ]
        self.hosts = {name: self._new_host(i) for i, name in enumerate(names)}
        self.proxies = {
            f"proxy-{i}": _Proxy(f"proxy-{i}", ZONES[i % 3])
            for i in range(self.options.n_proxies)
        }
        self.group = FakeGroup("orders", ZONES)
        self.zones = {
            **{host.name: host.zone for host in self.hosts.values()},
            **{proxy.name: proxy.zone for proxy in self.proxies.values()},
            **{item.name: item.zone for item in self.group.instances.values()},
        }
        self._invariants = ScheduleInvariants(self.hosts.values(), self.violations)
        self._faults = FaultInjector(self)
        for host in self.hosts.values():
            self.boot(host)

    def _new_host(self, number: int) -> ScheduledHost:
        drift = self.options.clock_drift
        return ScheduledHost(
            name=self.members[number].node,
            zone=self.members[number].zone,
            disk=FakeDisk(next(self._incarnations)),
            clock_rate=self.random.uniform(1.0 - drift, 1.0 + drift),
            clock_offset_ms=self.random.uniform(0.0, 1e6),
        )

    @property
    def n_accepted_patches(self) -> int:
        """Return the number of accepted patches."""
        return len(self._accepted_versions)

    # Time

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(
            self._queue, (self.now_ms + delay_ms, next(self._counter), action)
        )

    def every(self, interval_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a fixed interval."""

        def repeat() -> None:
            action()
            self.after(interval_ms, repeat)

        self.after(interval_ms, repeat)

    def run(self, until_ms: float) -> None:
        """Run events up to a time, or up to the first violation."""
        while self._queue and self._queue[0][0] <= until_ms and not self.violations:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
            self.violations.extend(self.group.violations)
        self.now_ms = max(self.now_ms, until_ms) if not self.violations else self.now_ms

    def start(self) -> "Schedule":
        """Start the periodic actions."""
        for host in self.hosts.values():
            self.every(_TICK_INTERVAL_MS, lambda host=host: self._tick(host))  # type: ignore[misc]
        for proxy in self.proxies.values():
            self.after(
                self.random.uniform(0.0, _REPORT_INTERVAL_MS),
                lambda proxy=proxy: self.every(  # type: ignore[misc]
                    _REPORT_INTERVAL_MS, lambda: self._report(proxy)
                ),
            )
        if self.options.has_database:
            self.every(20.0, self._write)
            self.every(10.0, self._replicate)
        self.every(self.options.patch_interval_ms, self._send_patch)
        if self.options.has_faults:
            self._faults.schedule_next()
        return self

    def run_all(self) -> "Schedule":
        """Run the whole schedule, end all faults, and check the final state."""
        self.start()
        self.run(self.options.duration_ms)
        if not self.violations:
            self.options.has_faults = False
            self.end_faults()
            self.run(self.options.duration_ms + 8_000.0)
            self._invariants.check_final_state(self.leader(), self._accepted_versions)
        return self

    # Control nodes

    def boot(self, host: ScheduledHost) -> None:
        """Start a control node from the state on its disk."""
        host.n_starts += 1
        # A restarted node learns the commit index only from a leader.
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

    def crash(self, host: ScheduledHost, loses_disk: bool = False) -> None:
        """Crash a control node; some of its pending writes may be lost."""
        host.node = None
        host.is_frozen = False
        host.pending_inputs.clear()
        host.disk.crash(self.random)
        if loses_disk:
            host.disk = FakeDisk(next(self._incarnations))

    def crash_temporarily(self, host: ScheduledHost) -> None:
        """Crash a control node and start it again after a random time."""
        if host.node is None:
            return
        self.crash(host)
        self.after(self.random.uniform(20.0, 1_500.0), lambda: self._restart(host))

    def _restart(self, host: ScheduledHost) -> None:
        if host.node is None:
            self.boot(host)

    def freeze(self, host: ScheduledHost) -> None:
        """Suspend a control node; its inputs are queued."""
        host.is_frozen = host.node is not None

    def thaw(self, host: ScheduledHost) -> None:
        """Resume a suspended control node and deliver its queued inputs."""
        host.is_frozen = False
        inputs, host.pending_inputs = host.pending_inputs, []
        for deliver in inputs:
            deliver()

    def end_faults(self) -> None:
        """End all faults and restart what is down."""
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

    def leader(self) -> ScheduledHost | None:
        """Return the responsive node that has the leader lease, or None."""
        for host in self.hosts.values():
            node = host.node
            if node is None or host.is_frozen or not node.is_ready:
                continue
            if node.consensus.has_lease(host.clock(self.now_ms)):
                return host
        return None

    def _tick(self, host: ScheduledHost) -> None:
        if host.node is not None and not host.is_frozen:
            self._run_effects(host, host.node.tick(host.clock(self.now_ms)))

    def _deliver_input(
        self,
        host: ScheduledHost,
        call: Callable[[ControlNode, float], list[ControlEffect]],
    ) -> None:
        """Deliver an input, or queue it while the node is frozen.

        An input that was scheduled before a restart is dropped.
        """
        n_starts = host.n_starts

        def deliver() -> None:
            if host.node is not None and host.n_starts == n_starts:
                effects = call(host.node, host.clock(self.now_ms))
                self._run_effects(host, effects)

        if host.is_frozen:
            host.pending_inputs.append(deliver)
        else:
            deliver()

    def _run_effects(self, host: ScheduledHost, effects: list[ControlEffect]) -> None:
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
        self._invariants.check_node(self.now_ms, host)

    def _persist(self, host: ScheduledHost, effect: PersistEffect) -> None:
        is_sync_running = bool(host.disk.pending_writes)
        host.disk.pending_writes.append(effect)
        if host.crashes_at_write:
            host.crashes_at_write = False
            delay_ms = self.random.uniform(0.0, self.options.sync_ms[1])
            self.after(delay_ms, lambda: self.crash_temporarily(host))
        if not is_sync_running:
            self._schedule_sync(host)

    def _schedule_sync(self, host: ScheduledHost) -> None:
        n_starts = host.n_starts

        def on_synced() -> None:
            if host.n_starts != n_starts or host.node is None:
                return
            sequence = host.disk.sync()
            if sequence is not None:
                self._deliver_input(
                    host, lambda node, now: node.on_storage_done(now, sequence)
                )

        self.after(self.random.uniform(*self.options.sync_ms), on_synced)

    def _run_command(self, host: ScheduledHost, command: CommandInstance) -> None:
        def execute() -> None:
            if not self._is_delivered(host.name, command.instance):
                return
            reply = self.group.command(command)
            if self.now_ms > started_ms + command.timeout_ms:
                # The command had its effect, but its connection is closed.
                return
            if self._is_delivered(host.name, command.instance):
                self.after(
                    self._delay_ms(),
                    lambda: self._deliver_input(
                        host, lambda node, now: node.on_instance_reply(now, reply)
                    ),
                )

        started_ms = self.now_ms
        self.after(self._delay_ms() + self.options.command_ms, execute)

    # Network

    def _delay_ms(self) -> float:
        return self.random.uniform(*self.options.delay_ms) * self.delay_factor

    def _is_delivered(self, a: str, b: str) -> bool:
        """Return whether a message gets through; its loss is drawn at random."""
        if self.random.random() < self.options.loss:
            return False
        zones = frozenset((self.zones[a], self.zones[b]))
        return frozenset((a, b)) not in self.blocked and zones not in self.blocked

    def partition_zone(self, zone: str) -> None:
        """Partition a zone from the other zones."""
        for other in ZONES:
            if other != zone:
                self.blocked.add(frozenset((zone, other)))

    def isolate_node(self, name: str) -> None:
        """Partition a node, entry VM or instance from all others."""
        for other in self.zones:
            if other != name:
                self.blocked.add(frozenset((name, other)))

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send a message through the faulty network.

        The message is encoded, so that sender and receiver share no mutable state.
        """
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
        self._invariants.check_document(proxy.name, proxy.configuration)

    # Database group

    def _write(self) -> None:
        steps = [
            item.step
            for proxy in self.proxies.values()
            for item in proxy.topology.databases
        ]
        is_failing_over = any(step is not FailoverStep.SERVING for step in steps)
        if not is_failing_over:
            self.group.write()

    def _replicate(self) -> None:
        self.group.replicate(self.now_ms, self._is_delivered)

    # Operators

    def _send_patch(self) -> None:
        """Send a patch to a random node: a new, a concurrent or a repeated one."""
        host = self.random.choice(list(self.hosts.values()))
        if host.node is None:
            return
        if self._sent_patches and self.random.random() < 0.3:
            request = self.random.choice(self._sent_patches[-10:])
        else:
            base = max(self._invariants.documents, default=0)
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

    def request(self, host: ScheduledHost, request: Message) -> int:
        """Send an operator's request to a node and return the id of the request."""
        request_id = next(self._request_ids)
        if isinstance(request, PatchRequest):
            key = (host.name, host.n_starts, request_id)
            self._open_requests[key] = request.patch_id
        self._deliver_input(
            host, lambda node, now: node.on_operator_request(now, request_id, request)
        )
        return request_id

    def _on_reply(self, host: ScheduledHost, effect: ReplyOperator) -> None:
        patch_id = self._open_requests.pop(
            (host.name, host.n_starts, effect.request_id), None
        )
        reply = effect.message
        if patch_id is None or not isinstance(reply, PatchReply):
            return
        if reply.outcome is not PatchOutcome.ACCEPTED:
            if patch_id in self._accepted_versions:
                self.violations.append(f"{patch_id} was accepted and later refused")
            return
        known = self._accepted_versions.setdefault(patch_id, reply.version)
        if known != reply.version:
            self.violations.append(
                f"{patch_id} was accepted as versions {known} and {reply.version}"
            )
        patch_ids = [
            key for key, value in self._accepted_versions.items() if value == known
        ]
        if len(patch_ids) > 1:
            self.violations.append(f"{patch_ids} were all accepted as version {known}")


def _apply_all(
    document: ClusterConfiguration, changes: list[Change], version: int
) -> ClusterConfiguration:
    """Apply changes one by one and set the document's version."""
    for change in changes:
        document = apply_changes(document, [change], version)
    document.version = version
    return document


def run_schedule(seed: int, **options: Any) -> Schedule:
    """Run the schedule of a seed with the given `ScheduleOptions` fields."""
    return Schedule(seed, ScheduleOptions(**options)).run_all()
