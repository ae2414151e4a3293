"""Configuration patches: read from files and options, sent, and waited for."""

import asyncio
import time
import uuid
from pathlib import Path
from typing import Any

import click
import msgspec
import yaml
from cardamomshunt.messages import Change
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    PatchOutcome,
    PatchReply,
    PatchRequest,
    StatusReply,
    StatusRequest,
)

from cardamomshunt_cli._client import DeploymentClient
from cardamomshunt_cli._exit_codes import CommandError, ExitCode

_POLL_PAUSE_S = 0.1
# Six lost heartbeats at the usual pace; such a node takes the version over later.
_UNRESPONSIVE_AFTER_MS = 3_000.0
_VERSION_FIELD = "version"


class PatchResult(msgspec.Struct, kw_only=True):
    """Hold the reply to a patch; `away_on` names missing nodes that are silent."""

    reply: PatchReply
    away_on: list[str] = []

    @property
    def pending_on(self) -> list[str]:
        """Return the live nodes on which the version is not in force."""
        return [node for node in self.reply.missing_on if node not in self.away_on]


def parse_assignment(text: str) -> Change:
    """Parse `path=value`; `null` removes the value.

    >>> parse_assignment("policy.detection_ms=700")
    Change(path='policy.detection_ms', value=700)
    """
    path, separator, value = text.partition("=")
    if not separator or not path.strip():
        raise CommandError(f"expected PATH=VALUE, got {text!r}", ExitCode.USAGE)
    return Change(path=path.strip(), value=_require_scalar(path, _parse_yaml(value)))


def read_patch_file(path: Path) -> list[Change]:
    """Read a YAML or JSON table of tables, whose leaves are the new values."""
    try:
        document = _parse_yaml(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", ExitCode.USAGE) from error
    if not isinstance(document, dict):
        raise CommandError(f"{path}: expected a table of settings", ExitCode.USAGE)
    return leaves(document)


def leaves(document: dict[str, Any], prefix: str = "") -> list[Change]:
    """Return the leaves of nested tables as changes."""
    changes: list[Change] = []
    for name, value in document.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            changes += leaves(value, f"{path}.")
        else:
            changes.append(Change(path=path, value=_require_scalar(path, value)))
    return changes


def changes_between(
    source: dict[str, Any], target: dict[str, Any], prefix: str = ""
) -> list[Change]:
    """Return the changes that lead from one document to another.

    >>> changes_between({"a": {"b": 1}, "c": 2}, {"a": {"b": 3}})
    [Change(path='a.b', value=3), Change(path='c', value=None)]
    """
    changes: list[Change] = []
    for name in [*source, *[item for item in target if item not in source]]:
        path = f"{prefix}{name}"
        if path == _VERSION_FIELD:
            continue
        before, after = source.get(name), target.get(name)
        if isinstance(before, dict) and isinstance(after, dict):
            changes += changes_between(before, after, f"{path}.")
        elif isinstance(after, dict):
            changes += leaves(after, f"{path}.")
        elif before != after:
            changes.append(Change(path=path, value=_require_scalar(path, after)))
    return changes


def _parse_yaml(text: str) -> Any:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise CommandError(f"not valid YAML: {error}", ExitCode.USAGE) from error


def _require_scalar(path: str, value: Any) -> str | int | float | bool | None:
    if value is None or isinstance(value, str | int | float | bool):
        return value
    kind = type(value).__name__
    raise CommandError(f"{path}: expected a single value, got {kind}", ExitCode.USAGE)


def new_patch_id() -> str:
    """Return a patch id that no other operator uses."""
    return f"ctl-{uuid.uuid4().hex[:16]}"


async def current_version(client: DeploymentClient) -> int:
    """Return the newest version."""
    reply = await client.send_to_leader(ConfigurationRequest(), ConfigurationReply)
    return reply.version


async def send_patch(
    client: DeploymentClient, request: PatchRequest, wait_s: float
) -> PatchResult:
    """Send a patch and wait until it is in force on every live node.

    The same patch id is sent again when an answer is lost, so it applies once.
    """
    reply = await client.send_to_leader(request, PatchReply)
    result = PatchResult(reply=reply)
    if reply.outcome is not PatchOutcome.ACCEPTED:
        return result
    deadline_s = time.monotonic() + wait_s
    while True:
        configuration = await client.send_to_leader(
            ConfigurationRequest(version=None), ConfigurationReply
        )
        reply.in_force_on = configuration.in_force_on
        reply.missing_on = configuration.missing_on
        if reply.missing_on:
            result.away_on = await _unresponsive_nodes(client, reply.missing_on)
        if not result.pending_on or time.monotonic() > deadline_s:
            return result
        await asyncio.sleep(_POLL_PAUSE_S)


async def _unresponsive_nodes(client: DeploymentClient, nodes: list[str]) -> list[str]:
    """Return those of the nodes that are silent."""
    status = await client.send_to_leader(StatusRequest(), StatusReply)
    silent = {x.node for x in status.nodes if x.silence_ms > _UNRESPONSIVE_AFTER_MS}
    # Control may add to a name for how long the node has been away.
    return [node for node in nodes if node.partition(" ")[0] in silent]


def show_patch(result: PatchResult) -> None:
    """Print what became of a patch."""
    reply = result.reply
    if reply.outcome is PatchOutcome.ACCEPTED:
        state = "in force on every live node"
        if result.pending_on:
            state = f"NOT yet in force on {', '.join(result.pending_on)}"
        click.echo(
            f"patch {reply.patch_id}: accepted as version {reply.version}, {state}"
        )
        if result.away_on:
            click.echo(f"silent, will get it later: {', '.join(result.away_on)}")
    elif reply.outcome is PatchOutcome.DRY_RUN_OK:
        click.echo(f"patch {reply.patch_id}: valid, nothing was changed (dry run)")
    elif reply.outcome is PatchOutcome.STALE_BASE:
        click.echo(
            f"patch {reply.patch_id}: refused, the configuration is at version "
            f"{reply.version} by now. Changed since the base:"
        )
        show_changes(reply.changes_since)
        click.echo("look at them and repeat the patch with the new --base and a new id")
    else:
        click.echo(f"patch {reply.patch_id}: refused, nothing was changed:")
        for error in reply.errors:
            click.echo(f"  {error.path}: {error.reason}")


def show_changes(changes: list[Change]) -> None:
    """Print changes, one a line."""
    for change in changes:
        value = msgspec.json.encode(change.value).decode()
        shown = "removed" if change.value is None else f"= {value}"
        click.echo(f"  {change.path} {shown}")


def exit_code_for(result: PatchResult) -> ExitCode:
    """Return the exit code that tells what became of a patch."""
    if result.reply.outcome is PatchOutcome.STALE_BASE:
        return ExitCode.STALE_BASE
    if result.reply.outcome is PatchOutcome.INVALID:
        return ExitCode.REFUSED
    return ExitCode.NOT_IN_FORCE if result.pending_on else ExitCode.OK
