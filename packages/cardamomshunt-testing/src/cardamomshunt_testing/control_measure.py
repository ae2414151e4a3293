"""Measurements of the control state machines on fakes, in virtual time.

`python -m cardamomshunt_testing.control_measure` prints false promotions under delay
bursts, failover times at both sizes, and the cost of a leader by number of entry VMs.
"""

import resource
import statistics
import time
from dataclasses import dataclass
from random import Random

import click
from cardamomshunt.consensus import Member, Peer, RestoredState
from cardamomshunt.control import (
    ControlEffect,
    ControlNode,
    PersistEffect,
    SendMessage,
)
from cardamomshunt.messages import (
    HealthReport,
    Heartbeat,
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
    Message,
    NodeRole,
    decode_envelope,
    encode_envelope,
)
from cardamomshunt.position import LogPosition

from cardamomshunt_testing.control_schedules import Schedule, ScheduleOptions

# Range of one-way delays between zones in ms, with the jitter that a process adds.
_SIZES = {"Kiti Bora": (3.0, 6.0), "Zarqa": (5.0, 9.0)}
# Heartbeats are 500 ms apart; a healthy entry VM sends its full report every 5 s.
_N_HEARTBEATS_PER_REPORT = 10
_FAULTS = ("kill", "freeze", "zone")


def false_promotions(seed: int, minutes: float = 10.0) -> tuple[int, int]:
    """Return promotions and elections under bursts of 10x delay and 5% loss."""
    options = ScheduleOptions(
        has_faults=False, loss=0.05, patch_interval_ms=1e9, delay_ms=(5.0, 9.0)
    )
    schedule = Schedule(seed, options).start()

    def toggle() -> None:
        schedule.delay_factor = 1.0 if schedule.delay_factor > 1.0 else 10.0

    schedule.every(2_000.0, toggle)
    schedule.run(minutes * 60_000.0)
    n_elections = sum(event.number == 203 for _, event in schedule.events)
    return schedule.group.n_promotions, n_elections


def failover_time(seed: int, size: str, fault: str) -> tuple[float, float]:
    """Return the time until fencing starts and the longest write gap, both in ms."""
    options = ScheduleOptions(
        has_faults=False,
        loss=0.0,
        patch_interval_ms=1e9,
        delay_ms=_SIZES[size],
        sync_ms=(1.0, 5.0),
    )
    schedule = Schedule(seed, options).start()
    schedule.run(3_000.0 + seed * 7.0)
    schedule.group.longest_gap_ms = 0.0
    started_ms = schedule.now_ms
    primary = schedule.group.instances["orders-1"]
    if fault == "kill":
        primary.is_up = False
    elif fault == "freeze":
        primary.is_frozen = True
    else:
        schedule.partition_zone(primary.zone)
    schedule.run(started_ms + 8_000.0)
    fenced = [at for at, item in schedule.events if item.number == 212]
    detection_ms = min(fenced, default=float("inf")) - started_ms
    return detection_ms, schedule.group.longest_gap_ms


@dataclass(slots=True)
class Cost:
    """Cost of a leader per virtual second, and the peak memory of the process."""

    core_share: float
    received_bytes: float
    sent_bytes: float
    memory_bytes: int


def _observations(n_databases: int) -> list[InstanceObservation]:
    return [
        InstanceObservation(
            database=f"database-{database}",
            instance=f"database-{database}-{number}",
            incarnation=1,
            zone=f"zone-{number}",
            address=InstanceAddress("127.0.0.1", 20_000),
            role=InstanceRole.PRIMARY if number == 1 else InstanceRole.REPLICA,
            term=1,
            log_position=LogPosition(1, 123_456),
            applied_position=LogPosition(1, 123_456),
            n_slots=5,
            n_connections_max=35,
            silence_ms=50.0,
        )
        for database in range(n_databases)
        for number in (1, 2, 3)
    ]


