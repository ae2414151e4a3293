"""Signed requests and replies between operators and daemons over pynng."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pynng
from cardamomshunt.messages import (
    Message,
    decode_envelope,
    encode_envelope,
)
from cardamomshunt.operator_messages import OperatorError, OperatorErrorCode

from cardamomshunt_node._keys import KeyRing
from cardamomshunt_node._tasks import cancel_and_wait

_N_CONTEXTS = 8
_RECEIVE_SIZE_MAX_BYTES = 8 * 1024 * 1024

OperatorHandler = Callable[[Message], Awaitable[Message]]


class NoReplyError(Exception):
    """Raised if a daemon did not send a valid reply in time."""


class OperatorServer:
    """Serve operator requests on the operator address, several at a time."""

    def __init__(
        self, node: str, listen_url: str, keys: KeyRing, handler: OperatorHandler
    ) -> None:
        self._node = node
        self._listen_url = listen_url
        self._keys = keys
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._workers: list[asyncio.Task[None]] = []

    def set_keys(self, keys: KeyRing) -> None:
        """Replace the key ring without a restart."""
        self._keys = keys

    async def start(self) -> None:
        """Listen; raise pynng.AddressInUse if the address is in use."""
        self._socket = pynng.Rep0(listen=self._listen_url)
        self._socket.recv_max_size = _RECEIVE_SIZE_MAX_BYTES
        self._workers = [
            asyncio.create_task(self._serve(self._socket.new_context()))
            for _ in range(_N_CONTEXTS)
        ]

    async def stop(self) -> None:
        """Close the listener."""
        await cancel_and_wait(self._workers)
        if self._socket is not None:
            self._socket.close()

    async def _serve(self, context: pynng.Context) -> None:
        try:
            while True:
                signed = await context.arecv()
                reply = await self._reply(signed)
                payload = encode_envelope(
                    reply, sender=self._node, reply_address=self._listen_url
                )
                await context.asend(self._keys.seal(payload))
        finally:
            context.close()

    async def _reply(self, signed: bytes) -> Message:
        payload = self._keys.open(signed)
        if payload is None:
            return OperatorError(
                code=OperatorErrorCode.UNSUPPORTED,
                detail="the request is not signed with an accepted key",
            )
        try:
            _, message = decode_envelope(payload)
            return await self._handler(message)
        except msgspec.MsgspecError as error:
            return OperatorError(
                code=OperatorErrorCode.UNSUPPORTED,
                detail=f"malformed request: {error}",
            )
        except Exception as error:
            return OperatorError(
                code=OperatorErrorCode.INTERNAL,
                detail=f"{type(error).__name__}: {error}",
            )


async def send_request(
    url: str, message: Message, keys: KeyRing, timeout_ms: float, sender: str = "cli"
) -> Message:
    """Send a request and return the reply; raise NoReplyError if there is none."""
    payload = keys.seal(encode_envelope(message, sender=sender, reply_address=""))
    socket = pynng.Req0()
    try:
        socket.recv_max_size = _RECEIVE_SIZE_MAX_BYTES
        socket.dial(url, block=False)
        deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1_000.0
        # Separate blocks, because a send that completes while it is cancelled swallows
        # the timeout, and the receive would then wait without one.
        async with asyncio.timeout_at(deadline_s):
            await socket.asend(payload)
        async with asyncio.timeout_at(deadline_s):
            signed = await socket.arecv()
    except (TimeoutError, pynng.NNGException) as error:
        raise NoReplyError(f"{url}: no reply within {timeout_ms:.0f} ms") from error
    finally:
        socket.close()
    reply_payload = keys.open(signed)
    if reply_payload is None:
        raise NoReplyError(f"{url}: the reply is not signed with an accepted key")
    try:
        return decode_envelope(reply_payload)[1]
    except msgspec.MsgspecError as error:
        raise NoReplyError(f"{url}: malformed reply: {error}") from error
