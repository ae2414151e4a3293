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
# After this time another attempt is made beside the first. A peer that starts at the
# same time may not be reachable yet, and the kernel repeats a lost first packet only
# after 1 s.
_NEXT_ATTEMPT_S = 0.2
# Covers a round trip over a slow link.
_CONNECT_TIMEOUT_S = 1.0
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


class _Attempt(asyncio.Protocol):
    """Attempt to connect, and its TCP connection if it succeeds."""

    def __init__(self, owner: "_OutgoingConnection") -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the connection to its owner."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._owner.on_connected(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner, which reconnects with the next message."""
        self._owner.on_lost(self._transport)


class _OutgoingConnection:
    """Outgoing connection to one peer, on which nothing is received."""

    def __init__(self, address: str, counters: StreamCounters) -> None:
        self._address = address
        self._counters = counters
        self._pending: list[bytes] = []
        self._pending_size_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._attempts: set[asyncio.Task[bool]] = set()
        self._is_closed = False

    @property
    def _is_connected(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

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
        """Connect, or pause after a failure; return whether it is connected.

        An attempt without an answer yet goes on, so that a slow link is connected too.
        """
        attempt = asyncio.get_running_loop().create_task(self._attempt())
        self._attempts.add(attempt)
        attempt.add_done_callback(self._attempts.discard)
        done, _ = await asyncio.wait([attempt], timeout=_NEXT_ATTEMPT_S)
        if not self._is_connected:
            # Pending frames would be stale by the next attempt; senders repeat them.
            self._drop_pending()
            is_refused = any(task.result() for task in done)
            await asyncio.sleep(
                _REFUSED_RECONNECT_INTERVAL_S if is_refused else _RECONNECT_INTERVAL_S
            )
        return self._is_connected

    async def _attempt(self) -> bool:
        """Try to connect; return whether the peer refused."""
        host, port = host_and_port(self._address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: _Attempt(self), host, port)
        except (OSError, TimeoutError) as error:
            return isinstance(error, ConnectionRefusedError)
        return False

    def _drop_pending(self) -> None:
        self._counters.n_dropped += len(self._pending)
        self._pending.clear()
        self._pending_size_bytes = 0

    def on_connected(self, transport: asyncio.Transport) -> None:
        """Send the pending frames on the first connection, and abort further ones."""
        if self._is_closed or self._is_connected:
            transport.abort()
            return
        set_tcp_user_timeout(transport.get_extra_info("socket"), TCP_USER_TIMEOUT_MS)
        self._transport = transport
        for frame in self._pending:
            transport.write(frame)
        self._pending.clear()
        self._pending_size_bytes = 0

    def on_lost(self, transport: asyncio.Transport | None) -> None:
        """Reconnect with the next message."""
        if transport is self._transport:
            self._transport = None

    def close(self) -> None:
        """Abort the connection and drop the pending frames."""
        self._is_closed = True
        self._drop_pending()
        if self._connect_task is not None:
            self._connect_task.cancel()
        for attempt in self._attempts:
            attempt.cancel()
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
        self._outgoing: dict[str, _OutgoingConnection] = {}
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

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer's listener, or drop it if too much is pending."""
        payload = encode_envelope(
            message, sender=self._node, reply_address=self.address
        )
        frame = len(payload).to_bytes(_LENGTH_SIZE_BYTES, "big") + payload
        connection = self._outgoing.get(address)
        if connection is None:
            connection = self._outgoing[address] = _OutgoingConnection(
                address, self.counters
            )
        self.counters.n_sent += 1
        self.counters.sent_bytes += len(frame)
        connection.send(frame)

    def reset(self, address: str) -> None:
        """Close the connection to an unresponsive peer."""
        connection = self._outgoing.pop(address, None)
        if connection is not None:
            connection.close()

    async def stop(self) -> None:
        """Close all sockets."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._incoming):
            connection.close()
        for address in list(self._outgoing):
            self.reset(address)
