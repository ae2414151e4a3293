"""Collect the status of a deployment and show it on one screen."""

import click
import msgspec
from cardamomshunt.messages import FailoverStep, NodeRole
from cardamomshunt.operator_messages import (
    DatabaseStatus,
    InstanceStatus,
    NodeStatus,
    Problem,
    StatusReply,
    StatusRequest,
)

from cardamomshunt_cli._client import DeploymentClient, no_answer_error
from cardamomshunt_cli._deployment import Deployment
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._output import duration_text, echo_heading, echo_table

_NODE_UNRESPONSIVE_MS = 3_000.0
_INSTANCE_UNRESPONSIVE_MS = 1_000.0
# A longer table does not fit on a screen; then only unhealthy rows are shown.
_N_ROWS_MAX = 24


class StatusView(msgspec.Struct, kw_only=True):
    """Status of a deployment, as the command prints it in JSON."""

    is_authoritative: bool
    answered_by: str
    leader: str | None
    configuration_version: int
    databases: list[DatabaseStatus]
    nodes: list[NodeStatus]
    problems: list[Problem]
    silent_addresses: list[str]


async def collect_status(
    client: DeploymentClient, deployment: Deployment
) -> StatusView:
    """Query the control nodes, and the entry VMs if no leader answers."""
    deployment.require_target()
    control = await client.send_to_all(deployment.control_addresses, StatusRequest())
    replies = [
        item for item in control.replies.values() if isinstance(item, StatusReply)
    ]
    if not any(reply.is_authoritative for reply in replies):
        known = [
            node.operator_address
            for reply in replies
            for node in reply.nodes
            if node.role is NodeRole.PROXY
        ]
        addresses = [*deployment.entry_addresses, *known]
        entry = await client.send_to_all(addresses, StatusRequest())
        replies += [
            item for item in entry.replies.values() if isinstance(item, StatusReply)
        ]
    if not replies:
        raise no_answer_error(deployment.control_addresses)
    best = max(replies, key=_reply_rank)
    return StatusView(
        is_authoritative=best.is_authoritative,
        answered_by=best.node,
        leader=best.leader,
        configuration_version=best.configuration_version,
        databases=best.databases,
        nodes=best.nodes,
        problems=_problems(best, control.unresponsive),
        silent_addresses=control.unresponsive,
    )


def _reply_rank(reply: StatusReply) -> tuple[bool, int, int, int]:
    """Return a key that is highest for the leader's, newest and most complete reply."""
    newest_term = max((item.term for item in reply.databases), default=0)
    return (
        reply.is_authoritative,
        newest_term,
        reply.configuration_version,
        len(reply.databases) + len(reply.nodes),
    )


def _problems(reply: StatusReply, unresponsive_control: list[str]) -> list[Problem]:
    """Return the problems that the daemon reports and those derived from its reply."""
    problems = list(reply.problems)
    if not reply.is_authoritative:
        problems.append(
            Problem(
                summary=f"No control leader answers; this is what {reply.node} knows.",
                action="Start the control nodes that are down; failover and patches "
                "need a majority of them.",
            )
        )
    elif unresponsive_control:
        problems.append(
            Problem(
                summary=f"Control does not answer at {', '.join(unresponsive_control)}.",
                action="Restart or replace it in working hours; the others still serve.",
            )
        )
    if not reply.problems:
        problems += _database_problems(reply)
    return problems


def _database_problems(reply: StatusReply) -> list[Problem]:
    problems = []
    for item in reply.databases:
        if item.primary_instance is None or item.step is not FailoverStep.SERVING:
            problems.append(
                Problem(
                    summary=f"{item.database} accepts no writes ({item.step.value}).",
                    action="Wait 10 s; if it persists, start the servers of the group.",
                )
            )
        unresponsive = [
            x for x in item.instances if x.silence_ms > _INSTANCE_UNRESPONSIVE_MS
        ]
        for instance in unresponsive:
            problems.append(
                Problem(
                    summary=f"{instance.instance} has been unresponsive for "
                    f"{duration_text(instance.silence_ms)}.",
                    action="Not urgent; start or replace it in working hours.",
                )
            )
    return problems


def show_status(view: StatusView) -> None:
    """Print the status as text."""
    source = "control leader" if view.is_authoritative else "NOT the control leader"
    click.echo(
        f"configuration {view.configuration_version}, "
        f"leader {view.leader or 'none'}, answered by {view.answered_by} ({source})"
    )
    _show_databases(view.databases)
    _show_nodes(view)
    _show_problems(view.problems)


