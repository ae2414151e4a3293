"""Fixtures of a deployment on loopback: 3 control nodes, 2 or 3 entry VMs, 1 group."""

import asyncio
import contextlib
import itertools
import json
import os
import socket
from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest
import pytest_asyncio
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._http import HttpRequest
from cardamomshunt_node.control_node import ControlNodeDaemon
from cardamomshunt_node.deployment import DeploymentSettings
from cardamomshunt_node.entry_daemon import EntryDaemon
from cardamomshunt_platform._platform import UsersPlatform
from cardamomshunt_testing.loopback import reserve_network
from relay_pair import open_pair
from standin import (
    LINE_END,
    REPORT_INTERVAL_S,
    Caller,
    Group,
    LineServer,
    Provider,
    call_control,
    document,
    report,
    to_bytes,
)

_PEER_PORT = 17_440
_PROVIDER_PORT = 18_083
_ENDPOINTS = [
    ("9.9", _PROVIDER_PORT),
    *((f"1.{number}", _PEER_PORT) for number in (1, 2, 3)),
    *((f"2.{number}", _PEER_PORT) for number in (1, 2, 3)),
]


def reserve_addresses() -> tuple[int, socket.socket]:
    """Reserve a loopback network for one deployment; close the socket to free it."""
    return reserve_network(_ENDPOINTS)


@pytest.fixture
def network():
    """Return the number of a loopback network that only this test uses."""
    number, lock = reserve_addresses()
    yield number
    lock.close()


