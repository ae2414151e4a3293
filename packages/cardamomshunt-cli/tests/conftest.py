"""Fake daemons that serve the operator protocol, for tests of the command line."""

import asyncio
import json
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from cardamomshunt.messages import FailoverStep, Message, NodeRole
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    DatabaseStatus,
    InstanceStatus,
    NodeStatus,
    OperatorError,
    OperatorErrorCode,
    PatchOutcome,
    PatchReply,
    PatchRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)
from cardamomshunt.position import LogPosition
from cardamomshunt_cli import _client
from cardamomshunt_cli.main import main
from cardamomshunt_node.keys import KeyRing
from cardamomshunt_node.operator_link import OperatorServer
from cardamomshunt_testing._ports import free_ports
from click.testing import CliRunner, Result


def free_address() -> str:
    return f"127.0.0.1:{free_ports(1)[0]}"


@dataclass
class FakeDaemon:
    """Answer operator requests from scripted state."""

    node: str
    is_leader: bool = True
    address: str = field(default_factory=free_address)
    leader_address: str | None = None
    documents: dict[int, dict[str, Any]] = field(
        default_factory=lambda: {1: {"version": 1, "policy": {"detection_ms": 600}}}
    )
    patches: dict[str, PatchReply] = field(default_factory=dict)
    n_patch_requests: int = 0
    n_answers_lost: int = 0
    patch_delay_s: float = 0.0
    n_polls_missing: int = 0
    nodes: list[NodeStatus] = field(default_factory=list)
    timeline: TimelineReply | None = None
    other: Callable[[Message], Message] | None = None

    @property
    def version(self) -> int:
        return max(self.documents)

    async def handle(self, message: Message) -> Message:
        if isinstance(message, StatusRequest):
            return self.status()
        if isinstance(message, TimelineRequest):
            return self.timeline or TimelineReply(node=self.node, events=[])
        if not self.is_leader:
            return OperatorError(
                code=OperatorErrorCode.NOT_LEADER,
                detail="not the leader",
                leader_operator_address=self.leader_address,
            )
        if isinstance(message, PatchRequest):
            return await self.patch(message)
        if isinstance(message, ConfigurationRequest):
            return self.configuration(message)
        if self.other is not None:
            return self.other(message)
        return OperatorError(code=OperatorErrorCode.UNSUPPORTED, detail="scripted")

    def status(self) -> StatusReply:
        replica = InstanceStatus(
            database="orders",
            instance="orders-2",
            zone="nairobi-b",
            role="replica",
            term=4,
            applied_position=LogPosition(4, 10),
            lag_ms=35.0,
            silence_ms=10.0,
        )
        return StatusReply(
            node=self.node,
            is_authoritative=self.is_leader,
            configuration_version=self.version,
            leader=self.node if self.is_leader else None,
            databases=[
                DatabaseStatus(
                    database="orders",
                    term=4,
                    primary_instance="orders-1",
                    step=FailoverStep.SERVING,
                    instances=[replica],
                )
            ],
            nodes=self.nodes,
            problems=[],
        )

    async def patch(self, request: PatchRequest) -> PatchReply:
        self.n_patch_requests += 1
        await asyncio.sleep(self.patch_delay_s)
        reply = self.patches.get(request.patch_id)
        if reply is None:
            reply = self._decide(request)
            self.patches[request.patch_id] = reply
        if self.n_answers_lost:
            self.n_answers_lost -= 1
            await asyncio.sleep(2.0)
        return reply

    def _decide(self, request: PatchRequest) -> PatchReply:
        outcome = PatchOutcome.ACCEPTED
        if request.base_version != self.version:
            outcome = PatchOutcome.STALE_BASE
        elif request.is_dry_run:
            outcome = PatchOutcome.DRY_RUN_OK
        elif any("nonsense" in change.path for change in request.changes):
            outcome = PatchOutcome.INVALID
        else:
            document = json.loads(json.dumps(self.documents[self.version]))
            for change in request.changes:
                table, _, name = change.path.partition(".")
                document[table][name] = change.value
            document["version"] = self.version + 1
            self.documents[self.version + 1] = document
        return PatchReply(
            patch_id=request.patch_id,
            outcome=outcome,
            version=self.version,
            changes_since=request.changes if outcome is PatchOutcome.STALE_BASE else [],
        )

    def configuration(self, request: ConfigurationRequest) -> ConfigurationReply:
        version = request.version or self.version
        missing = []
        if self.n_polls_missing:
            self.n_polls_missing -= 1
            missing = ["proxy-9"]
        return ConfigurationReply(
            version=version,
            document_json=json.dumps(self.documents[version]),
            in_force_on=["proxy-1"],
            missing_on=missing,
        )


def proxy_status(address: str, silence_ms: float = 10.0) -> NodeStatus:
    return NodeStatus(
        node="proxy-1",
        role=NodeRole.PROXY,
        zone="nairobi-a",
        operator_address=address,
        configuration_version=1,
        topology_version=3,
        silence_ms=silence_ms,
    )


class DaemonHost:
    """Run fake daemons in an event loop on a thread of its own.

    Commands start an event loop themselves, so the daemons can't share it.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.servers: list[OperatorServer] = []

    def run(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def daemon(self, node: str, **state: Any) -> FakeDaemon:
        """Start a fake daemon."""
        daemon = FakeDaemon(node, **state)
        server = OperatorServer(
            node, f"tcp://{daemon.address}", KeyRing([]), daemon.handle
        )
        self.run(server.start())
        self.servers.append(server)
        return daemon

    free_address = staticmethod(free_address)
    proxy_status = staticmethod(proxy_status)

    def stop(self) -> None:
        for server in self.servers:
            self.run(server.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


@pytest.fixture
def host() -> Iterator[DaemonHost]:
    started = DaemonHost()
    yield started
    started.stop()


@pytest.fixture
def ctl() -> Callable[..., Result]:
    """Run the command line against the control nodes at some addresses."""

    def call(addresses: list[str], *arguments: str) -> Result:
        control = [word for item in addresses for word in ("--control", item)]
        return CliRunner().invoke(main, [*control, *arguments])

    return call


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_client, "_STATUS_TIMEOUT_MS", 600.0)
    monkeypatch.setattr(_client, "_REQUEST_TIMEOUT_MS", 900.0)
