"""Settings of groups, and a group in the current event loop."""

import asyncio
from typing import Any

import msgspec

from cardamomshunt_testing._ports import free_ports
from cardamomshunt_testing._standin_instance import StandinInstance
from cardamomshunt_testing._standin_settings import PeerSettings, StandinSettings


def group_settings(
    group: str, zones: list[str], *, n_instances: int = 3, **options: Any
) -> list[StandinSettings]:
    """Return the settings of a group with its instances spread over zones in turn.

    The first instance starts the log.
    """
    n_zone_ports = len(set(zones)) - 1
    n_ports_each = 3 + n_zone_ports
    ports = free_ports(n_instances * n_ports_each)
    settings = []
    for index in range(n_instances):
        zone = zones[index % len(zones)]
        own_ports = ports[index * n_ports_each : (index + 1) * n_ports_each]
        other_zones = [name for name in dict.fromkeys(zones) if name != zone]
        settings.append(
            StandinSettings(
                group=group,
                instance=f"{group}-{index + 1}",
                zone=zone,
                port=own_ports[0],
                replication_port=own_ports[1],
                control_port=own_ports[2],
                zone_ports=dict(zip(other_zones, own_ports[3:], strict=True)),
                is_first_primary=index == 0,
                **options,
            )
        )
    for item in settings:
        item.peers = [
            PeerSettings(
                instance=peer.instance,
                zone=peer.zone,
                replication_port=peer.replication_port,
            )
            for peer in settings
            if peer is not item
        ]
    return settings


class StandinGroup:
    """Run a group for tests; `fail_over` acts as control does."""

    def __init__(self, settings: list[StandinSettings]):
        self.settings = {item.instance: item for item in settings}
        self.instances: dict[str, StandinInstance] = {}

    async def start(self) -> None:
        """Start all instances and wait until all have applied the schema."""
        starts = [self.start_instance(name) for name in self.settings]
        await asyncio.gather(*starts)
        await self.primary().member.confirm_position(5_000)
        async with asyncio.timeout(5):
            while any(not item.member.applied for item in self.instances.values()):
                await asyncio.sleep(0.005)

    async def start_instance(self, name: str) -> StandinInstance:
        """Start an instance, or start it again after a kill."""
        instance = StandinInstance(msgspec.structs.replace(self.settings[name]))
        await instance.start()
        self.instances[name] = instance
        return instance

    async def kill(self, name: str) -> None:
        """Stop an instance at once."""
        await self.instances.pop(name).stop()

    async def stop(self) -> None:
        """Stop all instances."""
        for name in list(self.instances):
            await self.kill(name)

    def primary(self) -> StandinInstance:
        """Return the primary with the highest term."""
        primaries = [item for item in self.instances.values() if item.is_primary]
        return max(primaries, key=lambda item: item.member.term)

    def replicas(self) -> list[StandinInstance]:
        """Return all instances but the primary."""
        primary = self.primary()
        return [item for item in self.instances.values() if item is not primary]

    def fail_over(self, term: int, names: list[str]) -> StandinInstance:
        """Fence the named instances and promote the most advanced of them."""
        replies = {name: self.instances[name].member.fence(term) for name in names}
        fenced = {name: reply[2] for name, reply in replies.items() if reply[0]}
        if len(fenced) < (len(self.settings)) // 2 + 1:
            raise RuntimeError(
                f"no majority could be fenced for term {term}: {replies}"
            )
        most_advanced = max(fenced, key=lambda name: fenced[name])
        if not self.instances[most_advanced].member.promote(term)[0]:
            raise RuntimeError(f"{most_advanced} refused the promotion")
        return self.instances[most_advanced]