@dataclass
class Deployment:
    """Daemons and stand-ins of one test."""

    folder: Path
    group: Group
    provider: Provider
    controls: dict[str, ControlNodeDaemon] = field(default_factory=dict)
    entries: dict[str, EntryDaemon] = field(default_factory=dict)
    settings: dict[str, DeploymentSettings] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task] = field(default_factory=dict)

    def log(self, node: str) -> DecisionLog:
        path = self.folder / f"{node}.log"
        return DecisionLog(node, os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY))

    def events(self, node: str) -> list[dict]:
        lines = (self.folder / f"{node}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    def start(self, node: str) -> None:
        settings = self.settings[node]
        kind = ControlNodeDaemon if settings.control_address else EntryDaemon
        daemon = kind(UsersPlatform(), settings, self.log(node))
        table = self.controls if settings.control_address else self.entries
        table[node] = daemon
        self.tasks[node] = asyncio.create_task(daemon.run())

    async def stop(self, node: str) -> None:
        (self.controls | self.entries)[node].stop()
        async with asyncio.timeout(10.0):
            await self.tasks[node]

    @property
    def control_addresses(self) -> list[str]:
        return [self.settings[name].control_address for name in self.controls]

    def caller_address(self, node: str) -> str:
        return self.settings[node].caller_address

    def server(self, name: str) -> LineServer:
        return next(item for item in self.group.servers if item.name == name)

    async def open_session(self, database="orders", node="entry-1") -> Caller:
        return await Caller.open(self.caller_address(node), database)

    async def first_line(self, node: str, line: str) -> bytes:
        """Return the first line that answers a line on a new connection."""
        host, port = self.caller_address(node).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(to_bytes(line) + LINE_END)
        async with asyncio.timeout(4.0):
            answer = await reader.readuntil(LINE_END)
        writer.close()
        return answer.removesuffix(LINE_END)

    async def call(self, address: str, method: str, path: str, body: bytes = b""):
        request = HttpRequest(method, path, body)
        response = await call_control(address, request, 2_000.0)
        assert response.status != 307, "redirected too often"
        return response

    async def put(self, body: bytes):
        for _ in range(60):
            for address in self.control_addresses:
                try:
                    response = await self.call(
                        address, "POST", "/Configuration.Replace", body
                    )
                except (OSError, TimeoutError):
                    continue
                if response.status < 500:
                    return response
            await asyncio.sleep(0.05)
        ended = {
            node: repr(task.exception())
            for node, task in self.tasks.items()
            if task.done() and not task.cancelled()
        }
        raise AssertionError(f"no control node accepted the configuration: {ended}")

    async def report_periodically(self, server: LineServer) -> None:
        addresses = itertools.cycle(self.control_addresses)
        while True:
            if not server.is_unreachable:
                try:
                    await report(server, next(addresses))
                except (OSError, TimeoutError):
                    continue
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def until(self, condition, timeout_s=8.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def execute_until_success(self, node, database, text) -> Caller:
        """Retry a statement until it succeeds; return the caller."""
        async with asyncio.timeout(10.0):
            while True:
                try:
                    caller = await Caller.open(self.caller_address(node), database)
                    lines = await caller.execute(text)
                    if lines[-1].startswith("COMPLETE"):
                        return caller
                except ConnectionError:
                    pass
                await asyncio.sleep(0.05)


def make_settings(
    network: int, folder: Path, entry_zones: tuple[str, ...], n_control_nodes: int = 3
) -> dict[str, DeploymentSettings]:
    """Return the settings of the control nodes, and of an entry VM for each zone."""
    numbers = range(1, n_control_nodes + 1)
    hosts = {f"control-{n}": f"127.{network}.1.{n}" for n in numbers}
    seeds = [f"{host}:18080" for host in hosts.values()]
    common = {
        "peer_port": _PEER_PORT,
        "metrics_port": 19_464,
        "control_addresses": seeds,
        "is_first_start": True,
        "promotion_address": f"127.{network}.9.9:{_PROVIDER_PORT}",
        "stop_timeout_ms": 4_000.0,
    }
    found = {
        name: DeploymentSettings(
            node=name,
            zone=f"z{number}",
            host=host,
            data_folder=str(folder / name),
            control_address=f"{host}:18080",
            **common,
        )
        for number, (name, host) in enumerate(hosts.items(), start=1)
    }
    for number, zone in enumerate(entry_zones, start=1):
        host = f"127.{network}.2.{number}"
        found[f"entry-{number}"] = DeploymentSettings(
            node=f"entry-{number}",
            zone=zone,
            host=host,
            caller_address=f"{host}:18784",
            health_address=f"{host}:18785",
            **common,
        )
    return found


@contextlib.asynccontextmanager
async def run_deployment(tmp_path, entry_zones, n_control_nodes=3, **entry_settings):
    """Run a deployment whose entry VMs serve statements.

    `entry_settings` are changes to the settings of the entry VMs.
    """
    network, lock = reserve_addresses()
    group = Group("db", 18_143)
    for number in (1, 2, 3):
        host = f"127.{network}.3.{number}"
        group.servers.append(LineServer(group, f"i-{number}", host, f"z{number}"))
    group.servers[2].is_primary = True
    provider = Provider(f"127.{network}.9.9:{_PROVIDER_PORT}", [group])
    running = Deployment(tmp_path, group, provider)
    running.settings = make_settings(network, tmp_path, entry_zones, n_control_nodes)
    for node, settings in running.settings.items():
        if settings.caller_address:
            running.settings[node] = replace(settings, **entry_settings)
    await provider.server.start()
    for server in group.servers:
        await server.start()
    for node in running.settings:
        running.start(node)
    reporters = [
        asyncio.create_task(running.report_periodically(server))
        for server in group.servers
    ]
    assert (await running.put(document())).status == 200
    for node in running.entries:
        (await running.execute_until_success(node, "orders", "READ none")).close()
    yield running
    Caller.close_all()
    for task in reporters + list(running.tasks.values()):
        task.cancel()
    await asyncio.gather(*reporters, *running.tasks.values(), return_exceptions=True)
    for server in group.servers:
        await server.stop()
    await provider.server.stop()
    lock.close()


@pytest_asyncio.fixture
async def deployment(request, tmp_path):
    """Run a deployment with an entry VM in each of two zones.

    An indirect parameter holds changes to the settings of the entry VMs.
    """
    entry_settings = getattr(request, "param", {})
    async with run_deployment(tmp_path, ("z1", "z2"), **entry_settings) as running:
        yield running


@pytest_asyncio.fixture
async def zone_deployment(tmp_path):
    """Run a deployment with three entry VMs in one zone."""
    async with run_deployment(tmp_path, ("z1", "z1", "z1")) as running:
        yield running


@pytest_asyncio.fixture
async def pair(zone_deployment):
    """Run a deployment with teams; return an entry VM and the owner it forwards to."""
    return await open_pair(zone_deployment)


@pytest.fixture
def make_document():
    """Return the function that builds configurations."""
    return document
