"""Render a timeline as a self-contained HTML page with an SVG chart."""

from dataclasses import dataclass
from html import escape

from cardamomshunt.events import EventNumber, Severity
from cardamomshunt.hybrid_clock import wall_ms_of
from cardamomshunt.operator_messages import TimelineEvent

from cardamomshunt_cli._timeline import (
    Timeline,
    clock_text,
    event_name,
    severity_of,
)

_WIDTH = 1_100
_LABEL_WIDTH = 170
_ROW_HEIGHT = 34
_AXIS_HEIGHT = 30
_N_TICKS = 6
_MARKER_RADIUS = 5

_PRIMARY_SET = (
    EventNumber.PROMOTION_DONE,
    EventNumber.HANDOVER_DONE,
)
_PRIMARY_LOST = (EventNumber.FENCING_STARTED, EventNumber.WRITES_HELD)
_REFUSED = (EventNumber.REQUEST_REFUSED, EventNumber.WRITE_OUTCOME_UNKNOWN)
_RETRIED = (EventNumber.REQUEST_RETRIED,)
_COLOURS = {
    Severity.INFO: "#3b6ea5",
    Severity.WARNING: "#c98a00",
    Severity.ERROR: "#c0392b",
    Severity.CRITICAL: "#7b0000",
}
_BAR_COLOURS = ("#8fbc8f", "#87add4", "#d4b483", "#b39bc8", "#7fc4bd")
_NO_PRIMARY_COLOUR = "#e8a09a"
_STYLE = """
body { font: 14px sans-serif; margin: 24px; color: #222 }
table { border-collapse: collapse; margin-top: 16px }
td, th { padding: 3px 10px; text-align: left; border-bottom: 1px solid #ddd }
.warning { color: #8a5f00 } .error { color: #c0392b } .critical { color: #7b0000 }
.note { color: #8a5f00 }
"""


@dataclass(slots=True, frozen=True)
class PrimarySpan:
    """Primary of a database during a period; None for no primary."""

    database: str
    primary: str | None
    start_ms: int
    end_ms: int


@dataclass(slots=True)
class _Scale:
    start_ms: int
    end_ms: int

    def x(self, wall_ms: int) -> float:
        share = (wall_ms - self.start_ms) / max(1, self.end_ms - self.start_ms)
        return _LABEL_WIDTH + share * (_WIDTH - _LABEL_WIDTH - 20)


def primary_spans(events: list[TimelineEvent], end_ms: int) -> list[PrimarySpan]:
    """Derive the primaries over time from fencing, promotions and handovers.

    The primary before the first such event is the server that the first suspicion or
    fencing event names, if any.
    """
    spans: list[PrimarySpan] = []
    for database in sorted({event.database for event in events if event.database}):
        spans += _spans_of_database(database, events, end_ms)
    return spans


def _spans_of_database(
    database: str, events: list[TimelineEvent], end_ms: int
) -> list[PrimarySpan]:
    spans = []
    start_ms = wall_ms_of(events[0].hlc)
    primary = _first_primary(database, events)
    for event in events:
        if event.database != database:
            continue
        if event.number in _PRIMARY_SET:
            now: str | None = event.subject
        elif event.number in _PRIMARY_LOST:
            now = None
        else:
            continue
        if now == primary:
            continue
        at_ms = wall_ms_of(event.hlc)
        spans.append(PrimarySpan(database, primary, start_ms, at_ms))
        primary, start_ms = now, at_ms
    spans.append(PrimarySpan(database, primary, start_ms, end_ms))
    return spans


def _first_primary(database: str, events: list[TimelineEvent]) -> str | None:
    """Return the server that the first suspicion or fencing event names."""
    known = (EventNumber.PRIMARY_SUSPECTED, EventNumber.FENCING_STARTED)
    for event in events:
        if event.database == database and event.number in known and event.subject:
            return event.subject
    return "primary not named"


def render_html(timeline: Timeline, title: str) -> str:
    """Return an HTML page that needs no other file and no script."""
    notes = [f"no events from {item}" for item in timeline.silent_addresses]
    notes += [f"{node}: {n} events lost" for node, n in timeline.n_dropped.items()]
    parts = [
        "<!DOCTYPE html>",
        f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>',
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>{escape(title)}</h1>",
        *(f'<p class="note">{escape(note)}</p>' for note in notes),
    ]
    if timeline.events:
        parts += [_svg(timeline.events), _legend(), _event_table(timeline.events)]
    else:
        parts.append("<p>no events</p>")
    return "\n".join([*parts, "</body></html>", ""])


