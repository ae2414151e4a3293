"""Control daemons that run as separate processes, for tests."""

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

import yaml
from cardamomshunt.messages import Message
from cardamomshunt.operator_messages import StatusReply, StatusRequest
from cardamomshunt_node.keys import KeyRing
from cardamomshunt_node.operator_link import NoReplyError, send_request
from cardamomshunt_testing._ports import free_ports

_KEYS = KeyRing([])


class ControlProcesses:
    """Start and stop control daemons, and send requests to them."""

    def __init__(self, folder: Path, n_nodes: int = 3) -> None:
        self.folder = folder
        self.names = [f"control-{number}" for number in range(1, n_nodes + 1)]
        ports = free_ports(3 * n_nodes)
        self.peer_ports = dict(zip(self.names, ports[:n_nodes], strict=True))
        operator_ports = ports[n_nodes : 2 * n_nodes]
        self.operator_ports = dict(zip(self.names, operator_ports, strict=True))
        self.metrics_ports = dict(zip(self.names, ports[2 * n_nodes :], strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def settings(self, name: str) -> dict[str, object]:
        return {
            "node": name,
            "role": "control",
            "zone": f"zone-{name[-1]}",
            "peer_address": f"127.0.0.1:{self.peer_ports[name]}",
            "operator_address": f"127.0.0.1:{self.operator_ports[name]}",
            "metrics_address": f"127.0.0.1:{self.metrics_ports[name]}",
            "data_folder": str(self.folder / name),
            "control_nodes": [
                {
                    "node": item,
                    "zone": f"zone-{item[-1]}",
                    "peer_address": f"127.0.0.1:{self.peer_ports[item]}",
                    "operator_address": f"127.0.0.1:{self.operator_ports[item]}",
                }
                for item in self.names
            ],
        }

    def start(self, name: str) -> None:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings(name)))
        command = [
            sys.executable,
            "-c",
            "from cardamomshunt_node.main import main; main()",
            "--settings",
            str(path),
        ]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_all(self) -> None:
        for name in self.names:
            self.start(name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    async def send_request(
        self, name: str, request: Message, timeout_ms: float = 500
    ) -> Message:
        url = f"tcp://127.0.0.1:{self.operator_ports[name]}"
        return await send_request(url, request, _KEYS, timeout_ms)

    async def wait_for_leader(
        self, timeout_s: float = 15.0, other_than: str = ""
    ) -> str:
        """Wait until a node holds the leader lease and return its name."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for name in self.processes:
                if name == other_than:
                    continue
                try:
                    reply = await self.send_request(name, StatusRequest())
                except NoReplyError:
                    continue
                if isinstance(reply, StatusReply) and reply.is_authoritative:
                    return name
            await asyncio.sleep(0.05)
        raise AssertionError(f"no leader within {timeout_s} s")
