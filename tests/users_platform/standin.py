"""Stand-in for the users' platform on loopback: servers, provider and callers."""

import asyncio
import json
import os
import random
import weakref
from dataclasses import dataclass, field

from cardamomshunt.fleet import ServerReport, ServerState
from cardamomshunt.messages import InstanceRole
from cardamomshunt_node._http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    call_http,
)

PROMOTION_DELAY_S = 0.25
# A former primary that reaches the new one rejoins as a replica after this time.
FORMER_PRIMARY_REJOIN_S = 1.0
REPORT_INTERVAL_S = 0.2
LINE_END = b"\r\n"
# Above the size limit of messages, so that the daemons are what applies it.
_LINE_SIZE_MAX_BYTES = 4 * 1024 * 1024


def to_bytes(text: str) -> bytes:
    """Encode a line; bytes that are no UTF-8 stand in it as escapes."""
    return text.encode(errors="surrogateescape")


def to_text(data: bytes) -> str:
    """Decode a line, so that `to_bytes` returns the same bytes whatever they are."""
    return data.decode(errors="surrogateescape")


async def read_line(reader: asyncio.StreamReader) -> str | None:
    """Return the next line without its end, or None at the end of the stream."""
    try:
        line = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    return to_text(line.removesuffix(LINE_END))


@dataclass
class Commit:
    """One write in the log of a server."""

    term: int
    number: int
    item: str
    data: str
    request: str


@dataclass
class Run:
    """One statement that a server ran."""

    server: str
    request: str
    text: str
    connection: int
    position: tuple[int, int]
    values: dict[str, str]
    is_primary: bool
    team: str
    # Mode and shape of the prepared statement, empty for other statements.
    prepared: str = ""
    # Position that had to be reached, empty if there was none.
    at_least: str = ""
    rows: list[str] = field(default_factory=list)


