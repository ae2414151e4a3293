"""Run a command's coroutine and end the command with an exit code."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

import click

from cardamomshunt_cli._client import DeploymentClient
from cardamomshunt_cli._deployment import Deployment, TargetOptions, load_deployment
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._output import echo_json

ResultType = TypeVar("ResultType")


@dataclass(slots=True)
class Session:
    """Deployment and client of a command that contacts daemons."""

    deployment: Deployment
    client: DeploymentClient


def exits_with_code(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command to print a CommandError and exit with its code."""

    @functools.wraps(command)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        try:
            return command(*args, **kwargs)
        except CommandError as error:
            fail(error)

    return wrapper


def fail(error: CommandError) -> NoReturn:
    """Print an error and end the command with its exit code.

    The text goes to standard error, with --json also as an object to standard output.
    """
    options = click.get_current_context().find_object(TargetOptions)
    if options is not None and options.is_json:
        echo_json({"error": str(error), "exit_code": int(error.exit_code)})
    click.echo(click.style(f"error: {error}", fg="red"), err=True)
    raise click.exceptions.Exit(int(error.exit_code))


def finish(exit_code: ExitCode) -> None:
    """End the command unless the exit code is OK."""
    if exit_code is not ExitCode.OK:
        raise click.exceptions.Exit(int(exit_code))


def run(
    options: TargetOptions, work: Callable[[Session], Awaitable[ResultType]]
) -> ResultType:
    """Run a coroutine with a client for the daemons of the deployment."""
    deployment = load_deployment(options)
    session = Session(deployment, DeploymentClient(deployment))

    async def call() -> ResultType:
        return await work(session)

    return asyncio.run(call())
