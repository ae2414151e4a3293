"""Stand-ins on loopback: instances, the provider, the operator and consumers."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from deployment import CALLER_PORT, INSTANCE_PORT, ZONES, CannotRunError, Deployment

HEARTBEAT_INTERVAL_S = 1.2
PROMOTE_S = 0.3
REPLICA_LAG_S = 0.06
LINE_END = b"\r\n"


# HTTP


async def call_http(
    address: str, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> tuple[int, dict[str, str], bytes]:
    """Send one request; return status, headers and body of the response."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status_line = (await reader.readline()).split(b" ")
            if len(status_line) < 2:
                raise ConnectionError("no response")
            headers = {}
            while line := (await reader.readline()).strip():
                name, _, value = line.decode().partition(":")
                headers[name.lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            return int(status_line[1]), headers, await reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the response is cut off") from error
        finally:
            writer.close()


async def read_http_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes] | None:
    """Return method, path, headers and body of a request, or None at the end."""
    first = (await reader.readline()).decode().split(" ")
    if len(first) < 3:
        return None
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first[0], first[1], headers, body


# Instances


@dataclass
class Commit:
    """One commit in the log of an instance."""

    term: int
    number: int
    item: str
    data: str
    request: str


@dataclass
class Run:
    """One statement that an instance ran."""

    at_s: float
    instance: str
    connection: int
    request: str
    text: str


