"""Measure the cost of membership by probes, and how fast it detects a dead member."""

import random
import statistics
from dataclasses import dataclass, field

import click
import msgspec
from cardamomshunt.membership import (
    MemberChanged,
    MemberRecord,
    Membership,
    MembershipEffect,
    MemberState,
    SendToMember,
)
from cardamomshunt.messages import Message

from cardamomshunt_testing._virtual_network import Outgoing, VirtualNetwork
from cardamomshunt_testing.dissemination_cost import (
    FRAME_SIZE_BYTES,
    SIZES,
    TRANSPORT_CPU_S,
)

_WARM_UP_MS = 20_000.0
_MEASURED_MS = 20_000.0
_DETECTION_LIMIT_MS = 120_000.0
_N_ZONES = 3


class ProbeCost(msgspec.Struct, kw_only=True):
    """Cost and detection times of one run.

    Times are until the first member, or every member, has detected the dead one.
    """

    n_members: int
    seed: int
    bytes_per_s_mean: float
    bytes_per_s_max: float
    messages_per_s_max: float
    cpu_percent_max: float
    suspected_first_ms: float
    dead_first_ms: float
    dead_everywhere_ms: float
    n_false_dead: int


@dataclass(slots=True)
class _Host:
    membership: Membership
    dead: set[str] = field(default_factory=set)

    def next_deadline_ms(self) -> float | None:
        return self.membership.next_deadline_ms()

    def tick(self, now_ms: float) -> list[Outgoing]:
        return self._run(self.membership.tick(now_ms))

    def receive(self, now_ms: float, sender: str, message: Message) -> list[Outgoing]:
        return self._run(self.membership.on_message(now_ms, sender, message))

    def _run(self, effects: list[MembershipEffect]) -> list[Outgoing]:
        for item in effects:
            if isinstance(item, MemberChanged) and item.state is MemberState.DEAD:
                self.dead.add(item.node)
        return [
            Outgoing(item.node, item.message)
            for item in effects
            if isinstance(item, SendToMember)
        ]


def measure(n_members: int, seed: int) -> ProbeCost:
    """Measure membership with a number of members in three zones."""
    random_state = random.Random(seed)
    network = VirtualNetwork(random_state)
    records = [
        MemberRecord(f"n{index:04d}", f"z{index % _N_ZONES}", f"10.0.0.1:{index}", 1)
        for index in range(n_members)
    ]
    hosts: dict[str, _Host] = {}
    for record in records:
        own_random = random.Random(random_state.random())
        hosts[record.node] = _Host(Membership(0.0, record, records, own_random))
        network.add(record.node, hosts[record.node])
    network.run_until(_WARM_UP_MS)
    for traffic in network.traffic.values():
        traffic.n_sent = traffic.n_received = 0
        traffic.sent_bytes = traffic.received_bytes = 0
        traffic.cpu_s = 0.0
    network.run_until(_WARM_UP_MS + _MEASURED_MS)
    cost = _traffic_cost(network)
    dead_member = records[-1].node
    times = _measure_detection(network, hosts, dead_member)
    n_false = len(
        {node for host in hosts.values() for node in host.dead} - {dead_member}
    )
    return ProbeCost(
        n_members=n_members, seed=seed, **cost, **times, n_false_dead=n_false
    )


def _traffic_cost(network: VirtualNetwork) -> dict[str, float]:
    seconds = _MEASURED_MS / 1_000.0
    n_bytes, n_messages, cpu = [], [], []
    for traffic in network.traffic.values():
        count = traffic.n_sent + traffic.n_received
        size = traffic.sent_bytes + traffic.received_bytes + count * FRAME_SIZE_BYTES
        n_bytes.append(size / seconds)
        n_messages.append(count / seconds)
        cpu.append(100.0 * (traffic.cpu_s + count * TRANSPORT_CPU_S) / seconds)
    return {
        "bytes_per_s_mean": round(statistics.fmean(n_bytes), 1),
        "bytes_per_s_max": round(max(n_bytes), 1),
        "messages_per_s_max": max(n_messages),
        "cpu_percent_max": round(max(cpu), 3),
    }


def _measure_detection(
    network: VirtualNetwork, hosts: dict[str, _Host], dead_member: str
) -> dict[str, float]:
    started_ms = network.now_ms
    network.remove(dead_member)
    others = [host for node, host in hosts.items() if node != dead_member]
    reached: dict[str, float] = {}
    while "dead_everywhere_ms" not in reached:
        elapsed_ms = network.now_ms - started_ms
        if elapsed_ms > _DETECTION_LIMIT_MS:
            break
        states = {host.membership.state_of(dead_member) for host in others}
        if states - {MemberState.ALIVE}:
            reached.setdefault("suspected_first_ms", elapsed_ms)
        if MemberState.DEAD in states:
            reached.setdefault("dead_first_ms", elapsed_ms)
        if states == {MemberState.DEAD}:
            reached["dead_everywhere_ms"] = elapsed_ms
        network.run_until(network.now_ms + 50.0)
    names = ("suspected_first_ms", "dead_first_ms", "dead_everywhere_ms")
    return {name: reached.get(name, float("inf")) for name in names}


@click.command()
@click.option("--members", multiple=True, type=click.IntRange(4, 1_000), default=SIZES)
@click.option("--seeds", type=click.IntRange(1, 50), default=1, show_default=True)
def main(members: tuple[int, ...], seeds: int) -> None:
    """Print one JSON line for each run."""
    for n_members in members:
        for seed in range(seeds):
            click.echo(msgspec.json.encode(measure(n_members, seed)).decode())


if __name__ == "__main__":
    main()