class _SingleNodeGroup:
    """Run a single-node group on reports of many entry VMs, in process."""

    def __init__(self) -> None:
        member = Member(node="c", zone="z", peer_address="c", operator_address="c")
        restored = RestoredState(incarnation=1)
        self.node = ControlNode("c", "z", [member], restored, Random(1), 0.0)
        self.sent_bytes = 0
        self.received_bytes = 0

    def run(self, now_ms: float, effects: list[ControlEffect]) -> None:
        sequence = 0
        for effect in effects:
            if isinstance(effect, SendMessage):
                payload = encode_envelope(
                    effect.message, sender="c", reply_address="tcp://127.0.0.1:7000"
                )
                self.sent_bytes += len(payload)
            elif isinstance(effect, PersistEffect):
                sequence = effect.sequence
        if sequence:
            self.run(now_ms, self.node.on_storage_done(now_ms, sequence))

    def receive(self, now_ms: float, sender: str, payload: bytes) -> None:
        self.received_bytes += len(payload)
        message: Message = decode_envelope(payload)[1]
        self.run(now_ms, self.node.on_message(now_ms, Peer(sender, sender), message))


def _payloads(
    number: int, sequence: int, version: int, n_databases: int
) -> list[bytes]:
    name = f"proxy-{number}"
    report_sequence = 1 + sequence // _N_HEARTBEATS_PER_REPORT
    heartbeat = Heartbeat(
        node=name,
        role=NodeRole.PROXY,
        zone="zone-1",
        incarnation=1,
        operator_address="127.0.0.1:7101",
        configuration_version=0,
        topology_version=version,
        health_sequence=report_sequence,
    )
    report = HealthReport(
        node=name,
        zone=f"zone-{number % 3}",
        sequence=report_sequence,
        observations=_observations(n_databases),
    )
    address = "tcp://127.0.0.1:7100"
    has_report = sequence % _N_HEARTBEATS_PER_REPORT == 0
    messages = (heartbeat, report) if has_report else (heartbeat,)
    return [
        encode_envelope(item, sender=name, reply_address=address) for item in messages
    ]


def leader_cost(n_proxies: int, n_databases: int = 3, n_rounds: int = 35) -> Cost:
    """Return the cost at a heartbeat per entry VM every 500 ms, a report every 5 s."""
    leader = _SingleNodeGroup()
    now_ms = 0.0
    while not leader.node.is_ready:
        now_ms += 10.0
        leader.run(now_ms, leader.node.tick(now_ms))
    elapsed_s = 0.0
    for sequence in range(n_rounds):
        version = leader.node.state.topology_version
        if sequence == 5:
            # The first rounds, in which databases are adopted, are not measured.
            leader.sent_bytes = leader.received_bytes = 0
            elapsed_s = 0.0
        for number in range(n_proxies):
            payloads = _payloads(number, sequence, version, n_databases)
            started = time.process_time()
            for payload in payloads:
                leader.receive(now_ms, f"proxy-{number}", payload)
            elapsed_s += time.process_time() - started
        started = time.process_time()
        for _ in range(50):
            now_ms += 10.0
            leader.run(now_ms, leader.node.tick(now_ms))
        elapsed_s += time.process_time() - started
    seconds = (n_rounds - 5) * 0.5
    return Cost(
        core_share=elapsed_s / seconds,
        received_bytes=leader.received_bytes / seconds,
        sent_bytes=leader.sent_bytes / seconds,
        memory_bytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024,
    )


@click.command()
@click.option("--runs", default=20, show_default=True, help="Runs of each fault.")
@click.option("--minutes", default=10.0, show_default=True, help="Virtual time.")
def main(runs: int, minutes: float) -> None:
    """Print all measurements."""
    for n_proxies in (9, 50, 150, 450):
        cost = leader_cost(n_proxies)
        click.echo(
            f"leader, {n_proxies} entry VMs, 3 databases: "
            f"{cost.core_share * 100:.1f}% of a core, "
            f"{cost.received_bytes / n_proxies / 1_000:.1f} kB/s in per entry VM, "
            f"{cost.sent_bytes / n_proxies / 1_000:.2f} kB/s out per entry VM, "
            f"peak memory of the process {cost.memory_bytes / 1e6:.0f} MB"
        )
    for size in _SIZES:
        for fault in _FAULTS:
            figures = [failover_time(seed, size, fault) for seed in range(runs)]
            detection = [item[0] for item in figures]
            gaps = [item[1] for item in figures]
            click.echo(
                f"{size}, {fault}, {runs} runs: fencing starts after "
                f"{statistics.median(detection):.0f} ms (max {max(detection):.0f}), "
                f"write gap {statistics.median(gaps):.0f} ms (max {max(gaps):.0f})"
            )
    promotions, elections = false_promotions(1, minutes)
    click.echo(
        f"{minutes:g} min of 10x delay bursts and 5% loss: {promotions} promotions, "
        f"{elections} elections"
    )


if __name__ == "__main__":
    main()
