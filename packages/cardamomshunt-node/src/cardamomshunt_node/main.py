"""Entry point of the daemon."""

import asyncio
import errno
import sys
from pathlib import Path

import click
import pynng
from cardamomshunt.messages import NodeRole

from cardamomshunt_node._keys import KeyFileError, load_key_ring
from cardamomshunt_node._proxy_start import CannotStartError
from cardamomshunt_node._settings import (
    DaemonSettings,
    SettingsInvalidError,
    load_settings,
)

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3


async def _run_role(settings: DaemonSettings) -> None:
    # Each role imports only its own modules, to avoid the cost of those of the other.
    if settings.role is NodeRole.PROXY:
        from cardamomshunt_node.proxy_role import run_proxy

        await run_proxy(settings)
        return
    from cardamomshunt_node.control_role import ControlStartError, run_control

    try:
        await run_control(settings)
    except ControlStartError as error:
        raise CannotStartError(str(error)) from error


def _describe_os_error(error: OSError) -> str:
    if error.errno == errno.EADDRINUSE:
        return f"an address of the settings is already in use ({error.strerror})"
    name = f"{error.filename}: " if error.filename else ""
    return f"{name}{error.strerror or error}"


def _fail(message: str) -> None:
    click.echo(message, err=True)
    sys.exit(EXIT_CANNOT_START)


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="YAML settings of this daemon.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(settings_file: Path, check: bool) -> None:
    """Run a daemon in the role that its settings name."""
    try:
        settings = load_settings(settings_file)
    except SettingsInvalidError as error:
        for item in error.errors:
            click.echo(str(item), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        load_key_ring(settings.keys)
        if check:
            click.echo(f"{settings_file}: valid")
            return
        asyncio.run(_run_role(settings))
    except KeyFileError as error:
        _fail(f"{settings_file}: keys: {error}")
    except CannotStartError as error:
        _fail(f"{settings_file}: {error}")
    except pynng.AddressInUse:
        _fail(
            f"{settings_file}: peer_address {settings.peer_address} or operator_address "
            f"{settings.operator_address}: already in use"
        )
    except pynng.NNGException as error:
        _fail(f"{settings_file}: peer_address or operator_address: {error}")
    except OSError as error:
        _fail(f"{settings_file}: {_describe_os_error(error)}")


if __name__ == "__main__":
    main()
