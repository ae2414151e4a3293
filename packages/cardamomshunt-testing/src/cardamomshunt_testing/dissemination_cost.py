"""Measure what each kind of dissemination of control state costs a node.

Members run in this process under virtual time and exchange encoded messages. Bytes,
messages and the CPU time of state machines and codec are measured. The CPU time of the
transport is calculated from its measured cost per message.
"""

import random
import statistics
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import click
import msgspec
from cardamomshunt.dissemination import (
    AbstractDissemination,
    DisseminationEffect,
    DisseminationMember,
    DisseminationSettings,
    FanOutDissemination,
    GossipDissemination,
    RelayDissemination,
    SendTo,
    StateReceived,
)
from cardamomshunt.messages import Message

from cardamomshunt_testing._virtual_network import Outgoing, VirtualNetwork

_N_ZONES = 3
_PAYLOAD_SIZE_BYTES = 2_000
_WARM_UP_MS = 10_000.0
_MEASURED_MS = 20_000.0
_DETECTION_LIMIT_MS = 60_000.0
_STEP_MS = 20.0
# Key id, digest and length byte of the HMAC, and the length header of the transport.
FRAME_SIZE_BYTES = 43
# Half of the 290 us of CPU that a pynng message costs both ends in one process.
TRANSPORT_CPU_S = 145e-6
_ZONE_DELAY_MS = 5.0
_LOCAL_DELAY_MS = 0.5
_LEADER = "n0000"
# 480 configuration changes and 2 primary changes of 720 databases a day.
_PUBLICATIONS_PER_S = (480 + 2 * 720) / 86_400.0

KINDS = ("fan_out", "relay", "gossip")
SIZES = (9, 50, 150, 450)


class DisseminationCost(msgspec.Struct, kw_only=True):
    """Cost in one run; `other` is the costliest member besides the leader.

    Bytes are sent and received together. `cpu_percent` is of one core.
    """

    kind: str
    n_members: int
    group_size_max: int
    beat_ms: float
    seed: int
    loss: float
    bytes_per_s_mean: float
    bytes_per_s_leader: float
    bytes_per_s_other: float
    messages_per_s_mean: float
    messages_per_s_leader: float
    messages_per_s_other: float
    own_cpu_percent_leader: float
    own_cpu_percent_other: float
    cpu_percent_leader: float
    cpu_percent_other: float
    memory_kb_per_member: float
    everywhere_ms: float
    known_everywhere_ms: float
    detection_ms: float
    detection_of_busiest_ms: float
    n_false_silent: int


