"""Commands that show and change the cluster configuration."""

import json
from pathlib import Path
from typing import Any

import click
from cardamomshunt.messages import Change
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    PatchRequest,
)

from cardamomshunt_cli._deployment import TargetOptions
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._output import echo_json
from cardamomshunt_cli._patch import (
    PatchResult,
    changes_between,
    current_version,
    exit_code_for,
    new_patch_id,
    parse_assignment,
    read_patch_file,
    send_patch,
    show_changes,
    show_patch,
)
from cardamomshunt_cli._run import Session, exits_with_code, finish, run

_FILE = click.Path(dir_okay=False, path_type=Path)
_WAIT_S = 10.0
_WAIT_OPTION = click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(0, 600),
    default=_WAIT_S,
    show_default=True,
    help="Seconds to wait until the version is in force everywhere.",
)
_ID_OPTION = click.option("--id", "patch_id", help="Patch id; a new one by default.")


@click.command()
@click.argument("file", required=False, type=_FILE)
@click.option("--set", "assignments", multiple=True, metavar="PATH=VALUE")
@click.option(
    "--base", type=int, help="Version that the patch is based on; default: newest."
)
@_ID_OPTION
@click.option("--author", default="", envvar="USER", help="Name for the history.")
@click.option("--dry-run", is_flag=True, help="Check the patch and change nothing.")
@_WAIT_OPTION
@click.pass_obj
@exits_with_code
def patch(
    options: TargetOptions,
    file: Path | None,
    assignments: tuple[str, ...],
    base: int | None,
    patch_id: str | None,
    author: str,
    dry_run: bool,
    wait_s: float,
) -> None:
    """Change the configuration by a FILE (YAML or JSON) or by --set.

    A `null` removes a value. A patch repeated with the same --id and the same changes
    is applied only once.
    """
    changes = read_patch_file(file) if file is not None else []
    changes += [parse_assignment(text) for text in assignments]
    if not changes:
        raise CommandError("nothing to change: give FILE or --set", ExitCode.USAGE)

    async def work(session: Session) -> PatchResult:
        version = base
        if version is None:
            version = await current_version(session.client)
        request = PatchRequest(
            patch_id=patch_id or new_patch_id(),
            base_version=version,
            changes=changes,
            author=author,
            is_dry_run=dry_run,
        )
        return await _send(session, request, wait_s)

    _finish_patch(options, run(options, work))


async def _send(session: Session, request: PatchRequest, wait_s: float) -> PatchResult:
    # Printed first, so that the id is known if this command is interrupted.
    click.echo(f"patch id {request.patch_id}, base {request.base_version}", err=True)
    return await send_patch(session.client, request, wait_s)


def _finish_patch(options: TargetOptions, result: PatchResult) -> None:
    if options.is_json:
        echo_json(result)
    else:
        show_patch(result)
    finish(exit_code_for(result))


@click.group()
def config() -> None:
    """Show the configuration and its history, or roll back."""


async def _fetch_configuration(
    session: Session, version: int | None, n_history: int = 0
) -> ConfigurationReply:
    return await session.client.send_to_leader(
        ConfigurationRequest(version=version, n_history=n_history), ConfigurationReply
    )


async def _fetch_document(session: Session, version: int | None) -> dict[str, Any]:
    reply = await _fetch_configuration(session, version)
    document: dict[str, Any] = json.loads(reply.document_json)
    return document


@config.command()
@click.option("--version", type=int, help="Version to show; default: newest.")
@click.pass_obj
@exits_with_code
def show(options: TargetOptions, version: int | None) -> None:
    """Show the document of a version and where it is in force."""

    async def work(session: Session) -> ConfigurationReply:
        return await _fetch_configuration(session, version)

    reply = run(options, work)
    document = json.loads(reply.document_json)
    if options.is_json:
        echo_json(
            {
                "version": reply.version,
                "document": document,
                "in_force_on": reply.in_force_on,
                "missing_on": reply.missing_on,
            }
        )
        return
    click.echo(f"version {reply.version}")
    show_changes(changes_between({}, document))
    if reply.in_force_on:
        click.echo(f"in force on {', '.join(reply.in_force_on)}")
    if reply.missing_on:
        click.echo(f"NOT in force on {', '.join(reply.missing_on)}")


@config.command()
@click.argument("from_version", type=int)
@click.argument("to_version", type=int, required=False)
@click.pass_obj
@exits_with_code
def diff(options: TargetOptions, from_version: int, to_version: int | None) -> None:
    """Show the changes from one version to another (default: the newest)."""

    async def work(session: Session) -> list[Change]:
        source = await _fetch_document(session, from_version)
        target = await _fetch_document(session, to_version)
        return changes_between(source, target)

    changes = run(options, work)
    if options.is_json:
        echo_json(changes)
    elif changes:
        show_changes(changes)
    else:
        click.echo("no difference")


@config.command()
@click.option("--n", "n_entries", type=click.IntRange(1, 1_000), default=20)
@click.pass_obj
@exits_with_code
def history(options: TargetOptions, n_entries: int) -> None:
    """Show the last versions with their authors and changes."""

    async def work(session: Session) -> ConfigurationReply:
        return await _fetch_configuration(session, None, n_entries)

    reply = run(options, work)
    if options.is_json:
        echo_json(reply.history)
        return
    for entry in reply.history:
        author = entry.author or "unknown"
        click.echo(f"version {entry.version} by {author}, patch {entry.patch_id}")
        show_changes(entry.changes)


@config.command()
@click.argument("version", type=int)
@_ID_OPTION
@click.option("--author", default="", envvar="USER")
@click.option("--dry-run", is_flag=True)
@_WAIT_OPTION
@click.pass_obj
@exits_with_code
def rollback(
    options: TargetOptions,
    version: int,
    patch_id: str | None,
    author: str,
    dry_run: bool,
    wait_s: float,
) -> None:
    """Create a new version with the content of an old one; numbers never decrease."""

    async def work(session: Session) -> PatchResult | None:
        newest = await _fetch_configuration(session, None)
        target = await _fetch_document(session, version)
        changes = changes_between(json.loads(newest.document_json), target)
        if not changes:
            return None
        request = PatchRequest(
            patch_id=patch_id or new_patch_id(),
            base_version=newest.version,
            changes=changes,
            author=author,
            is_dry_run=dry_run,
        )
        return await _send(session, request, wait_s)

    result = run(options, work)
    if result is None:
        click.echo(f"the newest version already has the content of version {version}")
        return
    _finish_patch(options, result)
