"""One instance of the stand-in database group."""

import asyncio
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cardamomshunt.messages import InstanceRole
from cardamomshunt_node.mysql_server import MysqlServerEdge, ServerLimits

from cardamomshunt_testing._standin_announcer import Announcer
from cardamomshunt_testing._standin_control import FaultControl
from cardamomshunt_testing._standin_faults import Faults
from cardamomshunt_testing._standin_links import ReplicationLinks
from cardamomshunt_testing._standin_log import InstanceLog
from cardamomshunt_testing._standin_member import Member
from cardamomshunt_testing._standin_session import StandinSession
from cardamomshunt_testing._standin_settings import StandinSettings

_CONTROL_COMMAND = re.compile(r"\s*call\s+cardamomshunt_(?:fence|promote)\b", re.I)
_TERM_QUERY_TIMEOUT_MS = 600.0
_TERM_QUERY_INTERVAL_MS = 50.0


@dataclass(slots=True)
class Counters:
    """Counters that checks and measurements read."""

    n_reads: int = 0
    n_writes: int = 0
    n_waiting: int = 0
    n_waiting_peak: int = 0


class StandinInstance:
    """Run an instance in the current event loop."""

    def __init__(self, settings: StandinSettings):
        self.settings = settings
        self.faults = Faults(lag_ms=settings.replication_lag_ms)
        folder = Path(settings.data_folder) if settings.data_folder else None
        self.log = InstanceLog(folder)
        self.member = Member(settings, self.log, self.faults)
        self.counters = Counters()
        self.links = ReplicationLinks(self.member)
        self.announcer = Announcer(self.member, self.port_for_zone)
        self.member.on_change = self.announcer.on_change
        self.edge = MysqlServerEdge(
            lambda: StandinSession(self),
            limits=ServerLimits(n_connections_max=settings.n_connections_max),
            connect_delay_ms=settings.connect_delay_ms,
        )
        self.control = FaultControl(self)
        self._slots = asyncio.Semaphore(settings.n_slots)
        self._zones_by_port: dict[int, str] = {}
        self._applier: asyncio.Task[None] | None = None
        self._freeze_event: asyncio.Event | None = None
        self._partitions_ended = asyncio.Event()
        self._partitions_ended.set()

    async def start(self) -> None:
        """Start with the stored log, start the log of the group, or rejoin empty."""
        await self.links.start()
        await self._start_listeners()
        await self.control.start()
        self._applier = asyncio.create_task(self.member.run_applier())
        has_log = self.log.is_persistent and self.member.term > 0
        if not has_log:
            # It may have lost its log, unless it is new to all peers.
            self.member.start_recovery()
        self.links.start_senders()
        self.announcer.start()
        if not has_log and await self._is_first_start():
            self.member.end_recovery()
            if self.settings.is_first_primary and self.member.term == 0:
                self.member.start_group()

    async def _is_first_start(self) -> bool:
        """Return whether all peers report that this instance is new to them."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.first_start_timeout_ms / 1_000
        own_or_unknown = (0, self.member.incarnation)
        while True:
            replies = await self.links.query_terms(_TERM_QUERY_TIMEOUT_MS)
            if any(reply.known_incarnation not in own_or_unknown for reply in replies):
                return False
            if len(replies) == len(self.settings.peers):
                return True
            if loop.time() > deadline:
                return False
            await asyncio.sleep(_TERM_QUERY_INTERVAL_MS / 1_000)

    async def _start_listeners(self) -> None:
        settings = self.settings
        await self.edge.start(settings.host, settings.port)
        self._zones_by_port[self.edge.ports()[-1]] = settings.zone
        for zone, port in settings.zone_ports.items():
            await self.edge.start(settings.host, port)
            self._zones_by_port[self.edge.ports()[-1]] = zone

    async def stop(self) -> None:
        """Stop at once like a killed process, but release all resources."""
        await self.announcer.stop()
        await self.links.stop()
        if self._applier is not None:
            self._applier.cancel()
            await asyncio.gather(self._applier, return_exceptions=True)
        await self.edge.stop()
        await self.control.stop()
        self.log.close()
        self.member.engine.close()

    @property
    def port(self) -> int:
        """Return the MySQL port for callers of the same zone."""
        return self.edge.port

    @property
    def is_primary(self) -> bool:
        """Return whether the instance accepts writes."""
        return self.member.role is InstanceRole.PRIMARY

    def port_for_zone(self, zone: str) -> int:
        """Return the MySQL port for callers of a zone."""
        for port, name in self._zones_by_port.items():
            if name == zone:
                return port
        return self.edge.port

    def service_time_ms(self) -> float:
        """Return how long a statement occupies its slot."""
        return self.settings.service_time_ms * self.faults.slow_factor

    async def occupy_slot(self, duration_ms: float) -> None:
        """Occupy one of the slots for a time; others wait in order of arrival."""
        self.counters.n_waiting += 1
        peak = max(self.counters.n_waiting_peak, self.counters.n_waiting)
        self.counters.n_waiting_peak = peak
        try:
            await self._slots.acquire()
        finally:
            self.counters.n_waiting -= 1
        try:
            if duration_ms:
                await asyncio.sleep(duration_ms / 1_000)
        finally:
            self._slots.release()

    async def wait_zone_delay(self, port: int, n_delays: int) -> None:
        """Wait a number of one-way delays if the client is in another zone."""
        zone = self._zones_by_port.get(port, self.settings.zone)
        if zone != self.settings.zone and self.settings.zone_delay_ms:
            await asyncio.sleep(n_delays * self.settings.zone_delay_ms / 1_000)

    def freeze(self) -> None:
        """Stop answering, with all sockets left open."""
        if self._freeze_event is None:
            self.faults.running.clear()
            ports = self.edge.ports()
            self._freeze_event = self.edge.pause_open_connections(ports)
            self.edge.pause_new_connections(ports, self._freeze_event)

    def thaw(self) -> None:
        """Resume after a freeze."""
        if self._freeze_event is not None:
            self.edge.pause_new_connections(self.edge.ports(), None)
            self._freeze_event.set()
            self._freeze_event = None
            self.faults.running.set()

    def blackhole_connections(self) -> None:
        """Stop answering on the open MySQL connections for good."""
        self.edge.pause_open_connections(self.edge.ports())

    def partition(self, instances: set[str], zones: set[str]) -> None:
        """Block traffic to and from instances and zones; earlier partitions stay.

        New connections from a partitioned zone get their handshake, then no answer.
        Commands of control pass on any port, unless all other zones are partitioned:
        then they pass on none.
        """
        self.faults.partitioned_instances |= instances
        self.faults.partitioned_zones |= zones
        ports = [port for port, zone in self._zones_by_port.items() if zone in zones]
        self.edge.pause_open_connections(ports)
        if zones:
            self._partitions_ended.clear()

    async def wait_while_partitioned(self, port: int, sql: str) -> None:
        """Block a statement or its answer while the zone of its port is partitioned."""
        n_other_zones = len(self._zones_by_port) - 1
        is_isolated = 0 < n_other_zones <= len(self.faults.partitioned_zones)
        if _CONTROL_COMMAND.match(sql):
            # Control is on the side of the majority, whichever port it connects to.
            is_blocked = is_isolated
        else:
            is_blocked = self._zones_by_port.get(port) in self.faults.partitioned_zones
        if is_blocked:
            await self._partitions_ended.wait()

    def end_partitions(self) -> None:
        """End all partitions; connections opened before them stay blocked."""
        self.faults.partitioned_instances.clear()
        self.faults.partitioned_zones.clear()
        self._partitions_ended.set()

    def set_lag(self, lag_ms: float) -> None:
        """Delay the application of committed entries."""
        self.faults.lag_ms = lag_ms
        self.member.wake_applier()

    def set_leaving(self, is_leaving: bool) -> None:
        """Announce whether the instance is leaving."""
        self.faults.is_leaving = is_leaving
        self.announcer.on_change(is_urgent=True)

    def count_keys(self) -> dict[str, int]:
        """Return the number of rows of each `order_id`, over all tables with one."""
        engine = self.member.engine
        counts: dict[str, int] = {}
        for table in engine.tables_with_column("order_id"):
            sql = f"SELECT order_id, COUNT(*) FROM {table} GROUP BY order_id"
            for key, count in engine.read(sql).rows:  # type: ignore[union-attr]
                counts[key] = counts.get(key, 0) + count
        return counts

    def status(self) -> dict[str, Any]:
        """Return counters and positions."""
        member = self.member
        return {
            "instance": self.settings.instance,
            "incarnation": member.incarnation,
            "role": member.role.value,
            "term": member.term,
            "log_position": str(member.log_position),
            "applied_position": str(member.applied_position),
            "committed_position": str(member.committed_position),
            "n_committed_truncated": member.n_committed_truncated,
            "is_recovering": member.is_recovering,
            "n_connections": self.edge.n_connections,
            "n_connections_peak": self.edge.n_connections_peak,
            "n_reads": self.counters.n_reads,
            "n_writes": self.counters.n_writes,
            "n_waiting_peak": self.counters.n_waiting_peak,
            "rows": member.engine.count_rows(),
        }
