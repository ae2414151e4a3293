"""Measure how the control nodes recover, and what they store, with real processes.

`make core-recovery` prints a JSON line for each size of the configuration. With
`--baseline-python`, an interpreter of another checkout, each line is followed by one of
that checkout.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from cardamomshunt_testing._core_group import CoreGroup

_SIZES_BYTES = (26_000, 262_000)
_START_LIMIT_S = 30.0
_RECOVERY_LIMIT_S = 60.0
_FULL_DISK_S = 2.0


class CoreFigures(msgspec.Struct, kw_only=True):
    """Figures of one group; a time is None if its limit of 60 s passed.

    `stored_bytes_per_change` counts the fullest node, and `written_ratio` is the number of
    bytes that a node writes to its files for each byte of configuration. `voter_s` is the
    time from the start of an empty node until it votes. `full_disk_s` and `power_s` are
    the times until a change is acknowledged after all disks were full, and after all
    processes were killed.
    """

    build: str
    size_bytes: int
    n_changes: int
    n_acknowledged: int
    stored_bytes_per_change: float
    stored_bytes: int
    written_ratio: float
    voter_s: float | None
    full_disk_s: float | None
    power_s: float | None


async def _store_changes(group: CoreGroup, size_bytes: int, n_changes: int) -> int:
    """Store changes one after another; return the number of acknowledged ones."""
    n_acknowledged = 0
    for _ in range(n_changes):
        if await group.change(size_bytes, _START_LIMIT_S) is None:
            break
        n_acknowledged += 1
    return n_acknowledged


async def _replace_disk(group: CoreGroup) -> float | None:
    """Empty the disk of one node; return the seconds from its start until it votes."""
    node = group.nodes[-1]
    node.kill()
    node.clear_disk()
    node.start()
    return await group.wait_for_voter(node, _RECOVERY_LIMIT_S)


async def _fill_disks(group: CoreGroup, size_bytes: int) -> float | None:
    """Fill all disks for a while; return the seconds until a change is acknowledged."""
    for node in group.nodes:
        node.fill_disk()
    await group.change(size_bytes, _FULL_DISK_S)
    for node in group.nodes:
        node.free_disk()
    return await group.change(size_bytes, _RECOVERY_LIMIT_S)


async def _lose_power(group: CoreGroup, size_bytes: int) -> float | None:
    """Kill all nodes; return the seconds from their start to an acknowledged change."""
    for node in group.nodes:
        node.kill()
    for node in group.nodes:
        node.start()
    return await group.change(size_bytes, _RECOVERY_LIMIT_S)


async def measure_recovery(
    build: str, python: str, size_bytes: int, n_changes: int
) -> CoreFigures:
    """Measure a group with configurations of one size."""
    with tempfile.TemporaryDirectory() as folder:
        group = CoreGroup(python, Path(folder))
        try:
            await group.start()
            n_acknowledged = await _store_changes(group, size_bytes, n_changes)
            stored_bytes = max(node.stored_bytes() for node in group.nodes)
            written_bytes = max(node.written_bytes() for node in group.nodes)
            return CoreFigures(
                build=build,
                size_bytes=size_bytes,
                n_changes=n_changes,
                n_acknowledged=n_acknowledged,
                stored_bytes_per_change=round(stored_bytes / n_changes, 1),
                stored_bytes=stored_bytes,
                written_ratio=round(written_bytes / (n_changes * size_bytes), 2),
                voter_s=await _replace_disk(group),
                full_disk_s=await _fill_disks(group, size_bytes),
                power_s=await _lose_power(group, size_bytes),
            )
        finally:
            await group.stop()


@click.command()
@click.option("--changes", default=1_000, show_default=True, help="Changes to store.")
@click.option("--baseline-python", default="", help="Interpreter of another checkout.")
def main(changes: int, baseline_python: str) -> None:
    """Print the figures for each size of the configuration."""
    builds = {"current": sys.executable}
    if baseline_python:
        builds["baseline"] = baseline_python
    for size_bytes in _SIZES_BYTES:
        for build, python in builds.items():
            figures = asyncio.run(measure_recovery(build, python, size_bytes, changes))
            click.echo(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    main()
