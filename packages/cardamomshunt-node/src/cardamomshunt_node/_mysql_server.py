"""MySQL server edge: listeners, clients, limits and shutdown."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import cast

from mysql_mimic.auth import IdentityProvider, SimpleIdentityProvider
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from cardamomshunt_node._mysql_connection import (
    EdgeConnection,
    LimitedReader,
    make_error_packet,
)
from cardamomshunt_node._mysql_session import (
    MysqlSession,
    ServerError,
    ServerLimits,
)

# A client whose host is unreachable is detected after 60 s and three lost probes. Until
# then it uses memory and counts against the limit of connections.
_KEEP_ALIVE_S = {"TCP_KEEPIDLE": 60, "TCP_KEEPINTVL": 10, "TCP_KEEPCNT": 3}


def _keep_alive(client: socket.socket) -> None:
    """Let the system detect clients that disappeared without closing the connection."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in _KEEP_ALIVE_S.items():
        if hasattr(socket, name):
            client.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


class _ClientProtocol(asyncio.StreamReaderProtocol):
    """Notify the connection when its client disconnects during a statement."""

    def __init__(self, edge: "MysqlServerEdge", loop: asyncio.AbstractEventLoop):
        reader = asyncio.StreamReader(loop=loop)
        super().__init__(reader, self._serve, loop=loop)
        self._edge = edge
        self._connection: EdgeConnection | None = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._edge.serve_client(reader, writer, self)
        finally:
            self._connection = None
            writer.close()

    def attach(self, connection: EdgeConnection) -> None:
        """Set the connection to notify."""
        self._connection = connection

    def eof_received(self) -> bool:
        if self._connection is not None:
            self._connection.on_client_disconnected()
        return bool(super().eof_received())

    def connection_lost(self, exc: Exception | None) -> None:
        if self._connection is not None:
            self._connection.on_client_disconnected()
        super().connection_lost(exc)


class MysqlServerEdge:
    """Accept MySQL clients and run one session for each."""

    def __init__(
        self,
        session_factory: Callable[[], MysqlSession],
        *,
        limits: ServerLimits | None = None,
        identity_provider: IdentityProvider | None = None,
        connect_delay_ms: float = 0.0,
        on_fault: Callable[[Exception], None] | None = None,
    ):
        self.session_factory = session_factory
        self.limits = limits or ServerLimits()
        self.identity_provider = identity_provider or SimpleIdentityProvider()
        self.connect_delay_ms = connect_delay_ms
        self.is_draining = False
        self.drain_error = ServerError(1053, "08S01", "Server shutdown in progress")
        self.limit_error = ServerError(1040, "08004", "Too many connections")
        self.on_limit: Callable[[], None] = lambda: None
        self.n_connections_peak = 0
        self.on_fault = on_fault or (lambda error: None)
        self._resume_events_by_port: dict[int, asyncio.Event] = {}
        self._connections: set[EdgeConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._n_clients = 0
        self._next_connection_id = 1

    @property
    def n_connections(self) -> int:
        """Return the number of clients, including those in their handshake."""
        return self._n_clients

    @property
    def port(self) -> int:
        """Return the first port that the server listens on."""
        if not self._servers:
            raise RuntimeError("the server is not started")
        port: int = self._servers[0].sockets[0].getsockname()[1]
        return port

    async def start(self, host: str, port: int) -> None:
        """Start listening; a later call adds a port.

        With port 0 the system chooses one, which `port` returns.
        """
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(
                lambda: _ClientProtocol(self, loop), host, port, backlog=1_024
            )
        )

    async def serve_client(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: _ClientProtocol,
    ) -> None:
        """Serve one client connection until it is closed."""
        if self._n_clients >= self.limits.n_connections_max:
            self.on_limit()
            await self._try_write(writer, make_error_packet(self.limit_error))
            return
        self._n_clients += 1
        self.n_connections_peak = max(self.n_connections_peak, self._n_clients)
        try:
            if self.connect_delay_ms:
                await asyncio.sleep(self.connect_delay_ms / 1_000)
            await self._run_connection(reader, writer, protocol)
        except (ConnectionError, ConnectionClosed, asyncio.CancelledError):
            pass
        except ServerError as error:
            await self._try_write(writer, make_error_packet(error))
        except Exception as error:
            # A malformed handshake, among others; the client sees only the close.
            self.on_fault(error)
        finally:
            self._n_clients -= 1

    async def _run_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: _ClientProtocol,
    ) -> None:
        _keep_alive(writer.get_extra_info("socket"))
        limited = LimitedReader(reader, self.limits.n_bytes_unauthenticated_max)
        session = self.session_factory()
        stream = MysqlStream(cast(asyncio.StreamReader, limited), writer)
        connection = EdgeConnection(stream, limited, session, self)
        connection.connection_id = session.connection_id = self._next_connection_id
        self._next_connection_id = self._next_connection_id % 0xFFFFFFFF + 1
        session.local_port = writer.get_extra_info("sockname")[1]
        connection.resume_event = self._resume_events_by_port.get(session.local_port)
        self._connections.add(connection)
        protocol.attach(connection)
        try:
            await connection.serve(self.limits)
        finally:
            self._connections.discard(connection)

    @staticmethod
    async def _try_write(writer: asyncio.StreamWriter, packet: bytes) -> None:
        try:
            await MysqlStream(cast(asyncio.StreamReader, None), writer).write(packet)
        except ConnectionError:
            return

    def ports(self) -> list[int]:
        """Return all ports that the server listens on."""
        return [server.sockets[0].getsockname()[1] for server in self._servers]

    def pause_open_connections(self, ports: Iterable[int]) -> asyncio.Event:
        """Stop answering on the ports' open connections until the event is set."""
        paused_ports = set(ports)
        event = asyncio.Event()
        for connection in self._connections:
            if connection.session.local_port in paused_ports:
                connection.resume_event = event
        return event

    def pause_new_connections(
        self, ports: Iterable[int], event: asyncio.Event | None
    ) -> None:
        """Accept connections but delay their handshake until the event is set.

        With None as the event, later connections are served normally.
        """
        for port in ports:
            if event is None:
                self._resume_events_by_port.pop(port, None)
            else:
                self._resume_events_by_port[port] = event

    def stop_accepting(self, drain_error: ServerError) -> None:
        """Refuse new clients, and statements outside transactions with the error."""
        self.is_draining = True
        self.drain_error = drain_error
        for server in self._servers:
            server.close()

    async def close_idle(self) -> None:
        """Send the drain error to clients outside transactions, and disconnect them."""
        for connection in list(self._connections):
            if connection.is_running or connection.session.is_in_transaction:
                continue
            if connection.session.username is not None:
                connection.stream.reset_seq()
                await self._try_write(
                    connection.stream.writer, make_error_packet(self.drain_error)
                )
            if connection.task is not None:
                connection.task.cancel()

    async def stop(self, grace_ms: float = 0.0) -> None:
        """Stop accepting clients, let transactions finish, then close all connections.

        Until the end of the grace period, the next statement of an idle connection is
        refused with error 1053.
        """
        self.is_draining = True
        for server in self._servers:
            server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_ms / 1_000
        while self._connections and loop.time() < deadline:
            await asyncio.sleep(0.01)
        tasks = [item.task for item in self._connections if item.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
