"""Tests of `explain` with log files, which names the causes of a request's outcome."""

import json
from pathlib import Path

import pytest
from cardamomshunt_cli._exit_codes import CommandError
from cardamomshunt_cli._request_trace import read_logs, trace_request
from cardamomshunt_cli.main import main
from click.testing import CliRunner


def _log(folder: Path, node: str, *events: tuple[int, str, dict[str, object]]) -> Path:
    path = folder / f"{node}.log"
    lines = [
        json.dumps({"ts_ms": at, "node": node, "event": event, **fields})
        for at, event, fields in events
    ]
    # The platform may prefix each line with a time and a name.
    path.write_text("\n".join(f"12.5 {node} {line}" for line in lines) + "\nnoise\n")
    return path


_REFUSED = {
    "request": "r1",
    "session": 4,
    "code": "busy",
    "reason": "no primary may be used",
    "elapsed_ms": 970.0,
}


@pytest.mark.parametrize(
    ("events", "cause"),
    [
        ([(9_000, "lease_lost", {"leader": ""})], "no lease to use primaries"),
        ([(9_500, "cut_off", {})], "too few control nodes"),
        ([(9_500, "stopping", {"n_busy": 1})], "was stopping"),
    ],
)
def test_a_refusal_names_preceding_state_changes(
    tmp_path: Path, events: list[tuple[int, str, dict[str, object]]], cause: str
) -> None:
    """Guards against a refusal without its cause, which an operator must search for."""
    path = _log(tmp_path, "entry-1", *events, (10_000, "refused", _REFUSED))
    trace = trace_request("r1", read_logs([path]))
    assert "refused as busy after 970.0 ms: no primary may be used" in trace.causes[0]
    assert cause in trace.causes[1]


def test_a_regained_lease_is_no_cause(tmp_path: Path) -> None:
    """Guards against blaming a lease loss that ended before the refusal."""
    path = _log(
        tmp_path,
        "entry-1",
        (8_000, "lease_lost", {}),
        (8_200, "lease_gained", {}),
        (10_000, "refused", _REFUSED),
    )
    assert len(trace_request("r1", read_logs([path])).causes) == 1


def test_replacements_come_from_the_logs_of_control_nodes(tmp_path: Path) -> None:
    """Guards against searching the log of the entry VM only."""
    entry = _log(tmp_path, "entry-1", (10_000, "refused", _REFUSED))
    control = _log(
        tmp_path,
        "control-2",
        (9_400, "replacing", {"group": "db", "server": "i-1", "reason": "silent"}),
        (2_000, "replacing", {"group": "db", "server": "i-0", "reason": "silent"}),
    )
    trace = trace_request("r1", read_logs([entry, control]))
    assert [line.fields["server"] for line in trace.context] == ["i-1"]
    assert "600 ms earlier, on control-2" in trace.causes[1]


def test_a_replica_that_was_behind_is_named(tmp_path: Path) -> None:
    """Guards against a slow read whose trace names no reason."""
    read = {"request": "r1", "position": [1, 5], "required": [1, 9]}
    path = _log(
        tmp_path,
        "entry-1",
        (9_900, "read", {**read, "server": "i-2", "code": "lagging"}),
        (9_990, "read", {**read, "server": "i-1", "code": None, "elapsed_ms": 60.0}),
    )
    causes = trace_request("r1", read_logs([path])).causes
    assert causes == [
        "i-2 was behind: at [1, 5], [1, 9] required",
        "i-1 answered after 60.0 ms",
    ]


def test_an_unknown_request_is_an_error(tmp_path: Path) -> None:
    """Guards against an empty trace that looks like a request without problems."""
    path = _log(tmp_path, "entry-1", (10_000, "refused", _REFUSED))
    with pytest.raises(CommandError, match="no line on request 'r2'"):
        trace_request("r2", read_logs([path]))


def test_the_command_prints_the_causes(tmp_path: Path) -> None:
    """Guards against text output that lacks the causes."""
    path = _log(tmp_path, "entry-1", (10_000, "refused", _REFUSED))
    result = CliRunner().invoke(main, ["explain", "r1", str(path)])
    assert result.exit_code == 0, result.output
    assert "likely causes, most direct first" in result.output
