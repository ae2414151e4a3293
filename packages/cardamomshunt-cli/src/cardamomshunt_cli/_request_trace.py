"""From a request's id to the cause of its outcome, by the daemons' log files."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cardamomshunt_cli._exit_codes import CommandError, ExitCode

# What a process came to believe this long before a refusal may have caused it.
_CONTEXT_MS = 6_000
_STATE_EVENTS = frozenset(
    {
        "configuration",
        "cut_off",
        "home",
        "leader",
        "leader_lost",
        "lease_gained",
        "lease_lost",
        "primary",
        "primary_silent",
        "released",
        "server",
        "stopping",
    }
)
_REPLACEMENT_EVENTS = frozenset({"replacing", "successor", "promotion", "demoted"})


@dataclass(slots=True, frozen=True)
class LogLine:
    """Hold one line of a daemon's log."""

    ts_ms: int
    node: str
    event: str
    fields: dict[str, Any]

    def text(self, since_ms: int) -> str:
        """Return the line for a reader, with the time since the first one."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.ts_ms - since_ms:+7d} ms  {self.node}  {self.event}  {shown}"


@dataclass(slots=True)
class RequestTrace:
    """Hold what happened to a request, around it, and what that means."""

    request: str
    lines: list[LogLine]
    context: list[LogLine] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of log files in the order of time; others are left out."""
    lines = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += [line for text in file if (line := _parse(text)) is not None]
    return sorted(lines, key=lambda line: line.ts_ms)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return LogLine(
            fields.pop("ts_ms"), fields.pop("node"), fields.pop("event"), fields
        )
    except (json.JSONDecodeError, KeyError, AttributeError):
        return None


def trace_request(request: str, lines: list[LogLine]) -> RequestTrace:
    """Collect what the logs say of a request; raise CommandError without a line."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        raise CommandError(
            f"no line on request {request!r}: look in the logs of all entry VMs; "
            "n_dropped_before counts lines that were left out under load",
            ExitCode.PROBLEMS,
        )
    trace = RequestTrace(request, own)
    nodes = {line.node for line in own}
    first_ms, last_ms = own[0].ts_ms - _CONTEXT_MS, own[-1].ts_ms
    for line in lines:
        if not first_ms <= line.ts_ms <= last_ms:
            continue
        is_state = line.event in _STATE_EVENTS and line.node in nodes
        if is_state or line.event in _REPLACEMENT_EVENTS:
            trace.context.append(line)
    trace.causes = _causes(trace)
    return trace


def _causes(trace: RequestTrace) -> list[str]:
    """Return what the lines say on the cause, the nearest one first."""
    last = trace.lines[-1]
    found = []
    if last.event != "refused":
        found += _causes_of_latency(trace)
    elif last.fields.get("code") == "in_doubt":
        found.append(f"the outcome is in doubt: {last.fields.get('reason')}")
    else:
        found.append(
            f"refused as {last.fields.get('code')} after "
            f"{last.fields.get('elapsed_ms')} ms: {last.fields.get('reason')}"
        )
    found += _causes_in_context(trace)
    return found


def _causes_of_latency(trace: RequestTrace) -> list[str]:
    found = []
    attempts = [line for line in trace.lines if line.event == "read"]
    for line in attempts:
        if line.fields.get("code") == "lagging":
            found.append(
                f"{line.fields.get('server')} was behind: at "
                f"{line.fields.get('position')}, {line.fields.get('required')} needed"
            )
    if len(attempts) > 1 and not found:
        found.append("a first attempt was late, a second one was sent")
    slowest = max(trace.lines, key=lambda line: line.fields.get("elapsed_ms") or 0.0)
    server = slowest.fields.get("server", "the primary")
    elapsed_ms = slowest.fields.get("elapsed_ms")
    if elapsed_ms is not None:
        found.append(f"{server} answered after {elapsed_ms} ms")
    return found


def _causes_in_context(trace: RequestTrace) -> list[str]:
    texts = {
        "cut_off": "the entry VM reached too few control nodes",
        "lease_lost": "the entry VM had no right to use primaries",
        "leader_lost": "the entry VM lost the leading control node",
        "primary_silent": "a primary did not answer",
        "replacing": "a primary was being replaced",
        "stopping": "the entry VM was stopping",
    }
    seen = {line.event: line for line in trace.context}
    gained = seen.get("lease_gained")
    found = []
    for event, text in texts.items():
        line = seen.get(event)
        if line is None:
            continue
        if event == "lease_lost" and gained and gained.ts_ms > line.ts_ms:
            continue
        before_ms = trace.lines[-1].ts_ms - line.ts_ms
        found.append(f"{before_ms} ms before, on {line.node}: {text}")
    return found
