"""A database group in memory, for schedules of the control state machines."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.control import CommandInstance, InstanceCommandKind, InstanceReply
from cardamomshunt.messages import (
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
)
from cardamomshunt.position import ZERO, LogPosition


@dataclass(slots=True)
class FakeInstance:
    """Hold one server; term and fence survive a restart, the log may not."""

    name: str
    zone: str
    number: int
    role: InstanceRole = InstanceRole.REPLICA
    term: int = 0
    log: list[LogPosition] = field(default_factory=list)
    incarnation: int = 1
    is_up: bool = True
    is_frozen: bool = False
    fenced_term: int = 0
    replicated_positions: dict[str, LogPosition] = field(default_factory=dict)

    @property
    def position(self) -> LogPosition:
        """Return the position of the last entry."""
        return self.log[-1] if self.log else ZERO

    @property
    def is_responsive(self) -> bool:
        """Tell whether the server answers."""
        return self.is_up and not self.is_frozen


class FakeGroup:
    """Replicate from the primary to the others, and record what was acknowledged."""

    def __init__(self, database: str, zones: list[str]) -> None:
        self.database = database
        self._zones = zones
        self.instances = {
            f"{database}-{number}": FakeInstance(f"{database}-{number}", zone, number)
            for number, zone in enumerate(zones, start=1)
        }
        first = next(iter(self.instances.values()))
        first.role, first.term = InstanceRole.PRIMARY, 1
        for instance in self.instances.values():
            instance.term = 1
        self.acknowledged: set[LogPosition] = set()
        self.acknowledging_primary_of_term: dict[int, str] = {}
        self.last_ack_ms: float | None = None
        self.longest_gap_ms = 0.0
        self.violations: list[str] = []
        self.n_promotions = 0
        self.has_zone_addresses = False
        self._lost_logs: set[str] = set()

    @property
    def n_majority(self) -> int:
        """Return how many instances make a majority."""
        return len(self.instances) // 2 + 1

    def write(self) -> None:
        """Append an entry on every running primary."""
        for instance in self.instances.values():
            if instance.is_responsive and instance.role is InstanceRole.PRIMARY:
                self._append(instance)

    def _append(self, instance: FakeInstance) -> None:
        last = instance.position.position
        instance.log.append(LogPosition(instance.term, last + 1))

    def replicate(
        self, now_ms: float, is_delivered: Callable[[str, str], bool]
    ) -> None:
        """Copy the logs of running primaries, and acknowledge what a majority holds."""
        for primary in self.instances.values():
            if not primary.is_responsive or primary.role is not InstanceRole.PRIMARY:
                continue
            for replica in self.instances.values():
                if replica is primary or not replica.is_responsive:
                    continue
                if is_delivered(primary.name, replica.name):
                    self._copy(primary, replica)
            self._acknowledge(now_ms, primary)

    def _copy(self, primary: FakeInstance, replica: FakeInstance) -> None:
        if replica.term > primary.term:
            return
        replica.term, replica.role = primary.term, InstanceRole.REPLICA
        replica.log = list(primary.log)
        primary.replicated_positions[replica.name] = primary.position

    def _acknowledge(self, now_ms: float, primary: FakeInstance) -> None:
        positions = [primary.position, *primary.replicated_positions.values()]
        if len(positions) < self.n_majority:
            return
        committed = sorted(positions, reverse=True)[self.n_majority - 1]
        news = [
            item
            for item in primary.log
            if item <= committed and item not in self.acknowledged
        ]
        if committed.term != primary.term or not news:
            return
        first = self.acknowledging_primary_of_term.setdefault(
            primary.term, primary.name
        )
        if first != primary.name:
            self.violations.append(
                f"{first} and {primary.name} acknowledged in term {primary.term}"
            )
        self.acknowledged.update(news)
        if self.last_ack_ms is not None:
            gap_ms = now_ms - self.last_ack_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_ack_ms = now_ms

    def command(self, command: CommandInstance) -> InstanceReply:
        """Run a command on a server."""
        instance = self.instances[command.instance]
        reply = InstanceReply(
            database=self.database,
            instance=command.instance,
            kind=command.kind,
            command_term=command.term,
            is_answered=instance.is_responsive,
        )
        if not instance.is_responsive:
            return reply
        if command.kind is InstanceCommandKind.FENCE:
            reply.is_accepted = self._fence(instance, command.term)
        else:
            reply.is_accepted = self._promote(instance, command.term)
        reply.term, reply.log_position = instance.term, instance.position
        return reply

    def _fence(self, instance: FakeInstance, term: int) -> bool:
        if term < instance.term:
            return False
        if term > instance.term:
            instance.role = InstanceRole.REPLICA
        instance.term = instance.fenced_term = term
        return True

    def _promote(self, instance: FakeInstance, term: int) -> bool:
        is_repeated = instance.role is InstanceRole.PRIMARY and instance.term == term
        if is_repeated:
            return True
        if instance.term != term or instance.fenced_term != term:
            return False
        self._check_promotion(instance, term)
        self.n_promotions += 1
        instance.role, instance.replicated_positions = InstanceRole.PRIMARY, {}
        self._append(instance)
        return True

    def _check_promotion(self, instance: FakeInstance, term: int) -> None:
        n_fenced = sum(item.term >= term for item in self.instances.values())
        if n_fenced < self.n_majority:
            self.violations.append(
                f"{instance.name} promoted in term {term} with {n_fenced} fenced"
            )
        missing = self.acknowledged - set(instance.log)
        if missing:
            self.violations.append(
                f"{instance.name} promoted in term {term} without "
                f"acknowledged {min(missing)}"
            )

    def may_lose_log(self, name: str) -> bool:
        """Tell whether a majority keeps its logs if this server loses its own.

        A server that lost its log counts again once it holds all that was
        acknowledged.
        """
        self._lost_logs = {
            item
            for item in self._lost_logs
            if not self.acknowledged <= set(self.instances[item].log)
        }
        n_lost = len(self._lost_logs | {name})
        return len(self.instances) - n_lost >= self.n_majority

    def stop(self, name: str) -> None:
        """Kill a server."""
        self.instances[name].is_up = False

    def start(self, name: str, keeps_log: bool) -> None:
        """Restart a server as a replica; the fence of this life is forgotten.

        Raise ValueError if a majority would have lost its logs.
        """
        if not keeps_log:
            if not self.may_lose_log(name):
                raise ValueError(f"{name} may not lose its log now")
            self._lost_logs.add(name)
        instance = self.instances[name]
        instance.is_up, instance.is_frozen = True, False
        instance.role, instance.replicated_positions = InstanceRole.REPLICA, {}
        instance.incarnation += 1
        instance.fenced_term = 0
        if not keeps_log:
            instance.log = []

    def observe(
        self, instance: FakeInstance, silence_ms: float, zone: str = ""
    ) -> InstanceObservation:
        """Describe a server as an entry VM of a zone reports it."""
        port = 20_000 + instance.number
        if self.has_zone_addresses:
            port += 100 * self._zones.index(zone)
        return InstanceObservation(
            database=self.database,
            instance=instance.name,
            incarnation=instance.incarnation,
            zone=instance.zone,
            address=InstanceAddress("127.0.0.1", port),
            role=instance.role,
            term=instance.term,
            log_position=instance.position,
            applied_position=instance.position,
            n_slots=5,
            n_connections_max=35,
            silence_ms=silence_ms,
        )
