"""Entry point of the daemon."""

import asyncio
from pathlib import Path

import click
from cardamomshunt.messages import NodeRole

from cardamomshunt_node.control_role import ControlStartError, run_control
from cardamomshunt_node.keys import KeyFileError
from cardamomshunt_node.settings import (
    DaemonSettings,
    SettingsInvalidError,
    load_settings,
)


@click.command()
@click.option("--settings", required=True, type=click.Path(dir_okay=False))
def main(settings: str) -> None:
    """Run a daemon in the role that its settings name."""
    try:
        checked = load_settings(Path(settings))
        asyncio.run(_run(checked))
    except (SettingsInvalidError, KeyFileError, ControlStartError) as error:
        raise click.ClickException(str(error)) from error


async def _run(settings: DaemonSettings) -> None:
    if settings.role is NodeRole.CONTROL:
        await run_control(settings)
        return
    raise click.ClickException("the role proxy is not implemented yet")
