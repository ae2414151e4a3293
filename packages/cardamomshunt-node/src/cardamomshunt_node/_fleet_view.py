"""An entry VM's view of routes, servers and primaries, and its connection pools."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from cardamomshunt.fleet import (
    AckRefusal,
    AssignmentPhase,
    ConnectionQuota,
    EndedEpoch,
    PaceChange,
    PaceReport,
    PrimaryLease,
    ReadCandidate,
    RouteTable,
    Servability,
    ServerPaces,
    ServerRegistry,
    ServerReport,
    ServerState,
    Suspicion,
    order_of_reads,
)
from cardamomshunt.freshness import BoundHistory, DatedPosition
from cardamomshunt.position import LogPosition

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._paced_server_pool import PacedServerPool
from cardamomshunt_node._recovery_steps import RecoveryStep
from cardamomshunt_node._server_pool import ConnectionCounts, ServerPool
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
        is_load_managed: bool = False,
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
        self._dropped_counts = ConnectionCounts()
        self._paces = ServerPaces(node) if is_load_managed else None
        self._pace_changes: list[PaceChange] = []
        self._servers_down: set[str] = set()
        self._bounds: dict[str, BoundHistory] = {}
        self._change = asyncio.Event()
        # The process exits soon after this time, so every statement is answered by it.
        self.answer_deadline_ms = float("inf")
        # Returns the connections to a primary or replica that this entry VM may open as
        # an owner of teams, or 0 if it owns none.
        self.owned_quota: Callable[[bool], int] = lambda is_primary: 0
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
        pool = self._pools.get(report.server)
        if (
            report.state is ServerState.GONE
            and pool is not None
            and pool.group == report.group
        ):
            self._drop_pool(report.server, "the server is gone")
        if self._paces is not None:
            self._update_pace(self._paces, report)
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
        pool = self._make_pool(report)
        self._pools[report.server] = pool
        return pool

    def _make_pool(self, report: ServerReport) -> ServerPool:
        group, server = report.group, report.server

        def quota() -> int:
            return self._connection_quota(group, server)

        def has_teams() -> bool:
            return self.table.has_teams

        def on_opened() -> None:
            self._record_step(RecoveryStep.FIRST_CONNECTION)

        pace = self._paces.get(server) if self._paces is not None else None
        if self._paces is None or pace is None:
            return ServerPool(
                self._protocol,
                group,
                server,
                report.address,
                quota,
                has_teams,
                on_opened,
            )
        return PacedServerPool(
            self._protocol,
            group,
            server,
            report.address,
            quota,
            has_teams,
            on_opened,
            pace,
            self._paces,
            self._team_priority,
        )

    def _team_priority(self, team: str) -> int:
        known = self.table.teams.teams.get(team)
        return known.priority if known is not None else 0

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
        is_primary = assignment is None or assignment.server == server
        if n_owned := self.owned_quota(is_primary):
            return n_owned
        if is_primary:
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
        Where there are teams, it keeps one of these, and closes idle ones of all servers
        in any case, as those of a team that was removed would stay open otherwise. A
        connection opened in advance would have no team.
        """
        has_teams = self.table.has_teams
        for pool in list(self._pools.values()):
            pool.probe()
            if not has_teams and not self._is_scarce(pool.group):
                continue
            is_usual = pool is self._usual_replica(pool)
            if has_teams or not is_usual:
                pool.close_idle(is_newest_kept=is_usual)
        if not has_teams:
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

    def connection_counts(self) -> ConnectionCounts:
        """Return the counts of all pools since the start, also of those dropped."""
        counts = replace(self._dropped_counts)
        for pool in self._pools.values():
            counts.add(pool.counts)
        return counts

    def _drop_pool(self, server: str, reason: str) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            self._dropped_counts.add(pool.counts)
            pool.close(reason)

    # Paces

    def _is_of_another_writer(self, report: ServerReport) -> bool:
        """Return whether its group is not configured, but another one of the server is."""
        groups = self.table.groups
        return report.group not in groups and any(
            item.group in groups for item in self.registry.of_server(report.server)
        )

    def _update_pace(self, paces: ServerPaces, report: ServerReport) -> None:
        if self._is_of_another_writer(report):
            return
        if report.state is ServerState.GONE:
            paces.remove(report.server)
            return
        change = paces.on_report(report, boot_ms())
        if change is not None:
            self._pace_changes.append(change)

    def pace_report(self) -> PaceReport | None:
        """Return what the other entry VMs of the zone need to know about servers."""
        return self._paces.report(boot_ms()) if self._paces is not None else None

    def record_paces(self, report: PaceReport) -> None:
        """Record what the other entry VMs of the zone know about servers."""
        if self._paces is not None:
            self._paces.receive(report, boot_ms())

    def adapt_paces(self) -> list[PaceChange]:
        """Adapt the limits of all servers; return the changes since the last call."""
        if self._paces is None:
            return []
        now = boot_ms()
        self._find_recovered(self._paces, now)
        primaries = set()
        chosen = self.registry.one_per_server(self.table.groups)
        by_server = {report.server: report for report in chosen}
        for pace in self._paces.all():
            report = by_server.get(pace.server)
            if report is None:
                continue
            assignment = self.lease.latest_assignment(report.group)
            reports = self.registry.of_group(report.group)
            n_zones = len({item.zone for item in reports} | {report.zone})
            if assignment is not None and assignment.server == pace.server:
                primaries.add(pace.server)
                pace.n_sharers, pace.n_zones = self._n_entries, n_zones
            else:
                # Replicas are mostly read within their zone.
                pace.n_sharers, pace.n_zones = -(-self._n_entries // n_zones), 1
        changes = self._pace_changes + self._paces.adapt(now, primaries)
        self._pace_changes = []
        for change in changes:
            pool = self._pools.get(change.server)
            if pool is not None:
                pool.on_pace_changed()
        return changes

    def _find_recovered(self, paces: ServerPaces, now: float) -> None:
        """Begin a slow start of the servers that answer again."""
        down = {name for name, pool in self._pools.items() if pool.is_down(now)}
        for server in (self._servers_down & self._pools.keys()) - down:
            change = paces.on_recovered(server, now)
            if change is not None:
                self._pace_changes.append(change)
        self._servers_down = down

    def pace_levels(self) -> dict[str, float]:
        """Return the share of its full limit that each server has."""
        paces = self._paces.all() if self._paces is not None else []
        return {pace.server: pace.level for pace in paces}

    # Primaries

    def primary(self, group: str) -> tuple[ServerPool, int] | None:
        """Return the pool and epoch of the primary, or None if it may not be used."""
        assignment = self.lease.usable_assignment(group, boot_ms())
        if assignment is None:
            return None
        report = self.registry.get(assignment.server, group)
        if report is None or report.state is ServerState.GONE:
            return None
        return self.pool(report), assignment.epoch

    def ack_refusal(self, group: str, epoch: int) -> AckRefusal | None:
        """Return why an answer of `epoch` must not be passed on as done, or None."""
        return self.lease.ack_refusal(group, epoch, boot_ms())

    def cut_primary(self, ended: EndedEpoch) -> int:
        """Fail the statements at a former primary; return how many connections it cut.

        A server that is the active primary again keeps its connections.
        """
        assignment = self.lease.latest_assignment(ended.group)
        is_active_again = (
            assignment is not None
            and assignment.phase is AssignmentPhase.ACTIVE
            and assignment.server == ended.server
        )
        pool = self._pools.get(ended.server)
        if is_active_again or pool is None:
            return 0
        n_cut = pool.n_in_use
        self._drop_pool(ended.server, "the primary is being replaced")
        return n_cut

    def groups_in_use(self) -> list[str]:
        """Return the groups to whose primaries there are connections."""
        found = []
        for pool in self._pools.values():
            assignment = self.lease.latest_assignment(pool.group)
            is_primary = assignment is not None and assignment.server == pool.server
            if is_primary and pool.has_connections:
                found.append(pool.group)
        return sorted(found)

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
        self,
        group: str,
        at_least: DatedPosition | None,
        tried: set[str],
        priority: int = 0,
    ) -> list[ServerPool]:
        """Return the servers that may serve a read of a route's priority, best first.

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
                    is_busy=self._is_busy(pool, now, priority),
                    n_in_flight=pool.load,
                )
            )
        is_reserved = primary is not None and primary[0].refusals.is_overloaded(now)
        order = order_of_reads(self._node, found, is_primary_reserved=is_reserved)
        return [self._pools[server] for server in order]

    @staticmethod
    def _is_busy(pool: ServerPool, now: float, priority: int) -> bool:
        return (
            pool.load >= _N_LOCAL_LOAD_MAX
            or now < pool.full_until_ms
            or pool.refusals.should_avoid(now)
            or not pool.may_send(now, priority)
        )
