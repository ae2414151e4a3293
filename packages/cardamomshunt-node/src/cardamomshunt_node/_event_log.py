"""Log of numbered events, with a ring buffer that serves timeline requests."""

import json
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

import logbook
from cardamomshunt.events import EventNumber, Severity, entry_for
from cardamomshunt.hybrid_clock import HybridClock, wall_ms_of
from cardamomshunt.operator_messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)

from cardamomshunt_node._boot_clock import boot_ms, wall_ms

N_EVENTS_MAX = 20_000
# A burst of refusals emits thousands of equal events per second, of which the first five
# are sufficient.
N_REPEATS_MAX = 5
REPEAT_WINDOW_MS = 10_000.0
_N_REPEAT_WINDOWS_MAX = 1_000

_LEVELS = {
    Severity.INFO: logbook.INFO,
    Severity.WARNING: logbook.WARNING,
    Severity.ERROR: logbook.ERROR,
    Severity.CRITICAL: logbook.CRITICAL,
}


@dataclass(slots=True)
class _RepeatWindow:
    """Numbers of equal events in one time window."""

    started_ms: float
    n_logged: int = 0
    n_suppressed: int = 0


@dataclass(slots=True)
class _RepeatFilter:
    """Select the first repeats of an event to be logged and count the others."""

    windows: dict[tuple[int, str, str], _RepeatWindow] = field(default_factory=dict)

    def should_log(self, key: tuple[int, str, str], now_ms: float) -> bool:
        window = self.windows.get(key)
        if window is None:
            window = self.windows[key] = _RepeatWindow(now_ms)
        if window.n_logged < N_REPEATS_MAX:
            window.n_logged += 1
            return True
        window.n_suppressed += 1
        return False

    def pop_expired(
        self, now_ms: float, is_closing: bool
    ) -> list[tuple[tuple[int, str, str], int]]:
        """Remove expired windows and return their numbers of suppressed events."""
        is_full = len(self.windows) > _N_REPEAT_WINDOWS_MAX
        expired = [
            key
            for key, window in self.windows.items()
            if is_closing or is_full or now_ms - window.started_ms >= REPEAT_WINDOW_MS
        ]
        counts = [(key, self.windows.pop(key).n_suppressed) for key in expired]
        return [(key, n_suppressed) for key, n_suppressed in counts if n_suppressed]


