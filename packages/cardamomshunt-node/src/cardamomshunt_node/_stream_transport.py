"""Messages between processes over TCP connections that notice a silent peer.

pynng offers no way to bound how long a connection may stay without acknowledgement,
so that a connection that went silent would hold its messages for good.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from cardamomshunt.messages import (
    Envelope,
    Message,
    UnknownMessage,
    decode_envelope,
    encode_envelope,
)

TCP_USER_TIMEOUT_MS = 800
_CONNECT_TIMEOUT_S = 0.6
_RETRY_S = 0.1
_PENDING_SIZE_MAX_BYTES = 2 * 1024 * 1024
_FRAME_SIZE_MAX_BYTES = 8 * 1024 * 1024
_LENGTH_SIZE_BYTES = 4


def set_tcp_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def host_and_port(address: str) -> tuple[str, int]:
    """Split `host:port`; raise ValueError if it is malformed.

    >>> host_and_port("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class StreamMessage:
    """Hold a message with the envelope that it came in."""

    envelope: Envelope
    message: Message


@dataclass(slots=True)
class StreamCounters:
    """Count messages and bytes."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    n_malformed: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _Dialer(asyncio.Protocol):
    """Own the outgoing connection to one peer; nothing comes back on it."""

    def __init__(self, address: str, counters: StreamCounters) -> None:
        self._address = address
        self._counters = counters
        self._pending: list[bytes] = []
        self._pending_size_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._is_closed = False

    def send(self, frame: bytes) -> None:
        """Send now, or once connected; drop the frame if too much waits."""
        if self._transport is not None and not self._transport.is_closing():
            if self._transport.get_write_buffer_size() > _PENDING_SIZE_MAX_BYTES:
                self._counters.n_dropped += 1
                return
            self._transport.write(frame)
            return
        if self._pending_size_bytes + len(frame) > _PENDING_SIZE_MAX_BYTES:
            self._counters.n_dropped += 1
            return
        self._pending.append(frame)
        self._pending_size_bytes += len(frame)
        if self._connecting is None:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = host_and_port(self._address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError):
            # What waits is old by the next attempt; its sender sends again.
            self._drop_pending()
            await asyncio.sleep(_RETRY_S)
        finally:
            self._connecting = None

    def _drop_pending(self) -> None:
        self._counters.n_dropped += len(self._pending)
        self._pending.clear()
        self._pending_size_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what waited for the connection."""
        assert isinstance(transport, asyncio.Transport)
        if self._is_closed:
            transport.abort()
            return
        set_tcp_user_timeout(transport.get_extra_info("socket"), TCP_USER_TIMEOUT_MS)
        self._transport = transport
        for frame in self._pending:
            transport.write(frame)
        self._pending.clear()
        self._pending_size_bytes = 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Dial again with the next message."""
        self._transport = None

    def close(self) -> None:
        """Drop the connection and what waits for it."""
        self._is_closed = True
        self._drop_pending()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._transport is not None:
            self._transport.abort()


class _Receiver(asyncio.Protocol):
    """Own one incoming connection."""

    def __init__(
        self,
        counters: StreamCounters,
        deliver: Callable[[StreamMessage], None],
        open_receivers: "set[_Receiver]",
    ) -> None:
        self._open_receivers = open_receivers
        self._counters = counters
        self._deliver = deliver
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_receivers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._open_receivers.discard(self)

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Deliver each whole frame."""
        self._counters.received_bytes += len(data)
        buffer = self._buffer
        buffer += data
        while len(buffer) >= _LENGTH_SIZE_BYTES:
            size = int.from_bytes(buffer[:_LENGTH_SIZE_BYTES], "big")
            if size > _FRAME_SIZE_MAX_BYTES:
                self._reject()
                return
            end = _LENGTH_SIZE_BYTES + size
            if len(buffer) < end:
                return
            payload = bytes(buffer[_LENGTH_SIZE_BYTES:end])
            del buffer[:end]
            self._decode(payload)

    def _reject(self) -> None:
        self._counters.n_malformed += 1
        if self._transport is not None:
            self._transport.abort()

    def _decode(self, payload: bytes) -> None:
        try:
            envelope, message = decode_envelope(payload)
        except msgspec.MsgspecError:
            self._reject()
            return
        if isinstance(message, UnknownMessage):
            self._counters.n_malformed += 1
            return
        self._counters.n_received += 1
        self._deliver(StreamMessage(envelope, message))


class StreamTransport:
    """Own the listener and the outgoing connections of one process.

    Messages may be lost, but one connection keeps their order.
    """

    def __init__(
        self,
        node: str,
        listen_address: str,
        on_message: Callable[[StreamMessage], None],
    ) -> None:
        self._node = node
        self.address = listen_address
        self._on_message = on_message
        self._dialers: dict[str, _Dialer] = {}
        self._receivers: set[_Receiver] = set()
        self._server: asyncio.Server | None = None
        self.counters = StreamCounters()

    async def start(self) -> None:
        """Listen; raise OSError if the address is taken."""
        host, port = host_and_port(self.address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Receiver(self.counters, self._on_message, self._receivers),
            host,
            port,
            backlog=256,
        )

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer's listener, or drop it."""
        payload = encode_envelope(
            message, sender=self._node, reply_address=self.address
        )
        frame = len(payload).to_bytes(_LENGTH_SIZE_BYTES, "big") + payload
        dialer = self._dialers.get(address)
        if dialer is None:
            dialer = self._dialers[address] = _Dialer(address, self.counters)
        self.counters.n_sent += 1
        self.counters.sent_bytes += len(frame)
        dialer.send(frame)

    def reset(self, address: str) -> None:
        """Drop the connection to a peer that does not answer."""
        dialer = self._dialers.pop(address, None)
        if dialer is not None:
            dialer.close()

    async def stop(self) -> None:
        """Close all sockets."""
        if self._server is not None:
            self._server.close()
        for receiver in list(self._receivers):
            receiver.close()
        for address in list(self._dialers):
            self.reset(address)
