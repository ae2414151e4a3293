"""Model of entry VMs that share the servers of one group, in simulated time."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cardamomshunt.fleet import ReadCandidate, order_of_reads

_QUEUE_MAX = 24
_IDLE_TIMEOUT_MS = 150.0


@dataclass(slots=True)
class Load:
    """Deployment and traffic of a model; rates are of the whole group."""

    n_zones: int = 3
    n_entries_per_zone: int = 30
    n_slots: int = 3
    open_ms: float = 12.0
    work_ms: float = 18.0
    reads_per_s: float = 150.0
    primary_statements_per_s: float = 75.0
    duration_ms: float = 10_000.0


@dataclass(slots=True)
class Outcome:
    """What the statements of a model met."""

    n_statements: int = 0
    n_refused: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        """Return the share of statements that met a full queue."""
        return self.n_refused / self.n_statements

    def latency_ms(self, share: float) -> float:
        """Return the latency that a share of the served statements stays under."""
        return sorted(self.latencies_ms)[int(share * (len(self.latencies_ms) - 1))]


class _Server:
    def __init__(self, name: str, zone: int, is_primary: bool) -> None:
        self.name = name
        self.zone = zone
        self.is_primary = is_primary
        self.n_running = 0
        self.queue: deque[tuple[float, Callable[[], None]]] = deque()


class LoadModel:
    """Run reads and primary statements of many entry VMs against one group.

    Server 0 leads. Each entry VM keeps its connection to a server for a short time, as
    there are not enough for all, and opening one occupies a slot.
    """

    def __init__(self, load: Load, *, is_primary_reserved: bool, seed: int = 1) -> None:
        self._load = load
        self._is_primary_reserved = is_primary_reserved
        self._random = random.Random(seed)
        self._servers = [_Server(str(n), n, n == 0) for n in range(load.n_zones)]
        self._last_used_ms: dict[tuple[int, str], float] = {}
        self._in_flight: dict[tuple[int, str], int] = {}
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the whole duration; return what the statements met."""
        load = self._load
        self._add_arrivals(load.reads_per_s, self._start_read)
        self._add_arrivals(load.primary_statements_per_s, self._start_on_primary)
        while self._events:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _add_arrivals(self, per_s: float, start: Callable[[], None]) -> None:
        at_ms = 0.0
        while at_ms < self._load.duration_ms:
            at_ms += self._random.expovariate(per_s / 1_000.0)
            self._at(at_ms, start)

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at_ms, self._n_events, action))

    def _start_read(self) -> None:
        entry = self._random_entry()
        order = order_of_reads(
            f"entry-{entry}",
            [
                ReadCandidate(
                    server=server.name,
                    is_primary=server.is_primary,
                    is_in_zone=server.zone == entry % self._load.n_zones,
                    n_in_flight=self._in_flight.get((entry, server.name), 0),
                )
                for server in self._servers
            ],
            is_primary_reserved=self._is_primary_reserved,
        )
        self._send(entry, self._servers[int(order[0])])

    def _start_on_primary(self) -> None:
        self._send(self._random_entry(), self._servers[0])

    def _random_entry(self) -> int:
        return self._random.randrange(
            self._load.n_zones * self._load.n_entries_per_zone
        )

    def _send(self, entry: int, server: _Server) -> None:
        key = (entry, server.name)
        self.outcome.n_statements += 1
        if len(server.queue) >= _QUEUE_MAX:
            self.outcome.n_refused += 1
            return
        is_open = self._now_ms < self._last_used_ms.get(key, -1e9) + _IDLE_TIMEOUT_MS
        work_ms = self._load.work_ms + (0.0 if is_open else self._load.open_ms)
        sent_ms = self._now_ms
        self._in_flight[key] = self._in_flight.get(key, 0) + 1

        def finish() -> None:
            self._in_flight[key] -= 1
            self._last_used_ms[key] = self._now_ms
            self.outcome.latencies_ms.append(self._now_ms - sent_ms)

        server.queue.append((work_ms, finish))
        self._run_next(server)

    def _run_next(self, server: _Server) -> None:
        while server.queue and server.n_running < self._load.n_slots:
            work_ms, finish = server.queue.popleft()
            server.n_running += 1
            self._at(self._now_ms + work_ms, lambda f=finish: self._end(server, f))

    def _end(self, server: _Server, finish: Callable[[], None]) -> None:
        server.n_running -= 1
        finish()
        self._run_next(server)
