"""Group of three control nodes as processes, for measurements of its recovery."""

import asyncio
import json
import resource
import shutil
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec
from cardamomshunt_node.deployment import DeploymentSettings

from cardamomshunt_testing._core_process import CONFIGURATION_PATH, Configuration

_CHILD_FILE = Path(__file__).with_name("_core_process.py")
_N_NODES = 3
_PEER_PORT, _CONTROL_PORT, _METRICS_PORT = 17_440, 18_080, 9_464
_N_NETWORKS = 200
_CALL_TIMEOUT_S = 3.0
_RETRY_PAUSE_S = 0.02
_N_LOG_LINES = 5


class _Node:
    """Process, data folder and log of one control node."""

    def __init__(self, python: str, folder: Path, host: str, seeds: list[str]) -> None:
        self.host = host
        self.data_folder = folder / host
        self.log_path = folder / f"{host}.log"
        self._python = python
        self._seeds = seeds
        self._settings_path = folder / f"{host}.json"
        self._process: subprocess.Popen[bytes] | None = None

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
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [self._python, str(_CHILD_FILE), str(self._settings_path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def check_running(self) -> None:
        """Raise RuntimeError with the end of the log if the process has ended."""
        if self._process is not None and self._process.poll() is not None:
            lines = self.log_path.read_text(encoding="utf-8").splitlines()
            tail = "\n".join(lines[-_N_LOG_LINES:])
            raise RuntimeError(f"{self.host} ended:\n{tail}")

    def clear_disk(self) -> None:
        """Remove all files of the stopped process."""
        shutil.rmtree(self.data_folder)

    def fill_disk(self) -> None:
        """Let all writes to files fail, as on a full disk."""
        assert self._process is not None
        _, hard = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (0, hard))

    def free_disk(self) -> None:
        """Let writes to files succeed again."""
        assert self._process is not None
        _, hard = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (hard, hard))

    def stored_bytes(self) -> int:
        """Return the size of all files in the data folder."""
        files = [path for path in self.data_folder.rglob("*") if path.is_file()]
        return sum(path.stat().st_size for path in files)

    def written_bytes(self) -> int:
        """Return what the process has written to files since its start."""
        assert self._process is not None
        text = Path(f"/proc/{self._process.pid}/io").read_text(encoding="ascii")
        fields = dict(line.split(": ") for line in text.splitlines())
        return int(fields["wchar"])


class CoreGroup:
    """Start, disturb and change a group of three control nodes."""

    def __init__(self, python: str, folder: Path) -> None:
        network = _find_network()
        hosts = [f"127.{network}.1.{number}" for number in range(1, _N_NODES + 1)]
        self.addresses = [f"{host}:{_CONTROL_PORT}" for host in hosts]
        self.nodes = [_Node(python, folder, host, self.addresses) for host in hosts]
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
            for node in self.nodes:
                node.check_running()
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

    async def wait_for_voter(self, node: _Node, limit_s: float) -> float | None:
        """Return the seconds until a leader logs the node as a voter."""
        n_before = self._n_promotions(node)
        return await wait_until(lambda: self._n_promotions(node) > n_before, limit_s)

    def _n_promotions(self, node: _Node) -> int:
        n_found = 0
        for other in self.nodes:
            for line in other.log_path.read_text(encoding="utf-8").splitlines():
                n_found += _is_promotion(line, node.host)
        return n_found


def _is_promotion(line: str, host: str) -> bool:
    if '"member_added"' not in line:
        return False
    fields = json.loads(line)
    return bool(fields["event"] == "member_added" and fields["subject"] == host)


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


def _find_network() -> int:
    """Return N of a loopback network 127.N.1 whose ports are free."""
    for network in range(1, _N_NETWORKS):
        try:
            for number in range(1, _N_NODES + 1):
                for port in (_PEER_PORT, _CONTROL_PORT, _METRICS_PORT):
                    socket.create_server((f"127.{network}.1.{number}", port)).close()
        except OSError:
            continue
        return network
    raise OSError("no loopback network is free")
