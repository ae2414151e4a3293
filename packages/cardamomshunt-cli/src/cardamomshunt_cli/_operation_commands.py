"""Commands that drain, resume and hand over servers, and change the control group."""

import asyncio
import time

import click
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import FailoverStep, Message
from cardamomshunt.operator_messages import (
    DrainReply,
    DrainRequest,
    HandoverReply,
    HandoverRequest,
    MemberChangeReply,
    MemberChangeRequest,
    StatusReply,
    StatusRequest,
    TimelineReply,
    TimelineRequest,
)

from cardamomshunt_cli._deployment import TargetOptions
from cardamomshunt_cli._exit_codes import ExitCode
from cardamomshunt_cli._output import echo_json
from cardamomshunt_cli._run import Session, exits_with_code, finish, run

_POLL_PAUSE_S = 0.1
# Covers the time between the acceptance of the request and the first status poll.
_EVENT_MARGIN_S = 2.0
_HANDOVER_NUMBERS = (EventNumber.HANDOVER_STARTED, EventNumber.HANDOVER_ABANDONED)


def _show(options: TargetOptions, reply: Message, text: str) -> None:
    if options.is_json:
        echo_json(reply)
    else:
        click.echo(text)


def _drain(options: TargetOptions, target: str, is_draining: bool) -> DrainReply:
    async def work(session: Session) -> DrainReply:
        request = DrainRequest(target=target, is_draining=is_draining)
        return await session.client.send_to_leader(request, DrainReply)

    return run(options, work)


@click.command()
@click.argument("target")
@click.pass_obj
@exits_with_code
def drain(options: TargetOptions, target: str) -> None:
    """Stop sending new work to a backend server or an entry VM."""
    reply = _drain(options, target, True)
    detail = f": {reply.detail}" if reply.detail else ""
    _show(options, reply, f"{reply.target} is draining{detail}")


@click.command()
@click.argument("target")
@click.pass_obj
@exits_with_code
def resume(options: TargetOptions, target: str) -> None:
    """Resume sending work to a drained backend server or entry VM."""
    reply = _drain(options, target, False)
    detail = f": {reply.detail}" if reply.detail else ""
    _show(options, reply, f"{reply.target} accepts work again{detail}")


@click.command()
@click.argument("database")
@click.option("--to", "to_instance", help="Target; default: the most advanced replica.")
@click.option(
    "--wait", "wait_s", type=click.FloatRange(0, 600), default=10.0, show_default=True
)
@click.pass_obj
@exits_with_code
def handover(
    options: TargetOptions, database: str, to_instance: str | None, wait_s: float
) -> None:
    """Move a database's primary to another server without data loss."""

    async def work(session: Session) -> tuple[HandoverReply, str]:
        # Without a target, a retry after a lost reply could start a second handover.
        reply = await session.client.send_to_leader(
            HandoverRequest(database=database, to_instance=to_instance),
            HandoverReply,
            is_repeatable=to_instance is not None,
        )
        return reply, await _wait_for_primary(session, reply, wait_s)

    reply, problem = run(options, work)
    _show(
        options,
        reply,
        f"{reply.database}: {reply.from_instance} -> {reply.to_instance}, "
        f"{problem or 'done'}",
    )
    finish(ExitCode.NOT_IN_FORCE if problem else ExitCode.OK)


async def _wait_for_primary(
    session: Session, reply: HandoverReply, wait_s: float
) -> str:
    """Return an empty string once the target serves, or else the problem."""
    started_s = time.monotonic()
    while True:
        status = await session.client.send_to_leader(StatusRequest(), StatusReply)
        for item in status.databases:
            is_moved = item.primary_instance == reply.to_instance
            is_serving = item.step is FailoverStep.SERVING
            if item.database == reply.database and is_moved and is_serving:
                return ""
        elapsed_s = time.monotonic() - started_s
        abandoned = await _abandonment_reason(session, reply.database, elapsed_s)
        if abandoned:
            return f"NOT done: {abandoned}"
        if elapsed_s > wait_s:
            return f"NOT finished after {wait_s:.0f} s; see `cardamomctl timeline`"
        await asyncio.sleep(_POLL_PAUSE_S)


async def _abandonment_reason(session: Session, database: str, elapsed_s: float) -> str:
    """Return why the handover was abandoned, or an empty string if it was not."""
    since_ms = (elapsed_s + _EVENT_MARGIN_S) * 1_000.0
    request = TimelineRequest(since_ms=since_ms, database=database)
    timeline = await session.client.send_to_leader(request, TimelineReply)
    steps = [x for x in timeline.events if x.number in _HANDOVER_NUMBERS]
    if steps and steps[-1].number == EventNumber.HANDOVER_ABANDONED:
        return steps[-1].detail or "it was abandoned"
    return ""


@click.group()
def member() -> None:
    """Add or remove control nodes, one at a time."""


@member.command()
@click.argument("node")
@click.option("--zone", required=True)
@click.option("--peer-address", required=True, metavar="HOST:PORT")
@click.option("--operator-address", required=True, metavar="HOST:PORT")
@click.pass_obj
@exits_with_code
def add(
    options: TargetOptions,
    node: str,
    zone: str,
    peer_address: str,
    operator_address: str,
) -> None:
    """Add a control node; it counts for majorities once it has caught up."""
    request = MemberChangeRequest(
        node=node,
        zone=zone,
        peer_address=peer_address,
        operator_address=operator_address,
    )
    _change_member(options, request)


@member.command()
@click.argument("node")
@click.pass_obj
@exits_with_code
def remove(options: TargetOptions, node: str) -> None:
    """Remove a control node, whether it is running or not."""
    _change_member(options, MemberChangeRequest(node=node, is_removal=True))


def _change_member(options: TargetOptions, request: MemberChangeRequest) -> None:
    async def work(session: Session) -> MemberChangeReply:
        return await session.client.send_to_leader(request, MemberChangeReply)

    reply = run(options, work)
    state = "" if reply.is_caught_up else "; the new node is still catching up"
    _show(options, reply, f"control nodes: {', '.join(reply.members)}{state}")
