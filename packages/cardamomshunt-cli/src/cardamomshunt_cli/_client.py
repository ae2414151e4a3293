"""Requests to daemons: to several in parallel, or to the control leader."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import TypeVar

from cardamomshunt.control import ControlOptions
from cardamomshunt.messages import Message
from cardamomshunt.operator_messages import (
    OperatorError,
    OperatorErrorCode,
    StatusReply,
    StatusRequest,
)
from cardamomshunt_node.operator_link import NoReplyError, send_request

from cardamomshunt_cli._deployment import Deployment
from cardamomshunt_cli._exit_codes import CommandError, ExitCode

_STATUS_TIMEOUT_MS = 1_500.0
# The leader commits a patch, which takes up to 2 s, and then waits until it is in force.
_REQUEST_TIMEOUT_MS = 2_000.0 + ControlOptions().in_force_wait_ms
# Covers several election timeouts, so that requests survive a change of the leader.
_TOTAL_TIMEOUT_S = 10.0
_RETRY_PAUSE_S = 0.25
_N_REDIRECTS_MAX = 4

_RETRYABLE_CODES = (OperatorErrorCode.NO_LEADER, OperatorErrorCode.NO_QUORUM)
ReplyType = TypeVar("ReplyType", bound=Message)


@dataclass(slots=True)
class Answers:
    """Replies of several daemons by address, and the addresses without a reply."""

    replies: dict[str, Message] = field(default_factory=dict)
    unresponsive: list[str] = field(default_factory=list)


class DeploymentClient:
    """Send requests to the daemons of a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def send_to(
        self, address: str, message: Message, timeout_ms: float | None = None
    ) -> Message:
        """Send a request to one daemon; raise NoReplyError if it does not answer."""
        url = f"tcp://{address}"
        timeout_ms = _REQUEST_TIMEOUT_MS if timeout_ms is None else timeout_ms
        return await send_request(url, message, self._deployment.keys, timeout_ms)

    async def send_to_all(self, addresses: list[str], message: Message) -> Answers:
        """Send a request to several daemons in parallel."""
        answers = Answers()
        unique = list(dict.fromkeys(addresses))
        results = await asyncio.gather(
            *(self.send_to(item, message, _STATUS_TIMEOUT_MS) for item in unique),
            return_exceptions=True,
        )
        for address, result in zip(unique, results, strict=True):
            if isinstance(result, NoReplyError):
                answers.unresponsive.append(address)
            elif isinstance(result, BaseException):
                raise result
            else:
                answers.replies[address] = result
        return answers

    async def send_to_leader(
        self,
        message: Message,
        reply_type: type[ReplyType],
        is_repeatable: bool = True,
    ) -> ReplyType:
        """Send a request to the control leader and retry through elections.

        A repeatable message is also sent again when its reply is lost. Raises
        CommandError if there is no leader, or if the leader refuses.
        """
        deadline_s = time.monotonic() + _TOTAL_TIMEOUT_S
        while True:
            address = await self._find_leader()
            try:
                reply = await self._send_with_redirects(address, message)
            except NoReplyError as error:
                if not is_repeatable:
                    raise _lost_reply_error(address) from error
                reply = None
            if isinstance(reply, reply_type):
                return reply
            is_retryable = reply is None or _is_retryable(reply)
            if not is_retryable or time.monotonic() > deadline_s:
                raise _refusal_error(address, reply)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _send_with_redirects(self, address: str, message: Message) -> Message:
        for _ in range(_N_REDIRECTS_MAX):
            reply = await self.send_to(address, message)
            is_redirect = (
                isinstance(reply, OperatorError)
                and reply.code is OperatorErrorCode.NOT_LEADER
                and reply.leader_operator_address
            )
            if not is_redirect:
                return reply
            assert isinstance(reply, OperatorError)
            address = reply.leader_operator_address or address
        return OperatorError(
            code=OperatorErrorCode.NO_LEADER,
            detail="the control nodes name different leaders",
        )

    async def _find_leader(self) -> str:
        """Return the leader's address, or else that of a responsive control node."""
        control = self._deployment.control_addresses
        self._deployment.require_target()
        tasks = {
            asyncio.create_task(
                self.send_to(address, StatusRequest(), _STATUS_TIMEOUT_MS)
            ): address
            for address in control
        }
        fallback: str | None = None
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is not None:
                        continue
                    reply = task.result()
                    if isinstance(reply, StatusReply) and reply.is_authoritative:
                        return tasks[task]
                    fallback = fallback or tasks[task]
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        if fallback is None:
            raise no_answer_error(control)
        return fallback


def no_answer_error(addresses: list[str]) -> CommandError:
    """Return the error for a command that no control node answers."""
    tried = ", ".join(addresses) or "none was given"
    return CommandError(
        f"no control node answers (tried: {tried}). Reads and writes continue with "
        "the last known primaries; failover and patches need control. Check that "
        "cardamomshuntd runs on the control VMs, that the addresses are their "
        "operator addresses, and that the keys are accepted. "
        "`cardamomctl --entry HOST:PORT status` shows what an entry VM still knows.",
        ExitCode.NO_ANSWER,
    )


def _is_retryable(reply: Message) -> bool:
    return isinstance(reply, OperatorError) and (
        reply.code in _RETRYABLE_CODES or reply.code is OperatorErrorCode.NOT_LEADER
    )


def _lost_reply_error(address: str) -> CommandError:
    return CommandError(
        f"{address}: the reply was lost, so the request may or may not have been "
        "accepted. Run `cardamomctl status` before repeating it.",
        ExitCode.NO_ANSWER,
    )


def _refusal_error(address: str, reply: Message | None) -> CommandError:
    if reply is None:
        return _lost_reply_error(address)
    if not isinstance(reply, OperatorError):
        name = type(reply).__name__
        return CommandError(f"{address}: unexpected reply {name}", ExitCode.FAILED)
    if _is_retryable(reply):
        return CommandError(
            f"{address}: control has no leader ({reply.detail}). A majority of the "
            "control nodes must run and reach one another; start those that are down.",
            ExitCode.NO_LEADER,
        )
    exit_code = ExitCode.REFUSED
    if reply.code is OperatorErrorCode.INTERNAL:
        exit_code = ExitCode.FAILED
    return CommandError(
        f"{address}: refused, {reply.code.value}: {reply.detail}", exit_code
    )