def _show_databases(databases: list[DatabaseStatus]) -> None:
    echo_heading("databases")
    shown = databases
    if len(databases) > _N_ROWS_MAX:
        shown = [item for item in databases if not _is_healthy(item)]
    rows = [
        [
            item.database,
            item.primary_instance or "NONE",
            str(item.term),
            item.step.value,
            ", ".join(_replica_text(x, item) for x in _replicas(item)) or "none known",
        ]
        for item in shown
    ]
    echo_table(["name", "primary", "term", "step", "replicas (lag)"], rows)
    _show_n_omitted(len(databases) - len(shown))


def _show_n_omitted(n_omitted: int) -> None:
    if n_omitted:
        click.echo(f"  and {n_omitted} more, which are ok (all: --json)")


def _is_healthy(item: DatabaseStatus) -> bool:
    is_serving = item.step is FailoverStep.SERVING and item.primary_instance
    unresponsive = [
        x for x in item.instances if x.silence_ms > _INSTANCE_UNRESPONSIVE_MS
    ]
    return bool(is_serving) and not unresponsive


def _replicas(item: DatabaseStatus) -> list[InstanceStatus]:
    return [x for x in item.instances if x.instance != item.primary_instance]


def _replica_text(instance: InstanceStatus, database: DatabaseStatus) -> str:
    if instance.silence_ms > _INSTANCE_UNRESPONSIVE_MS:
        return (
            f"{instance.instance} "
            f"(unresponsive for {duration_text(instance.silence_ms)})"
        )
    leaving = ", leaving" if instance.is_leaving else ""
    return f"{instance.instance} ({_lag_text(instance, database)}{leaving})"


def _lag_text(instance: InstanceStatus, database: DatabaseStatus) -> str:
    """Format the lag as a duration, or else as log entries behind the primary."""
    if instance.lag_ms is not None:
        return duration_text(instance.lag_ms)
    for primary in database.instances:
        if primary.instance == database.primary_instance:
            ahead, own = primary.applied_position, instance.applied_position
            if ahead.term != own.term:
                return f"at {own}, primary at {ahead}"
            return f"{max(0, ahead.position - own.position)} entries"
    return "unknown"


def _show_nodes(view: StatusView) -> None:
    echo_heading("daemons")
    nodes = sorted(view.nodes, key=lambda node: (node.role.value, node.node))
    shown = nodes
    if len(nodes) > _N_ROWS_MAX:
        shown = [node for node in nodes if not _is_healthy_proxy(node, view)]
    rows = [
        [
            node.node,
            node.role.value + (" (leader)" if node.is_leader else ""),
            node.zone,
            _version_text(node, view.configuration_version),
            _state_text(node),
        ]
        for node in shown
    ]
    echo_table(["name", "role", "zone", "configuration", "state"], rows)
    _show_n_omitted(len(nodes) - len(shown))


def _is_healthy_proxy(node: NodeStatus, view: StatusView) -> bool:
    """Return whether a node may be omitted from a long list."""
    is_current = node.configuration_version == view.configuration_version
    is_proxy = node.role is NodeRole.PROXY
    return is_proxy and is_current and _state_text(node) == "ok"


def _version_text(node: NodeStatus, version: int) -> str:
    if node.configuration_version == version:
        return str(version)
    return f"{node.configuration_version} (behind {version})"


def _state_text(node: NodeStatus) -> str:
    if node.silence_ms > _NODE_UNRESPONSIVE_MS:
        return f"unresponsive for {duration_text(node.silence_ms)}"
    return "draining" if node.is_draining else "ok"


def _show_problems(problems: list[Problem]) -> None:
    if not problems:
        click.echo(click.style("nothing is wrong", fg="green"))
        return
    echo_heading("problems and actions")
    for problem in problems:
        click.echo("  " + click.style(problem.summary, fg="red"))
        click.echo(f"    {problem.action}")


def exit_code_for(view: StatusView) -> ExitCode:
    """Return PROBLEMS if the status lists a problem, or else OK."""
    return ExitCode.PROBLEMS if view.problems else ExitCode.OK


def operator_addresses(view: StatusView) -> list[str]:
    """Return the operator addresses of all daemons in a status."""
    return [node.operator_address for node in view.nodes if node.operator_address]


async def known_addresses(
    client: DeploymentClient, deployment: Deployment
) -> list[str]:
    """Return the given addresses and those of the daemons in the status."""
    addresses = [*deployment.control_addresses, *deployment.entry_addresses]
    try:
        addresses += operator_addresses(await collect_status(client, deployment))
    except CommandError as error:
        if error.exit_code is not ExitCode.NO_ANSWER:
            raise
    return list(dict.fromkeys(addresses))
