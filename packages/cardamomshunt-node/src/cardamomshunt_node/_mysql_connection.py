"""Connection of a MySQL client, without SQL parsing of its statements.

mysql-mimic provides the handshake, the packets and the framing. Its statement dispatch
is replaced: its OK packets contain no row counts, its errors can't have any SQLSTATE,
and its default session parses each statement with sqlglot (1,200 instead of 13,000
statements/s).
"""

import asyncio
import logging
import struct
from collections.abc import Awaitable, Callable, Sequence
from itertools import zip_longest
from typing import TYPE_CHECKING, Any, cast

from mysql_mimic import packets, types
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.control import Control
from mysql_mimic.errors import MysqlError, get_sqlstate
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultColumn, infer_type
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities, ColumnDefinition, ServerStatus

from cardamomshunt_node._mysql_parameters import (
    count_placeholders,
    decode_text,
    parse_execute,
)
from cardamomshunt_node._mysql_session import (
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    ServerLimits,
    StatementResult,
)
from cardamomshunt_node._mysql_session_statements import (
    UnknownVariableError,
    answer_session_statement,
    may_be_session_statement,
)

if TYPE_CHECKING:
    from cardamomshunt_node._mysql_server import MysqlServerEdge

# The user of the server edge logs statements and authentication failures as events;
# mysql-mimic would add a line and a traceback for each of them.
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)

_CAPABILITIES = (
    DEFAULT_SERVER_CAPABILITIES
    & ~Capabilities.CLIENT_QUERY_ATTRIBUTES
    & ~Capabilities.CLIENT_MULTI_STATEMENTS
    & ~Capabilities.CLIENT_MULTI_RESULTS
) | Capabilities.CLIENT_TRANSACTIONS

_NO_FLAGS = ColumnDefinition(0)
_ROW_BATCH_SIZE_BYTES = 32_768
_N_ROWS_PER_BATCH_MAX = 50
_PACKET_CHUNK_SIZE_BYTES = 0xFFFFFF
_N_PREPARED_STATEMENTS_MAX = 1_000


class LimitedReader:
    """Limit how much memory one packet of a client can use."""

    __slots__ = ("_n_message_bytes", "_reader", "size_max_bytes")

    def __init__(self, reader: asyncio.StreamReader, size_max_bytes: int):
        self._reader = reader
        self._n_message_bytes = 0
        self.size_max_bytes = size_max_bytes

    async def read(self, n_bytes: int) -> bytes:
        """Read a packet header, or nothing at the end of the stream."""
        try:
            return await self._reader.readexactly(n_bytes)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    @property
    def has_more(self) -> bool:
        """Return whether the next command has already been received."""
        return bool(self._reader._buffer)  # type: ignore[attr-defined]

    async def readexactly(self, n_bytes: int) -> bytes:
        """Read a packet body; raise ServerError if the packet exceeds the limit."""
        self._n_message_bytes += n_bytes
        if self._n_message_bytes > self.size_max_bytes:
            raise ServerError(
                1153, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes"
            )
        try:
            body = await self._reader.readexactly(n_bytes)
        except (asyncio.IncompleteReadError, ConnectionError):
            raise ConnectionClosed() from None
        if n_bytes < _PACKET_CHUNK_SIZE_BYTES:
            self._n_message_bytes = 0
        return body


