"""Trace a request through the daemons' log files to the causes of its outcome."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cardamomshunt_cli._exit_codes import CommandError, ExitCode

# State changes that a daemon logged up to this long before a request may be a cause.
_CONTEXT_MS = 6_000
_STATE_EVENTS = frozenset(
    {
        "configuration",
        "cut_off",
        "epoch_ended",
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
    """One line of a daemon's log."""

    ts_ms: int
    node: str
    event: str
    fields: dict[str, Any]

    def text(self, since_ms: int) -> str:
        """Return the line as text, with its time in ms relative to `since_ms`."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.ts_ms - since_ms:+7d} ms  {self.node}  {self.event}  {shown}"


@dataclass(slots=True)
class RequestTrace:
    """Log lines of a request, their context, and the likely causes of its outcome."""

    request: str
    lines: list[LogLine]
    context: list[LogLine] = field(default_factory=list)
    causes: list[str] = field(default_factory=list)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the event lines of log files by time; other lines are ignored."""
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
    """Collect the lines of a request and their context.

    Raises CommandError if no line names the request.
    """
    matching = [line for line in lines if line.fields.get("request") == request]
    if not matching:
        raise CommandError(
            f"no line on request {request!r}: search the logs of all entry VMs; "
            "n_dropped_before counts lines that were dropped under load",
            ExitCode.PROBLEMS,
        )
    trace = RequestTrace(request, matching)
    nodes = {line.node for line in matching}
    first_ms, last_ms = matching[0].ts_ms - _CONTEXT_MS, matching[-1].ts_ms
    for line in lines:
        if not first_ms <= line.ts_ms <= last_ms:
            continue
        is_state = line.event in _STATE_EVENTS and line.node in nodes
        if is_state or line.event in _REPLACEMENT_EVENTS:
            trace.context.append(line)
    trace.causes = _causes(trace)
    return trace


def _causes(trace: RequestTrace) -> list[str]:
    """Return the likely causes, the most direct one first."""
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
                f"{line.fields.get('position')}, {line.fields.get('required')} required"
            )
    if len(attempts) > 1 and not found:
        found.append("the first attempt was slow and a second one was sent")
    slowest = max(trace.lines, key=lambda line: line.fields.get("elapsed_ms") or 0.0)
    server = slowest.fields.get("server", "the primary")
    elapsed_ms = slowest.fields.get("elapsed_ms")
    if elapsed_ms is not None:
        found.append(f"{server} answered after {elapsed_ms} ms")
    return found


def _causes_in_context(trace: RequestTrace) -> list[str]:
    texts = {
        "cut_off": "the entry VM reached too few control nodes",
        "lease_lost": "the entry VM had no lease to use primaries",
        "leader_lost": "the entry VM lost the control leader",
        "primary_silent": "a primary did not answer",
        "replacing": "a primary was being replaced",
        "stopping": "the entry VM was stopping",
    }
    latest = {line.event: line for line in trace.context}
    gained = latest.get("lease_gained")
    found = []
    for event, text in texts.items():
        line = latest.get(event)
        if line is None:
            continue
        if event == "lease_lost" and gained and gained.ts_ms > line.ts_ms:
            continue
        before_ms = trace.lines[-1].ts_ms - line.ts_ms
        found.append(f"{before_ms} ms earlier, on {line.node}: {text}")
    return found