class Instance:
    """One instance of a service, which speaks the wire of the pages."""

    def __init__(self, service: "Service", name: str, host: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.host = host
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[Commit] = []
        self.state = "ready"
        self.born = int(time.time() * 1_000) - 60_000
        self.sequence = 0
        self.n_connections = 0
        self.work_s = 0.01
        self._numbers = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None
        # Time of the confirmation of the first report of the state `draining`.
        self.draining_confirmed_s: float | None = None

    @property
    def address(self) -> str:
        """Return the address."""
        return f"{self.host}:{INSTANCE_PORT}"

    @property
    def position(self) -> str:
        """Return the position of the last commit."""
        if not self.log:
            return "1.0"
        return f"{self.log[-1].term}.{self.log[-1].number}"

    def has_position(self, text: str) -> bool:
        """Return whether the log holds a position."""
        wanted = tuple(int(part) for part in text.split("."))
        return tuple(int(part) for part in self.position.split(".")) >= wanted

    async def start(self) -> None:
        """Listen, and begin to report."""
        self._server = await asyncio.start_server(
            self._serve, self.host, INSTANCE_PORT, limit=2 * 1_048_576
        )
        self._heartbeats = asyncio.create_task(self._report_periodically())

    async def stop(self) -> None:
        """End, with all connections reset."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self) -> bool:
        """Send one liveness report, to the next node after a failure."""
        self.sequence += 1
        body = {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "warmup_remaining_ms": 0,
            "database_role": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        state = self.state
        data = json.dumps(body).encode()
        for address in self.service.deployment.control_addresses:
            try:
                status, _, _ = await call_http(
                    address, "POST", f"/Instances.Heartbeat/{self.name}", data
                )
            except (OSError, TimeoutError):
                continue
            if 200 <= status < 300:
                if state == "draining" and self.draining_confirmed_s is None:
                    record = self.service.deployment.record
                    self.draining_confirmed_s = record.now_s
                    record.write(self.name, f"draining confirmed by {address}")
                return True
        return False

    async def deregister(self) -> None:
        """Announce the end of this instance."""
        for address in self.service.deployment.control_addresses:
            try:
                status, _, _ = await call_http(
                    address, "POST", f"/Instances.Deregister/{self.name}", b"{}"
                )
            except (OSError, TimeoutError):
                continue
            if 200 <= status < 300:
                self.service.deployment.record.write(self.name, "deregistered")
                return

    async def _report_periodically(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._numbers += 1
        self.n_connections += 1
        session = _InstanceSession(self, self._numbers)
        try:
            while True:
                line = await reader.readuntil(LINE_END)
                answer, is_end = await session.handle(line[:-2].decode())
                writer.write(answer.encode())
                if is_end:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.n_connections -= 1
            self._writers.discard(writer)
            writer.close()


class _InstanceSession:
    """One connection to an instance."""

    def __init__(self, instance: Instance, number: int) -> None:
        self._instance = instance
        self._number = number
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._state = "I"
        self._is_read_only = False
        self._writes: list[tuple[str, str, str]] = []

    def _ready(self) -> str:
        return f"READY {self._state} {self._instance.position}\r\n"

    def _error(self, code: str) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERROR {code} {self._instance.name}\r\n" + self._ready()

    def _done(self, rows: str = "", proof: str = "-") -> str:
        return f"{rows}COMPLETE {proof}\r\n" + self._ready()

    async def handle(self, line: str) -> tuple[str, bool]:
        """Return the answer to a line, and whether the connection ends."""
        word, _, rest = line.partition(" ")
        if word == "TERMINATE":
            return "", True
        if word == "START":
            fields = rest.split(" ")
            expected = (self._instance.service.name, self._instance.name)
            if fields[0] != expected[0] or fields[2:3] not in ([], [expected[1]]):
                return "ERROR MISROUTED -\r\n", True
            return self._ready(), False
        request, _, text = rest.partition(" ")
        return await self._query(request, text), False

    async def _query(self, request: str, text: str) -> str:
        if text.startswith("WAITFOR "):
            _, position, text = text.split(" ", 2)
            if not self._instance.has_position(position):
                return self._error("LAGGING")
        word, _, rest = text.partition(" ")
        if self._state == "E" and word != "ROLLBACK":
            return self._error("MALFORMED")
        match word:
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                return self._done()
            case "RESET":
                self._values.clear()
                self._prepared.clear()
                return self._done()
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                self._prepared[name] = (mode == "WRITE", shape)
                return self._done()
            case "DEALLOCATE":
                if self._prepared.pop(rest, None) is None:
                    return self._error("UNKNOWN")
                return self._done()
            case "STATUS" | "DEMOTE":
                return self._admin(word, rest)
            case "BEGIN":
                if not rest and not self._instance.is_primary:
                    return self._error("READONLY")
                self._state, self._is_read_only, self._writes = "T", bool(rest), []
                return self._done()
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return self._done()
            case "COMMIT":
                return self._commit(request, text)
            case "READ" | "WRITE" | "EXECUTE":
                return await self._work(request, word, rest, text)
        return self._error("MALFORMED")

    def _admin(self, word: str, rest: str) -> str:
        instance = self._instance
        if word == "DEMOTE" and instance.is_primary and int(rest) > instance.term:
            instance.service.rejoin(instance)
        role = "primary" if instance.is_primary else "replica"
        term, position = instance.term, instance.position
        row = f"ROW {role} {term} {position} {term} 0 0 {instance.n_connections}\r\n"
        return self._done(row)

    def _log_run(self, request: str, text: str) -> str:
        instance = self._instance
        instance.service.log_run(instance, self._number, request, text)
        return f"{instance.name}.{self._number}.{request}"

    def _commit(self, request: str, text: str) -> str:
        if self._state != "T":
            return self._error("MALFORMED")
        if not self._instance.is_primary and not self._is_read_only:
            return self._error("READONLY")
        proof = self._log_run(request, text)
        for item, data, written_by in self._writes:
            self._instance.service.commit(self._instance, item, data, written_by)
        self._state, self._writes = "I", []
        return self._done(proof=proof)

    async def _work(self, request: str, word: str, rest: str, text: str) -> str:
        is_write = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._error("UNKNOWN")
            is_write = self._prepared[name][0]
        item, _, data = rest.partition(" ")
        await asyncio.sleep(self._instance.work_s)
        is_plain = self._state == "T" and not self._is_read_only
        if (is_write or is_plain) and not self._instance.is_primary:
            return self._error("READONLY")
        proof = self._log_run(request, text)
        if not is_write:
            found = [c.data for c in self._instance.log if c.item == item]
            return self._done(f"ROW {found[-1]}\r\n" if found else "", proof)
        if self._state == "T":
            self._writes.append((item, data, request))
        else:
            self._instance.service.commit(self._instance, item, data, request)
        return self._done(proof=proof)


class Service:
    """One service: a primary and its replicas."""

    def __init__(self, deployment: Deployment, name: str, n_instances: int = 3) -> None:
        self.deployment = deployment
        self.name = name
        self.runs: list[Run] = []
        self.commits: list[Commit] = []
        self.instances = [
            Instance(
                self, f"i-{number}", deployment.instance_host(number), ZONES[number - 1]
            )
            for number in range(1, n_instances + 1)
        ]
        self.instances[0].is_primary = True

    @property
    def primary(self) -> Instance:
        """Return the primary of the highest term."""
        leading = [item for item in self.instances if item.is_primary]
        return max(leading, key=lambda item: item.term)

    async def start(self) -> None:
        """Start all instances."""
        for instance in self.instances:
            await instance.start()

    async def stop(self) -> None:
        """End all instances."""
        for instance in self.instances:
            await instance.stop()

    def log_run(
        self, instance: Instance, connection: int, request: str, text: str
    ) -> None:
        """Record that an instance runs a statement."""
        record = self.deployment.record
        run = Run(record.now_s, instance.name, connection, request, text)
        self.runs.append(run)
        record.write(
            instance.name, f"runs on connection {connection}: {request} {text!r}"
        )

    def commit(self, instance: Instance, item: str, data: str, request: str) -> None:
        """Append a commit to the primary's log, and later to those of the replicas."""
        number = instance.log[-1].number + 1 if instance.log else 1
        commit = Commit(instance.term, number, item, data, request)
        instance.log.append(commit)
        self.commits.append(commit)
        loop = asyncio.get_running_loop()
        for other in self.instances:
            if other is not instance and not other.is_primary:
                loop.call_later(REPLICA_LAG_S, self._replicate, instance, other)

    def _replicate(self, source: Instance, target: Instance) -> None:
        if source.is_primary and not target.is_primary and source.term == target.term:
            target.log = list(source.log)

    def promote(self, name: str) -> None:
        """Make an instance the primary of the next term."""
        chosen = next(item for item in self.instances if item.name == name)
        if chosen.is_primary and chosen is self.primary:
            return
        chosen.term = max(item.term for item in self.instances) + 1
        chosen.is_primary = True
        self.deployment.record.write(name, f"leads term {chosen.term}")
        for other in self.instances:
            if other is not chosen and not other.is_primary:
                other.term, other.log = chosen.term, list(chosen.log)
            elif other is not chosen:
                asyncio.get_running_loop().call_later(1.0, self.rejoin, other)

    def rejoin(self, former: Instance) -> None:
        """Make a former primary a replica of the present one."""
        present = self.primary
        if former is not present:
            former.is_primary, former.term = False, present.term
            former.log = list(present.log)


class Provider:
    """The provider's call that promotes an instance."""

    def __init__(self, deployment: Deployment, services: list[Service]) -> None:
        self._deployment = deployment
        self._services = {service.name: service for service in services}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._deployment.provider_address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_http_request(reader)
            if request is None:
                return
            _, path, headers, body = request
            fields = json.loads(body)
            token = headers.get("x-fencing-token")
            self._deployment.record.write(
                "provider",
                f"{path} {fields} token={token} holder={headers.get('x-duty-holder')}",
            )
            service = self._services[fields["service"]]
            asyncio.get_running_loop().call_later(
                PROMOTE_S, service.promote, fields["id"]
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# The operator


def make_configuration(
    version: int, service: str, kinds: dict[str, str], **limits: int
) -> bytes:
    """Return a configuration with one route for each database."""
    routes = [
        {
            "name": f"r-{database}",
            "host": database,
            "path_prefix": "/",
            "kind": kind,
            "timeout_ms": 1_000,
            "target_latency_ms": 200,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "max_staleness_ms": 1_500,
        }
        for database, kind in kinds.items()
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_check_path": "/health",
                "connection_limit": 34,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": 0,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
            "transaction_idle_ms": 3_000,
        }
        | limits,
    }
    return json.dumps(document).encode()


class Operator:
    """Send orders to the nodes that serve the control plane."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def put(self, document: bytes, until_s: float) -> bool:
        """Send a configuration until it is acknowledged; return whether it was."""
        record = self._deployment.record
        pause_s = 0.1
        while record.now_s < until_s:
            for address in self._deployment.control_addresses:
                status = await self._put_once(address, document)
                if status == 200:
                    record.write("operator", f"configuration acknowledged via {address}")
                    return True
                if status in (400, 409, 412, 413, 422):
                    raise CannotRunError(f"the configuration is refused: {status}")
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 2.0)
        record.write("operator", "configuration never acknowledged")
        return False

    async def _put_once(self, address: str, document: bytes) -> int:
        for _ in range(3):
            try:
                status, headers, _ = await call_http(
                    address, "POST", "/Configuration.Replace", document, 3.0
                )
            except (OSError, TimeoutError):
                return 0
            if status != 307:
                return status
            address = headers["location"].removeprefix("http://").partition("/")[0]
        return 307


# Consumers


@dataclass
class Answer:
    """Answer to one statement; `code` is empty after a success."""

    code: str = ""
    rows: list[str] = field(default_factory=list)
    state: str = ""
    text: str = ""

    @property
    def is_success(self) -> bool:
        """Return whether the statement succeeded."""
        return not self.code


class Consumer:
    """One session of a consumer."""

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._name = name
        self.record = deployment.record
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(
        cls, name: str, deployment: Deployment, machine: str, database: str
    ) -> "Consumer":
        """Open a session; raise ConnectionError if it is refused."""
        host = deployment.machines[machine].host
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, CALLER_PORT)
            consumer = cls(name, deployment, reader, writer)
            writer.write(f"START {database} u1\r\n".encode())
            line = (await reader.readline()).decode()
        if not line.startswith("READY"):
            writer.close()
            raise ConnectionError(line.strip() or "closed")
        return consumer

    async def query(
        self, request: str, text: str, timeout_s: float = 4.0, *, is_logged: bool = True
    ) -> Answer:
        """Send a statement; return its answer."""
        if is_logged:
            self.record.write(self._name, f"sends {request} {text!r}")
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        async with asyncio.timeout(timeout_s):
            answer = await self.read_answer()
        if is_logged:
            self.record.write(
                self._name,
                f"gets {answer.code or 'COMPLETE'} {answer.text} rows={answer.rows} "
                f"state={answer.state} for {request}",
            )
        return answer

    async def read_answer(self) -> Answer:
        """Read one answer up to its READY."""
        answer = Answer()
        while True:
            line = await self._reader.readline()
            if not line:
                raise ConnectionError("the session was closed")
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "ROW":
                answer.rows.append(rest)
            elif word == "COMPLETE":
                answer.text = rest
            elif word == "ERROR":
                answer.code, _, answer.text = rest.partition(" ")
            elif word == "READY":
                answer.state = rest.partition(" ")[0]
                return answer

    def close(self) -> None:
        """Close the session."""
        self._writer.close()


async def wait_until_served(
    deployment: Deployment, machine: str, database: str, until_s: float
) -> bool:
    """Write through a machine until that succeeds; return whether it did in time."""
    number = 0
    while deployment.record.now_s < until_s:
        number += 1
        try:
            consumer = await Consumer.open("probe", deployment, machine, database)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.2)
            continue
        try:
            answer = await consumer.query(f"probe{machine}{number}", "WRITE p0 probe")
        except (OSError, TimeoutError):
            answer = Answer(code="none")
        consumer.close()
        if answer.is_success:
            return True
        await asyncio.sleep(0.2)
    return False
