"""Deployment of a fault soak: daemons as processes, servers, links and a provider."""

import asyncio
import itertools
import signal
from pathlib import Path
from random import Random

from cardamomshunt_node._http import HttpRequest, call_http
from fault_links import FaultLink
from soak_processes import HEALTH_PORT, DaemonProcess
from standin import REPORT_INTERVAL_S, Caller, Group, LineServer, Provider, report

N_CONTROLS = 3
N_ENTRIES = 3
SERVICE_CHECK_REQUEST, SERVICE_CHECK_TEXT = "service-check", "READ k0"
_SERVER_PORT, _LINK_PORT = 18_143, 18_144


class SoakDeployment:
    """Control and entry daemons on one loopback network, with all that they talk to."""

    def __init__(
        self, random: Random, folder: Path, network: int, *, has_teams: bool
    ) -> None:
        self._random = random
        self._folder = folder
        self.network = network
        self._has_teams = has_teams
        self.group = Group("db", _SERVER_PORT)
        self.links: dict[str, FaultLink] = {}
        self.provider = Provider(f"127.{network}.9.8:18083", [self.group])
        self.provider_link = FaultLink(
            f"127.{network}.9.9:18083", self.provider.address
        )
        self.daemons: dict[str, DaemonProcess] = {}
        self.control_addresses: list[str] = []
        self._create_deployment()
        self.update_control_addresses()

    def _create_deployment(self) -> None:
        network = self.network
        for number in (1, 2, 3):
            host = f"127.{network}.3.{number}"
            server = LineServer(self.group, f"i-{number}", host, f"z{number}")
            server.lag_s = self._random.uniform(0.0, 0.05)
            self.links[server.name] = FaultLink(
                f"127.{network}.4.{number}:{_LINK_PORT}", server.address
            )
            self.group.servers.append(server)
        self.group.servers[0].is_primary = True
        seeds = [f"127.{network}.1.{n}:18080" for n in range(1, N_CONTROLS + 1)]
        for role, block, n_nodes in (
            ("control", 1, N_CONTROLS),
            ("entry", 2, N_ENTRIES),
        ):
            for number in range(1, n_nodes + 1):
                # Entry VMs forward the sessions of teams within their zone.
                is_zone_shared = self._has_teams and role == "entry"
                zone = "z1" if is_zone_shared else f"z{number}"
                host = f"127.{network}.{block}.{number}"
                self.add_daemon(role, host, number, seeds, zone)

    def add_daemon(
        self, role: str, host: str, number: int, seeds: list[str], zone: str
    ) -> DaemonProcess:
        """Add a daemon, which is not started yet."""
        daemon = DaemonProcess(
            name=f"{role}-{number}",
            role=role,
            host=host,
            zone=zone,
            folder=self._folder,
            seeds=seeds,
            promotion_address=self.provider_link.listen_address,
        )
        self.daemons[daemon.name] = daemon
        return daemon

    def update_control_addresses(self) -> None:
        """Let operator, servers and later starts know the present control nodes."""
        self.control_addresses[:] = [item.control_address for item in self.controls]
        for daemon in self.daemons.values():
            daemon.seeds = self.control_addresses[:N_CONTROLS]

    @property
    def controls(self) -> list[DaemonProcess]:
        """Return the control daemons."""
        return [item for item in self.daemons.values() if item.role == "control"]

    @property
    def entries(self) -> list[DaemonProcess]:
        """Return the entry daemons."""
        return [item for item in self.daemons.values() if item.role == "entry"]

    async def start(self) -> None:
        """Start the servers, the links and the daemons."""
        await self.provider.server.start()
        await self.provider_link.start()
        for server in self.group.servers:
            await server.start()
            await self.links[server.name].start()
        for daemon in self.daemons.values():
            daemon.start()

    async def stop(self) -> None:
        """Kill the daemons, and stop all else."""
        for daemon in self.daemons.values():
            daemon.kill()
        for server in self.group.servers:
            await server.stop()
            await self.links[server.name].stop()
        await self.provider_link.stop()
        await self.provider.server.stop()

    def restore(self) -> None:
        """Run all daemons with room on their disks, and fast syncs."""
        for daemon in self.daemons.values():
            daemon.disk.restore()
            daemon.limit_file_size(-1)
            daemon.send_signal(signal.SIGCONT)
            daemon.start()

    def choose_entry(self) -> tuple[str, str]:
        """Return the name and the address of an entry daemon for a caller."""
        up = [
            item
            for item in self.entries
            if item.is_running and not item.stopping_since_s
        ]
        entry = self._random.choice(up or self.entries)
        return entry.name, entry.caller_address

    async def send_reports(self, server: LineServer) -> None:
        """Report a server in turn to the control nodes."""
        numbers = itertools.count()
        while True:
            if not server.is_unreachable:
                addresses = self.control_addresses
                try:
                    link = self.links[server.name].listen_address
                    address = addresses[next(numbers) % len(addresses)]
                    await report(server, address, link)
                except (OSError, TimeoutError):
                    continue
                finally:
                    await asyncio.sleep(REPORT_INTERVAL_S / 2.0)
            await asyncio.sleep(REPORT_INTERVAL_S / 2.0)

    async def wait_for_service(self, entry: DaemonProcess, database: str) -> None:
        """Return once an entry daemon answers a read of a database."""
        while True:
            caller = None
            try:
                caller = await Caller.open(entry.caller_address, database)
                lines = await caller.execute(SERVICE_CHECK_TEXT, SERVICE_CHECK_REQUEST)
                if lines[-1].startswith("COMPLETE"):
                    return
            except OSError:
                pass
            finally:
                if caller is not None:
                    caller.close()
            await asyncio.sleep(0.05)

    async def readiness_status(self, entry: DaemonProcess) -> int:
        """Return the HTTP status of the readiness check, or 0 without one."""
        try:
            response = await call_http(
                f"{entry.host}:{HEALTH_PORT}", HttpRequest("GET", "/readiness"), 500.0
            )
        except (OSError, TimeoutError):
            return 0
        return response.status if response else 0
