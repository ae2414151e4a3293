"""Print command output as text tables or as JSON."""

from collections.abc import Sequence
from typing import Any

import click
import msgspec


def echo_json(value: Any) -> None:
    """Print a value as JSON."""
    encoded = msgspec.json.encode(value)
    click.echo(msgspec.json.format(encoded, indent=2).decode())


def table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a text table with aligned columns.

    >>> table(["node", "zone"], [["proxy-1", "a"]])
    ['node     zone', 'proxy-1  a']
    """
    cells = [list(headings), *[list(row) for row in rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def echo_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table, with bold headings on a terminal."""
    lines = table(headings, rows)
    click.echo("  " + click.style(lines[0], bold=True))
    for line in lines[1:]:
        click.echo("  " + line)


def echo_heading(text: str) -> None:
    """Print a heading."""
    click.echo(click.style(text, bold=True))


def duration_text(duration_ms: float) -> str:
    """Format a duration in a unit that suits its length.

    >>> duration_text(40), duration_text(2_500), duration_text(7_200_000)
    ('40 ms', '2.5 s', '2.0 h')
    """
    if duration_ms < 1_000:
        return f"{duration_ms:.0f} ms"
    if duration_ms < 120_000:
        return f"{duration_ms / 1_000:.1f} s"
    if duration_ms < 7_200_000:
        return f"{duration_ms / 60_000:.1f} min"
    return f"{duration_ms / 3_600_000:.1f} h"
