"""A running proxy daemon with a backend server and a control node."""

import asyncio
import contextlib
import dataclasses
from typing import Any

import aiohttp
import asyncmy
import msgspec
from cardamomshunt.messages import (
    Announcement,
    DatabaseTopology,
    FailoverStep,
    Heartbeat,
    Message,
    TokenEcho,
    TopologyUpdate,
)
from cardamomshunt.position import LogPosition
from cardamomshunt_node.keys import KeyRing
from cardamomshunt_node.proxy_role import ProxyDaemon
from cardamomshunt_node.settings import DaemonSettings
from cardamomshunt_node.transport import PeerTransport, ReceivedMessage

TOPOLOGY = TopologyUpdate(
    version=5,
    databases=[
        DatabaseTopology(
            database="orders",
            term=3,
            primary_instance="orders-1",
            step=FailoverStep.SERVING,
        )
    ],
)


class Control:
    """Minimal control leader that records messages and sends scripted ones."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.received: list[Message] = []
        self._proxy_url = settings.peer_address.url
        node = settings.control_nodes[0]
        self.transport = PeerTransport(
            node.node, node.peer_address.url, KeyRing([]), self._receive
        )

    async def _receive(self, received: ReceivedMessage) -> None:
        self.received.append(received.message)

    def send(self, message: Message) -> None:
        self.transport.send(self._proxy_url, message)

    def heartbeats(self) -> list[Heartbeat]:
        return [item for item in self.received if isinstance(item, Heartbeat)]


@dataclasses.dataclass
class Site:
    """Running proxy with one backend server and a control node."""

    settings: DaemonSettings
    daemon: ProxyDaemon
    backend: Any
    control: Control
    announcer: "asyncio.Task[None] | None" = None
    is_announcing: bool = True
    token: str | None = None
    n_announced: int = 0
    last_status: int = 0
    connections: list[Any] = dataclasses.field(default_factory=list)

    async def announce_forever(self) -> None:
        url = f"http://{self.settings.announcement_address}/v1/announcement"
        async with aiohttp.ClientSession() as session:
            while True:
                if self.is_announcing:
                    with contextlib.suppress(aiohttp.ClientError):
                        await self._announce(session, url)
                await asyncio.sleep(0.02)

    async def _announce(self, session: aiohttp.ClientSession, url: str) -> None:
        echo = None
        if self.token is not None:
            position = LogPosition(self.backend.term, self.backend.position)
            echo = TokenEcho(token=self.token, position=position)
        announcement: Announcement = self.backend.announcement(echo=echo)
        body = msgspec.json.encode(announcement)
        async with session.post(url, data=body) as response:
            self.last_status = response.status
            self.token = (await response.json())["token"]
            self.n_announced += 1

    async def connect(self, **options: Any) -> Any:
        address = self.settings.caller_address
        assert address is not None
        connection = await asyncmy.connect(
            host=address.host,
            port=address.port,
            user="caller",
            database="orders",
            **{"autocommit": None, **options},
        )
        self.connections.append(connection)
        return connection


async def query(connection: Any, sql: str) -> Any:
    """Run a statement; return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


async def start_site(
    settings: DaemonSettings, backend: Any, sends_state: bool = True
) -> Site:
    daemon = ProxyDaemon(settings, drain_time_ms=3_000.0)
    control = Control(settings)
    await control.transport.start()
    await daemon.start()
    site = Site(settings, daemon, backend, control)
    site.announcer = asyncio.create_task(site.announce_forever())
    async with asyncio.timeout(5):
        while daemon.state.topology.version == 0:
            if sends_state:
                control.send(TOPOLOGY)
            await asyncio.sleep(0.02)
        while site.n_announced < 3:
            await asyncio.sleep(0.02)
    return site


async def stop_site(site: Site) -> None:
    if site.announcer is not None:
        site.announcer.cancel()
        await asyncio.gather(site.announcer, return_exceptions=True)
    for connection in site.connections:
        connection.close()
    await site.daemon.stop()
    await site.control.transport.stop()
