"""Connections to backend servers: opening, reset, probing and replacement."""

import random
from dataclasses import dataclass, field
from typing import Any

from cardamomshunt._data_path.admission import ConcurrencyLimit
from cardamomshunt._data_path.breaker import CircuitBreaker
from cardamomshunt._data_path.connection_leases import ConnectionLeases
from cardamomshunt._data_path.effects import (
    CloseConnection,
    ConnectionId,
    ConnectionOpened,
    DataPathEffect,
    OpenConnection,
    ResetConnection,
)
from cardamomshunt._shared.messages import Announcement, InstanceAddress, InstanceRole
from cardamomshunt._shared.position import ZERO, LogPosition
from cardamomshunt._shared.state_chart import StateChart

# The slowest connection set-up takes 300 ms when all delays are ten times as long.
CONNECT_TIMEOUT_MS = 1_000.0
CONNECT_BACKOFF_MS = 20.0
CONNECT_BACKOFF_MAX_MS = 1_000.0
RESET_TIMEOUT_MS = 500.0
# Time within which an idle connection that became unresponsive is found.
PROBE_IDLE_AFTER_MS = 1_000.0
PROBE_INTERVAL_MS = 250.0
# A round trip takes 100 ms when all delays are ten times as long.
SUSPECT_RESET_TIMEOUT_MS = 200.0
CONNECTION_AGE_MAX_MS = 300_000.0  # limits the effect of faults that no probe detects
UNRESPONSIVE_AFTER_MS = 600.0  # six missed announcements
PROBE_UNRESPONSIVE_AFTER_MS = 300.0
N_RETIRED_INCARNATIONS = 8
N_OPENING_MAX = 4  # concurrent connection attempts to one instance

_CHART = StateChart.load("connection")


class Outbox:
    """Collect the effects of one input."""

    __slots__ = ("effects",)

    def __init__(self) -> None:
        self.effects: list[DataPathEffect] = []

    def pop_all(self) -> list[DataPathEffect]:
        """Return the collected effects and clear them."""
        effects = self.effects
        self.effects = []
        return effects


@dataclass(slots=True, eq=False)
class Connection:
    """State of one connection; `attempt` is the attempt that runs on it."""

    connection_id: ConnectionId
    instance: "InstanceState"
    bound_term: int | None
    opened_ms: float
    retires_ms: float
    state: str = _CHART.initial
    incarnation: int = -1
    role: InstanceRole = InstanceRole.REPLICA
    idle_since_ms: float = 0.0
    expires_ms: float = 0.0
    attempt: Any = None
    is_position_query: bool = False

    def transition(self, event: str) -> None:
        """Apply an event of the state chart."""
        self.state = _CHART.next_state(self.state, event)