class LineServer:
    """Stand in for one backend server of a group."""

    def __init__(self, group: "Group", name: str, host: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.address = f"{host}:{group.port}"
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[Commit] = []
        self.state = "ready"
        self.is_unreachable = False
        self.lost_answers: set[str] = set()
        # Requests whose next statement is refused as the server is busy.
        self.refused_once: set[str] = set()
        self.n_line_bytes_max = 0
        # Fraction of answers to callers' statements that are lost.
        self.lost_share = 0.0
        self.work_s = 0.002
        # Requests whose statements run only once the event is set.
        self.held: dict[str, asyncio.Event] = {}
        self.open_s = 0.0
        self.lag_s = 0.0
        self.sequence = 0
        self.born = 1_000 + len(group.servers)
        self.n_connections = 0
        self.n_connections_max = 100
        # Teams whose connections are refused.
        self.denied_teams: set[str] = set()
        self._numbers = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def end(self) -> tuple[int, int]:
        """Return the position of the last commit."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=_LINE_SIZE_MAX_BYTES
        )

    async def stop(self) -> None:
        """Abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort all connections, and go on listening."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._numbers += 1
        session = _ServerSession(self, self._numbers)
        self.n_connections += 1
        try:
            while (line := await read_line(reader)) is not None:
                n_bytes = len(to_bytes(line))
                self.n_line_bytes_max = max(self.n_line_bytes_max, n_bytes)
                if self.is_unreachable:
                    continue
                answer = await session.handle(line)
                if answer and not self.is_unreachable:
                    writer.write(to_bytes(answer))
                if answer.startswith(("ERROR OVERLOAD", "ERROR DENIED")):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.n_connections -= 1
            self._writers.discard(writer)
            writer.close()


class _ServerSession:
    def __init__(self, server: LineServer, number: int) -> None:
        self._server = server
        self._number = number
        self._team = ""
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._pending: list[tuple[str, str, str]] | None = None
        self._is_read_only = False

    def _ready(self) -> str:
        state = "I" if self._pending is None else "T"
        term, number = self._server.end
        return f"READY {state} {term}.{number}\r\n"

    def _error(self, code: str) -> str:
        return f"ERROR {code} {self._server.name}\r\n" + self._ready()

    async def handle(self, line: str) -> str:
        word, _, rest = line.partition(" ")
        if word == "START":
            if self._server.open_s:
                await asyncio.sleep(self._server.open_s)
            group, self._team, expected = rest.split(" ")
            if (group, expected) != (self._server.group.name, self._server.name):
                return "ERROR MISROUTED -\r\n"
            if self._server.n_connections_max < self._server.n_connections:
                return "ERROR OVERLOAD -\r\n"
            if self._team in self._server.denied_teams:
                return "ERROR DENIED -\r\n"
            return self._ready()
        request, _, text = rest.partition(" ")
        answer = await self._run(request, text)
        if request in self._server.lost_answers:
            self._server.lost_answers.discard(request)
            return ""
        if request != "-" and random.random() < self._server.lost_share:
            return ""
        return answer

    async def _run(self, request: str, text: str) -> str:
        server = self._server
        position = ""
        if text.startswith("WAITFOR "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if server.end < (int(term), int(number)):
                return self._error("LAGGING")
        word, _, rest = text.partition(" ")
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
            case "RESET":
                self._values.clear()
                self._prepared.clear()
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                self._prepared[name] = f"{mode} {shape}"
            case "STATUS" | "DEMOTE":
                return self._status(word, rest)
            case "BEGIN":
                if not rest and not server.is_primary:
                    return self._error("READONLY")
                self._pending, self._is_read_only = [], bool(rest)
            case "ROLLBACK":
                self._pending = None
            case _:
                return await self._run_work(request, text, position)
        return "COMPLETE -\r\n" + self._ready()

    def _status(self, word: str, rest: str) -> str:
        server = self._server
        if word == "DEMOTE" and server.is_primary and int(rest) > server.term:
            server.group.rejoin(server)
        role = "primary" if server.is_primary else "replica"
        term, number = server.end
        row = f"ROW {role} {server.term} {term}.{number} {term} 0 0 1\r\n"
        return row + "COMPLETE -\r\n" + self._ready()

    async def _run_work(self, request: str, text: str, at_least: str) -> str:
        server = self._server
        if request in server.refused_once:
            server.refused_once.discard(request)
            return self._error("BUSY")
        word, _, rest = text.partition(" ")
        prepared = ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._error("UNKNOWN")
            prepared = self._prepared[name]
        is_write = (prepared or word).startswith("WRITE")
        await asyncio.sleep(server.work_s)
        if request in server.held:
            await server.held[request].wait()
        if is_write and not server.is_primary:
            return self._error("READONLY")
        run = Run(
            server.name,
            request,
            text,
            self._number,
            server.end,
            dict(self._values),
            server.is_primary,
            self._team,
            prepared,
            at_least,
        )
        server.group.runs.append(run)
        if word == "COMMIT":
            for item, data, first in self._pending or []:
                server.group.commit(server, item, data, first)
            self._pending = None
        elif is_write:
            item, _, data = rest.partition(" ")
            if self._pending is None:
                server.group.commit(server, item, data, request)
            else:
                self._pending.append((item, data, request))
        else:
            found = [c.data for c in server.log if c.item == rest.split(" ")[0]]
            run.rows = [f"ROW {data}" for data in found[-1:]]
        rows = "".join(f"{row}\r\n" for row in run.rows)
        return f"{rows}COMPLETE proof-{server.name}-{request}\r\n" + self._ready()


class Group:
    """Stand in for a group of servers and its replication."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.servers: list[LineServer] = []
        self.runs: list[Run] = []
        self.all_commits: list[Commit] = []
        # Requests of commits that a promotion rolled back.
        self.rolled_back: set[str] = set()
        # Requests committed at a primary after another one had been promoted.
        self.late_commits: set[str] = set()
        # Requests committed after the promotion of another server was asked for, when
        # no entry VM may use the former primary any more.
        self.released_commits: set[str] = set()
        self._is_promotion_asked = False

    @property
    def primary(self) -> LineServer:
        """Return the primary of the highest term."""
        return max((s for s in self.servers if s.is_primary), key=lambda s: s.term)

    def commit(self, server: LineServer, item: str, data: str, request: str) -> None:
        """Append to the primary's log, and to those of the replicas after their lag."""
        number = server.end[1] + 1
        commit = Commit(server.term, number, item, data, request)
        server.log.append(commit)
        self.all_commits.append(commit)
        if server is not self.primary:
            self.late_commits.add(request)
            self.rolled_back.add(request)
        elif self._is_promotion_asked:
            self.released_commits.add(request)
        for other in self.servers:
            if other is not server and not other.is_primary:
                asyncio.get_running_loop().call_later(
                    other.lag_s, self._receive, other, server, commit
                )

    def _receive(self, other: LineServer, server: LineServer, commit: Commit) -> None:
        """Copy the log up to a commit, with all that the replica missed before."""
        if other.term != server.term or other.is_primary or other.is_unreachable:
            return
        if server.is_unreachable or commit not in server.log[commit.number - 1 :]:
            return
        if len(other.log) < commit.number:
            other.log = server.log[: commit.number]

    def on_promotion_asked(self, name: str) -> None:
        """Record a promotion that has not taken effect yet."""
        self._is_promotion_asked = name != self.primary.name

    def promote(self, name: str) -> None:
        """Make a server the primary of the next term; the others copy its log."""
        primary = next(item for item in self.servers if item.name == name)
        if primary.is_primary or primary.is_unreachable:
            return
        primary.term = max(item.term for item in self.servers) + 1
        primary.is_primary = True
        self._is_promotion_asked = False
        retained = {commit.request for commit in primary.log}
        self.rolled_back |= {c.request for c in self.all_commits} - retained
        for other in self.servers:
            if other is not primary and not other.is_primary:
                other.term = primary.term
                other.log = list(primary.log)
            elif other is not primary:
                asyncio.get_running_loop().call_later(
                    FORMER_PRIMARY_REJOIN_S, self.rejoin, other
                )

    def rejoin(self, server: LineServer) -> None:
        """Make a former primary that is reachable a replica of the new one."""
        primary = self.primary
        if server is primary or server.is_unreachable:
            return
        server.is_primary = False
        server.term = primary.term
        server.log = list(primary.log)

    def requests_committed(self) -> list[str]:
        """Return the requests in the log of the current primary, in order."""
        return [commit.request for commit in self.primary.log]


@dataclass
class Provider:
    """Stand in for the provider's promotion call."""

    address: str
    groups: list[Group]
    calls: list[tuple[str, int, str]] = field(default_factory=list)
    answer_delay_s: float = 0.0

    def __post_init__(self) -> None:
        self.server = HttpServer(self.address, self._answer)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body)
        token = int(request.headers["x-fencing-token"])
        self.calls.append((body["id"], token, request.headers["x-duty-holder"]))
        group = next(item for item in self.groups if item.name == body["service"])
        group.on_promotion_asked(body["id"])
        asyncio.get_running_loop().call_later(
            PROMOTION_DELAY_S, group.promote, body["id"]
        )
        await asyncio.sleep(self.answer_delay_s)
        return HttpResponse(200)


def make_server_report(number: int) -> ServerReport:
    """Return the report of a replica in a zone of its own."""
    return ServerReport(
        server=f"i-{number}",
        group="db",
        address=f"127.0.0.1:{number}",
        zone=f"z{number}",
        state=ServerState.READY,
        role=InstanceRole.REPLICA,
        started_ms=1,
        sequence=1,
    )


KINDS = {
    "orders": "primary",
    "stock": "bounded_staleness",
    "dispatch": "read_your_writes",
}
MAX_STALENESS_S = 2.0


def document(
    version: int = 1,
    kinds: dict[str, str] = KINDS,
    timeout_ms: int = 1_000,
    n_connections_max: int = 34,
    **changes: object,
) -> bytes:
    """Return a configuration with one route for each database."""
    routes = [
        {
            "name": f"r-{database}",
            "host": database,
            "path_prefix": "/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 200,
            "priority": 1,
            "service": "db",
            "max_attempts": 2,
            "max_staleness_ms": MAX_STALENESS_S * 1_000.0,
        }
        for database, kind in kinds.items()
    ]
    service = {"name": "db", "connection_limit": n_connections_max, "sync_replicas": 0}
    fields = {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": {"transaction_idle_ms": 3_000},
    }
    return json.dumps(fields | changes).encode()


async def call_control(
    address: str, request: HttpRequest, timeout_ms: float
) -> HttpResponse:
    """Call a control node, following two redirects; raise OSError or TimeoutError."""
    for _ in range(3):
        response = await call_http(address, request, timeout_ms)
        assert response is not None
        if response.status != 307:
            break
        location = response.headers["location"].removeprefix("http://")
        address = location.partition("/")[0]
    return response


async def report(server: LineServer, control: str, address: str = "") -> int:
    """Send one report of a server, reached at an address; return the status."""
    server.sequence += 1
    body = {
        "service": server.group.name,
        "address": address or server.address,
        "zone": server.zone,
        "version": "v1",
        "slots": 5,
        "state": server.state,
        "warmup_remaining_ms": 0,
        "database_role": "primary" if server.is_primary else "replica",
        "sequence": server.sequence,
        "born": server.born,
    }
    response = await call_http(
        control,
        HttpRequest(
            "POST", f"/Instances.Heartbeat/{server.name}", json.dumps(body).encode()
        ),
        1_000.0,
    )
    return response.status if response else 0


class Caller:
    """Client of the line protocol."""

    _all_open: "weakref.WeakSet[Caller]" = weakref.WeakSet()

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._ids = 0
        self._loop = asyncio.get_running_loop()
        self._all_open.add(self)

    @classmethod
    async def open(cls, address: str, database: str, key: str = "u1") -> "Caller":
        """Open a session; raise ConnectionError if it is refused."""
        host, port = address.split(":")
        caller = cls(
            *await asyncio.open_connection(host, int(port), limit=_LINE_SIZE_MAX_BYTES)
        )
        caller._writer.write(to_bytes(f"START {database} {key}\r\n"))
        line = await read_line(caller._reader)
        if line is None or not line.startswith("READY"):
            caller.close()
            raise ConnectionError(line or "closed")
        return caller

    @classmethod
    def close_all(cls) -> None:
        """Abort the connections that the running event loop has opened."""
        loop = asyncio.get_running_loop()
        for caller in list(cls._all_open):
            if caller._loop is loop:
                caller.close()

    async def execute(self, text: str, request: str = "") -> list[str]:
        """Run a statement; return the lines of its answer but READY."""
        self._ids += 1
        request = request or f"{os.urandom(4).hex()}"
        return await self.execute_raw(f"QUERY {request} {text}")

    async def execute_raw(self, message: str) -> list[str]:
        """Send a message; return the lines of its answer but READY."""
        self._writer.write(to_bytes(message) + LINE_END)
        lines = []
        async with asyncio.timeout(8.0):
            while True:
                line = await read_line(self._reader)
                if line is None:
                    raise ConnectionError("closed")
                if line.startswith("READY"):
                    self.state = line.split()[1]
                    return lines
                lines.append(line)

    async def is_closed(self) -> bool:
        """Wait until the other side closes."""
        async with asyncio.timeout(8.0):
            return await read_line(self._reader) is None

    def close(self) -> None:
        """Abort the connection without ending the session."""
        self._all_open.discard(self)
        self._writer.transport.abort()
