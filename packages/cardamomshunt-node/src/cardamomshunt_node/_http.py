"""HTTP/1.1 over asyncio streams with h11: a small server and single requests."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

from cardamomshunt_node._stream_transport import host_and_port, set_tcp_user_timeout

BODY_SIZE_MAX_BYTES = 4 * 1024 * 1024
_READ_SIZE_BYTES = 65_536
_IDLE_TIMEOUT_S = 30.0
_TCP_USER_TIMEOUT_MS = 3_000


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """Complete request."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """Complete response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Serve requests on one address."""

    def __init__(self, address: str, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen; raise OSError if the address is in use."""
        host, port = host_and_port(self._address)
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        set_tcp_user_timeout(writer.get_extra_info("socket"), _TCP_USER_TIMEOUT_MS)
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            # The peer disconnected or does not speak HTTP, so no response is possible.
            pass
        except asyncio.CancelledError:
            # The server stops; asyncio logs a cancelled handler as an error.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = await _read_request(connection, reader)
        if request is None:
            return False
        response = await self._handler(request)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        data = connection.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        data = (data or b"") + (connection.send(h11.Data(data=response.body)) or b"")
        writer.write(data + (connection.send(h11.EndOfMessage()) or b""))
        await writer.drain()
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _next_event(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event | type[h11.PAUSED]:
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(_IDLE_TIMEOUT_S):
            connection.receive_data(await reader.read(_READ_SIZE_BYTES))


async def _read_body(connection: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        event = await _next_event(connection, reader)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the message body is incomplete")
        body += event.data
        if len(body) > BODY_SIZE_MAX_BYTES:
            raise h11.RemoteProtocolError("the body exceeds the size limit")


def _headers_of(event: h11.Request | h11.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in event.headers
    }


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpRequest | None:
    event = await _next_event(connection, reader)
    if not isinstance(event, h11.Request):
        return None
    return HttpRequest(
        event.method.decode("latin-1"),
        event.target.decode("latin-1"),
        await _read_body(connection, reader),
        _headers_of(event),
    )


async def call_http(
    address: str,
    request: HttpRequest,
    timeout_ms: float,
    may_send: Callable[[], bool] = lambda: True,
) -> HttpResponse | None:
    """Send one request; return None if `may_send` is false once connected.

    Raise OSError or TimeoutError if there is no response. The connection is then reset,
    so that unsent bytes no longer reach the server.
    """
    host, port = host_and_port(address)
    async with asyncio.timeout(timeout_ms / 1_000.0):
        reader, writer = await asyncio.open_connection(host, port)
        is_answered = False
        try:
            if not may_send():
                return None
            response = await _exchange(address, request, reader, writer)
            is_answered = True
            return response
        except h11.ProtocolError as error:
            raise OSError(f"{address}: {error}") from error
        finally:
            if not is_answered:
                _set_reset_on_close(writer)
            writer.close()


async def _exchange(
    address: str,
    request: HttpRequest,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> HttpResponse:
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ("Host", address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(request.body))),
        ("Connection", "close"),
        *request.headers.items(),
    ]
    data = connection.send(
        h11.Request(method=request.method, target=request.path, headers=headers)
    )
    data = (data or b"") + (connection.send(h11.Data(data=request.body)) or b"")
    writer.write(data + (connection.send(h11.EndOfMessage()) or b""))
    event = await _next_event(connection, reader)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError("no response received")
    return HttpResponse(
        event.status_code, await _read_body(connection, reader), _headers_of(event)
    )


def _set_reset_on_close(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