@dataclass(slots=True, eq=False)
class InstanceState:
    """State of one backend server as this entry VM knows it."""

    name: str
    database: str
    limit: ConcurrencyLimit
    breaker: CircuitBreaker
    address: InstanceAddress | None = None
    zone: str = ""
    incarnation: int = -1
    retired_incarnations: list[int] = field(default_factory=list)
    role: InstanceRole = InstanceRole.REPLICA
    term: int = -1
    log_position: LogPosition = ZERO
    applied_position: LogPosition = ZERO
    n_slots: int = 1
    n_connections_max: int = 1
    is_leaving: bool = False
    is_draining: bool = False
    is_refusing: bool = False
    last_heard_ms: float = 0.0
    binding_term: int | None = None
    idle: list[Connection] = field(default_factory=list)
    n_connections: int = 0
    n_opening: int = 0
    n_running: int = 0
    n_in_use_peak: int = 0
    n_unserved: int = 0
    next_connect_ms: float = 0.0
    connect_backoff_ms: float = CONNECT_BACKOFF_MS
    next_probe_ms: float = 0.0
    delay_ms: float = 1.0

    @property
    def accepts_work(self) -> bool:
        """Return whether the instance may get new requests."""
        return not self.is_leaving and not self.is_draining

    def is_unresponsive(
        self, now_ms: float, timeout_ms: float = UNRESPONSIVE_AFTER_MS
    ) -> bool:
        """Return whether the instance has not been heard from for `timeout_ms`."""
        return now_ms - self.last_heard_ms > timeout_ms

    def is_healthy(self, now_ms: float) -> bool:
        """Return whether the instance is responsive and its breaker allows requests."""
        is_unresponsive = now_ms - self.last_heard_ms > UNRESPONSIVE_AFTER_MS
        return not is_unresponsive and self.breaker.allows(now_ms)

    def bind(self, term: int | None) -> None:
        """Set the term of new connections; a change of the term ends the backoff."""
        if term != self.binding_term:
            self.binding_term = term
            self.next_connect_ms = 0.0
            self.connect_backoff_ms = CONNECT_BACKOFF_MS

    def on_announcement(self, now_ms: float, announcement: Announcement) -> bool:
        """Apply an announcement; return False if it is outdated."""
        if announcement.incarnation in self.retired_incarnations:
            return False
        if (
            announcement.incarnation == self.incarnation
            and announcement.term < self.term
        ):
            return False
        self.last_heard_ms = now_ms
        self.is_refusing = False
        self._follow_incarnation(announcement)
        self.on_state(
            announcement.term, announcement.role, announcement.applied_position
        )
        # The position of a server that rebuilds its state decreases without a change
        # of incarnation or term.
        self.applied_position = announcement.applied_position
        self.log_position = announcement.log_position
        self.address = announcement.address
        self.zone = announcement.zone
        self.n_slots = announcement.n_slots
        self.n_connections_max = announcement.n_connections_max
        self.is_leaving = announcement.is_leaving
        return True

    def on_state(
        self, term: int, role: InstanceRole, applied_position: LogPosition
    ) -> None:
        """Apply the state that the server reports; an older term is ignored."""
        if term < self.term:
            return
        if term > self.term or role is not self.role:
            # A deposed primary may have truncated entries that it had applied.
            self.applied_position = applied_position
            self.log_position = applied_position
        self.applied_position = max(self.applied_position, applied_position)
        self.term = term
        self.role = role

    def _follow_incarnation(self, announcement: Announcement) -> None:
        """Reset the state of an earlier incarnation, whose log may have been longer."""
        if announcement.incarnation == self.incarnation:
            return
        if self.incarnation != -1:
            self.retired_incarnations.append(self.incarnation)
            del self.retired_incarnations[:-N_RETIRED_INCARNATIONS]
        self.incarnation = announcement.incarnation
        self.term = -1
        self.applied_position = ZERO
        self.log_position = ZERO
        self.next_connect_ms = 0.0
        self.limit = ConcurrencyLimit(announcement.n_slots)


