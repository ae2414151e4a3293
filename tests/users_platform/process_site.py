"""Deployment on loopback whose daemons are real processes: 3 control nodes, 2 entry VMs."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from cardamomshunt_node._http import HttpRequest, HttpResponse
from daemon_processes import DaemonProcesses
from standin import Caller, Group, LineServer, Provider, call_control, document, report

from conftest import make_settings, reserve_addresses

_REPORT_INTERVAL_S = 1.2
_REPORT_CHECK_INTERVAL_S = 0.05
_RETRY_S = 0.05


@dataclass
class ProcessSite:
    """Daemons as processes, with the stand-ins that they talk to."""

    daemons: DaemonProcesses
    group: Group
    provider: Provider

    async def call_until_success(
        self, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        """Call one control node after the other until one answers with 200."""
        for address in itertools.cycle(self.daemons.control_addresses):
            try:
                response = await call_control(
                    address, HttpRequest(method, path, body), 2_000.0
                )
            except (OSError, TimeoutError):
                response = None
            if response is not None and response.status == 200:
                return response
            await asyncio.sleep(_RETRY_S)
        raise AssertionError("no control node is known")

    async def put_configuration(self, **changes: int) -> None:
        """Put the first configuration until it is confirmed."""
        body = document(**changes)
        await self.call_until_success("POST", "/Configuration.Replace", body)

    async def serve_everywhere(self) -> None:
        """Run a write and a read at each entry VM until they succeed."""
        await asyncio.gather(
            *(
                _execute_until_success(address, database, text)
                for address in self.daemons.caller_addresses
                for database, text in (("orders", "WRITE k v"), ("stock", "READ k"))
            )
        )

    async def report_periodically(self, server: LineServer) -> None:
        """Report a server, and each change of its state or role at once."""
        reported, due_s = None, 0.0
        loop = asyncio.get_running_loop()
        for address in itertools.cycle(self.daemons.control_addresses):
            while (state := (server.state, server.is_primary)) == reported and (
                loop.time() < due_s
            ):
                await asyncio.sleep(_REPORT_CHECK_INTERVAL_S)
            try:
                await report(server, address)
            except (OSError, TimeoutError):
                await asyncio.sleep(_RETRY_S)
                continue
            reported, due_s = state, loop.time() + _REPORT_INTERVAL_S


async def _execute_until_success(address: str, database: str, text: str) -> None:
    while True:
        try:
            caller = await Caller.open(address, database)
            lines = await caller.execute(text)
            caller.close()
            if lines[-1].startswith("COMPLETE"):
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_process_site(
    folder: Path, n_servers: int = 3, *, is_reporting: bool = True
) -> AsyncIterator[ProcessSite]:
    """Run the daemons, and servers of which the last one is the primary."""
    network, lock = reserve_addresses()
    group = Group("db", 18_143)
    for number in range(1, n_servers + 1):
        host = f"127.{network}.3.{number}"
        group.servers.append(LineServer(group, f"i-{number}", host, f"z{number}"))
    group.servers[-1].is_primary = True
    provider = Provider(f"127.{network}.9.9:18083", [group])
    daemons = DaemonProcesses(folder, make_settings(network, folder, ("z1", "z2")))
    site = ProcessSite(daemons, group, provider)
    await provider.server.start()
    for server in group.servers:
        await server.start()
    await daemons.start_all()
    reporters = [
        asyncio.create_task(site.report_periodically(server))
        for server in group.servers
        if is_reporting
    ]
    try:
        yield site
    finally:
        for task in reporters:
            task.cancel()
        await asyncio.gather(*reporters, return_exceptions=True)
        await daemons.kill_all()
        for server in group.servers:
            await server.stop()
        await provider.server.stop()
        lock.close()
