"""Child processes that are stopped together."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

_STOP_TIMEOUT_S = 5.0
_N_LOG_LINES = 15


class Processes:
    """Start and stop child processes by name, with their output in one folder."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start_module(self, name: str, module: str, settings: Path) -> None:
        """Start a module of this package with its settings file."""
        command = [sys.executable, "-m", module, "--settings", str(settings)]
        self.start(name, command)

    def start_daemon(self, name: str, settings: Path) -> None:
        """Start a daemon with its settings file."""
        binary = Path(sys.executable).with_name("cardamomshuntd")
        self.start(name, [str(binary), "--settings", str(settings)])

    def start(self, name: str, command: list[str]) -> None:
        """Start a command; its output is appended to that of earlier starts."""
        with self.log_path(name).open("ab") as log:
            self._running[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a child's output."""
        return self._folder / f"{name}.log"

    def log_tail(self, name: str) -> str:
        """Return the last lines of a child's output."""
        path = self.log_path(name)
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return "\n".join(lines[-_N_LOG_LINES:])

    def pid(self, name: str) -> int:
        """Return a child's process id."""
        return self._running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a child, if it was started, and wait for its end."""
        process = self._running.pop(name, None)
        if process is None:
            return
        process.kill()
        process.wait()

    def exited(self) -> list[str]:
        """Return the names of the children that exited by themselves."""
        return [name for name, item in self._running.items() if item.poll() is not None]

    async def stop(self) -> None:
        """Stop all children with SIGTERM, and with SIGKILL after 5 s."""
        running = list(self._running.values())
        self._running.clear()
        for process in running:
            # A stopped child handles SIGTERM only after SIGCONT.
            process.send_signal(signal.SIGCONT)
            process.terminate()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _STOP_TIMEOUT_S
        try:
            while any(item.poll() is None for item in running):
                if loop.time() > deadline:
                    break
                await asyncio.sleep(0.02)
        finally:
            for process in running:
                if process.poll() is None:
                    process.kill()
                process.wait()
