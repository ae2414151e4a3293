"""Commands end with the documented exit codes and retry after lost replies."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cardamomshunt.control import ControlOptions
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import Message
from cardamomshunt.operator_messages import (
    DrainReply,
    DrainRequest,
    HandoverReply,
    HandoverRequest,
    MemberChangeReply,
    MemberChangeRequest,
    OperatorError,
    OperatorErrorCode,
)
from cardamomshunt.verdict import RefusalReason
from cardamomshunt_cli import _client
from cardamomshunt_cli._exit_codes import ExitCode
from cardamomshunt_cli._explanations import explain
from click.testing import Result

Ctl = Callable[..., Result]
# The tests run with a shorter one.
_REQUEST_TIMEOUT_MS = _client._REQUEST_TIMEOUT_MS


def test_status_of_leader(host: Any, ctl: Ctl) -> None:
    leader = host.daemon("control-1")
    leader.nodes = [host.proxy_status(leader.address)]
    shown = ctl([leader.address], "status")
    assert shown.exit_code == ExitCode.OK, shown.output
    for text in ("orders-1", "orders-2 (35 ms)", "proxy-1", "nothing is wrong"):
        assert text in shown.output
    as_json = json.loads(ctl([leader.address], "--json", "status").output)
    assert as_json["databases"][0]["term"] == 4


def test_status_of_many_nodes_fits_a_screen(host: Any, ctl: Ctl) -> None:
    """Guards against one outdated daemon being hidden among 450 healthy rows."""
    leader = host.daemon("control-1")
    leader.nodes = [host.proxy_status(leader.address) for _ in range(450)]
    leader.nodes[77].node = "proxy-77"
    leader.nodes[77].configuration_version = 0
    shown = ctl([leader.address], "status")
    assert len(shown.output.splitlines()) < 12
    assert "proxy-77" in shown.output and "and 449 more" in shown.output


def test_status_without_control_shows_what_entry_vms_know(host: Any, ctl: Ctl) -> None:
    entry = host.daemon("proxy-1", is_leader=False)
    dead = host.free_address()
    shown = ctl([dead], "--entry", entry.address, "status")
    assert shown.exit_code == ExitCode.PROBLEMS
    assert "orders-1" in shown.output and "what proxy-1 knows" in shown.output


@pytest.mark.parametrize("command", ["status", "config show", "timeline", "drain x"])
def test_no_daemon_answers(host: Any, ctl: Ctl, command: str) -> None:
    dead = host.free_address()
    result = ctl([dead], *command.split())
    assert result.exit_code == ExitCode.NO_ANSWER
    assert "no control node answers" in result.output and dead in result.output


def test_redirect_to_leader_is_followed(host: Any, ctl: Ctl) -> None:
    """A leader whose address the operator did not give is found through a follower."""
    leader = host.daemon("control-1")
    follower = host.daemon("control-2", is_leader=False, leader_address=leader.address)
    result = ctl([follower.address], "patch", "--set", "policy.detection_ms=700")
    assert result.exit_code == ExitCode.OK, result.output
    assert leader.documents[2]["policy"]["detection_ms"] == 700


def test_patch_is_retried_with_the_same_id(host: Any, ctl: Ctl) -> None:
    """A retry under a new id would be refused as stale or apply twice."""
    leader = host.daemon("control-1", n_answers_lost=1)
    result = ctl([leader.address], "patch", "--set", "policy.detection_ms=700")
    assert result.exit_code == ExitCode.OK, result.output
    assert leader.n_patch_requests == 2
    assert len(leader.patches) == 1 and leader.version == 2


def test_answer_to_a_patch_is_awaited(
    host: Any, ctl: Ctl, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request given up just before the leader names missing nodes."""
    monkeypatch.setattr(_client, "_REQUEST_TIMEOUT_MS", _REQUEST_TIMEOUT_MS)
    wait_s = ControlOptions().in_force_wait_ms / 1_000.0
    leader = host.daemon("control-1", patch_delay_s=wait_s + 0.2)
    result = ctl([leader.address], "patch", "--set", "policy.detection_ms=700")
    assert result.exit_code == ExitCode.OK, result.output
    assert leader.n_patch_requests == 1


@pytest.mark.parametrize(
    ("arguments", "exit_code", "text"),
    [
        (["--set", "policy.detection_ms=7"], ExitCode.OK, "in force on every live"),
        (["--set", "policy.nonsense=7"], ExitCode.REFUSED, "nothing was changed"),
        (["--set", "policy.x=1", "--base", "0"], ExitCode.STALE_BASE, "by now"),
        (["--set", "policy.x=1", "--dry-run"], ExitCode.OK, "dry run"),
        (["--set", "policy.x"], ExitCode.USAGE, "expected PATH=VALUE"),
        (["--set", "policy.x=[1]"], ExitCode.USAGE, "single value"),
        ([], ExitCode.USAGE, "nothing to change"),
    ],
)
def test_patch_outcomes(
    host: Any, ctl: Ctl, arguments: list[str], exit_code: ExitCode, text: str
) -> None:
    leader = host.daemon("control-1")
    result = ctl([leader.address], "patch", *arguments)
    assert result.exit_code == exit_code, result.output
    assert text in result.output


