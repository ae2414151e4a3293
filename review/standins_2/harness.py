"""Deployment on loopback for the review's scripts: real daemons, stand-in peers.

The daemons are started with the commands of the deploy file. Servers, the provider and
the clients run in the script's own process and speak what the users' pages describe.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
PEER_PORT = 7440
METRICS_PORT = 9464
CONTROL_PORT = 8782
ENTRY_PORT = 8784
READY_PORT = 8785
PROVIDER_PORT = 8783
SERVER_PORT = 8080


class CannotRunError(Exception):
    """Raised when the deployment does not reach the state that the case starts from."""


def _shorten(text: str) -> str:
    return text if len(text) <= 400 else f"{text[:200]}... ({len(text)} characters)"


class Record:
    """Write what was sent, answered and run to `record.txt`, with times in ms."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_ms(self) -> float:
        return (time.monotonic() - self._start_s) * 1e3

    def write(self, *parts: object) -> None:
        line = " ".join(_shorten(str(part)) for part in parts)
        self._file.write(f"{self.now_ms():9.1f} {line}\n")
        self._file.flush()


# Servers


@dataclass
class Commit:
    """One commit in a server's log; `position` is its term and number."""

    position: tuple[int, int]
    item: str
    data: str
    request: str


class Server:
    """Stand in for one database server of a service."""

    def __init__(self, service: "Service", name: str, host: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.host = host
        self.address = f"{host}:{SERVER_PORT}"
        self.reported_address = self.address
        self.is_primary = False
        self.term = 1
        self.log: list[Commit] = []
        self.state = "ready"
        self.is_running = False
        self.sequence = 0
        self.born = int(time.time() * 1e3)
        self.work_ms = service.work_ms
        self.slots = asyncio.Semaphore(service.slots)
        self.n_connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.beat_task: asyncio.Task | None = None
        self._listener: asyncio.Server | None = None

    @property
    def end(self) -> tuple[int, int]:
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self.host, SERVER_PORT, limit=4 * 1024 * 1024
        )
        self.is_running = True

    async def stop(self) -> None:
        """End as a crash does: every connection is reset."""
        self.is_running = False
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        self.n_connections += 1
        session = ServerSession(self)
        try:
            while True:
                try:
                    line = await reader.readuntil(b"\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                text = line[:-2].decode(errors="surrogateescape")
                answer = await session.handle(text)
                if answer is None:
                    return
                writer.write(answer.encode(errors="surrogateescape"))
                if answer.startswith(("ERROR MISROUTED", "ERROR OVERLOAD")):
                    return
        finally:
            session.pending = None
            self.n_connections -= 1
            self.writers.discard(writer)
            writer.close()


class ServerSession:
    """One connection to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.is_open = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        # Writes of the open transaction, or None outside of one.
        self.pending: list[tuple[str, str, str]] | None = None
        self.is_read_only = False
        self.is_failed = False
        self.began_term = 0

    def ready(self) -> str:
        state = "I" if self.pending is None else ("E" if self.is_failed else "T")
        term, number = self.server.end
        return f"READY {state} {term}.{number}\r\n"

    def error(self, code: str) -> str:
        return f"ERROR {code} {self.server.name}\r\n{self.ready()}"

    def done(self, rows: str = "", proof: str = "-") -> str:
        return f"{rows}COMPLETE {proof}\r\n{self.ready()}"

    async def handle(self, line: str) -> str | None:
        server = self.server
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            async with server.slots:
                await asyncio.sleep(server.service.handshake_ms / 1e3)
            if fields[0] != server.service.name or fields[2:] not in ([], [server.name]):
                return f"ERROR MISROUTED {server.name}\r\n"
            if server.n_connections > server.service.connection_limit:
                return f"ERROR OVERLOAD {server.name}\r\n"
            self.is_open = True
            return self.ready()
        if word == "TERMINATE" or not self.is_open:
            return None
        request, _, text = rest.partition(" ")
        return await self.query(request, text)

    async def query(self, request: str, text: str) -> str:
        server = self.server
        if text.startswith("WAITFOR "):
            _, position, text = text.split(" ", 2)
            term, number = (int(part) for part in position.split("."))
            if server.end < (term, number):
                return self.error("LAGGING")
        word, _, rest = text.partition(" ")
        if self.is_failed and word not in ("COMMIT", "ROLLBACK"):
            return self.error("MALFORMED")
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                return self.done()
            case "RESET":
                self.values.clear()
                self.prepared.clear()
                return self.done()
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                self.prepared[name] = (mode, shape)
                return self.done()
            case "DEALLOCATE":
                self.prepared.pop(rest, None)
                return self.done()
            case "BEGIN":
                if not rest and not server.is_primary:
                    return self.error("READONLY")
                self.pending, self.is_read_only = [], bool(rest)
                self.is_failed, self.began_term = False, server.term
                return self.done()
            case "ROLLBACK":
                self.pending, self.is_failed = None, False
                return self.done()
            case "STATUS" | "DEMOTE" | "PAUSE" | "RESUME":
                return self.command(word, rest)
        return await self.work(request, word, text, rest)

    def command(self, word: str, rest: str) -> str:
        server = self.server
        if word == "DEMOTE" and server.is_primary and int(rest) > server.term:
            server.service.rejoin(server)
        role = "primary" if server.is_primary else "replica"
        term, number = server.end
        row = f"ROW {role} {server.term} {term}.{number} {server.term} 0 0 "
        return self.done(f"{row}{server.n_connections}\r\n")

    async def work(self, request: str, word: str, text: str, rest: str) -> str:
        """Run a read, a write or a commit in one of the server's slots."""
        server = self.server
        mode = word
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("UNKNOWN")
            mode = self.prepared[name][0]
        async with server.slots:
            await asyncio.sleep(server.work_ms / 1e3)
        has_lost_lead = not server.is_primary or server.term != self.began_term
        if self.pending is not None and not self.is_read_only and has_lost_lead:
            if word != "COMMIT" or self.pending:
                self.is_failed = True
                return self.error("READONLY")
        if mode == "WRITE" and not server.is_primary:
            return self.error("READONLY")
        service = server.service
        service.record.write("server", server.name, "runs", request, text)
        rows = ""
        if word == "COMMIT":
            writes, self.pending = self.pending or [], None
            if self.is_failed:
                self.is_failed = False
                return self.error("ABORTED")
            for item, data, first in writes:
                service.commit(server, item, data, first)
        elif mode == "WRITE":
            item, _, data = rest.partition(" ")
            if self.pending is None:
                service.commit(server, item, data, request)
            else:
                self.pending.append((item, data, request))
        else:
            found = [c.data for c in server.log if c.item == rest.split(" ")[0]]
            rows = f"ROW {found[-1]}\r\n" if found else ""
        return self.done(rows, f"proof-{server.name}-{request}")


class Service:
    """One primary and its replicas, with asynchronous replication."""

    def __init__(self, name: str, record: Record, **limits: float) -> None:
        self.name = name
        self.record = record
        self.slots = int(limits.get("slots", 5))
        self.connection_limit = int(limits.get("connection_limit", 34))
        self.handshake_ms = limits.get("handshake_ms", 12.0)
        self.work_ms = limits.get("work_ms", 11.0)
        self.lag_ms = limits.get("lag_ms", 60.0)
        self.promote_ms = limits.get("promote_ms", 300.0)
        self.servers: list[Server] = []
        # Time at which each term began, by the record's clock.
        self.term_began_ms: dict[int, float] = {1: 0.0}
        # Server, time and position of every commit, by request.
        self.commits: dict[str, tuple[str, float, tuple[int, int]]] = {}

    def server(self, name: str) -> Server:
        return next(item for item in self.servers if item.name == name)

    @property
    def newest_term(self) -> int:
        return max(self.term_began_ms)

    @property
    def primary(self) -> Server:
        return max((s for s in self.servers if s.is_primary), key=lambda s: s.term)

    def commit(self, server: Server, item: str, data: str, request: str) -> None:
        position = (server.term, server.end[1] + 1)
        commit = Commit(position, item, data, request)
        server.log.append(commit)
        self.commits[request] = (server.name, self.record.now_ms(), position)
        self.record.write("server", server.name, "commits", request, position)
        loop = asyncio.get_running_loop()
        for other in self.servers:
            if other is not server:
                loop.call_later(self.lag_ms / 1e3, self._receive, other, server)

    def _receive(self, other: Server, server: Server) -> None:
        if other.is_primary or other.term != server.term or not server.is_primary:
            return
        if len(other.log) < len(server.log):
            other.log = list(server.log)

    def promote(self, name: str) -> None:
        server = self.server(name)
        if server.is_primary or not server.is_running:
            return
        server.term = self.newest_term + 1
        server.is_primary = True
        self.term_began_ms[server.term] = self.record.now_ms()
        self.record.write("promotion of", name, "takes effect, term", server.term)
        loop = asyncio.get_running_loop()
        for other in self.servers:
            if other is server:
                continue
            if other.is_primary:
                # A former primary notices a second after it can reach the new one.
                loop.call_later(1.0, self.rejoin, other)
            else:
                other.term, other.log = server.term, list(server.log)

    def rejoin(self, server: Server) -> None:
        primary = self.primary
        if server is primary or not server.is_running or not server.is_primary:
            return
        server.is_primary = False
        server.term, server.log = primary.term, list(primary.log)
        self.record.write("server", server.name, "is a replica of", primary.name)


# HTTP


async def http_call(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> tuple[int, bytes]:
    """Send one request, following two redirects; return status 0 without a response."""
    for _ in range(3):
        host, port = address.split(":")
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                    "Connection: close\r\n\r\n"
                )
                writer.write(head.encode() + body)
                data = await reader.read(-1)
        except (OSError, TimeoutError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()
        head_bytes, _, payload = data.partition(b"\r\n\r\n")
        if not head_bytes:
            return 0, b""
        lines = head_bytes.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        if status != 307:
            return status, payload
        headers = dict(line.split(": ", 1) for line in lines[1:])
        location = {k.lower(): v for k, v in headers.items()}["location"]
        address = location.removeprefix("http://").partition("/")[0]
    return 0, b""


class Provider:
    """Stand in for the provider's promotion call."""

    def __init__(self, host: str, services: list[Service], record: Record) -> None:
        self._host = host
        self._services = {item.name: item for item in services}
        self._record = record
        self.answer_ms = 5.0
        self.asked = asyncio.Event()
        self.calls: list[tuple[float, str, str, int, str]] = []
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self._host, PROVIDER_PORT
        )

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, reader, writer) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = {
                name.lower(): value
                for name, _, value in (line.partition(": ") for line in lines[1:])
            }
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status = await self._promote(json.loads(body), headers)
            reply = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}"
            writer.write(reply.encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _promote(self, body: dict[str, str], headers: dict[str, str]) -> int:
        holder, token = headers["x-duty-holder"], int(headers["x-fencing-token"])
        service = self._services[body["service"]]
        now = self._record.now_ms()
        self.calls.append((now, body["service"], holder, token, body["id"]))
        self._record.write("provider: promotion", body, "by", holder, "token", token)
        self.asked.set()
        server = next((s for s in service.servers if s.name == body["id"]), None)
        if server is None or not server.is_running:
            return 409
        loop = asyncio.get_running_loop()
        loop.call_later(service.promote_ms / 1e3, service.promote, server.name)
        await asyncio.sleep(self.answer_ms / 1e3)
        return 200


# Clients


class Client:
    """One session of a consumer."""

    def __init__(self, record: Record, name: str, reader, writer) -> None:
        self._record = record
        self.name = name
        self._reader = reader
        self._writer = writer
        self.state = "I"

    @classmethod
    async def open(
        cls, record: Record, name: str, address: str, database: str, key: str = "u1"
    ) -> "Client":
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=4 * 1024 * 1024
        )
        client = cls(record, name, reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        async with asyncio.timeout(2.0):
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        if not line.startswith("READY"):
            raise ConnectionError(line)
        return client

    async def execute(
        self, text: str, request: str = "", timeout_s: float = 8.0
    ) -> list[str]:
        """Run a statement; return its lines without READY, or an empty list if cut."""
        request = request or os.urandom(8).hex()
        self._record.write("client", self.name, "sends", request, text)
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        lines: list[str] = []
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    line = (await self._reader.readuntil(b"\r\n"))[:-2].decode()
                    if line.startswith("READY"):
                        self.state = line.split(" ")[1]
                        break
                    lines.append(line)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            self._record.write("client", self.name, "lost", request, repr(error))
            return []
        self._record.write("client", self.name, "gets", request, lines, self.state)
        return lines

    def close(self) -> None:
        self._writer.transport.abort()


def is_success(lines: list[str]) -> bool:
    """Return whether an answer is a success."""
    return bool(lines) and lines[-1].startswith("COMPLETE")


# Deployment


def reserve_network() -> tuple[int, socket.socket]:
    """Reserve a network 127.N by a lock socket that stays open."""
    for number in random.sample(range(20, 250), 60):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", 17_438))
            return number, lock
        except OSError:
            lock.close()
    raise CannotRunError("no loopback network is free")


@dataclass
class Process:
    """Daemon that the script started."""

    name: str
    role: str
    settings: Path
    host: str
    process: asyncio.subprocess.Process | None = None
    log: Path = field(default_factory=Path)


class Deployment:
    """Three control nodes, three entry nodes, one provider and some services."""

    zones = ("nbo-a", "nbo-b", "nbo-c")

    def __init__(self, record: Record, n_entries: int = 3) -> None:
        self.record = record
        self.network, self._lock = reserve_network()
        self.folder = Path(tempfile.mkdtemp(prefix="cardamomshunt-review-"))
        self.services: list[Service] = []
        self.processes: dict[str, Process] = {}
        self.n_entries = n_entries
        self.n_controls = 3
        self.provider: Provider | None = None
        self.bounds = {"grace_period_s": 6, "drain_ms": 7000}
        self.heartbeat_s = 1.2
        self._tasks: list[asyncio.Task] = []

    def host(self, part: str) -> str:
        return f"127.{self.network}.{part}"

    # Processes

    @property
    def control_addresses(self) -> list[str]:
        hosts = [p.host for p in self.processes.values() if p.role == "control"]
        return [f"{host}:{CONTROL_PORT}" for host in hosts]

    def entry_address(self, name: str) -> str:
        return f"{self.processes[name].host}:{ENTRY_PORT}"

    def add_processes(self) -> None:
        for number in range(1, self.n_controls + 1):
            self._add(f"core-{number}", "control", self.host(f"1.{number}"))
        for number in range(1, self.n_entries + 1):
            self._add(f"frontend-{number}", "entry", self.host(f"2.{number}"))
        for process in self.processes.values():
            self.write_settings(process, is_first_start=True)

    def _add(self, name: str, role: str, host: str) -> None:
        path = self.folder / f"{name}.toml"
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name, role, path, host, log=log)

    def write_settings(self, process: Process, is_first_start: bool) -> None:
        number = int(process.name.rpartition("-")[2])
        zone = self.zones[(number - 1) % len(self.zones)]
        is_control = process.role == "control"
        listen = (
            f'control = "{process.host}:{CONTROL_PORT}"'
            if is_control
            else f'frontend_address = "{process.host}:{ENTRY_PORT}"\n'
            f'ready = "{process.host}:{READY_PORT}"'
        )
        data = self.folder / process.name
        data.mkdir(exist_ok=True)
        bounds = "\n".join(f"{key} = {value}" for key, value in self.bounds.items())
        process.settings.write_text(
            f'node_name = "{process.name}"\nrole = "{process.role}"\n'
            f'machine_class = "{"core" if is_control else "frontend"}"\n'
            f'ip_address = "{process.host}"\nzone = "{zone}"\nregion = "nairobi"\n'
            f"internal_port_range = [{PEER_PORT},{PEER_PORT + 15}]\n"
            f"seeds = {json.dumps(self.control_addresses[:3])}\n"
            f"bootstrap = {json.dumps(is_first_start)}\n"
            f"counts_toward_tolerance = {json.dumps(is_control)}\n"
            'discovery = "registration"\nentry = "virtual_ip"\n'
            "heartbeat_interval_ms = 1200\n"
            + (f'data_directory = "{data}"\n' if is_control else "")
            + f"[listen_addresses]\n{listen}\n"
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\n"
            "file_descriptors = 4200\nlink_mbps = 1000.0\n"
            "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            f"[bounds]\n{bounds}\n"
            f'[cloud_api]\naddress = "{self.host("9.9")}:{PROVIDER_PORT}"\n'
        )

    async def start_process(self, name: str) -> None:
        process = self.processes[name]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][process.role]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "CARDAMOMSHUNT_NODE_FILE": str(process.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
        }
        with process.log.open("ab") as log:
            process.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("process", name, "started, pid", process.process.pid)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        process = self.processes[name].process
        assert process is not None
        process.send_signal(number)
        self.record.write("process", name, "gets", number.name)

    async def wait_for_end(self, name: str, timeout_s: float = 10.0) -> int:
        process = self.processes[name].process
        assert process is not None
        async with asyncio.timeout(timeout_s):
            return await process.wait()

    def events(self, name: str) -> list[dict]:
        """Return the log lines of a daemon."""
        found = []
        for line in self.processes[name].log.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                self.record.write("log of", name, line)
        return found

    # Services

    def add_service(self, name: str, **limits: float) -> Service:
        service = Service(name, self.record, **limits)
        number = len(self.services) + 3
        for index, zone in enumerate(self.zones, start=1):
            host = self.host(f"{number}.{index}")
            service.servers.append(Server(service, f"i-{name}-{index}", host, zone))
        service.servers[0].is_primary = True
        self.services.append(service)
        return service

    async def add_server(self, service: Service, zone: str) -> Server:
        """Start a further replica, with the log of the primary."""
        number = self.services.index(service) + 3
        index = len(service.servers) + 1
        host = self.host(f"{number}.{index}")
        server = Server(service, f"i-{service.name}-{index}", host, zone)
        primary = service.primary
        server.term, server.log = primary.term, list(primary.log)
        service.servers.append(server)
        await server.start()
        self._beat(server)
        return server

    def _beat(self, server: Server) -> None:
        server.beat_task = asyncio.create_task(self._beat_periodically(server))
        self._tasks.append(server.beat_task)

    def report_body(self, server: Server) -> dict:
        server.sequence += 1
        return {
            "service": server.service.name,
            "address": server.reported_address,
            "zone": server.zone,
            "version": "v1",
            "slots": server.service.slots,
            "state": server.state,
            "warmup_remaining_ms": 0,
            "database_role": "primary" if server.is_primary else "replica",
            "sequence": server.sequence,
            "born": server.born,
        }

    async def report(self, server: Server) -> bool:
        """Send one report, to one control node after the other until it is confirmed."""
        body = json.dumps(self.report_body(server)).encode()
        path = f"/Instances.Heartbeat/{server.name}"
        for address in random.sample(self.control_addresses, self.n_controls):
            status, _ = await http_call(address, "POST", path, body)
            if 200 <= status < 300:
                return True
        return False

    async def _beat_periodically(self, server: Server) -> None:
        last: tuple[bool, str] | None = None
        last_s = 0.0
        while True:
            now = (server.is_primary, server.state)
            is_due = time.monotonic() > last_s + self.heartbeat_s
            if server.is_running and (now != last or is_due):
                if await self.report(server):
                    last, last_s = now, time.monotonic()
            await asyncio.sleep(0.05)

    def document(self, version: int, routes: list[dict], **changes: object) -> bytes:
        services = [
            {
                "name": item.name,
                "health_check_path": "/health",
                "connection_limit": item.connection_limit,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": 0,
            }
            for item in self.services
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "transaction_idle_ms": 3000,
        }
        fields = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        return json.dumps(fields | changes).encode()

    async def put(self, document: bytes, timeout_s: float = 20.0) -> int:
        """Send a configuration until it has a clear answer; return the status."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for address in random.sample(self.control_addresses, self.n_controls):
                status, body = await http_call(
                    address, "POST", "/Configuration.Replace", document
                )
                if status and status < 500 and status not in (408, 429):
                    self.record.write("operator: configuration", status, body[:200])
                    return status
            await asyncio.sleep(0.05)
        raise CannotRunError("no configuration was acknowledged")

    async def start(self, routes: list[dict]) -> None:
        """Start everything, and wait until each entry node serves each database."""
        self.provider = Provider(self.host("9.9"), self.services, self.record)
        await self.provider.start()
        self.add_processes()
        for service in self.services:
            for server in service.servers:
                await server.start()
        for name in self.processes:
            await self.start_process(name)
        for service in self.services:
            for server in service.servers:
                self._beat(server)
        if await self.put(self.document(1, routes)) != 200:
            raise CannotRunError("the first configuration was refused")
        for process in self.processes.values():
            if process.role == "entry":
                for route in routes:
                    await self.wait_until_served(process.name, route["host"])
        self.record.write("all entry nodes serve")

    async def wait_until_served(self, entry: str, database: str) -> None:
        end_s = time.monotonic() + 20.0
        while time.monotonic() < end_s:
            try:
                client = await Client.open(
                    self.record, "probe", self.entry_address(entry), database
                )
                lines = await client.execute("READ none")
                client.close()
                if is_success(lines):
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{entry} does not serve {database}")

    async def stop(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for item in self.processes.values():
            if item.process is not None and item.process.returncode is None:
                item.process.kill()
        for item in self.processes.values():
            if item.process is not None:
                await item.process.wait()
        for service in self.services:
            for server in service.servers:
                await server.stop()
        if self.provider is not None:
            await self.provider.stop()
        self._lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(host: str, service: str, kind: str, **changes: object) -> dict:
    """Return one route of a configuration."""
    fields = {
        "name": f"r-{host}",
        "host": host,
        "path_prefix": "/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "max_staleness_ms": 1500,
    }
    return fields | changes


def run_case(folder: Path, case, n_entries: int = 3, limit_s: float = 110.0) -> int:
    """Run a case; return the exit status of its script.

    `case` takes the deployment and whether the disruption happens, and returns the
    sentences that say how the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> int:
        # A script that is stopped ends its processes as well.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(record, n_entries)
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(deployment, has_trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.write("the case could not run:", repr(error))
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.stop()
        for sentence in broken:
            record.write("BROKEN:", sentence)
            print("BROKEN:", sentence)
        if not broken:
            record.write("the rule held")
            print("the rule held")
        return BROKEN if broken else HELD

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        return NOT_RUN
