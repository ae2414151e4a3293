"""Entry point of the operator command line."""

from pathlib import Path

import click

from cardamomshunt_cli._configuration_commands import config, patch
from cardamomshunt_cli._deployment import TargetOptions
from cardamomshunt_cli._inspection_commands import (
    bench,
    check,
    explain_command,
    schema,
    status,
    timeline,
)
from cardamomshunt_cli._operation_commands import drain, handover, member, resume
from cardamomshunt_cli._team_commands import teams


@click.group(context_settings={"auto_envvar_prefix": "CARDAMOMCTL"})
@click.option(
    "--control",
    multiple=True,
    metavar="HOST:PORT",
    help="Operator address of a control node; may be repeated.",
)
@click.option(
    "--entry",
    multiple=True,
    metavar="HOST:PORT",
    help="Operator address of an entry VM; may be repeated.",
)
@click.option(
    "--settings",
    multiple=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="Settings file of a daemon, for its addresses and keys; may be repeated.",
)
@click.option(
    "--key", multiple=True, metavar="ID=FILE", help="Key; the first one signs requests."
)
@click.option("--json", "is_json", is_flag=True, help="Print machine-readable JSON.")
@click.pass_context
def main(
    context: click.Context,
    control: tuple[str, ...],
    entry: tuple[str, ...],
    settings: tuple[Path, ...],
    key: tuple[str, ...],
    is_json: bool,
) -> None:
    """Operate and inspect a cardamomshunt deployment.

    The environment variables CARDAMOMCTL_CONTROL, CARDAMOMCTL_ENTRY,
    CARDAMOMCTL_SETTINGS and CARDAMOMCTL_KEY hold the same values, separated by
    spaces. Exit codes: 0 success, 1 failure, 2 wrong usage, 3 no answer, 4 refused,
    5 stale base version, 6 accepted but not in force everywhere, 7 problems found,
    8 control has no leader.
    """
    context.obj = TargetOptions(control, entry, settings, key, is_json)


for command in (
    status,
    patch,
    config,
    drain,
    resume,
    handover,
    timeline,
    check,
    explain_command,
    member,
    bench,
    schema,
    teams,
):
    main.add_command(command)
