"""A whole site on loopback: control nodes, entry VMs and database groups."""

import asyncio
import secrets
import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import asyncmy
import asyncmy.errors
import msgspec
import yaml

from cardamomshunt_testing._load_mixes import Mix
from cardamomshunt_testing._ports import free_ports
from cardamomshunt_testing._processes import Processes
from cardamomshunt_testing._standin_group import group_settings
from cardamomshunt_testing._standin_settings import (
    AnnouncementTarget,
    StandinSettings,
)

_N_CONTROL_NODES = 3
_POLL_S = 0.1


class SiteError(Exception):
    """Report why a site does not work."""


class EntryVm(msgspec.Struct):
    """Locate an entry VM."""

    name: str
    zone: str
    caller_port: int
    announcement_port: int
    peer_port: int
    operator_port: int
    metrics_port: int


class Site:
    """Start a site, put faults into it, and stop everything that it started.

    `system` is cardamomshunt, naive-primary or naive-split.
    """

    def __init__(
        self,
        mix: Mix,
        *,
        system: str = "cardamomshunt",
        n_entry_vms: int = 3,
        service_time_ms: float = 2.0,
        **group_options: Any,
    ):
        self.mix = mix
        self.system = system
        self.folder = Path(tempfile.mkdtemp(prefix="cardamomshunt-site-"))
        self.processes = Processes(self.folder)
        self.entry_vms = [self._create_entry_vm(index) for index in range(n_entry_vms)]
        targets = [
            AnnouncementTarget(
                zone=item.zone, address=f"127.0.0.1:{item.announcement_port}"
            )
            for item in self.entry_vms
        ]
        self.groups: dict[str, list[StandinSettings]] = {
            name: group_settings(
                name,
                mix.zones,
                schema=schema,
                n_slots=mix.n_slots,
                connect_delay_ms=mix.connect_delay_ms,
                zone_delay_ms=mix.zone_delay_ms,
                service_time_ms=service_time_ms,
                announce_to=targets if system == "cardamomshunt" else [],
                **group_options,
            )
            for name, schema in mix.schemas.items()
        }

    def _create_entry_vm(self, index: int) -> EntryVm:
        zone = self.mix.zones[index % len(self.mix.zones)]
        return EntryVm(f"proxy-{index + 1}", zone, *free_ports(5))

    async def start(self, timeout_s: float = 25.0) -> None:
        """Start all processes and wait until reads and writes work everywhere."""
        for settings in self.groups.values():
            for item in settings:
                self._start_instance(item)
        async with asyncio.timeout(timeout_s):
            # A naive proxy would promote another instance while the first one starts.
            await self._wait_for_groups()
            if self.system == "cardamomshunt":
                self._start_daemons()
            else:
                for vm in self.entry_vms:
                    self._start_naive(vm)
            await self._wait_ready()

    async def _wait_for_groups(self) -> None:
        try:
            for settings in self.groups.values():
                for item in settings:
                    while not await self._has_schema(item.instance):
                        await asyncio.sleep(_POLL_S)
                        self._check_processes()
        except asyncio.CancelledError:
            raise SiteError("the database groups did not start in time") from None

    async def _has_schema(self, name: str) -> bool:
        status = await self.status(name)
        return status is not None and status["applied_position"] != "0:0"

    async def _wait_ready(self) -> None:
        probes = {
            "stock": "UPDATE stock SET version = 0 WHERE item_id = -1",
            "orders": "DELETE FROM orders WHERE order_id = ''",
            self.mix.dispatch_database: "DELETE FROM dispatches WHERE order_id = ''",
        }
        last = ""
        try:
            for vm in self.entry_vms:
                for database, sql in probes.items():
                    while (last := await self._probe(vm, database, sql)) != "":
                        await asyncio.sleep(_POLL_S)
                        self._check_processes()
        except asyncio.CancelledError:
            raise SiteError(
                f"the site did not get ready; last answer: {last}"
            ) from None

    async def _probe(self, vm: EntryVm, database: str, sql: str) -> str:
        try:
            connection = await asyncmy.connect(
                host="127.0.0.1",
                port=vm.caller_port,
                user="probe",
                db=database,
                autocommit=True,
                connect_timeout=2,
            )
            async with asyncio.timeout(3), connection.cursor() as cursor:
                await cursor.execute(sql)
            connection.close()
        except (OSError, TimeoutError, RuntimeError, asyncmy.errors.Error) as error:
            return f"{vm.name} {database}: {error!r}"
        return ""

    def _check_processes(self) -> None:
        for name in self.processes.exited():
            tail = self.processes.log_tail(name)
            raise SiteError(f"{name} ended by itself:\n{tail}")

    def _write_settings(self, name: str, document: Any) -> Path:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document, sort_keys=False))
        return path

    def _start_instance(self, settings: StandinSettings) -> None:
        path = self._write_settings(settings.instance, msgspec.to_builtins(settings))
        module = "cardamomshunt_testing.standin"
        self.processes.start_module(settings.instance, module, path)

    def start_instance(self, name: str) -> None:
        """Start a killed instance again, with the same settings."""
        self._start_instance(self.instance(name))

    def instance(self, name: str) -> StandinSettings:
        """Return the settings of an instance."""
        for settings in self.groups.values():
            for item in settings:
                if item.instance == name:
                    return item
        raise KeyError(name)

    def _start_daemons(self) -> None:
        key_path = self.folder / "k1.key"
        key_path.write_text(secrets.token_hex(32))
        key_path.chmod(0o600)
        ports = free_ports(_N_CONTROL_NODES * 3)
        nodes = []
        for index in range(_N_CONTROL_NODES):
            peer, operator, _ = ports[index * 3 : index * 3 + 3]
            nodes.append(
                {
                    "node": f"control-{index + 1}",
                    "zone": self.mix.zones[index % len(self.mix.zones)],
                    "peer_address": f"127.0.0.1:{peer}",
                    "operator_address": f"127.0.0.1:{operator}",
                }
            )
        common = {
            "control_nodes": nodes,
            "keys": [{"key_id": "k1", "secret_file": str(key_path)}],
        }
        for index, node in enumerate(nodes):
            name = node["node"]
            folder = self.folder / name
            folder.mkdir()
            document = {
                **node,
                "role": "control",
                "metrics_address": f"127.0.0.1:{ports[index * 3 + 2]}",
                "data_folder": str(folder),
                **common,
            }
            self.processes.start_daemon(name, self._write_settings(name, document))
        for vm in self.entry_vms:
            document = {
                "node": vm.name,
                "role": "proxy",
                "zone": vm.zone,
                "peer_address": f"127.0.0.1:{vm.peer_port}",
                "operator_address": f"127.0.0.1:{vm.operator_port}",
                "metrics_address": f"127.0.0.1:{vm.metrics_port}",
                "caller_address": f"127.0.0.1:{vm.caller_port}",
                "announcement_address": f"127.0.0.1:{vm.announcement_port}",
                **common,
            }
            self.processes.start_daemon(
                vm.name, self._write_settings(vm.name, document)
            )

    def _start_naive(self, vm: EntryVm) -> None:
        n_connections_max = next(iter(self.groups.values()))[0].n_connections_max
        databases = {
            name: [
                {
                    "instance": item.instance,
                    "port": item.zone_ports.get(vm.zone, item.port),
                }
                for item in settings
            ]
            for name, settings in self.groups.items()
        }
        document = {
            "system": self.system,
            "caller_address": f"127.0.0.1:{vm.caller_port}",
            "n_connections_per_instance": n_connections_max // len(self.entry_vms),
            "databases": databases,
        }
        path = self._write_settings(vm.name, document)
        self.processes.start_module(vm.name, "cardamomshunt_testing.naive", path)

    def caller_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that the balancer deals connections to."""
        return [("127.0.0.1", vm.caller_port) for vm in self.entry_vms]

    async def status(self, name: str) -> dict[str, Any] | None:
        """Return an instance's counters, or None if it does not answer."""
        return await self._get(name, "status")

    async def final_counts(self) -> Counter[str]:
        """Count the stored keys at the primaries, over the control ports.

        MySQL connections for this could be refused, as the entry VMs may hold them all.
        """
        counts: Counter[str] = Counter()
        for group in self.groups:
            primary = await self.primary(group)
            keys = None if primary is None else await self._get(primary, "keys")
            if keys is None:
                raise SiteError(f"{group} has no primary for the final check")
            counts.update(keys)
        return counts

    async def _get(self, name: str, path: str) -> dict[str, Any] | None:
        url = f"http://127.0.0.1:{self.instance(name).control_port}/{path}"
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as client,
                client.get(url) as response,
            ):
                answer: dict[str, Any] = await response.json()
                return answer
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def inject_fault(self, name: str, fault: str, **body: Any) -> None:
        """Put a fault into an instance."""
        url = f"http://127.0.0.1:{self.instance(name).control_port}/{fault}"
        async with (
            aiohttp.ClientSession() as client,
            client.post(url, json=body) as response,
        ):
            if response.status != 200:
                raise SiteError(f"{name} refused the fault {fault}")

    async def partition_zone_of(self, name: str) -> None:
        """Partition an instance's zone away from its group and the other zones."""
        target = self.instance(name)
        zones = [zone for zone in self.mix.zones if zone != target.zone]
        cuts = [self.inject_fault(name, "cut", zones=zones)]
        cuts.extend(
            self.inject_fault(peer.instance, "cut", zones=[target.zone])
            for peer in target.peers
        )
        await asyncio.gather(*cuts)

    async def reconnect_group(self, group: str) -> None:
        """End the cuts of a group."""
        for item in self.groups[group]:
            await self.inject_fault(item.instance, "heal")

    async def primary(self, group: str) -> str | None:
        """Name the primary with the highest term."""
        found: list[tuple[int, str]] = []
        for item in self.groups[group]:
            status = await self.status(item.instance)
            if status is not None and status["role"] == "primary":
                found.append((status["term"], item.instance))
        return max(found)[1] if found else None

    async def stop(self) -> None:
        """Stop all processes and drop the folder."""
        await self.processes.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