class _LoginStream:
    """Stream that lets the session accept or refuse the client before the login's OK.

    An error after the OK packet would look like the answer to the client's first
    statement, with a sequence number that clients treat as a broken connection.
    """

    def __init__(self, stream: MysqlStream, session: MysqlSession):
        self._stream = stream
        self._session = session
        self.is_accepted = False

    async def read(self) -> bytes:
        """Read a packet."""
        return cast(bytes, await self._stream.read())

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write a packet; the OK packet only once the session accepted the client."""
        if data[:1] == b"\x00" and self._session.username is not None:
            try:
                await self._session.on_connected()
                self.is_accepted = True
            except ServerError as error:
                data = make_error_packet(error)
        await self._stream.write(data, drain)

    def reset_seq(self) -> None:
        """Start a new sequence of packets."""
        self._stream.reset_seq()


class EdgeConnection(Connection):
    """Dispatch the commands of one client to its session."""

    session: MysqlSession
    stream: Any

    def __init__(
        self,
        stream: MysqlStream,
        reader: LimitedReader,
        session: MysqlSession,
        edge: "MysqlServerEdge",
    ):
        super().__init__(
            stream=stream,
            session=session,
            control=_CONTROL,
            identity_provider=edge.identity_provider,
            server_capabilities=_CAPABILITIES,
        )
        self.reader = reader
        self.edge = edge
        self.resume_event: asyncio.Event | None = None
        self.is_running = False
        self.task: asyncio.Task[None] | None = None

    @property
    def server_charset(self) -> CharacterSet:
        return cast(CharacterSet, self.session.variables.charset)

    @property
    def client_charset(self) -> CharacterSet:
        return cast(CharacterSet, self.session.variables.charset)

    async def serve(self, limits: ServerLimits) -> None:
        """Run the handshake, then commands until the client leaves."""
        self.task = asyncio.current_task()
        await self._wait_while_paused()
        self._update_status()
        stream = self.stream
        login = _LoginStream(stream, self.session)
        try:
            self.stream = login
            async with asyncio.timeout(limits.handshake_timeout_ms / 1_000):
                await self.connection_phase()
            # mysql-mimic continues after a refused login.
            if not login.is_accepted:
                return
            self.stream = stream
            self.reader.size_max_bytes = limits.packet_size_max_bytes
            self.handshake_auth_data = None
            await self.command_phase()
        except TimeoutError:
            if login.is_accepted:
                raise
        finally:
            if login.is_accepted:
                await self.session.on_disconnected()

    async def command_phase(self) -> None:
        """Run commands until the client quits or the server drains."""
        while True:
            self.stream.reset_seq()
            self.session.is_pipelined = self.reader.has_more
            try:
                data = await self.stream.read()
            except ConnectionClosed:
                return
            if not data or data[0] == types.Commands.COM_QUIT:
                return
            self.is_running = True
            await self._wait_while_paused()
            if self.edge.is_draining and not self.session.is_in_transaction:
                await self._write_error(self.edge.drain_error)
                return
            await self._run_command(data[0], data[1:])
            self.is_running = False

    async def _run_command(self, command: int, data: bytes) -> None:
        handler = _COMMANDS.get(command)
        try:
            if handler is None:
                raise ServerError(1047, "08S01", f"Unknown command {command}")
            await handler(self, data)
        except ServerError as error:
            await self._write_error(error)
        except MysqlError as error:
            state = get_sqlstate(error.code).decode()
            await self._write_error(ServerError(int(error.code), state, error.msg))
        except (ConnectionError, ConnectionClosed):
            raise
        except Exception as error:
            await self._write_error(ServerError(1105, "HY000", repr(error)))
            self.edge.on_fault(error)

    async def handle_query(self, data: bytes) -> None:
        """Run a text statement."""
        sql = decode_text(data, self.client_charset)
        await self._write_result(await self._run_statement(sql), is_binary=False)

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement."""
        if len(self.prepared_stmts) >= _N_PREPARED_STATEMENTS_MAX:
            raise ServerError(1461, "42000", "Can't create more prepared statements")
        sql = decode_text(data, self.client_charset)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=count_placeholders(sql),
        )
        self.prepared_stmts[statement.stmt_id] = statement
        response = list(self.com_stmt_prepare_response(statement))
        if statement.num_params and self.deprecate_eof():
            # mysql-mimic ends the parameters with an EOF packet, which clients with
            # CLIENT_DEPRECATE_EOF don't read.
            response.pop()
        self.stream.write_many(response)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement; a cursor is answered with the complete result."""
        statement = self.get_stmt(struct.unpack_from("<I", data)[0])
        sql, _ = parse_execute(data, statement, self.client_charset)
        statement.param_buffers = None
        await self._write_result(await self._run_statement(sql), is_binary=True)

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Discard parameters that were sent before the execution."""
        self.get_stmt(struct.unpack_from("<I", data)[0]).param_buffers = None
        await self._write_ok(Ok())

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Append data to a parameter, up to the maximum size of one packet in total."""
        statement = self.get_stmt(struct.unpack_from("<I", data)[0])
        buffers = statement.param_buffers or {}
        n_bytes = sum(map(len, buffers.values())) + len(data)
        if n_bytes > self.edge.limits.packet_size_max_bytes:
            raise ServerError(1153, "08S01", "The parameters sent ahead are too large")
        await super().handle_stmt_send_long_data(data)

    async def handle_ping(self, data: bytes) -> None:
        """Answer that the server is responsive."""
        await self._write_ok(Ok())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Clear the session state."""
        self.prepared_stmts.clear()
        await self.session.on_reset()
        await self._write_ok(Ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Refuse to change the user of the connection."""
        raise ServerError(1047, "08S01", "COM_CHANGE_USER is not supported")

    async def handle_init_db(self, data: bytes) -> None:
        """Change the default database."""
        await self.session.use_database(self.client_charset.decode(data))
        await self._write_ok(Ok())

    async def _run_statement(self, sql: str) -> StatementResult:
        if not may_be_session_statement(sql):
            return await self.session.handle_statement(sql)
        try:
            answer = await answer_session_statement(self.session, sql)
        except UnknownVariableError as error:
            message = f"Unknown system variable '{error}'"
            raise ServerError(1193, "HY000", message) from None
        if answer is None:
            return await self.session.handle_statement(sql)
        columns, rows = answer
        return Rows(columns, rows) if columns else Ok()

    async def _write_result(self, result: StatementResult, is_binary: bool) -> None:
        await self._wait_while_paused()
        if isinstance(result, Ok):
            await self._write_ok(result)
            return
        if not result.columns:
            raise ServerError(1105, "HY000", "A result set needs columns")
        await self._write_rows(result, is_binary)

    async def _write_ok(self, result: Ok) -> None:
        await self._wait_while_paused()
        self._update_status()
        await self.stream.write(
            self.ok(
                affected_rows=result.n_affected_rows,
                last_insert_id=result.last_insert_id,
                warnings=result.n_warnings,
            )
        )

    async def _write_rows(self, result: Rows, is_binary: bool) -> None:
        self._update_status()
        rows = result.rows
        if isinstance(rows, Sequence):
            columns = _resolve_columns(result.columns, rows)
            self._write_columns(columns, result.column_flags)
            await self._write_batches(rows, columns, is_binary)
        else:
            iterator = aiter(rows)
            first = await anext(iterator, None)
            first_rows = [] if first is None else [first]
            columns = _resolve_columns(result.columns, first_rows)
            self._write_columns(columns, result.column_flags)
            await self._write_batches(first_rows, columns, is_binary)
            async for row in iterator:
                self._write_row(row, columns, is_binary)
                # This and the transport's limit bound how much of a result is buffered.
                if len(self.stream._buffer) >= _ROW_BATCH_SIZE_BYTES:
                    await self.stream.drain()
        self._update_status()
        await self.stream.write(self.ok_or_eof())

    async def _write_batches(
        self,
        rows: Sequence[Sequence[Any]],
        columns: Sequence[ResultColumn],
        is_binary: bool,
    ) -> None:
        for start in range(0, len(rows), _N_ROWS_PER_BATCH_MAX):
            batch = rows[start : start + _N_ROWS_PER_BATCH_MAX]
            if is_binary:
                for row in batch:
                    self._write_row(row, columns, is_binary)
            else:
                self.stream.write_text_rows(batch, columns)
            if len(self.stream._buffer) >= _ROW_BATCH_SIZE_BYTES:
                await self.stream.drain()

    def _write_row(
        self, row: Sequence[Any], columns: Sequence[ResultColumn], is_binary: bool
    ) -> None:
        if is_binary:
            self.stream.write_many([packets.make_binary_resultrow(row, columns)])
        else:
            self.stream.write_text_rows([row], columns)

    def _write_columns(
        self, columns: Sequence[ResultColumn], column_flags: Sequence[ColumnDefinition]
    ) -> None:
        column_packets = [packets.make_column_count(self.capabilities, len(columns))]
        column_packets.extend(
            packets.make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
                flags=flags,
            )
            for column, flags in zip_longest(columns, column_flags, fillvalue=_NO_FLAGS)
        )
        if not self.deprecate_eof():
            column_packets.append(self.eof())
        self.stream.write_many(column_packets)

    async def _write_error(self, error: ServerError) -> None:
        await self._wait_while_paused()
        await self.stream.write(make_error_packet(error))

    def _update_status(self) -> None:
        flags = ServerStatus(0)
        if self.session.is_autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.is_in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags

    async def _wait_while_paused(self) -> None:
        if self.resume_event is not None:
            await self.resume_event.wait()
            self.resume_event = None

    def on_client_disconnected(self) -> None:
        """Cancel the running command, because its answer can't be delivered."""
        if self.is_running and self.task is not None:
            # A second cancellation would interrupt the cleanup of the session.
            self.is_running = False
            self.task.cancel()


_COMMANDS: dict[int, Callable[[EdgeConnection, bytes], Awaitable[None]]] = {
    int(types.Commands.COM_QUERY): EdgeConnection.handle_query,
    int(types.Commands.COM_PING): EdgeConnection.handle_ping,
    int(types.Commands.COM_INIT_DB): EdgeConnection.handle_init_db,
    int(types.Commands.COM_STMT_PREPARE): EdgeConnection.handle_stmt_prepare,
    int(types.Commands.COM_STMT_EXECUTE): EdgeConnection.handle_stmt_execute,
    int(types.Commands.COM_STMT_CLOSE): EdgeConnection.handle_stmt_close,
    int(types.Commands.COM_STMT_RESET): EdgeConnection.handle_stmt_reset,
    int(
        types.Commands.COM_STMT_SEND_LONG_DATA
    ): EdgeConnection.handle_stmt_send_long_data,
    int(types.Commands.COM_RESET_CONNECTION): EdgeConnection.handle_reset_connection,
    int(types.Commands.COM_CHANGE_USER): EdgeConnection.handle_change_user,
}

_CONTROL = Control()


def _resolve_columns(
    columns: Sequence[ResultColumn | str], first_rows: Sequence[Sequence[Any]]
) -> list[ResultColumn]:
    """Resolve column names to columns with the type of the first non-null value."""
    resolved = []
    for index, column in enumerate(columns):
        if isinstance(column, ResultColumn):
            resolved.append(column)
            continue
        value = next((row[index] for row in first_rows if row[index] is not None), "")
        resolved.append(ResultColumn(name=column, type=infer_type(value)))
    return resolved


def make_error_packet(error: ServerError) -> bytes:
    """Encode an error packet."""
    return (
        b"\xff"
        + struct.pack("<H", error.code)
        + b"#"
        + error.sqlstate.encode()
        + error.message.encode("utf-8", "replace")
    )
