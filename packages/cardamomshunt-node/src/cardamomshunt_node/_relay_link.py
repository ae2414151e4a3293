"""Connection between two entry VMs that carries the frames of many sessions."""

import asyncio
import socket
from abc import ABC, abstractmethod

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._relay_frames import FrameBuffer, RelayFrame, encode_frame
from cardamomshunt_node._stream_transport import host_and_port, set_tcp_user_timeout

UNRESPONSIVE_AFTER_MS = 700
# An entry VM without power sends nothing; open transactions of its callers must end.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1


def relay_address(peer_address: str) -> str:
    """Return the address of forwarded sessions, on the port after the peer port.

    >>> relay_address("10.0.0.1:7440")
    '10.0.0.1:7441'
    """
    host, port = host_and_port(peer_address)
    return f"{host}:{port + 1}"


def _set_options(sock: socket.socket) -> None:
    set_tcp_user_timeout(sock, UNRESPONSIVE_AFTER_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)


class RelayLink(asyncio.Protocol, ABC):
    """Send and receive frames; those of one loop turn are written together."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._buffer = FrameBuffer()
        self._unsent: list[bytearray] = []
        self.last_received_ms = boot_ms()
        self.lost_reason = ""

    @property
    def is_open(self) -> bool:
        """Return whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how long sent data may stay unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        _set_options(transport.get_extra_info("socket"))
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner of this link."""
        self._transport = None
        self._unsent.clear()
        self.lost_reason = self.lost_reason or str(exc or "closed by the peer")
        self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; abort the connection if one is malformed."""
        self.last_received_ms = boot_ms()
        try:
            frames = self._buffer.feed(data)
        except ValueError as error:
            self.abort(f"malformed frame: {error}")
            return
        for frame in frames:
            self.on_frame(frame)

    def send(self, frame: RelayFrame) -> None:
        """Send a frame at the end of this loop turn; drop it if the link is closed."""
        if not self.is_open:
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self.flush)
        self._unsent.append(encode_frame(frame))

    def flush(self) -> None:
        """Write the frames that wait for the end of the loop turn."""
        if self._transport is not None and self._unsent:
            self._transport.write(b"".join(self._unsent))
            self._unsent.clear()

    def abort(self, reason: str) -> None:
        """Close the connection at once, for a reason that the log gives."""
        self.lost_reason = self.lost_reason or reason
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after the frames so far are written."""
        self.flush()
        if self._transport is not None:
            self._transport.close()

    @abstractmethod
    def on_frame(self, frame: RelayFrame) -> None:
        """Handle a frame."""

    @abstractmethod
    def on_lost(self) -> None:
        """End the sessions of the link."""
