"""Exit codes and one-line errors of the daemon, and its planned stop."""

import asyncio
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml
from cardamomshunt_node.main import main
from cardamomshunt_testing._ports import free_ports
from click.testing import CliRunner


def _document(ports: list[int], **changes: Any) -> dict[str, Any]:
    names = ("peer", "operator", "metrics", "caller", "announcement")
    addresses = {
        f"{name}_address": f"127.0.0.1:{port}"
        for name, port in zip(names, ports, strict=True)
    }
    node = {
        "node": "control-1",
        "zone": "nairobi-a",
        "peer_address": "127.0.0.1:1",
        "operator_address": "127.0.0.1:2",
    }
    return {
        "node": "proxy-1",
        "role": "proxy",
        "zone": "nairobi-a",
        **addresses,
        "control_nodes": [node],
        **changes,
    }


@pytest.fixture
def ports() -> list[int]:
    return free_ports(5)


def _write(folder: Path, document: Any) -> str:
    path = folder / "proxy.yaml"
    path.write_text(document if isinstance(document, str) else yaml.dump(document))
    return str(path)


@pytest.mark.parametrize(
    ("changes", "exit_code", "n_lines", "text"),
    [
        ({}, 0, 1, "valid"),
        ({"role": "judge", "zone": 5, "colour": "red"}, 2, 3, "expected"),
        ({"keys": [{"key_id": "k1", "secret_file": "/nowhere"}]}, 3, 1, "/nowhere"),
    ],
)
def test_check(
    tmp_path: Path,
    ports: list[int],
    changes: dict[str, Any],
    exit_code: int,
    n_lines: int,
    text: str,
) -> None:
    path = _write(tmp_path, _document(ports, **changes))
    result = CliRunner().invoke(main, ["--settings", path, "--check"])
    assert result.exit_code == exit_code
    assert len(result.output.splitlines()) == n_lines
    assert text in result.output


@pytest.mark.parametrize("index", range(5))
def test_address_in_use_is_named(tmp_path: Path, ports: list[int], index: int) -> None:
    """Guards against a traceback, or an error that does not name the setting."""
    names = ("peer", "operator", "metrics", "caller", "announcement")
    path = _write(tmp_path, _document(ports, log_file=str(tmp_path / "log")))
    with socket.create_server(("127.0.0.1", ports[index])):
        result = CliRunner().invoke(main, ["--settings", path])
    assert result.exit_code == 3
    assert len(result.output.splitlines()) == 1
    assert f"{names[index]}_address 127.0.0.1:{ports[index]}" in result.output


async def test_planned_stop_exits_with_0(tmp_path: Path, ports: list[int]) -> None:
    path = _write(tmp_path, _document(ports, log_file=str(tmp_path / "log")))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cardamomshunt_node.main", "--settings", path
    )
    try:
        async with asyncio.timeout(15):
            while True:
                try:
                    socket.create_connection(("127.0.0.1", ports[3])).close()
                    break
                except OSError:
                    await asyncio.sleep(0.05)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            process.terminate()
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
    log = (tmp_path / "log").read_text()
    assert "KEYS_RELOADED" in log
    assert "PROXY_STOPPED" in log
