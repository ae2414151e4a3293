"""Messages between processes over TCP connections that detect an unresponsive peer.

pynng has no limit for how long sent data may stay unacknowledged, so that messages on a
connection to an unresponsive peer would be delayed indefinitely.
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
# A peer that starts at the same time may not be reachable yet, and the kernel repeats
# a lost first packet only after 1 s.
_CONNECT_TIMEOUT_S = 0.2
_RECONNECT_INTERVAL_S = 0.1
# A peer that refuses is reachable but does not listen yet.
_REFUSED_RECONNECT_INTERVAL_S = 0.04
_PENDING_SIZE_MAX_BYTES = 2 * 1024 * 1024
_FRAME_SIZE_MAX_BYTES = 8 * 1024 * 1024
_LENGTH_SIZE_BYTES = 4
_PORT_MAX = 65_535


def set_tcp_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Disable Nagle's algorithm, and limit how long data may stay unacknowledged.

    The kernel closes the connection after `timeout_ms` without an acknowledgement.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def host_and_port(address: str) -> tuple[str, int]:
    """Split `host:port`; raise ValueError if it is malformed.

    >>> host_and_port("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port_text = address.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= _PORT_MAX:
        raise ValueError(f"{address}: the port is out of range")
    return host, port


@dataclass(slots=True, frozen=True)
class StreamMessage:
    """Message with its envelope."""

    envelope: Envelope
    message: Message


@dataclass(slots=True)
class StreamCounters:
    """Numbers of messages and bytes."""

    n_sent: int = 0
    n_received: int = 0
    n_dropped: int = 0
    n_malformed: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _OutgoingConnection(asyncio.Protocol):
    """Outgoing connection to one peer, on which nothing is received."""

    def __init__(self, address: str, counters: StreamCounters) -> None:
        self._address = address
        self._counters = counters
        self._pending: list[bytes] = []
        self._pending_size_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._is_closed = False

    def send(self, frame: bytes) -> None:
        """Send a frame now or once connected; drop it if too much data is pending."""
        if self._transport is not None and not self._transport.is_closing():
            if self._transport.get_write_buffer_size() > _PENDING_SIZE_MAX_BYTES:
                self._counters.n_dropped += 1
                return
            self._transport.write(frame)
            return
        # One frame waits in any case, as the connection is opened for it.
        size_bytes = self._pending_size_bytes + len(frame)
        if self._pending and size_bytes > _PENDING_SIZE_MAX_BYTES:
            self._counters.n_dropped += 1
            return
        self._pending.append(frame)
        self._pending_size_bytes += len(frame)
        if self._connect_task is None:
            self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            while not await self._try_connect() and self._pending:
                continue
        finally:
            self._connect_task = None

    async def _try_connect(self) -> bool:
        """Connect, or pause after a failure; return whether it is connected."""
        loop = asyncio.get_running_loop()
        host, port = host_and_port(self._address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError) as error:
            # Pending frames would be stale by the next attempt; senders repeat them.
            self._drop_pending()
            is_refused = isinstance(error, ConnectionRefusedError)
            await asyncio.sleep(
                _REFUSED_RECONNECT_INTERVAL_S if is_refused else _RECONNECT_INTERVAL_S
            )
            return False
        return True

    def _drop_pending(self) -> None:
        self._counters.n_dropped += len(self._pending)
        self._pending.clear()
        self._pending_size_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the pending frames."""
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
        """Reconnect with the next message."""
        self._transport = None

    def close(self) -> None:
        """Abort the connection and drop the pending frames."""
        self._is_closed = True
        self._drop_pending()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()


class _IncomingConnection(asyncio.Protocol):
    """Incoming connection from one peer."""

    def __init__(
        self,
        counters: StreamCounters,
        deliver: Callable[[StreamMessage], None],
        open_connections: "set[_IncomingConnection]",
    ) -> None:
        self._open_connections = open_connections
        self._counters = counters
        self._deliver = deliver
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._open_connections.discard(self)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Deliver each complete frame."""
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
    """Send messages to peers and receive theirs, with one listener per process.

    Messages may be lost, but those on one connection arrive in order.
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
        self._outgoing: dict[tuple[str, bool], _OutgoingConnection] = {}
        self._incoming: set[_IncomingConnection] = set()
        self._server: asyncio.Server | None = None
        self.counters = StreamCounters()

    async def start(self) -> None:
        """Listen; raise OSError if the address is in use."""
        host, port = host_and_port(self.address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _IncomingConnection(
                self.counters, self._on_message, self._incoming
            ),
            host,
            port,
            backlog=256,
        )

    def send(self, address: str, message: Message, *, is_bulk: bool = False) -> None:
        """Send a message to a peer's listener, or drop it if too much is pending.

        Bulk messages have a connection of their own, so that others do not wait for them.
        """
        payload = encode_envelope(
            message, sender=self._node, reply_address=self.address
        )
        frame = len(payload).to_bytes(_LENGTH_SIZE_BYTES, "big") + payload
        connection = self._outgoing.get((address, is_bulk))
        if connection is None:
            connection = _OutgoingConnection(address, self.counters)
            self._outgoing[address, is_bulk] = connection
        self.counters.n_sent += 1
        self.counters.sent_bytes += len(frame)
        connection.send(frame)

    def reset(self, address: str) -> None:
        """Close the connections to an unresponsive peer."""
        for is_bulk in (False, True):
            connection = self._outgoing.pop((address, is_bulk), None)
            if connection is not None:
                connection.close()

    async def stop(self) -> None:
        """Close all sockets."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._incoming):
            connection.close()
        for address, _ in list(self._outgoing):
            self.reset(address)