def _svg(events: list[TimelineEvent]) -> str:
    walls = [wall_ms_of(event.hlc) for event in events]
    scale = _Scale(min(walls), max(walls) + 1)
    spans = primary_spans(events, scale.end_ms)
    databases = sorted({span.database for span in spans})
    nodes = sorted({event.node for event in events})
    chart_rows = [
        *((f"{name} primary", "primary", name) for name in databases),
        ("refused", "refused", ""),
        ("retried", "retried", ""),
        *((name, "node", name) for name in nodes),
    ]
    height = _AXIS_HEIGHT + _ROW_HEIGHT * len(chart_rows) + 10
    shapes = [_axis(scale, height)]
    for index, (label, kind, name) in enumerate(chart_rows):
        y = _AXIS_HEIGHT + index * _ROW_HEIGHT
        shapes.append(
            f'<text x="4" y="{y + 21}" font-size="12">{escape(label)}</text>'
            f'<line x1="0" x2="{_WIDTH}" y1="{y + _ROW_HEIGHT}" '
            f'y2="{y + _ROW_HEIGHT}" stroke="#eee"/>'
        )
        if kind == "primary":
            shapes += _bars([s for s in spans if s.database == name], scale, y)
        else:
            shown = [event for event in events if _is_in_row(event, kind, name)]
            shapes += [_marker(event, scale, y) for event in shown]
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" height="{height}" '
        f'font-family="sans-serif" role="img">{"".join(shapes)}</svg>'
    )


def _is_in_row(event: TimelineEvent, kind: str, name: str) -> bool:
    if kind == "refused":
        return event.number in _REFUSED
    if kind == "retried":
        return event.number in _RETRIED
    is_request = event.number in _REFUSED or event.number in _RETRIED
    return event.node == name and not is_request


def _axis(scale: _Scale, height: int) -> str:
    parts = []
    for index in range(_N_TICKS):
        share = index / (_N_TICKS - 1)
        offset_ms = share * (scale.end_ms - scale.start_ms)
        x = scale.x(int(scale.start_ms + offset_ms))
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{_AXIS_HEIGHT}" y2="{height}" '
            f'stroke="#f0f0f0"/><text x="{x:.1f}" y="18" font-size="11" '
            f'text-anchor="middle">+{offset_ms / 1_000.0:.2f} s</text>'
        )
    return "".join(parts)


def _bars(spans: list[PrimarySpan], scale: _Scale, y: int) -> list[str]:
    names = sorted({span.primary for span in spans if span.primary})
    bars = []
    for span in spans:
        x, x_end = scale.x(span.start_ms), scale.x(span.end_ms)
        colour = _NO_PRIMARY_COLOUR
        if span.primary:
            colour = _BAR_COLOURS[names.index(span.primary) % len(_BAR_COLOURS)]
        label = span.primary or "no primary"
        length_ms = span.end_ms - span.start_ms
        bars.append(
            f'<rect x="{x:.1f}" y="{y + 6}" width="{max(1.0, x_end - x):.1f}" '
            f'height="22" fill="{colour}"><title>{escape(label)}, {length_ms} ms'
            f'</title></rect><text x="{x + 4:.1f}" y="{y + 21}" font-size="11">'
            f"{escape(label if x_end - x > 7 * len(label) else '')}</text>"
        )
    return bars


def _marker(event: TimelineEvent, scale: _Scale, y: int) -> str:
    colour = _COLOURS[severity_of(event.number)]
    text = (
        f"{clock_text(event.hlc)} {event.node} {event.number} "
        f"{event_name(event.number)} {event.subject} {event.detail}"
    )
    return (
        f'<circle cx="{scale.x(wall_ms_of(event.hlc)):.1f}" cy="{y + 17}" '
        f'r="{_MARKER_RADIUS}" fill="{colour}" fill-opacity="0.75">'
        f"<title>{escape(text)}</title></circle>"
    )


def _legend() -> str:
    return (
        "<p>Bars: the primary (red: none). Dots: events, coloured by severity; "
        "hover over one for its text. Times are in UTC.</p>"
    )


def _event_table(events: list[TimelineEvent]) -> str:
    rows = [
        f'<tr class="{severity_of(event.number).value}">'
        + "".join(
            f"<td>{escape(text)}</td>"
            for text in (
                clock_text(event.hlc),
                event.node,
                f"{event.number} {event_name(event.number)}",
                event.database,
                event.subject,
                event.detail,
            )
        )
        + "</tr>"
        for event in events
    ]
    headings = "".join(
        f"<th>{name}</th>"
        for name in ("time", "node", "event", "database", "subject", "detail")
    )
    return f"<table><tr>{headings}</tr>{''.join(rows)}</table>"
