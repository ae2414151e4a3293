"""Group of three control nodes as processes, for measurements of its recovery."""

import asyncio
import json
import resource
import shutil
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec
from cardamomshunt_node.deployment import DeploymentSettings

from cardamomshunt_testing._core_process import CONFIGURATION_PATH, Configuration
from cardamomshunt_testing._processes import Processes
from cardamomshunt_testing.loopback import reserve_network

_CHILD_FILE = Path(__file__).with_name("_core_process.py")
_N_NODES = 3
_PEER_PORT, _CONTROL_PORT, _METRICS_PORT = 17_440, 18_080, 9_464
_ENDPOINTS = [
    (f"1.{number}", port)
    for number in range(1, _N_NODES + 1)
    for port in (_PEER_PORT, _CONTROL_PORT, _METRICS_PORT)
]
_CALL_TIMEOUT_S = 3.0
_RETRY_PAUSE_S = 0.02


class _Node:
    """Process, data folder and log of one control node."""

    def __init__(
        self,
        processes: Processes,
        python: str,
        folder: Path,
        host: str,
        seeds: list[str],
    ) -> None:
        self.host = host
        self.data_folder = folder / host
        self._processes = processes
        self._python = python
        self._seeds = seeds
        self._settings_path = folder / f"{host}.json"

    def start(self, *, is_first_start: bool = False) -> None:
        """Start the process."""
        settings = DeploymentSettings(
            node=self.host,
            zone=self.host,
            host=self.host,
            peer_port=_PEER_PORT,
            metrics_port=_METRICS_PORT,
            control_addresses=self._seeds,
            control_address=f"{self.host}:{_CONTROL_PORT}",
            is_first_start=is_first_start,
            data_folder=str(self.data_folder),
        )
        self._settings_path.write_bytes(msgspec.json.encode(settings))
        self.data_folder.mkdir(exist_ok=True)
        command = [self._python, str(_CHILD_FILE), str(self._settings_path)]
        self._processes.start(self.host, command)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._processes.kill(self.host)

    def clear_disk(self) -> None:
        """Remove all files of the stopped process."""
        shutil.rmtree(self.data_folder)

    def fill_disk(self) -> None:
        """Let all writes to files fail, as on a full disk."""
        self._limit_files(is_full=True)

    def free_disk(self) -> None:
        """Let writes to files succeed again."""
        self._limit_files(is_full=False)

    def _limit_files(self, *, is_full: bool) -> None:
        pid = self._processes.pid(self.host)
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        soft = 0 if is_full else hard
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft, hard))

    def stored_bytes(self) -> int:
        """Return the size of all files in the data folder."""
        files = [path for path in self.data_folder.rglob("*") if path.is_file()]
        return sum(path.stat().st_size for path in files)

    def written_bytes(self) -> int:
        """Return what the process has written to files since its start."""
        pid = self._processes.pid(self.host)
        text = Path(f"/proc/{pid}/io").read_text(encoding="ascii")
        fields = dict(line.split(": ") for line in text.splitlines())
        return int(fields["wchar"])


class CoreGroup:
    """Start, disturb and change a group of three control nodes."""

    def __init__(self, python: str, folder: Path) -> None:
        network, self._lock = reserve_network(_ENDPOINTS)
        hosts = [f"127.{network}.1.{number}" for number in range(1, _N_NODES + 1)]
        self.addresses = [f"{host}:{_CONTROL_PORT}" for host in hosts]
        self._processes = Processes(folder)
        self.nodes = [
            _Node(self._processes, python, folder, host, self.addresses)
            for host in hosts
        ]
        self._promotions = [
            _PromotionLog(self._processes.log_path(host)) for host in hosts
        ]
        self._session: aiohttp.ClientSession | None = None
        self._version = 0

    async def start(self) -> None:
        """Start all nodes with empty disks."""
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        for node in self.nodes:
            node.start(is_first_start=True)

    async def stop(self) -> None:
        """Kill all nodes."""
        for node in self.nodes:
            node.kill()
        self._lock.close()
        if self._session is not None:
            await self._session.close()

    async def change(self, size_bytes: int, limit_s: float) -> float | None:
        """Store a configuration; return the seconds until it is acknowledged."""
        started_s = time.monotonic()
        self._version += 1
        body = _encode_configuration(self._version, size_bytes)
        while time.monotonic() < started_s + limit_s:
            for address in self.addresses:
                if await self._put(address, body):
                    return time.monotonic() - started_s
            self._check_running()
            await asyncio.sleep(_RETRY_PAUSE_S)
        return None

    async def _put(self, address: str, body: bytes) -> bool:
        assert self._session is not None
        url = f"http://{address}{CONFIGURATION_PATH}"
        try:
            async with self._session.post(url, data=body) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _check_running(self) -> None:
        """Raise RuntimeError with the end of the log if a process has ended."""
        for host in self._processes.exited():
            raise RuntimeError(f"{host} ended:\n{self._processes.log_tail(host)}")

    async def wait_for_voter(self, node: _Node, limit_s: float) -> float | None:
        """Return the seconds until a leader logs the node as a voter."""
        n_before = self._n_promotions(node)
        return await wait_until(lambda: self._n_promotions(node) > n_before, limit_s)

    def _n_promotions(self, node: _Node) -> int:
        return sum(log.count(node.host) for log in self._promotions)


class _PromotionLog:
    """Count the nodes that one leader's log calls voters, reading on from the last."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._read_bytes = 0
        self._counts: Counter[str] = Counter()

    def count(self, host: str) -> int:
        """Return how often a node became a voter."""
        if self._path.exists():
            with self._path.open("rb") as log:
                log.seek(self._read_bytes)
                *lines, _ = log.read().split(b"\n")
            for line in lines:
                self._read_bytes += len(line) + 1
                if b'"member_added"' in line:
                    self._record(line)
        return self._counts[host]

    def _record(self, line: bytes) -> None:
        fields = json.loads(line)
        if fields["event"] == "member_added":
            self._counts[fields["subject"]] += 1


def _encode_configuration(version: int, size_bytes: int) -> bytes:
    empty = msgspec.json.encode(Configuration(version=version, filler=""))
    filler = "x" * (size_bytes - len(empty))
    return msgspec.json.encode(Configuration(version=version, filler=filler))


async def wait_until(condition: Callable[[], bool], limit_s: float) -> float | None:
    """Return the seconds until a condition holds, or None after the limit."""
    started_s = time.monotonic()
    while time.monotonic() < started_s + limit_s:
        if condition():
            return time.monotonic() - started_s
        await asyncio.sleep(_RETRY_PAUSE_S)
    return None
