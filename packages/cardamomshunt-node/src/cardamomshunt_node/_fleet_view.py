"""An entry VM's view of routes, servers and primaries, and its connection pools."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from cardamomshunt.fleet import (
    AssignmentPhase,
    ConnectionQuota,
    PrimaryLease,
    ReadCandidate,
    RouteTable,
    Servability,
    ServerRegistry,
    ServerReport,
    ServerState,
    Suspicion,
    order_of_reads,
)
from cardamomshunt.freshness import BoundHistory, DatedPosition
from cardamomshunt.position import LogPosition

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._server_pool import ServerPool
from cardamomshunt_node._session_protocol import SessionProtocol

_ENTRY_COUNT_WINDOW_MS = 10_000.0
_N_LOCAL_LOAD_MAX = 5
# Reads may wait for a bound if the newest one is older.
_BOUND_USUAL_AGE_MAX_MS = 500.0


class FleetView:
    """Track the servers and primaries of the fleet; choose the pools of statements."""

    def __init__(
        self,
        node: str,
        zone: str,
        protocol: SessionProtocol,
        record_step: Callable[[RecoveryStep], None] = lambda step: None,
    ) -> None:
        self._record_step = record_step
        self._node = node
        self._zone = zone
        self._protocol = protocol
        self.table = RouteTable()
        self._on_table: list[Callable[[], None]] = []
        self.lease = PrimaryLease()
        self.registry = ServerRegistry()
        self._entry_counts: deque[tuple[float, int]] = deque()
        self._pools: dict[str, ServerPool] = {}
        self._bounds: dict[str, BoundHistory] = {}
        self._ended_epochs: dict[str, int] = {}
        self._change = asyncio.Event()
        # The process exits soon after this time, so every statement is answered by it.
        self.answer_deadline_ms = float("inf")
        self.servability = Servability()
        self._is_partitioned: Callable[[float], bool] = lambda now_ms: False

    # Changes

    def set_table(self, table: RouteTable) -> None:
        """Apply a newer configuration."""
        self.table = table
        self._record_step(RecoveryStep.FIRST_CONFIGURATION)
        for on_table in self._on_table:
            on_table()
        self.notify()

    def on_table_changed(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the configuration."""
        self._on_table.append(callback)

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
        self._record_step(RecoveryStep.FIRST_SERVER)
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
            lambda: self._record_step(RecoveryStep.FIRST_CONNECTION),
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
        """Return how many connections this entry VM may open to one server."""
        quota = self._quota(group)
        assignment = self.lease.latest_assignment(group)
        if assignment is None or assignment.server == server:
            return quota.of_primary()
        zones = {report.zone for report in self.registry.of_group(group)}
        return quota.of_replica(len(zones))

    def _quota(self, group: str) -> ConnectionQuota:
        limits = self.table.groups.get(group)
        n_connections_max = limits.n_connections_max if limits else 0
        return ConnectionQuota(n_connections_max, self._n_entries)

    def _is_scarce(self, group: str) -> bool:
        return group in self.table.groups and self._quota(group).is_scarce

    def maintain_pools(self) -> None:
        """Probe servers that are down, close scarce idle connections, and warm up.

        Each entry VM keeps the connection to the replica that it reads from, as these
        are about equally many for each replica. Reopening them would take up slots.
        """
        for pool in self._pools.values():
            pool.probe()
            if self._is_scarce(pool.group) and pool is not self._usual_replica(pool):
                pool.close_idle()
        self._warm_up_one()

    def _usual_replica(self, pool: ServerPool) -> ServerPool | None:
        """Return the pool of the replica that reads of a group prefer, if any."""
        assignment = self.lease.latest_assignment(pool.group)
        replicas = [
            ReadCandidate(report.server, is_in_zone=report.zone == self._zone)
            for report in self.registry.of_group(pool.group)
            if report.state is ServerState.READY
            and (assignment is None or report.server != assignment.server)
        ]
        order = order_of_reads(self._node, replicas, is_primary_reserved=True)
        return self._pools.get(order[0]) if order else None

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

    def on_partition_asked(self, is_partitioned: Callable[[float], bool]) -> None:
        """Ask `is_partitioned` whether too few control nodes answer."""
        self._is_partitioned = is_partitioned

    def retry_after_ms(self, group: str, deadline_ms: float) -> float | None:
        """Return when to retry a statement that needs the primary, or None to wait.

        Only what cannot be served by its deadline is to be refused. An entry VM that
        has had no lease since its start waits for its first one.
        """
        now = boot_ms()
        if self.primary(group) is not None:
            return None
        is_partitioned = (
            self.lease.was_granted
            and not self.lease.is_valid(now)
            and self._is_partitioned(now)
        )
        return self.servability.retry_after_ms(
            group, deadline_ms, now, is_partitioned=is_partitioned
        )

    # Reads

    def add_bound(self, group: str, position: LogPosition, sent_ms: float) -> None:
        """Record the position of a primary in the answer to a message of `sent_ms`."""
        bounds = self._bounds.setdefault(group, BoundHistory())
        newest = bounds.newest()
        bounds.add(position, sent_ms)
        self._record_step(RecoveryStep.FIRST_BOUND)
        if newest is None or newest.since_ms < sent_ms - _BOUND_USUAL_AGE_MAX_MS:
            self.notify()

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
