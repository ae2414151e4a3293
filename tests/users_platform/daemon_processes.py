"""Daemons of a deployment on loopback as real processes, which a test may kill."""

import asyncio
import json
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

from cardamomshunt_node.deployment import DeploymentSettings

_SETTINGS_TEMPLATE = """
node_name = "{node}"
zone = "{zone}"
ip_address = "{host}"
internal_port_range = [{peer_port}, {peer_port}]
seeds = {seeds}
bootstrap = {bootstrap}
data_directory = "{data_folder}"

[listen_addresses]
frontend_address = "{caller_address}"
ready = "{health_address}"
control = "{control_address}"

[cloud_api]
address = "{promotion_address}"
"""


@dataclass
class DaemonProcesses:
    """Processes of the daemons, and the folder of their settings and logs."""

    folder: Path
    settings: dict[str, DeploymentSettings]
    running: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    @property
    def control_addresses(self) -> list[str]:
        found = (item.control_address for item in self.settings.values())
        return [address for address in found if address]

    @property
    def caller_addresses(self) -> list[str]:
        found = (item.caller_address for item in self.settings.values())
        return [address for address in found if address]

    async def start(self, node: str, code: str = "") -> None:
        """Start a daemon with its command, or with Python code that starts it."""
        settings = self.settings[node]
        role = "control" if settings.control_address else "entry"
        path = self.folder / f"{node}.toml"
        path.write_text(
            _SETTINGS_TEMPLATE.format(
                node=node,
                zone=settings.zone,
                host=settings.host,
                peer_port=settings.peer_port,
                bootstrap=json.dumps(settings.is_first_start),
                seeds=json.dumps(settings.control_addresses),
                data_folder=settings.data_folder,
                caller_address=settings.caller_address,
                health_address=settings.health_address,
                control_address=settings.control_address,
                promotion_address=settings.promotion_address,
            )
        )
        with (self.folder / f"{node}.log").open("ab") as log:
            self.running[node] = await asyncio.create_subprocess_exec(
                sys.executable,
                *(["-c", code] if code else ["-m", "cardamomshunt_platform", role]),
                stdout=log,
                env=os.environ | {"CARDAMOMSHUNT_NODE_FILE": str(path)},
            )

    async def start_all(self) -> None:
        await asyncio.gather(*(self.start(node) for node in self.settings))

    async def kill_all(self) -> None:
        """Kill the daemons at once, as a power loss does."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(item.wait() for item in self.running.values()))
        self.running.clear()

    def steps(self, node: str) -> list[dict[str, int]]:
        """Return the elapsed time of the steps of each start, by step."""
        starts: list[dict[str, int]] = []
        for line in (self.folder / f"{node}.log").read_text().splitlines():
            event = json.loads(line)
            if event["event"] != "recovery_step":
                continue
            if event["step"] == "imports":
                starts.append({})
            starts[-1][event["step"]] = event["elapsed_ms"]
        return starts
