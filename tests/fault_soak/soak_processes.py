"""Run the real daemons as child processes and inject process and disk faults."""

import os
import resource
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from soak_disks import DISK_FILE_VARIABLE, SoakDisk

PEER_PORT = 17_440
CONTROL_PORT = 18_080
CALLER_PORT = 18_784
HEALTH_PORT = 18_785
STOP_TIMEOUT_S = 4.0
_SETTINGS_VARIABLE = "CARDAMOMSHUNT_NODE_FILE"
_DAEMON_PATH = Path(__file__).with_name("daemon_on_test_disk.py")


@dataclass
class DaemonProcess:
    """Manage the settings file, data folder and process of one daemon."""

    name: str
    role: str
    host: str
    zone: str
    folder: Path
    seeds: list[str]
    promotion_address: str
    process: subprocess.Popen[bytes] | None = None
    is_paused: bool = False
    # A removed machine never starts again.
    is_removed: bool = False
    # Start of a planned stop, and end of the last kill or pause (inf while it lasts), on
    # the monotonic clock.
    stopping_since_s: float | None = None
    disrupted_until_s: float = 0.0
    started_s: float = 0.0
    n_starts: int = field(default=0)
    disk: SoakDisk = field(init=False)

    def __post_init__(self) -> None:
        self.disk = SoakDisk(self.data_folder)

    @property
    def undisturbed_since_s(self) -> float:
        """Return since when it has run without a kill, pause, full or stalled disk."""
        is_disturbed = not self.is_running or self.is_paused or self.stopping_since_s
        since_s = max(
            self.started_s, self.disrupted_until_s, self.disk.state.stalled_until_s
        )
        return float("inf") if is_disturbed else since_s

    @property
    def data_folder(self) -> Path:
        """Return the data folder, which stands for the daemon's disk."""
        return self.folder / self.name

    @property
    def log_path(self) -> Path:
        """Return the file for the output of the process."""
        return self.folder / f"{self.name}.log"

    @property
    def caller_address(self) -> str:
        """Return the address for callers."""
        return f"{self.host}:{CALLER_PORT}"

    @property
    def control_address(self) -> str:
        """Return the address for operators and backend servers."""
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Write the settings file for the next start."""
        listen = f'control = "{self.control_address}"'
        if self.role == "entry":
            listen = (
                f'frontend_address = "{self.caller_address}"\n'
                f'ready = "{self.host}:{HEALTH_PORT}"'
            )
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        text = f"""
node_name = "{self.name}"
ip_address = "{self.host}"
zone = "{self.zone}"
internal_port_range = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = [{seeds}]
bootstrap = {"true" if self.n_starts == 0 else "false"}
data_directory = "{self.data_folder}"
[listen_addresses]
{listen}
[bounds]
grace_period_s = {STOP_TIMEOUT_S}
[cloud_api]
address = "{self.promotion_address}"
"""
        path = self.folder / f"{self.name}.toml"
        path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process unless it is running or its machine is removed."""
        if self.is_running or self.is_removed:
            return
        self.data_folder.mkdir(exist_ok=True)
        self.write_settings()
        self.n_starts += 1
        self.started_s = time.monotonic()
        self.is_paused, self.stopping_since_s = False, None
        settings = self.folder / f"{self.name}.toml"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(_DAEMON_PATH), self.role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    _SETTINGS_VARIABLE: str(settings),
                    DISK_FILE_VARIABLE: str(self.disk.path),
                },
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)
            self.is_paused = number is signal.SIGSTOP

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Remove the data folder; the process must not be running."""
        assert not self.is_running
        self.disk.lose()

    def limit_file_size(self, size_bytes: int) -> None:
        """Make file writes beyond a size fail; a negative size removes the limit."""
        if not self.is_running:
            return
        assert self.process is not None
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        soft = size_bytes if size_bytes >= 0 else hard
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft, hard))
