"""Unreliable one-way messages between processes over pynng."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import pynng
from cardamomshunt.messages import (
    Envelope,
    Message,
    UnknownMessage,
    decode_envelope,
    encode_envelope,
)

from cardamomshunt_node._keys import KeyRing
from cardamomshunt_node._tasks import cancel_and_wait

_RECEIVE_SIZE_MAX_BYTES = 8 * 1024 * 1024
_N_BUFFERED_MESSAGES_MAX = 512
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500


@dataclass(slots=True)
class TransportCounters:
    """Numbers of messages and bytes."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    n_rejected: int = 0
    n_unknown: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """Message with its envelope."""

    envelope: Envelope
    message: Message


class PeerTransport:
    """Send messages to peers and receive theirs, with one listener per process.

    Messages may be lost, duplicated or reordered. A message is dropped if the send buffer
    is full, so that an unreachable peer never blocks the sender.
    """

    def __init__(
        self,
        node: str,
        listen_url: str,
        keys: KeyRing,
        on_message: Callable[[ReceivedMessage], Awaitable[None]],
        clock_hlc: Callable[[], int] = lambda: 0,
    ) -> None:
        self._node = node
        self._listen_url = listen_url
        self._keys = keys
        self._on_message = on_message
        self._clock_hlc = clock_hlc
        self._connections: dict[str, pynng.Push0] = {}
        self._listener: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None
        self.counters = TransportCounters()

    def set_keys(self, keys: KeyRing) -> None:
        """Replace the key ring without a restart."""
        self._keys = keys

    async def start(self) -> None:
        """Listen; raise pynng.AddressInUse if the address is in use."""
        self._listener = pynng.Pull0(
            listen=self._listen_url, recv_buffer_size=_N_BUFFERED_MESSAGES_MAX
        )
        self._listener.recv_max_size = _RECEIVE_SIZE_MAX_BYTES
        self._receive_task = asyncio.create_task(self._receive(self._listener))

    async def stop(self) -> None:
        """Close all sockets."""
        if self._receive_task is not None:
            await cancel_and_wait([self._receive_task])
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    def send(self, url: str, message: Message) -> None:
        """Send a message to a peer's listener, or drop it if the buffer is full."""
        payload = self._keys.seal(
            encode_envelope(
                message,
                sender=self._node,
                reply_address=self._listen_url,
                sent_hlc=self._clock_hlc(),
            )
        )
        try:
            self._connection_to(url).send(payload, block=False)
        except pynng.NNGException:
            self.counters.n_dropped += 1
            return
        self.counters.n_sent += 1
        self.counters.sent_bytes += len(payload)

    def disconnect(self, url: str) -> None:
        """Close the connection to a peer that has left."""
        connection = self._connections.pop(url, None)
        if connection is not None:
            connection.close()

    def _connection_to(self, url: str) -> pynng.Push0:
        connection = self._connections.get(url)
        if connection is None:
            connection = pynng.Push0(send_buffer_size=_N_BUFFERED_MESSAGES_MAX)
            connection.reconnect_time_min = _RECONNECT_MIN_MS
            connection.reconnect_time_max = _RECONNECT_MAX_MS
            connection.dial(url, block=False)
            self._connections[url] = connection
        return connection

    async def _receive(self, listener: pynng.Pull0) -> None:
        while True:
            sealed = await listener.arecv()
            self.counters.received_bytes += len(sealed)
            received = self._open(sealed)
            if received is not None:
                self.counters.n_received += 1
                await self._on_message(received)

    def _open(self, sealed: bytes) -> ReceivedMessage | None:
        payload = self._keys.open(sealed)
        if payload is None:
            self.counters.n_rejected += 1
            return None
        try:
            envelope, message = decode_envelope(payload)
        except msgspec.MsgspecError:
            self.counters.n_rejected += 1
            return None
        if isinstance(message, UnknownMessage):
            self.counters.n_unknown += 1
            return None
        return ReceivedMessage(envelope, message)