class EventLog:
    """Write numbered events to a log and retain the newest for the timeline.

    `emit` returns the id of the event (`node@hlc`), by which later events refer to their
    cause. Each event is one line of text or JSON. `count` is called with the number of
    each event, whether logged or suppressed. Events carry the time of day; windows of
    repeats use `steady_ms`, as a time of day that is set back would hold them open.
    """

    def __init__(
        self,
        node: str,
        clock: HybridClock | None = None,
        log_file: Path | None = None,
        is_json: bool = False,
        stream: TextIO | None = None,
        wall_ms: Callable[[], float] = wall_ms,
        steady_ms: Callable[[], float] = boot_ms,
        n_events_max: int = N_EVENTS_MAX,
        count: Callable[[int], None] = lambda number: None,
    ) -> None:
        self._node = node
        self._wall_ms = wall_ms
        self._steady_ms = steady_ms
        self._count = count
        self._is_json = is_json
        self._repeats = _RepeatFilter()
        self._next_expiry_check_ms = 0.0
        self._ring: deque[TimelineEvent] = deque(maxlen=n_events_max)
        self._n_dropped = 0
        self._logger = logbook.Logger(node)
        self._handler = _handler(log_file, stream)
        self.clock = clock or HybridClock()

    def now_hlc(self) -> int:
        """Return the hybrid time for an outgoing message."""
        return self.clock.now(self._wall_ms())

    def observe_hlc(self, sender: str, hlc: int) -> None:
        """Advance the clock to the hybrid time of a received message."""
        if not self.clock.observe(self._wall_ms(), hlc):
            self.emit(EventNumber.CLOCK_SKEW, subject=sender)

    def emit(
        self,
        number: int,
        subject: str = "",
        detail: str = "",
        database: str = "",
        cause: str = "",
    ) -> str:
        """Log an event, unless it repeats too often, and return its id."""
        self._count(int(number))
        now_ms = self._steady_ms()
        self._report_suppressed(now_ms, is_closing=False)
        event = TimelineEvent(
            hlc=self.now_hlc(),
            node=self._node,
            number=int(number),
            subject=subject,
            detail=detail,
            database=database,
            cause=cause,
        )
        if self._repeats.should_log((int(number), subject, database), now_ms):
            self._write(event)
        return f"{event.node}@{event.hlc}"

    def answer(self, request: TimelineRequest) -> TimelineReply:
        """Return the retained events that match a request, oldest first."""
        self._report_suppressed(self._steady_ms(), is_closing=True)
        oldest_ms = self._wall_ms() - request.since_ms
        events = [
            event
            for event in self._ring
            if wall_ms_of(event.hlc) >= oldest_ms
            and (not request.database or event.database in ("", request.database))
        ]
        n_excess = max(0, len(events) - max(0, request.n_events_max))
        return TimelineReply(
            node=self._node,
            events=events[n_excess:],
            n_dropped=self._n_dropped + n_excess,
        )

    def close(self) -> None:
        """Log the numbers of suppressed repeats and close the log file."""
        self._report_suppressed(self._steady_ms(), is_closing=True)
        self._handler.close()

    def _report_suppressed(self, now_ms: float, is_closing: bool) -> None:
        if not is_closing and now_ms < self._next_expiry_check_ms:
            return
        self._next_expiry_check_ms = now_ms + REPEAT_WINDOW_MS / 10.0
        for key, n_suppressed in self._repeats.pop_expired(now_ms, is_closing):
            number, subject, database = key
            self._write(
                TimelineEvent(
                    hlc=self.now_hlc(),
                    node=self._node,
                    number=EventNumber.EVENTS_SUPPRESSED,
                    subject=subject,
                    detail=f"{n_suppressed} more of event {number}",
                    database=database,
                )
            )

    def _write(self, event: TimelineEvent) -> None:
        if len(self._ring) == self._ring.maxlen:
            self._n_dropped += 1
        self._ring.append(event)
        entry = entry_for(event.number)
        level = _LEVELS[entry.severity] if entry else logbook.INFO
        line = _json_line(event) if self._is_json else _text_line(event)
        with self._handler:
            self._logger.log(level, "{}", line)


def _handler(log_file: Path | None, stream: TextIO | None) -> logbook.Handler:
    format_string = "{record.message}"
    if log_file is None:
        return logbook.StreamHandler(stream or sys.stderr, format_string=format_string)
    # This handler reopens the file, so that an operator can rotate it at run time.
    return logbook.MonitoringFileHandler(str(log_file), format_string=format_string)


def _name_and_severity(number: int) -> tuple[str, str]:
    entry = entry_for(number)
    if entry is None:
        return "UNKNOWN", "info"
    return entry.number.name, entry.severity.value


def _wall_text(hlc: int) -> str:
    seconds, milliseconds = divmod(wall_ms_of(hlc), 1_000)
    date = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{date}.{milliseconds:03d}Z"


def _json_line(event: TimelineEvent) -> str:
    name, severity = _name_and_severity(event.number)
    fields = {
        "time": _wall_text(event.hlc),
        "severity": severity,
        "number": event.number,
        "event": name,
        "node": event.node,
        "hlc": event.hlc,
        "subject": event.subject,
        "detail": event.detail,
        "database": event.database,
        "cause": event.cause,
    }
    return json.dumps(fields)


def _text_line(event: TimelineEvent) -> str:
    name, severity = _name_and_severity(event.number)
    parts = [
        _wall_text(event.hlc),
        severity.upper(),
        str(event.number),
        name,
        f"node={event.node}",
        f"hlc={event.hlc}",
    ]
    for field_name in ("database", "subject", "cause"):
        value = getattr(event, field_name)
        if value:
            parts.append(f"{field_name}={_one_line(value)}")
    if event.detail:
        parts.append(f": {_one_line(event.detail)}")
    return " ".join(parts)


def _one_line(text: str) -> str:
    """Escape control characters, so that a text can't forge a log line."""
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)
