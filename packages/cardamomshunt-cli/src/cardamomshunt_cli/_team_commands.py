"""Commands on teams: their limits and keys, and which team a key belongs to."""

import asyncio
import sys

import click
import msgspec
from cardamomshunt.fleet import key_digest, key_fingerprint
from cardamomshunt_node.operator_pages import (
    TEAM_PAGE_PATH,
    HttpRequest,
    TeamPage,
    TeamRow,
    call_http,
)

from cardamomshunt_cli._deployment import TargetOptions
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._output import echo_json, echo_table
from cardamomshunt_cli._run import exits_with_code

_TIMEOUT_MS = 3_000.0


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.option(
    "--find-key",
    is_flag=True,
    help="Read a key from standard input and show only its team.",
)
@click.pass_obj
@exits_with_code
def teams(options: TargetOptions, address: str, find_key: bool) -> None:
    """Show the teams that an entry VM knows, by its metrics address.

    Keys are shown by fingerprints. With --find-key the key is hashed here and never
    sent.
    """
    page = asyncio.run(_fetch_page(address))
    rows = page.teams
    if find_key:
        rows = _teams_of_key(rows, sys.stdin.read().strip())
    if options.is_json:
        echo_json(TeamPage(page.configuration_version, rows))
        return
    click.echo(f"configuration version {page.configuration_version}")
    echo_table(
        ["team", "priority", "rate_per_s", "burst", "key fingerprints"],
        [_cells(row) for row in rows],
    )


async def _fetch_page(address: str) -> TeamPage:
    try:
        response = await call_http(
            address, HttpRequest("GET", TEAM_PAGE_PATH), _TIMEOUT_MS
        )
    except ValueError as error:
        raise CommandError(
            f"{address!r} is not an address: expected HOST:PORT", ExitCode.USAGE
        ) from error
    except (OSError, TimeoutError) as error:
        raise CommandError(f"{address} does not answer", ExitCode.NO_ANSWER) from error
    try:
        assert response is not None
        return msgspec.json.decode(response.body, type=TeamPage)
    except msgspec.MsgspecError as error:
        raise CommandError(
            f"{address} is not the metrics address of an entry VM", ExitCode.FAILED
        ) from error


def _teams_of_key(rows: list[TeamRow], key: str) -> list[TeamRow]:
    fingerprint = key_fingerprint(key_digest(key))
    found = [row for row in rows if fingerprint in row.fingerprints]
    if not key or not found:
        raise CommandError("the key belongs to no team", ExitCode.REFUSED)
    return found


def _cells(row: TeamRow) -> list[str]:
    rate = f"{row.rate_per_s:g}" if row.rate_per_s else "unlimited"
    return [
        row.name,
        str(row.priority),
        rate,
        f"{row.burst:g}",
        " ".join(row.fingerprints),
    ]
