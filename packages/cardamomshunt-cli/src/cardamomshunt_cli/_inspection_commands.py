"""Commands that inspect a deployment without changing it, and a load generator."""

import asyncio
from pathlib import Path
from typing import Any

import click
import msgspec
from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt_node.settings import settings_schema

from cardamomshunt_cli._bench import (
    DURATION_MAX_S,
    N_CONNECTIONS_MAX,
    BenchOptions,
    BenchReport,
    run_bench,
)
from cardamomshunt_cli._check import check_files
from cardamomshunt_cli._deployment import TargetOptions
from cardamomshunt_cli._events_page import events_page
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._explanations import explain, explainable_names
from cardamomshunt_cli._output import echo_json, echo_table
from cardamomshunt_cli._request_trace import read_logs, trace_request
from cardamomshunt_cli._run import Session, exits_with_code, finish, run
from cardamomshunt_cli._status import collect_status, exit_code_for, show_status
from cardamomshunt_cli._timeline import (
    Timeline,
    collect_timeline,
    parse_duration_ms,
    show_timeline,
)
from cardamomshunt_cli._timeline_chart import render_html

_FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.pass_obj
@exits_with_code
def status(options: TargetOptions) -> None:
    """Show primaries, lag, daemons, the configuration and problems."""

    async def work(session: Session) -> Any:
        return await collect_status(session.client, session.deployment)

    view = run(options, work)
    if options.is_json:
        echo_json(view)
    else:
        show_status(view)
    finish(exit_code_for(view))


@click.command()
@click.option("--since", default="10m", show_default=True, help="Such as 90s, 10m, 2h.")
@click.option("--database", help="Only events of this database and general ones.")
@click.option(
    "--html", type=_FILE, help="Write an HTML page with a chart to this file."
)
@click.pass_obj
@exits_with_code
def timeline(
    options: TargetOptions, since: str, database: str | None, html: Path | None
) -> None:
    """Show the events of all daemons in causal order."""
    since_ms = parse_duration_ms(since)

    async def work(session: Session) -> Timeline:
        return await collect_timeline(
            session.client, session.deployment, since_ms, database
        )

    merged = run(options, work)
    if html is not None:
        title = f"Timeline of {database or 'all databases'}, last {since}"
        _write(html, render_html(merged, title))
        click.echo(f"wrote {html}", err=True)
    if options.is_json:
        echo_json(merged)
    elif html is None:
        show_timeline(merged)


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", ExitCode.FAILED) from error


@click.command()
@click.argument("settings_files", nargs=-1, required=True, type=_FILE)
@click.option("--here", is_flag=True, help="Also check key files and data folders.")
@click.pass_obj
@exits_with_code
def check(options: TargetOptions, settings_files: tuple[Path, ...], here: bool) -> None:
    """Check settings files, one by one and against one another."""
    result = check_files(list(settings_files), here)
    if options.is_json:
        echo_json(result)
    else:
        for text in result.errors:
            click.echo(click.style(f"error: {text}", fg="red"))
        for text in result.warnings:
            click.echo(click.style(f"warning: {text}", fg="yellow"))
        if not result.errors:
            click.echo(f"{len(result.files)} settings files are valid")
    finish(ExitCode.PROBLEMS if result.errors else ExitCode.OK)


@click.command()
@click.argument("name", type=click.Choice(["settings", "configuration"]))
def schema(name: str) -> None:
    """Print the JSON schema of settings files or of the configuration."""
    if name == "settings":
        echo_json(settings_schema())
    else:
        echo_json(msgspec.json.schema(ClusterConfiguration))


def _complete_name(_: click.Context, __: click.Parameter, incomplete: str) -> list[str]:
    return [name for name in explainable_names() if name.startswith(incomplete)]


