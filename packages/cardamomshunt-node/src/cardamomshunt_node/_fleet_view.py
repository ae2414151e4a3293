"""An entry VM's view of routes, servers and primaries, and its connection pools."""

import asyncio
import random
from collections import deque

from cardamomshunt.fleet import (
    AssignmentPhase,
    PrimaryLease,
    ReadCandidate,
    RouteTable,
    ServerRegistry,
    ServerReport,
    ServerState,
    Suspicion,
    order_of_reads,
)
from cardamomshunt.freshness import BoundHistory, DatedPosition
from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_pool import ServerPool
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._session_protocol import SessionProtocol

# Not part of any quota: for control nodes and for entry VMs that reconnect.
_N_RESERVED_CONNECTIONS = 3
_N_CONNECTIONS_MIN = 2
_ENTRY_COUNT_WINDOW_MS = 10_000.0
_N_LOCAL_LOAD_MAX = 5


class FleetView:
    """Track the servers and primaries of the fleet; choose the pools of statements."""

    def __init__(self, node: str, zone: str, protocol: SessionProtocol) -> None:
        self._node = node
        self._zone = zone
        self._protocol = protocol
        self.table = RouteTable()
        self.lease = PrimaryLease()
        self.registry = ServerRegistry()
        self._entry_counts: deque[tuple[float, int]] = deque()
        self._pools: dict[str, ServerPool] = {}
        self._bounds: dict[str, BoundHistory] = {}
        self._ended_epochs: dict[str, int] = {}
        self._change = asyncio.Event()
        # The process exits soon after this time, so every statement is answered by it.
        self.answer_deadline_ms = float("inf")

    # Changes

    def set_table(self, table: RouteTable) -> None:
        """Apply a newer configuration."""
        self.table = table
        self.notify()

    def notify(self) -> None:
        """Wake the statements that wait for a change."""
        self._change.set()
        self._change = asyncio.Event()

    async def wait_for_change(self, wait_ms: float) -> None:
        """Wait until something changes, at most `wait_ms`."""
        try:
            async with asyncio.timeout(wait_ms / 1_000.0):
                await self._change.wait()
        except TimeoutError:
            return

    def merge_report(self, report: ServerReport) -> bool:
        """Merge a report of a server; return whether it changes what is known."""
        if not self.registry.merge(report):
            return False
        if report.state is ServerState.GONE:
            self._drop_pool(report.server, "the server is gone")
        self.notify()
        return True

    # Pools

    def pool(self, report: ServerReport) -> ServerPool:
        """Return the pool of a server, replacing it if the server's address changed."""
        pool = self._pools.get(report.server)
        if pool is not None and pool.address == report.address:
            return pool
        if pool is not None:
            self._drop_pool(report.server, "the server moved")
        group = report.group
        pool = ServerPool(
            self._protocol,
            group,
            report.server,
            report.address,
            lambda: self._connection_quota(group, report.server),
        )
        self._pools[report.server] = pool
        return pool

    def record_n_entries(self, n_entries: int) -> None:
        """Record how many entry VMs a leader knows of; 0 stands for unknown.

        The highest recent number counts, as two leaders may know different numbers.
        """
        now = boot_ms()
        if n_entries:
            self._entry_counts.append((now, n_entries))
        while self._entry_counts and (
            self._entry_counts[0][0] < now - _ENTRY_COUNT_WINDOW_MS
        ):
            self._entry_counts.popleft()

    @property
    def _n_entries(self) -> int:
        return max((count for _, count in self._entry_counts), default=0)

    def _connection_quota(self, group: str, server: str) -> int:
        """Return how many connections this entry VM may open to one server.

        If there are fewer than two for each entry VM, each gets one to a primary, as
        two for some would leave none for others. Replicas are mostly read within
        their zone, so their connections are divided among the entry VMs of one zone.
        """
        limits = self.table.groups.get(group)
        n_max = limits.n_connections_max if limits else _N_CONNECTIONS_MIN
        n_usable = n_max - _N_RESERVED_CONNECTIONS
        n_entries = self._n_entries
        if not n_entries:
            return _N_CONNECTIONS_MIN
        if n_usable >= n_entries * _N_CONNECTIONS_MIN:
            return n_usable // n_entries
        assignment = self.lease.latest_assignment(group)
        if assignment is None or assignment.server == server:
            return 1
        n_zones = len({report.zone for report in self.registry.of_group(group)})
        n_entries_per_zone = -(-n_entries // max(n_zones, 1))
        return max(n_usable // n_entries_per_zone, 1)

    def _is_scarce(self, group: str) -> bool:
        """Return whether a server accepts fewer than two connections per entry VM."""
        limits = self.table.groups.get(group)
        return limits is not None and (
            self._n_entries * _N_CONNECTIONS_MIN
            > limits.n_connections_max - _N_RESERVED_CONNECTIONS
        )

    def maintain_pools(self) -> None:
        """Probe servers that are down, close scarce idle connections, and warm up."""
        for pool in self._pools.values():
            pool.probe()
            if self._is_scarce(pool.group):
                pool.close_idle()
        self._warm_up_one()

    def _warm_up_one(self) -> None:
        """Open a connection to one server without any, unless they are scarce."""
        if not self._n_entries:
            return
        reports = [
            report
            for report in self.registry.all()
            if report.state is ServerState.READY
            and report.group in self.table.groups
            and not self._is_scarce(report.group)
        ]
        random.shuffle(reports)
        for report in reports:
            if self.pool(report).warm_up():
                return

    def full_servers(self) -> list[str]:
        """Return the servers that recently refused a connection as they were full."""
        now = boot_ms()
        return [
            pool.server for pool in self._pools.values() if now < pool.full_until_ms
        ]

    def overloaded_servers(self) -> list[str]:
        """Return the servers that recently refused work to this entry VM."""
        now = boot_ms()
        return [
            pool.server
            for pool in self._pools.values()
            if pool.refusals.should_share(now)
        ]

    def record_overloaded_servers(self, servers: list[str]) -> None:
        """Record the servers that refused work to other entry VMs of the zone."""
        now = boot_ms()
        for server in servers:
            pool = self._pools.get(server)
            if pool is not None:
                pool.refusals.record_shared(now)

    def record_full_servers(self, servers: list[str]) -> None:
        """Shorten the idle timeout for servers that refused other entry VMs."""
        for server in servers:
            pool = self._pools.get(server)
            if pool is not None:
                pool.shorten_idle_timeout()

    def _drop_pool(self, server: str, reason: str) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.close(reason)

    # Primaries

    def primary(self, group: str) -> tuple[ServerPool, int] | None:
        """Return the pool and epoch of the primary, or None if it may not be used."""
        assignment = self.lease.usable_assignment(group, boot_ms())
        if assignment is None or self._ended_epochs.get(group, -1) >= assignment.epoch:
            return None
        report = self.registry.get(assignment.server)
        if report is None or report.state is ServerState.GONE:
            return None
        return self.pool(report), assignment.epoch

    def may_acknowledge(self, group: str, epoch: int) -> bool:
        """Return whether no other primary can have been promoted since `epoch`."""
        return (
            self.lease.is_valid(boot_ms()) and self._ended_epochs.get(group, -1) < epoch
        )

    def end_epoch(self, group: str) -> None:
        """Stop using the former primary of a group, and fail its running statements."""
        assignment = self.lease.latest_assignment(group)
        if assignment is None:
            return
        self._ended_epochs[group] = assignment.epoch - 1
        pool = self._pools.get(assignment.server)
        if assignment.phase is AssignmentPhase.ACTIVE:
            return
        if pool is not None:
            self._drop_pool(assignment.server, "the primary is being replaced")

    def suspicions(self) -> list[Suspicion]:
        """Return the primaries that do not answer, and probe those that are late."""
        now = boot_ms()
        found = []
        for pool in self._pools.values():
            assignment = self.lease.latest_assignment(pool.group)
            if assignment is None or assignment.server != pool.server:
                continue
            pool.probe_if_late()
            if pool.is_down(now):
                found.append(Suspicion(pool.group, pool.server, assignment.epoch))
        return found

    # Reads

    def add_bound(self, group: str, position: LogPosition, sent_ms: float) -> None:
        """Record the position of a primary in the answer to a message of `sent_ms`."""
        self._bounds.setdefault(group, BoundHistory()).add(position, sent_ms)

    def newest_bounds(self) -> dict[str, DatedPosition]:
        """Return the newest bound of each group."""
        found = {group: bounds.newest() for group, bounds in self._bounds.items()}
        return {group: bound for group, bound in found.items() if bound is not None}

    def bound_since(self, group: str, since_ms: float) -> DatedPosition | None:
        """Return a position that covers all that was acknowledged before `since_ms`."""
        bounds = self._bounds.get(group)
        return bounds.first_bound_since(since_ms) if bounds else None

    def read_candidates(
        self, group: str, at_least: DatedPosition | None, tried: set[str]
    ) -> list[ServerPool]:
        """Return the servers that may serve a read, best first.

        With `at_least` None only the primary may serve it.
        """
        now = boot_ms()
        primary = self.primary(group)
        found: list[ReadCandidate] = []
        for report in self.registry.of_group(group):
            pool = self.pool(report)
            is_primary = primary is not None and primary[0] is pool
            if report.server in tried or pool.is_down(now):
                continue
            if not is_primary and (
                at_least is None
                or report.state is not ServerState.READY
                or now - at_least.since_ms < pool.expected_lag_ms(now)
            ):
                continue
            found.append(
                ReadCandidate(
                    server=report.server,
                    is_primary=is_primary,
                    is_in_zone=report.zone == self._zone,
                    is_unreliable=pool.failure_rate.is_unreliable(now),
                    is_busy=self._is_busy(pool, now),
                    n_in_flight=pool.load,
                )
            )
        is_reserved = primary is not None and primary[0].refusals.is_overloaded(now)
        order = order_of_reads(self._node, found, is_primary_reserved=is_reserved)
        return [self._pools[server] for server in order]

    @staticmethod
    def _is_busy(pool: ServerPool, now: float) -> bool:
        return (
            pool.load >= _N_LOCAL_LOAD_MAX
            or now < pool.full_until_ms
            or pool.refusals.should_avoid(now)
        )