@dataclass(slots=True, frozen=True)
class Variant:
    """Parameters of a run; a group is a part of a zone, of bounded size."""

    kind: str
    n_members: int
    group_size_max: int
    heartbeat_ms: float
    seed: int
    loss: float = 0.0

    def members(self) -> list[DisseminationMember]:
        """Return the members, evenly distributed over three zones."""
        n_in_zone = -(-self.n_members // _N_ZONES)
        n_groups = -(-n_in_zone // self.group_size_max)
        return [
            DisseminationMember(
                f"n{index:04d}",
                f"z{index % _N_ZONES}-{index // _N_ZONES % n_groups}",
            )
            for index in range(self.n_members)
        ]

    def settings(self) -> DisseminationSettings:
        """Return settings by which three lost heartbeats make a member unresponsive."""
        return DisseminationSettings(self.heartbeat_ms, 3.2 * self.heartbeat_ms)


@dataclass(slots=True)
class _Host:
    """Run a dissemination member as a participant of the virtual network."""

    dissemination: AbstractDissemination
    n_received: int = 0

    def next_deadline_ms(self) -> float | None:
        return self.dissemination.next_deadline_ms()

    def tick(self, now_ms: float) -> list[Outgoing]:
        return self.run(self.dissemination.tick(now_ms))

    def receive(self, now_ms: float, sender: str, message: Message) -> list[Outgoing]:
        return self.run(self.dissemination.on_message(now_ms, sender, message))

    def run(self, effects: list[DisseminationEffect]) -> list[Outgoing]:
        self.n_received += sum(isinstance(item, StateReceived) for item in effects)
        return [
            Outgoing(item.node, item.message)
            for item in effects
            if isinstance(item, SendTo)
        ]


@dataclass(slots=True)
class Deployment:
    """Members in a virtual network."""

    network: VirtualNetwork
    hosts: dict[str, _Host]
    leader: AbstractDissemination

    def publish(self, version: int) -> None:
        """Publish a version on the leader."""
        payload = bytes(_PAYLOAD_SIZE_BYTES)
        effects = self.leader.publish(self.network.now_ms, version, payload)
        self.network.send_all(_LEADER, self.hosts[_LEADER].run(effects))

    def wait_until(self, condition: Callable[[], bool]) -> float:
        """Run until a condition is met; return the time, or infinity at the limit."""
        started_ms = self.network.now_ms
        while not condition():
            if self.network.now_ms - started_ms > _DETECTION_LIMIT_MS:
                return float("inf")
            self.network.run_until(self.network.now_ms + _STEP_MS)
        return self.network.now_ms - started_ms

    def unresponsive_members(self) -> set[str]:
        """Return the members that the leader considers unresponsive."""
        return self.leader.unresponsive_members(self.network.now_ms)


def build(variant: Variant) -> Deployment:
    """Start members in three zones."""
    random_state = random.Random(variant.seed)
    members = variant.members()
    settings = variant.settings()
    zones = {member.node: member.group.partition("-")[0] for member in members}

    def delay_ms(sender: str, receiver: str) -> float:
        is_local = zones[sender] == zones[receiver]
        mean_ms = _LOCAL_DELAY_MS if is_local else _ZONE_DELAY_MS
        return mean_ms * random_state.uniform(0.8, 1.6)

    network = VirtualNetwork(random_state, delay_ms=delay_ms, loss=variant.loss)
    hosts = {}
    for member in members:
        phase = random_state.random()
        if variant.kind == "fan_out":
            dissemination: AbstractDissemination = FanOutDissemination(
                0.0, member, _LEADER, members, settings, phase
            )
        elif variant.kind == "relay":
            dissemination = RelayDissemination(
                0.0, member, _LEADER, members, settings, phase
            )
        else:
            own_random = random.Random(random_state.random())
            dissemination = GossipDissemination(
                0.0, member, _LEADER, members, settings, own_random
            )
        hosts[member.node] = _Host(dissemination)
        network.add(member.node, hosts[member.node])
    return Deployment(network, hosts, hosts[_LEADER].dissemination)


def _memory_kb(variant: Variant) -> float:
    """Return the memory per member after a warm-up, without the network."""
    tracemalloc.start()
    deployment = build(variant)
    deployment.network.run_until(2_000.0)
    deployment.publish(1)
    deployment.network.run_until(4_000.0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / 1_024.0 / variant.n_members


def _find_busiest(deployment: Deployment) -> str:
    """Return the member besides the leader that sent the most bytes."""
    traffic = deployment.network.traffic
    others = [node for node in deployment.hosts if node != _LEADER]
    return max(others, key=lambda node: traffic[node].sent_bytes)


def measure(variant: Variant) -> DisseminationCost:
    """Measure one kind of dissemination with a number of members."""
    deployment = build(variant)
    network = deployment.network
    network.run_until(_WARM_UP_MS)
    for traffic in network.traffic.values():
        traffic.n_sent = traffic.n_received = 0
        traffic.sent_bytes = traffic.received_bytes = 0
        traffic.cpu_s = 0.0
    false_unresponsive: set[str] = set()
    while network.now_ms < _WARM_UP_MS + _MEASURED_MS:
        network.run_until(network.now_ms + 500.0)
        false_unresponsive |= deployment.unresponsive_members()
    steady = _steady_cost(deployment)
    hosts = deployment.hosts.values()
    started_ms = network.now_ms
    deployment.publish(2)
    everywhere_ms = deployment.wait_until(
        lambda: all(host.dissemination.version == 2 for host in hosts)
    )
    deployment.wait_until(lambda: not deployment.leader.lagging_members(network.now_ms))
    known_ms = network.now_ms - started_ms
    busiest = _find_busiest(deployment)
    ordinary = next(
        x for x in reversed(deployment.hosts) if x not in (_LEADER, busiest)
    )
    detection_ms = _detection_ms(deployment, ordinary)
    return DisseminationCost(
        kind=variant.kind,
        n_members=variant.n_members,
        group_size_max=variant.group_size_max,
        beat_ms=variant.heartbeat_ms,
        seed=variant.seed,
        loss=variant.loss,
        **steady,
        memory_kb_per_member=round(_memory_kb(variant), 1),
        everywhere_ms=everywhere_ms,
        known_everywhere_ms=known_ms,
        detection_ms=detection_ms,
        detection_of_busiest_ms=_detection_ms(deployment, busiest),
        n_false_silent=len(false_unresponsive),
    )


def _detection_ms(deployment: Deployment, node: str) -> float:
    deployment.network.remove(node)
    return deployment.wait_until(lambda: node in deployment.unresponsive_members())


def _steady_cost(deployment: Deployment) -> dict[str, float]:
    """Return the cost of heartbeats, and of publications averaged over a day."""
    seconds = _MEASURED_MS / 1_000.0
    published_bytes = _PUBLICATIONS_PER_S * (_PAYLOAD_SIZE_BYTES + FRAME_SIZE_BYTES)
    n_bytes, n_messages, own_cpu, cpu = {}, {}, {}, {}
    for node, traffic in deployment.network.traffic.items():
        count = traffic.n_sent + traffic.n_received
        size = traffic.sent_bytes + traffic.received_bytes + count * FRAME_SIZE_BYTES
        n_bytes[node] = size / seconds + published_bytes
        n_messages[node] = count / seconds
        own_cpu[node] = 100.0 * traffic.cpu_s / seconds
        cpu[node] = own_cpu[node] + 100.0 * count * TRANSPORT_CPU_S / seconds
    return {
        **_summary("bytes_per_s", n_bytes, has_mean=True),
        **_summary("messages_per_s", n_messages, has_mean=True),
        **_summary("own_cpu_percent", own_cpu),
        **_summary("cpu_percent", cpu),
    }


def _summary(
    name: str, values: dict[str, float], has_mean: bool = False
) -> dict[str, float]:
    others = [value for node, value in values.items() if node != _LEADER]
    summary = {
        f"{name}_leader": round(values[_LEADER], 3),
        f"{name}_other": round(max(others), 3),
    }
    if has_mean:
        summary[f"{name}_mean"] = round(statistics.fmean(values.values()), 3)
    return summary


@click.command()
@click.option("--kind", "kinds", multiple=True, type=click.Choice(KINDS), default=KINDS)
@click.option("--members", multiple=True, type=click.IntRange(4, 1_000), default=SIZES)
@click.option("--group-size", type=click.IntRange(2, 1_000), default=1_000)
@click.option("--beat-ms", type=click.FloatRange(50, 10_000), default=500.0)
@click.option("--loss", type=click.FloatRange(0, 0.5), default=0.0)
@click.option("--seeds", type=click.IntRange(1, 50), default=1, show_default=True)
def main(
    kinds: tuple[str, ...],
    members: tuple[int, ...],
    group_size: int,
    beat_ms: float,
    loss: float,
    seeds: int,
) -> None:
    """Print one JSON line for each run."""
    for kind in kinds:
        for n_members in members:
            for seed in range(seeds):
                variant = Variant(kind, n_members, group_size, beat_ms, seed, loss)
                click.echo(msgspec.json.encode(measure(variant)).decode())


if __name__ == "__main__":
    main()