def _explain_request(
    options: TargetOptions, request: str, log_files: tuple[Path, ...]
) -> None:
    """Print the log lines of a request, their context and the likely causes."""
    trace = trace_request(request, read_logs(log_files))
    if options.is_json:
        echo_json(trace)
        return
    since_ms = trace.lines[0].ts_ms
    click.echo(click.style(f"request {request}", bold=True))
    for line in trace.lines:
        click.echo(f"  {line.text(since_ms)}")
    click.echo(click.style("context of the request", bold=True))
    for line in trace.context:
        click.echo(f"  {line.text(since_ms)}")
    click.echo(click.style("likely causes, most direct first", bold=True))
    for cause in trace.causes:
        click.echo(f"  {cause}")


@click.command("explain")
@click.argument(
    "name",
    metavar="REASON_OR_NUMBER_OR_REQUEST",
    required=False,
    shell_complete=_complete_name,
)
@click.argument(
    "log_files",
    nargs=-1,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option("--all", "is_all", is_flag=True, help="Print the page of all events.")
@click.pass_obj
@exits_with_code
def explain_command(
    options: TargetOptions,
    name: str | None,
    log_files: tuple[Path, ...],
    is_all: bool,
) -> None:
    """Explain a refusal reason, an event number or a logged request.

    With log files, the first argument is the id of a request, and the files are those
    of the entry VMs and of the control nodes.
    """
    if is_all:
        click.echo(events_page())
        return
    if name is None:
        raise CommandError("give a refusal reason or an event number", ExitCode.USAGE)
    if log_files:
        _explain_request(options, name, log_files)
        return
    explanation = explain(name)
    if options.is_json:
        echo_json(explanation)
        return
    click.echo(click.style(explanation.name, bold=True))
    click.echo(f"  meaning:     {explanation.meaning}")
    click.echo(f"  consequence: {explanation.consequence}")
    click.echo(f"  what to do:  {explanation.action}")


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=click.IntRange(1, 65_535), required=True)
@click.option("--user", default="root", show_default=True)
@click.option("--password", default="", envvar="CARDAMOMCTL_PASSWORD")
@click.option("--database", default="", help="Database to use.")
@click.option("--statement", multiple=True, default=("SELECT 1",), show_default=True)
@click.option(
    "--connections",
    type=click.IntRange(1, N_CONNECTIONS_MAX),
    default=8,
    show_default=True,
)
@click.option(
    "--duration",
    default="10s",
    show_default=True,
    help=f"At most {DURATION_MAX_S:.0f}s.",
)
@click.option("--rate", type=click.FloatRange(0.1, 1e6), help="Statements per second.")
@click.pass_obj
@exits_with_code
def bench(options: TargetOptions, **given: Any) -> None:
    """Measure the latency of any MySQL endpoint under a bounded load."""
    duration_s = parse_duration_ms(given["duration"]) / 1_000.0
    if not 0 < duration_s <= DURATION_MAX_S:
        raise CommandError(
            f"--duration: expected at most {DURATION_MAX_S:.0f}s", ExitCode.USAGE
        )
    bench_options = BenchOptions(
        host=given["host"],
        port=given["port"],
        user=given["user"],
        password=given["password"],
        database=given["database"],
        statements=given["statement"],
        n_connections=given["connections"],
        duration_s=duration_s,
        rate=given["rate"],
    )
    report = asyncio.run(run_bench(bench_options))
    if options.is_json:
        echo_json(report)
    else:
        _show_bench(report)
    if not report.n_answered:
        finish(ExitCode.NO_ANSWER)


def _show_bench(report: BenchReport) -> None:
    click.echo(
        f"{report.n_answered} answered, {report.n_failed} failed in "
        f"{report.elapsed_s:.1f} s: {report.statements_per_s:.0f} statements/s"
    )
    names_and_values = report.latency_ms.items()
    echo_table(
        [name for name, _ in names_and_values],
        [[f"{value:.2f} ms" for _, value in names_and_values]],
    )
    if report.replica_share is not None:
        click.echo(
            f"replica reads: {report.replica_share:.1%} of "
            f"{report.n_routes_sampled} sampled"
        )
    for text, n_errors in report.errors.items():
        click.echo(f"{n_errors} times: {text}")
