"""Commands, exit codes, events and metrics in the docs match the code."""

import os
import re
import shlex
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
import pytest
import yaml
from cardamomshunt.events import CATALOGUE
from cardamomshunt.messages import Message
from cardamomshunt.operator_messages import (
    DrainReply,
    DrainRequest,
    HandoverReply,
    HandoverRequest,
    MemberChangeReply,
    TimelineReply,
)
from cardamomshunt_cli import _team_commands
from cardamomshunt_cli._exit_codes import ExitCode
from cardamomshunt_cli.main import main
from cardamomshunt_node._control_metrics import ControlMetrics
from cardamomshunt_node.metrics import NodeMetrics
from cardamomshunt_node.operator_pages import HttpResponse, TeamPage
from click.testing import CliRunner

_ROOT = Path(__file__).parents[3]
_PAGES = [_ROOT / "README.md", *sorted((_ROOT / "docs").glob("*.md"))]
_SETTINGS = "/etc/cardamomshunt/daemon.yaml"
_HISTOGRAM_SUFFIXES = ("_bucket", "_count", "_sum")


def _shell_lines(page: Path) -> Iterator[str]:
    text = re.sub(r"^ +", "", page.read_text(), flags=re.MULTILINE)
    for block in re.findall(r"^```sh\n(.*?)^```", text, re.MULTILINE | re.DOTALL):
        yield from block.splitlines()


def _commands() -> list[str]:
    lines = [line for page in _PAGES for line in _shell_lines(page)]
    return sorted({line for line in lines if line.startswith("cardamomctl ")})


def _answer_operation(message: Message) -> Message:
    if isinstance(message, DrainRequest):
        return DrainReply(target=message.target, is_draining=message.is_draining)
    if isinstance(message, HandoverRequest):
        return HandoverReply(
            database="orders",
            from_instance="orders-2",
            to_instance="orders-1",
            term=4,
        )
    return MemberChangeReply(members=["control-1"], is_caught_up=True)


@pytest.fixture
def daemon_settings(host: Any, tmp_path: Path) -> Path:
    """Write example settings whose only control node is a fake leader."""
    leader = host.daemon("control-1", other=_answer_operation)
    leader.documents[2] = {**leader.documents[1], "version": 2, "databases": {}}
    leader.documents[3] = {**leader.documents[2], "version": 3}
    leader.timeline = TimelineReply(node="control-1", events=[])
    text = (_ROOT / "examples" / "kiti-bora" / "control-1.yaml").read_text()
    document = yaml.safe_load(text)
    document["keys"] = []
    document["control_nodes"] = document["control_nodes"][:1]
    document["control_nodes"][0]["operator_address"] = leader.address
    path = tmp_path / "daemon.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


async def _answer_team_page(*arguments: Any) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(TeamPage(7, [])))


def test_docs_contain_commands() -> None:
    assert len(_commands()) > 25


@pytest.mark.parametrize("command", _commands())
def test_documented_command_runs(
    command: str,
    daemon_settings: Path,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(_ROOT)
    monkeypatch.setenv("CARDAMOMCTL_SETTINGS", str(daemon_settings))
    monkeypatch.setattr(_team_commands, "call_http", _answer_team_page)
    line = command.replace("/tmp/", f"{tmp_path}/")
    line = line.replace(_SETTINGS, str(daemon_settings))
    result = CliRunner().invoke(main, shlex.split(line)[1:])
    assert result.exit_code == ExitCode.OK, (line, result.output)


def test_other_shell_lines_are_known() -> None:
    """Guards against documented shell commands of a kind that no test runs."""
    known = ("cardamomctl ", "make install", "export ", "_CARDAMOMCTL", "python ex")
    lines = {line for page in _PAGES for line in _shell_lines(page) if line}
    assert [line for line in lines if not line.startswith(known)] == []


def test_shell_completion() -> None:
    environment = {**os.environ, "_CARDAMOMCTL_COMPLETE": "bash_source"}
    command = [str(Path(sys.executable).with_name("cardamomctl"))]
    script = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=20, check=True
    )
    assert "complete" in script.stdout


def _all_commands(group: click.Group, prefix: str = "") -> Iterator[str]:
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from _all_commands(command, f"{prefix}{name} ")
        else:
            yield f"{prefix}{name}"


@pytest.mark.parametrize("name", list(_all_commands(main)))
def test_every_command_is_documented(name: str) -> None:
    lines = list(_shell_lines(_ROOT / "docs" / "cli.md"))
    pattern = rf"cardamomctl (--\S+ )*{name}( |$)"
    assert any(re.match(pattern, line) for line in lines)


def test_exit_codes_are_documented() -> None:
    page = (_ROOT / "docs" / "cli.md").read_text()
    documented = {int(code) for code in re.findall(r"^\| (\d+) \|", page, re.MULTILINE)}
    assert documented == {int(code) for code in ExitCode}


def test_events_page_is_the_catalogue() -> None:
    result = CliRunner().invoke(main, ["explain", "--all"])
    assert result.output == (_ROOT / "docs" / "events.md").read_text()


def test_events_and_alerts_name_existing_sections() -> None:
    texts = [entry.action for entry in CATALOGUE.values()]
    texts += [rule["annotations"]["action"] for rule in _alerts()]
    for text in texts:
        for page, heading in re.findall(r"(docs/\w+\.md)(?:, '(.+?)')?", text):
            content = (_ROOT / page).read_text()
            assert not heading or f"## {heading}\n" in content, text


def test_embedding_example_prints_what_the_page_shows() -> None:
    page = (_ROOT / "docs" / "embedding.md").read_text()
    shown = re.search(r"```text\n(.*?)```", page, re.DOTALL)
    run = subprocess.run(
        [sys.executable, str(_ROOT / "examples" / "embedding.py")],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    assert shown is not None and run.stdout == shown[1]


def _alerts() -> list[dict[str, Any]]:
    document = yaml.safe_load((_ROOT / "examples" / "alerts.yaml").read_text())
    return [rule for group in document["groups"] for rule in group["rules"]]


def test_alerts_use_existing_metrics() -> None:
    """An alert rule on a misspelt metric would never fire."""
    known = set(NodeMetrics("a", "proxy", "z").registry.collectors)
    known |= set(ControlMetrics().registry.collectors)
    for rule in _alerts():
        names = set(re.findall(r"cardamomshunt_\w+", rule["expr"]))
        assert names
        for name in names:
            stems = {name} | {name.removesuffix(x) for x in _HISTOGRAM_SUFFIXES}
            assert stems & known, name


def test_paging_alerts_outlast_automatic_recovery() -> None:
    """A page waits longer than automatic recovery, and every alert names an action."""
    for rule in _alerts():
        assert rule["labels"]["severity"] in ("page", "ticket")
        assert rule["annotations"]["summary"] and rule["annotations"]["action"]
        if rule["labels"]["severity"] == "page":
            assert int(rule["for"].removesuffix("m")) >= 2
    pages = [x["alert"] for x in _alerts() if x["labels"]["severity"] == "page"]
    assert pages == ["WritesBlocked", "NoEntryVm", "MostRequestsRefused"]


@pytest.mark.parametrize("page", _PAGES, ids=lambda page: page.name)
def test_links_resolve(page: Path) -> None:
    links = re.findall(r"\]\(([^)#]+)", page.read_text())
    missing = [x for x in links if "://" not in x and not (page.parent / x).exists()]
    assert missing == []