@pytest.mark.parametrize(
    ("n_polls_missing", "exit_code"),
    [(2, ExitCode.OK), (1_000, ExitCode.NOT_IN_FORCE)],
)
def test_patch_waits_until_in_force(
    host: Any, ctl: Ctl, tmp_path: Path, n_polls_missing: int, exit_code: ExitCode
) -> None:
    leader = host.daemon("control-1")
    file = tmp_path / "patch.yaml"
    file.write_text("policy:\n  detection_ms: 800\n")
    arguments = ["patch", str(file), "--base", "1", "--id", "p1", "--wait", "0.5"]
    leader.n_polls_missing = n_polls_missing
    result = ctl([leader.address], *arguments)
    assert result.exit_code == exit_code, result.output
    if exit_code is ExitCode.NOT_IN_FORCE:
        assert "NOT yet in force on proxy-9" in result.output


def test_configuration_history(host: Any, ctl: Ctl) -> None:
    leader = host.daemon("control-1")
    ctl([leader.address], "patch", "--set", "policy.detection_ms=700")
    ctl([leader.address], "patch", "--set", "policy.hedge_after_ms=9")
    shown = ctl([leader.address], "config", "diff", "1")
    assert "policy.detection_ms = 700" in shown.output
    rolled = ctl([leader.address], "config", "rollback", "1")
    assert rolled.exit_code == ExitCode.OK, rolled.output
    assert leader.version == 4
    assert leader.documents[4]["policy"]["detection_ms"] == 600
    assert leader.documents[4]["policy"]["hedge_after_ms"] is None
    assert "policy.detection_ms = 600" in ctl([leader.address], "config", "show").output


def _answer_operation(message: Message) -> Message:
    if isinstance(message, DrainRequest) and message.target == "orders-2":
        return DrainReply(target=message.target, is_draining=message.is_draining)
    if isinstance(message, HandoverRequest):
        return HandoverReply(
            database="orders",
            from_instance="orders-2",
            to_instance=message.to_instance or "orders-1",
            term=4,
        )
    if isinstance(message, MemberChangeRequest):
        return MemberChangeReply(members=["control-1", "control-4"], is_caught_up=False)
    return OperatorError(code=OperatorErrorCode.UNKNOWN_TARGET, detail="no such target")


@pytest.mark.parametrize(
    ("command", "exit_code", "text"),
    [
        ("drain orders-2", ExitCode.OK, "is draining"),
        ("resume orders-2", ExitCode.OK, "work again"),
        ("drain nothing", ExitCode.REFUSED, "unknown_target"),
        ("handover orders", ExitCode.OK, "orders-2 -> orders-1, done"),
        ("handover orders --to orders-3 --wait 0.2", ExitCode.NOT_IN_FORCE, "NOT"),
        (
            "member add control-4 --zone z --peer-address 127.0.0.1:1 "
            "--operator-address 127.0.0.1:2",
            ExitCode.OK,
            "catching up",
        ),
        ("member remove control-2", ExitCode.OK, "control-4"),
    ],
)
def test_operation_commands(
    host: Any, ctl: Ctl, command: str, exit_code: ExitCode, text: str
) -> None:
    leader = host.daemon("control-1", other=_answer_operation)
    result = ctl([leader.address], *command.split())
    assert result.exit_code == exit_code, result.output
    assert text in result.output


def test_command_retries_without_a_leader(
    host: Any, ctl: Ctl, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_client, "_TOTAL_TIMEOUT_S", 0.5)
    answers = iter([OperatorErrorCode.NO_LEADER] * 1_000)

    def without_leader(_: Message) -> Message:
        return OperatorError(code=next(answers), detail="election in progress")

    control = host.daemon("control-1", other=without_leader)
    result = ctl([control.address], "drain", "orders-2")
    assert result.exit_code == ExitCode.NO_LEADER
    assert next(answers) and "no leader" in result.output


@pytest.mark.parametrize(
    "name",
    [*(item.value for item in RefusalReason), *(str(int(n)) for n in EventNumber)],
)
def test_everything_is_explained(name: str) -> None:
    explanation = explain(name)
    assert explanation.meaning and explanation.consequence and explanation.action


def test_unknown_name(ctl: Ctl) -> None:
    assert ctl([], "explain", "nonsense").exit_code == ExitCode.USAGE


def test_check_finds_conflicts_between_files(ctl: Ctl, tmp_path: Path) -> None:
    first, second = tmp_path / "a.yaml", tmp_path / "b.yaml"
    text = """\
node: control-1
role: control
zone: nairobi-a
peer_address: 127.0.0.1:7000
operator_address: 127.0.0.1:7001
data_folder: /nonexistent/folder
control_nodes:
  - node: control-1
    zone: nairobi-a
    peer_address: 127.0.0.1:7000
    operator_address: 127.0.0.1:7001
"""
    first.write_text(text)
    second.write_text(text.replace("7001", "7009"))
    assert ctl([], "check", str(first)).exit_code == ExitCode.OK
    result = ctl([], "check", "--here", str(first), str(second))
    assert result.exit_code == ExitCode.PROBLEMS
    for part in ("node name control-1", "address 127.0.0.1:7000", "differ", "writable"):
        assert part in result.output
