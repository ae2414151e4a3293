"""Collect the events of all daemons and merge them in causal order."""

import heapq
import re
import time
from dataclasses import dataclass

import click
import msgspec
from cardamomshunt.events import Severity, entry_for
from cardamomshunt.hybrid_clock import wall_ms_of
from cardamomshunt.operator_messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)

from cardamomshunt_cli._client import DeploymentClient, no_answer_error
from cardamomshunt_cli._deployment import Deployment
from cardamomshunt_cli._exit_codes import CommandError, ExitCode
from cardamomshunt_cli._output import echo_table
from cardamomshunt_cli._status import known_addresses

_UNITS_MS = {
    "ms": 1.0,
    "s": 1_000.0,
    "m": 60_000.0,
    "h": 3_600_000.0,
    "d": 86_400_000.0,
}
_COLOURS = {
    Severity.INFO: None,
    Severity.WARNING: "yellow",
    Severity.ERROR: "red",
    Severity.CRITICAL: "bright_red",
}


class Timeline(msgspec.Struct, kw_only=True):
    """Merged events, as the command prints them in JSON.

    `n_dropped` counts, by daemon, the events that its buffer had already discarded.
    """

    events: list[TimelineEvent]
    answered: list[str]
    silent_addresses: list[str]
    n_dropped: dict[str, int]


def parse_duration_ms(text: str) -> float:
    """Parse a duration.

    >>> parse_duration_ms("10m")
    600000.0
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)", text.strip())
    if match is None:
        raise CommandError(
            f"expected a duration such as 90s, 10m or 2h, got {text!r}", ExitCode.USAGE
        )
    return float(match[1]) * _UNITS_MS[match[2]]


def event_id(event: TimelineEvent) -> str:
    """Return the id by which other events refer to this one as their cause."""
    return f"{event.node}@{event.hlc}"


@dataclass(slots=True)
class _CausalGraph:
    """Direct successors and number of predecessors of each event, by index."""

    followers: list[list[int]]
    n_predecessors: list[int]


def _build_graph(events: list[TimelineEvent]) -> _CausalGraph:
    """Link each event to its cause and to its predecessor on the same node."""
    graph = _CausalGraph([[] for _ in events], [0] * len(events))
    by_id = {event_id(event): index for index, event in enumerate(events)}
    last_of_node: dict[str, int] = {}
    for index, event in enumerate(events):
        predecessors = {last_of_node.get(event.node), by_id.get(event.cause)}
        for predecessor in predecessors - {None, index}:
            assert predecessor is not None
            graph.followers[predecessor].append(index)
            graph.n_predecessors[index] += 1
        last_of_node[event.node] = index
    return graph


def merge_events(replies: list[TimelineReply]) -> list[TimelineEvent]:
    """Merge events by hybrid time, and never place an effect before its cause.

    Hybrid times order all events of nodes whose clocks are within the accepted skew.
    Events of a node with a larger skew are placed by the causes that they name.
    """
    unique = {
        event_id(event): event for reply in replies for event in reply.events
    }.values()
    events = sorted(unique, key=lambda event: (event.hlc, event.node))
    graph = _build_graph(events)
    ready = [
        index for index, n_before in enumerate(graph.n_predecessors) if not n_before
    ]
    heapq.heapify(ready)
    order: list[int] = []
    while ready:
        index = heapq.heappop(ready)
        order.append(index)
        for follower in graph.followers[index]:
            graph.n_predecessors[follower] -= 1
            if not graph.n_predecessors[follower]:
                heapq.heappush(ready, follower)
    # Events in a cycle of causes have no causal order: append them by time instead
    # of dropping them.
    unordered = sorted(set(range(len(events))) - set(order))
    return [events[index] for index in [*order, *unordered]]


async def collect_timeline(
    client: DeploymentClient,
    deployment: Deployment,
    since_ms: float,
    database: str | None,
) -> Timeline:
    """Request the events of every known daemon and merge them."""
    deployment.require_target()
    addresses = await known_addresses(client, deployment)
    request = TimelineRequest(since_ms=since_ms, database=database)
    answers = await client.send_to_all(addresses, request)
    replies = [x for x in answers.replies.values() if isinstance(x, TimelineReply)]
    if not replies:
        raise no_answer_error(addresses)
    without_timeline = [
        address
        for address, reply in answers.replies.items()
        if not isinstance(reply, TimelineReply)
    ]
    return Timeline(
        events=merge_events(replies),
        answered=sorted(reply.node for reply in replies),
        silent_addresses=[*answers.unresponsive, *without_timeline],
        n_dropped={reply.node: reply.n_dropped for reply in replies if reply.n_dropped},
    )


def clock_text(hlc: int) -> str:
    """Format the wall time of a hybrid time, in UTC."""
    seconds, milliseconds = divmod(wall_ms_of(hlc), 1_000)
    return time.strftime("%H:%M:%S", time.gmtime(seconds)) + f".{milliseconds:03d}"


def event_name(number: int) -> str:
    """Return the name of an event by its number."""
    entry = entry_for(number)
    return entry.number.name if entry else f"EVENT_{number}"


def severity_of(number: int) -> Severity:
    """Return the severity of an event by its number."""
    entry = entry_for(number)
    return entry.severity if entry else Severity.INFO


def show_timeline(timeline: Timeline) -> None:
    """Print one event per line, oldest first."""
    rows = [_row(event) for event in timeline.events]
    echo_table(["time (UTC)", "node", "event", "database", "what"], rows)
    for address in timeline.silent_addresses:
        text = f"no events from {address}: it did not answer"
        click.echo(click.style(text, fg="yellow"))
    for node, n_dropped in timeline.n_dropped.items():
        click.echo(f"{node}: {n_dropped} older events are no longer available")


def _row(event: TimelineEvent) -> list[str]:
    what = ": ".join(item for item in (event.subject, event.detail) if item)
    name = f"{event.number} {event_name(event.number)}"
    colour = _COLOURS[severity_of(event.number)]
    return [
        clock_text(event.hlc),
        event.node,
        name,
        event.database,
        click.style(what, fg=colour) if colour else what,
    ]