class ConnectionPool:
    """Manage the connections to all instances within this entry VM's quotas."""

    def __init__(
        self, outbox: Outbox, leases: ConnectionLeases, generator: random.Random
    ) -> None:
        self._outbox = outbox
        self._leases = leases
        self._generator = generator
        self._next_id = 1
        self.connections: dict[ConnectionId, Connection] = {}
        self._expiring: dict[ConnectionId, Connection] = {}

    def _emit(self, effect: DataPathEffect) -> None:
        self._outbox.effects.append(effect)

    def is_current(self, connection: Connection) -> bool:
        """Return whether a connection matches the current state of its instance."""
        instance = connection.instance
        return (
            connection.incarnation == instance.incarnation
            and connection.bound_term == instance.binding_term
            and (connection.bound_term is not None or connection.role is instance.role)
        )

    def quota(self, now_ms: float, instance: InstanceState) -> int:
        """Return the maximum number of connections to an instance."""
        n_leased = self._leases.n_connections(now_ms, instance.name)
        return min(n_leased, instance.n_connections_max)

    def acquire(self, now_ms: float, instance: InstanceState) -> Connection | None:
        """Return an idle connection, or start to open one and return None."""
        while instance.idle:
            connection = instance.idle.pop()
            if self.is_current(connection):
                connection.transition("start")
                n_in_use = instance.n_connections - instance.n_opening
                n_in_use -= len(instance.idle)
                instance.n_in_use_peak = max(instance.n_in_use_peak, n_in_use)
                return connection
            self.close(connection, "the server has changed")
        instance.n_unserved += 1
        self.open(now_ms, instance)
        return None

    def open(self, now_ms: float, instance: InstanceState) -> bool:
        """Start to open a connection if quota and backoff permit.

        Return whether one is being opened.
        """
        if instance.address is None or now_ms < instance.next_connect_ms:
            return False
        if instance.n_opening >= N_OPENING_MAX:
            return False
        if instance.n_connections >= self.quota(now_ms, instance):
            return False
        connection = self._new_connection(now_ms, instance)
        self._emit(
            OpenConnection(
                connection_id=connection.connection_id,
                database=instance.database,
                instance=instance.name,
                address=instance.address,
                term=instance.binding_term,
            )
        )
        return True

    def _new_connection(self, now_ms: float, instance: InstanceState) -> Connection:
        # Jitter, so that connections opened together are not replaced together.
        age_ms = CONNECTION_AGE_MAX_MS * self._generator.uniform(0.8, 1.2)
        connection = Connection(
            self._next_id, instance, instance.binding_term, now_ms, now_ms + age_ms
        )
        self._next_id += 1
        self._expire_at(connection, now_ms + CONNECT_TIMEOUT_MS)
        self.connections[connection.connection_id] = connection
        instance.n_connections += 1
        instance.n_opening += 1
        return connection

    def _expire_at(self, connection: Connection, time_ms: float) -> None:
        connection.expires_ms = time_ms
        self._expiring[connection.connection_id] = connection

    def _stop_expiry(self, connection: Connection) -> None:
        self._expiring.pop(connection.connection_id, None)

    def on_opened(self, now_ms: float, opened: ConnectionOpened) -> Connection | None:
        """Add an open connection, or close it if its server has changed meanwhile."""
        connection = self.connections.get(opened.connection_id)
        if connection is None or connection.state != "opening":
            return None
        instance = connection.instance
        self._stop_expiry(connection)
        connection.incarnation = opened.incarnation
        connection.role = opened.role
        self._record_handshake(now_ms, instance, opened)
        is_bound = connection.bound_term is None or connection.bound_term == opened.term
        if not (is_bound and self.is_current(connection)):
            self._back_off(now_ms, instance)
            self.close(connection, "the server's term or incarnation differs")
            return None
        connection.transition("opened")
        instance.n_opening -= 1
        instance.connect_backoff_ms = CONNECT_BACKOFF_MS
        connection.idle_since_ms = now_ms
        instance.idle.append(connection)
        return connection

    def _record_handshake(
        self, now_ms: float, instance: InstanceState, opened: ConnectionOpened
    ) -> None:
        instance.last_heard_ms = now_ms
        instance.is_refusing = False
        if opened.incarnation == instance.incarnation:
            instance.on_state(opened.term, opened.role, opened.applied_position)

    def on_failed(
        self, now_ms: float, connection_id: ConnectionId, is_refused: bool
    ) -> Connection | None:
        """Remove a connection that could not be opened, and back off."""
        connection = self.connections.get(connection_id)
        if connection is None or connection.state != "opening":
            return None
        instance = connection.instance
        instance.is_refusing = is_refused
        instance.breaker.on_failure(now_ms)
        self._back_off(now_ms, instance)
        self._remove(connection)
        return connection

    def on_open_timeout(self, now_ms: float, connection: Connection) -> None:
        """Close a connection that took too long to open, and back off."""
        self._back_off(now_ms, connection.instance)
        self.close(connection, "opening the connection timed out")

    def _back_off(self, now_ms: float, instance: InstanceState) -> None:
        jitter = self._generator.uniform(0.75, 1.25)
        instance.next_connect_ms = now_ms + instance.connect_backoff_ms * jitter
        instance.connect_backoff_ms = min(
            instance.connect_backoff_ms * 2.0, CONNECT_BACKOFF_MAX_MS
        )

    def close(self, connection: Connection, reason: str) -> None:
        """Close a connection, even if an attempt runs on it."""
        if connection.state == "closed":
            return
        self._emit(
            CloseConnection(connection_id=connection.connection_id, reason=reason)
        )
        self._remove(connection)

    def _remove(self, connection: Connection) -> None:
        instance = connection.instance
        if connection.state == "opening":
            instance.n_opening -= 1
        if connection.state == "idle" and connection in instance.idle:
            instance.idle.remove(connection)
        connection.transition("close")
        instance.n_connections -= 1
        self._stop_expiry(connection)
        self.connections.pop(connection.connection_id, None)

    def on_closed(self, connection_id: ConnectionId) -> Connection | None:
        """Remove a connection that the server closed."""
        connection = self.connections.get(connection_id)
        if connection is not None:
            self._remove(connection)
        return connection

    def release(
        self, now_ms: float, connection: Connection, *, needs_reset: bool
    ) -> None:
        """Release a connection after an attempt or a transaction."""
        connection.attempt = None
        if needs_reset:
            self._reset(now_ms, connection)
            return
        connection.transition("finish")
        self._make_idle(now_ms, connection)

    def _reset(
        self,
        now_ms: float,
        connection: Connection,
        timeout_ms: float = RESET_TIMEOUT_MS,
    ) -> None:
        connection.transition("reset")
        self._expire_at(connection, now_ms + timeout_ms)
        self._emit(ResetConnection(connection_id=connection.connection_id))

    def on_reset(self, now_ms: float, connection_id: ConnectionId) -> Connection | None:
        """Make a connection available again after its reset."""
        connection = self.connections.get(connection_id)
        if connection is None or connection.state != "resetting":
            return None
        connection.transition("was_reset")
        self._stop_expiry(connection)
        connection.instance.last_heard_ms = now_ms
        self._make_idle(now_ms, connection)
        return connection

    def _make_idle(self, now_ms: float, connection: Connection) -> None:
        instance = connection.instance
        connection.idle_since_ms = now_ms
        if instance.n_connections > self.quota(now_ms, instance):
            self.close(connection, "the lease has expired")
        elif now_ms >= connection.retires_ms:
            self.close(connection, "the connection has reached its maximum age")
        elif not self.is_current(connection):
            self.close(connection, "the server has changed")
        else:
            instance.idle.append(connection)

    def close_outdated(self, instance: InstanceState) -> None:
        """Close idle connections that do not match the state of the instance."""
        for connection in list(instance.idle):
            if not self.is_current(connection):
                self.close(connection, "the server has changed")

    def maintain(self, now_ms: float, instance: InstanceState) -> None:
        """Shrink the pool to its quota, and replace, probe and open connections."""
        self.close_outdated(instance)
        while instance.idle and instance.n_connections > self.quota(now_ms, instance):
            self.close(instance.idle[0], "the lease has expired")
        for connection in list(instance.idle):
            if now_ms >= connection.retires_ms:
                self.close(connection, "the connection has reached its maximum age")
            elif now_ms - connection.idle_since_ms >= PROBE_IDLE_AFTER_MS:
                self._probe(now_ms, connection)
        if instance.is_unresponsive(now_ms, PROBE_UNRESPONSIVE_AFTER_MS):
            self.probe_instance(now_ms, instance)
        if instance.accepts_work and not instance.is_unresponsive(now_ms):
            self.warm_up(now_ms, instance)

    def _probe(self, now_ms: float, connection: Connection) -> None:
        connection.instance.idle.remove(connection)
        self._reset(now_ms, connection)

    def probe_all(self, now_ms: float, instance: InstanceState) -> None:
        """Probe all idle connections after another one has become unresponsive."""
        for connection in instance.idle:
            self._reset(now_ms, connection, SUSPECT_RESET_TIMEOUT_MS)
        instance.idle.clear()

    def probe_instance(self, now_ms: float, instance: InstanceState) -> None:
        """Probe an unresponsive instance at most once per interval."""
        if now_ms < instance.next_probe_ms:
            return
        instance.next_probe_ms = now_ms + PROBE_INTERVAL_MS
        if instance.idle:
            self._probe(now_ms, instance.idle[-1])
        elif not instance.n_connections:
            self.open(now_ms, instance)

    def warm_up(self, now_ms: float, instance: InstanceState) -> None:
        """Open connections up to the recent peak in use plus one spare."""
        n_target = min(instance.n_in_use_peak + 1, self.quota(now_ms, instance))
        while instance.n_connections < n_target and self.open(now_ms, instance):
            pass

    def expired(self, now_ms: float) -> list[Connection]:
        """Return the connections whose opening or reset has timed out."""
        return [
            connection
            for connection in self._expiring.values()
            if connection.expires_ms <= now_ms
        ]

    def next_expiry_ms(self) -> float | None:
        """Return the time of the next timeout of an opening or a reset."""
        return min((c.expires_ms for c in self._expiring.values()), default=None)
