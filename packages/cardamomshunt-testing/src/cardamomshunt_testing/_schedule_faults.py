"""Random faults of a schedule."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from cardamomshunt_testing._schedule_host import ZONES, ScheduledHost

if TYPE_CHECKING:
    from cardamomshunt_testing.control_schedules import Schedule


class FaultInjector:
    """Inject random faults into the processes, disks and network of a schedule."""

    def __init__(self, schedule: "Schedule") -> None:
        self._schedule = schedule

    def schedule_next(self) -> None:
        """Inject a random fault after a random time, and so on."""
        delay_ms = self._schedule.random.uniform(
            *self._schedule.options.fault_interval_ms
        )

        def inject() -> None:
            if not self._schedule.options.has_faults:
                return
            self._schedule.random.choice(self._available_faults())()
            self.schedule_next()

        self._schedule.after(delay_ms, inject)

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
        if self._schedule.options.has_lost_disks:
            faults.append(self._fault_lost_disk)
        if self._schedule.options.has_database:
            faults += [self._fault_instance] * 4
        return faults

    def _choose_host(self) -> ScheduledHost:
        leader = self._schedule.leader()
        if leader is not None and self._schedule.random.random() < 0.5:
            return leader
        return self._schedule.random.choice(list(self._schedule.hosts.values()))

    def _fault_crash(self) -> None:
        self._schedule.crash_temporarily(self._choose_host())

    def _fault_crash_at_write(self) -> None:
        """Crash a node during its next write."""
        self._choose_host().crashes_at_write = True

    def _fault_crash_all(self) -> None:
        """Crash all nodes at the same moment, as a power loss does."""
        for host in self._schedule.hosts.values():
            self._schedule.crash_temporarily(host)

    def _fault_freeze(self) -> None:
        host = self._choose_host()
        self._schedule.freeze(host)
        self._schedule.after(
            self._schedule.random.uniform(100.0, 2_000.0),
            lambda: self._schedule.thaw(host),
        )

    def _fault_lost_disk(self) -> None:
        """Crash a node and erase its disk.

        This happens only while all nodes vote, so that a majority retains its logs.
        """
        leader = self._schedule.leader()
        if leader is None or leader.node is None:
            return
        consensus = leader.node.consensus
        voters = {(item.node, item.incarnation) for item in consensus.voters}
        disks = {
            (host.name, host.disk.incarnation) for host in self._schedule.hosts.values()
        }
        if voters == disks and consensus.can_change_members():
            host = self._choose_host()
            self._schedule.crash(host, loses_disk=True)
            self._schedule.boot(host)

    def _fault_partition(self) -> None:
        if self._schedule.random.random() < 0.5:
            self._schedule.partition_zone(self._schedule.random.choice(ZONES))
        else:
            self._schedule.isolate_node(
                self._schedule.random.choice(list(self._schedule.zones))
            )
        self._schedule.after(
            self._schedule.random.uniform(200.0, 2_500.0), self._schedule.blocked.clear
        )

    def _fault_block_link(self) -> None:
        """Block the link of two control nodes that others may still reach."""
        pair = frozenset(self._schedule.random.sample(list(self._schedule.hosts), 2))
        self._schedule.blocked.add(pair)
        self._schedule.after(
            self._schedule.random.uniform(200.0, 2_500.0),
            lambda: self._schedule.blocked.discard(pair),
        )

    def _end_network_faults(self) -> None:
        self._schedule.blocked.clear()
        self._schedule.delay_factor = 1.0

    def _fault_delay(self) -> None:
        self._schedule.delay_factor = 10.0

    def _fault_instance(self) -> None:
        """Kill, freeze or restart one instance; a majority retains its logs."""
        instances = list(self._schedule.group.instances.values())
        down = [item for item in instances if not item.is_responsive]
        if down:
            item = self._schedule.random.choice(down)
            if item.is_up:
                item.is_frozen = False
            else:
                keeps_log = self._schedule.random.random() < 0.7
                may_lose_log = self._schedule.group.may_lose_log(item.name)
                self._schedule.group.start(item.name, keeps_log or not may_lose_log)
            return
        item = self._schedule.random.choice(instances)
        if self._schedule.random.random() < 0.5:
            item.is_frozen = True
        else:
            self._schedule.group.stop(item.name)
