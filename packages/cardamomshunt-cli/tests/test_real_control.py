"""The command line works with real control daemons, also after a leader is lost."""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from cardamomshunt.events import EventNumber
from cardamomshunt_cli import _client
from cardamomshunt_cli._exit_codes import ExitCode
from cardamomshunt_testing._ports import free_ports
from click.testing import Result

Ctl = Callable[..., Result]
_SITE = Path(__file__).parents[3] / "examples" / "kiti-bora"
_START_LIMIT_S = 15.0


@dataclass
class Control:
    """Settings files, processes and operator addresses of three control daemons."""

    files: dict[str, Path]
    processes: dict[str, subprocess.Popen[bytes]]
    operator_addresses: dict[str, str]


def _write_settings(folder: Path) -> Control:
    """Write the example settings with free ports and a test key."""
    key = folder / "k1.key"
    key.write_text("an example secret of 32 characters")
    ports = iter(free_ports(9))
    replacements = {"/etc/cardamomshunt/k1.key": str(key)}
    for old in range(7000, 7030, 10):
        for offset in range(3):
            replacements[f"127.0.0.1:{old + offset}\n"] = f"127.0.0.1:{next(ports)}\n"
    files, addresses = {}, {}
    for name in ("control-1", "control-2", "control-3"):
        data_folder = folder / name
        data_folder.mkdir()
        text = (_SITE / f"{name}.yaml").read_text()
        text = text.replace(
            f"/var/lib/cardamomshunt/kiti-bora/{name}", str(data_folder)
        )
        for old, new in replacements.items():
            text = text.replace(old, new)
        files[name] = folder / f"{name}.yaml"
        files[name].write_text(text)
        line = next(x for x in text.splitlines() if x.startswith("operator_address"))
        addresses[name] = line.split(": ")[1]
    return Control(files, {}, addresses)


def _start(control: Control, name: str) -> None:
    command = [sys.executable, "-c", "from cardamomshunt_node.main import main; main()"]
    with (control.files[name].parent / f"{name}.log").open("ab") as log:
        control.processes[name] = subprocess.Popen(
            [*command, "--settings", str(control.files[name])], stderr=log
        )


@pytest.fixture
def short_timeouts() -> None:
    """Disable the short timeouts, as real daemons under load need the real ones."""


@pytest.fixture
def control(tmp_path: Path) -> Iterator[Control]:
    started = _write_settings(tmp_path)
    for name in started.files:
        _start(started, name)
    yield started
    for process in started.processes.values():
        process.kill()
        process.wait(10)


def _leader(ctl: Ctl, control: Control) -> str:
    """Wait for a leader and return its name."""
    deadline_s = time.monotonic() + _START_LIMIT_S
    while time.monotonic() < deadline_s:
        result = _run(ctl, control, "--json", "status")
        if result.exit_code in (ExitCode.OK, ExitCode.PROBLEMS):
            view = json.loads(result.stdout)
            if view["is_authoritative"]:
                return str(view["leader"])
        time.sleep(0.1)
    raise AssertionError("no leader")


def _run(ctl: Ctl, control: Control, *arguments: str) -> Result:
    return ctl([], "--settings", str(control.files["control-1"]), *arguments)


def test_first_deployment_and_loss_of_the_leader(
    ctl: Ctl, control: Control, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = _leader(ctl, control)
    applied = _run(ctl, control, "patch", str(_SITE / "configuration.yaml"))
    assert applied.exit_code == ExitCode.OK, applied.output
    shown = _run(ctl, control, "config", "show")
    assert "databases.dispatch.dispatch.max_age_ms = 300" in shown.output
    control.processes[leader].kill()
    changed = _run(
        ctl, control, "patch", "--set", "policy.detection_ms=700", "--id", "p1"
    )
    assert changed.exit_code == ExitCode.OK, changed.output
    assert f"unresponsive, will apply it on reconnecting: {leader}" in changed.output
    repeated = _run(
        ctl, control, "patch", "--set", "policy.detection_ms=700", "--id", "p1"
    )
    assert "accepted as version 2" in repeated.output, repeated.output
    invalid = _run(ctl, control, "patch", "--set", "policy.nonsense=1")
    assert invalid.exit_code == ExitCode.REFUSED
    stale = _run(ctl, control, "patch", "--set", "policy.detection_ms=9", "--base", "1")
    assert stale.exit_code == ExitCode.STALE_BASE
    rolled = _run(ctl, control, "config", "rollback", "1", "--wait", "0")
    assert "accepted as version 3" in rolled.output, rolled.output
    difference = _run(ctl, control, "config", "diff", "1", "3")
    assert difference.output.strip() == "no difference"
    assert "version 3" in _run(ctl, control, "config", "history").output
    assert _run(ctl, control, "drain", "nothing").exit_code == ExitCode.REFUSED
    _check_timeline(ctl, control, dead=leader)
    _check_planned_stop_and_loss_of_the_majority(ctl, control, dead=leader)
    monkeypatch.setattr(_client, "_TOTAL_TIMEOUT_S", 2.0)
    result = _run(ctl, control, "patch", "--set", "policy.detection_ms=700")
    assert result.exit_code == ExitCode.NO_LEADER, result.output
    assert "majority" in result.output


def _check_planned_stop_and_loss_of_the_majority(
    ctl: Ctl, control: Control, dead: str
) -> None:
    """Check that a planned stop of the leader transfers leadership and exits with 0.

    Ends with one of three nodes running.
    """
    control.processes[dead].wait(10)
    _start(control, dead)
    leader = _leader(ctl, control)
    control.processes[leader].send_signal(signal.SIGTERM)
    assert control.processes[leader].wait(10) == 0
    second = _leader(ctl, control)
    assert second != leader
    control.processes[second].kill()
    control.processes[second].wait(10)


def _check_timeline(ctl: Ctl, control: Control, dead: str) -> None:
    """Check that the timeline shows the election before the patches.

    The killed node is listed as unresponsive.
    """
    merged = json.loads(_run(ctl, control, "--json", "timeline").stdout)
    assert merged["silent_addresses"] == [control.operator_addresses[dead]]
    numbers = [event["number"] for event in merged["events"]]
    elected = numbers.index(EventNumber.LEADER_ELECTED)
    assert numbers[elected:].count(EventNumber.PATCH_ACCEPTED) >= 2
    assert numbers.count(EventNumber.CONTROL_STARTED) == 2
