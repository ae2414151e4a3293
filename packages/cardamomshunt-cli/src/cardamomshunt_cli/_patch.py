"""Parse configuration patches, send them, and wait until they are in force."""

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
# Six lost heartbeats at the default interval. A patch does not wait for such a node,
# which applies the version after it has reconnected.
_UNRESPONSIVE_AFTER_MS = 3_000.0
_VERSION_FIELD = "version"


class PatchResult(msgspec.Struct, kw_only=True):
    """Reply to a patch; `away_on` lists the missing nodes that are unresponsive."""

    reply: PatchReply
    away_on: list[str] = []

    @property
    def pending_on(self) -> list[str]:
        """Return the live nodes on which the version is not yet in force."""
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
    """Read the changes from the leaves of a nested YAML or JSON mapping."""
    try:
        document = _parse_yaml(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", ExitCode.USAGE) from error
    if not isinstance(document, dict):
        raise CommandError(f"{path}: expected a mapping of settings", ExitCode.USAGE)
    return leaves(document)


def leaves(document: dict[str, Any], prefix: str = "") -> list[Change]:
    """Return the leaves of a nested mapping as changes."""
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
    """Return the changes that turn one document into another.

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
    """Return a random patch id."""
    return f"ctl-{uuid.uuid4().hex[:16]}"


async def current_version(client: DeploymentClient) -> int:
    """Return the newest configuration version."""
    reply = await client.send_to_leader(ConfigurationRequest(), ConfigurationReply)
    return reply.version


async def send_patch(
    client: DeploymentClient, request: PatchRequest, wait_s: float
) -> PatchResult:
    """Send a patch and wait until it is in force on every live node.

    The patch is sent again under the same id when a reply is lost, so that it applies
    only once.
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
    """Return those of the nodes that are unresponsive."""
    status = await client.send_to_leader(StatusRequest(), StatusReply)
    unresponsive = {
        x.node for x in status.nodes if x.silence_ms > _UNRESPONSIVE_AFTER_MS
    }
    # Control may append to a name how long the node has been unresponsive.
    return [node for node in nodes if node.partition(" ")[0] in unresponsive]


def show_patch(result: PatchResult) -> None:
    """Print the outcome of a patch."""
    reply = result.reply
    if reply.outcome is PatchOutcome.ACCEPTED:
        state = "in force on every live node"
        if result.pending_on:
            state = f"NOT yet in force on {', '.join(result.pending_on)}"
        click.echo(
            f"patch {reply.patch_id}: accepted as version {reply.version}, {state}"
        )
        if result.away_on:
            click.echo(
                "unresponsive, will apply it on reconnecting: "
                f"{', '.join(result.away_on)}"
            )
    elif reply.outcome is PatchOutcome.DRY_RUN_OK:
        click.echo(f"patch {reply.patch_id}: valid, nothing was changed (dry run)")
    elif reply.outcome is PatchOutcome.STALE_BASE:
        click.echo(
            f"patch {reply.patch_id}: refused, the configuration is at version "
            f"{reply.version} by now. Changes since the base version:"
        )
        show_changes(reply.changes_since)
        click.echo(
            "review them, then repeat the patch with the new --base and a new id"
        )
    else:
        click.echo(f"patch {reply.patch_id}: refused, nothing was changed:")
        for error in reply.errors:
            click.echo(f"  {error.path}: {error.reason}")


def show_changes(changes: list[Change]) -> None:
    """Print one change per line."""
    for change in changes:
        value = msgspec.json.encode(change.value).decode()
        shown = "removed" if change.value is None else f"= {value}"
        click.echo(f"  {change.path} {shown}")


def exit_code_for(result: PatchResult) -> ExitCode:
    """Return the exit code for the outcome of a patch."""
    if result.reply.outcome is PatchOutcome.STALE_BASE:
        return ExitCode.STALE_BASE
    if result.reply.outcome is PatchOutcome.INVALID:
        return ExitCode.REFUSED
    return ExitCode.NOT_IN_FORCE if result.pending_on else ExitCode.OK
