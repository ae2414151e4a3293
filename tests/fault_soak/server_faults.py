"""Random faults of the backend servers, of the provider, and of the links to them."""

import asyncio
import random
from collections.abc import Callable

from fault_links import LinkMode
from soak_deployment import SoakDeployment

_FAULT_DURATION_S = (0.2, 2.5)


async def wait_for_fault_end(draws: random.Random) -> None:
    """Wait for the time that a fault lasts."""
    await asyncio.sleep(draws.uniform(*_FAULT_DURATION_S))


class ServerFaults:
    """Harm servers, the provider and links for a while; each method is one fault."""

    def __init__(
        self,
        draws: random.Random,
        deployment: SoakDeployment,
        record_fault: Callable[[str], None],
    ) -> None:
        self._random = draws
        self._deployment = deployment
        self._record_fault = record_fault

    async def disrupt_link(self) -> None:
        """Delay, block or refuse what passes on the link to one server."""
        server = self._random.choice(self._deployment.group.servers)
        mode = self._random.choice(
            [LinkMode.DELAY, LinkMode.BLACKHOLE, LinkMode.ONE_WAY, LinkMode.REFUSE]
        )
        self._record_fault(f"link to {server.name}: {mode.value}")
        link = self._deployment.links[server.name]
        link.set_mode(mode, self._random.uniform(0.02, 0.3))
        await wait_for_fault_end(self._random)
        link.set_mode(LinkMode.PASS)

    async def reset_connections(self) -> None:
        """Reset the open connections to one server."""
        server = self._random.choice(self._deployment.group.servers)
        self._record_fault(f"reset connections of {server.name}")
        self._deployment.links[server.name].reset()

    async def freeze_server(self) -> None:
        """Make one server unresponsive for a while; it rejoins with its log."""
        if any(server.is_unreachable for server in self._deployment.group.servers):
            return
        leading = self._deployment.group.primary
        others = [
            item for item in self._deployment.group.servers if item is not leading
        ]
        is_primary = self._random.random() < 0.6
        server = leading if is_primary else self._random.choice(others)
        self._record_fault(f"unresponsive {server.name}")
        server.is_unreachable = True
        await wait_for_fault_end(self._random)
        server.is_unreachable = False
        await asyncio.sleep(1.0)
        self._deployment.group.rejoin(server)

    async def delay_replication(self) -> None:
        """Let one server fall behind."""
        server = self._random.choice(self._deployment.group.servers)
        self._record_fault(f"lag of {server.name}")
        server.lag_s = self._random.uniform(0.3, 3.0)
        await wait_for_fault_end(self._random)
        server.lag_s = self._random.uniform(0.0, 0.05)

    async def lose_answers(self) -> None:
        """Lose a part of the answers of one server."""
        server = self._random.choice(self._deployment.group.servers)
        self._record_fault(f"lose answers of {server.name}")
        server.lost_share = 0.2
        await wait_for_fault_end(self._random)
        server.lost_share = 0.0

    async def disrupt_provider(self) -> None:
        """Block or refuse what passes on the link to the provider."""
        mode = self._random.choice(
            [LinkMode.BLACKHOLE, LinkMode.ONE_WAY, LinkMode.REFUSE]
        )
        self._record_fault(f"link to the provider: {mode.value}")
        self._deployment.provider_link.set_mode(mode)
        await wait_for_fault_end(self._random)
        self._deployment.provider_link.set_mode(LinkMode.PASS)
