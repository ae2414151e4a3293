"""Connection to a MySQL backend server, with pipelined statements.

Statements are sent together and their replies are read in order, which saves one round
trip for each further statement (3 to 5 ms between zones). asyncmy has no public API for
pipelining; this is the only module that uses its packet layer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from asyncmy import errors
from asyncmy.connection import Connection as MysqlConnection
from cardamomshunt.messages import InstanceAddress

from cardamomshunt_node._backend_edge_answers import (
    Answer,
    Column,
    ErrorAnswer,
    Row,
    RowBatch,
    RowsAnswer,
    WriteAnswer,
)

_COM_QUERY = 0x03
_COM_RESET_CONNECTION = 0x1F
# Results up to this size are buffered, so that another attempt can still replace them;
# larger ones are streamed. With 35 connections to each of 9 instances, buffered results
# stay below 40 MB.
BUFFERED_SIZE_MAX_BYTES = 128 * 1024
_BATCH_SIZE_BYTES = 64 * 1024
# The library holds parsed rows of any number; the size is checked after each step.
_N_ROWS_PER_STEP = 64
_DEFAULT_SQLSTATE = "HY000"
_SERVER_ERROR_CODE_MIN = 1_000
# Codes 2000 to 2999 are raised by the client library and mean a lost connection.
_CLIENT_ERROR_CODES = range(2_000, 3_000)

RowConsumer: TypeAlias = Callable[[list[Column], RowBatch], Awaitable[bool]]


class ConnectionLostError(Exception):
    """Raised on a lost connection; `is_sent` is whether any statement was sent."""

    def __init__(self, detail: str, is_sent: bool) -> None:
        super().__init__(detail)
        self.is_sent = is_sent


@dataclass(slots=True)
class StreamedRows:
    """Result whose rows were streamed to a consumer while they were received."""

    columns: list[Column]


Reply: TypeAlias = Answer | StreamedRows


def _error_answer(error: errors.MySQLError) -> ErrorAnswer | None:
    """Return the error that the server sent, or None if the connection is lost."""
    code = error.args[0] if error.args else 0
    if not isinstance(code, int) or code < _SERVER_ERROR_CODE_MIN:
        return None
    if code in _CLIENT_ERROR_CODES:
        return None
    message = str(error.args[1]) if len(error.args) > 1 else ""
    return ErrorAnswer(code, error.sqlstate or _DEFAULT_SQLSTATE, message)


class _ColumnCache:
    """Cache one column for each definition packet, up to a maximum number."""

    def __init__(self, n_columns_max: int) -> None:
        self._n_columns_max = n_columns_max
        self._columns: dict[bytes, Column] = {}

    def get(self, field: Any) -> Column:
        """Return the column of a definition packet."""
        packet = field.get_all_data()
        column = self._columns.get(packet)
        if column is None:
            if len(self._columns) >= self._n_columns_max:
                self._columns.clear()
            column = self._columns[packet] = Column(
                name=field.name,
                type_code=field.type_code,
                character_set=field.charsetnr,
                flags=field.flags,
                n_decimals=field.scale,
            )
        return column


_column_cache = _ColumnCache(n_columns_max=4_096)


def _size_bytes(rows: Sequence[Row]) -> int:
    return sum(len(value) if value else 1 for row in rows for value in row)


class BackendConnection:
    """Run statements on one socket; unusable after a ConnectionLostError."""

    __slots__ = ("_connection", "is_closed")

    def __init__(self, connection: MysqlConnection) -> None:
        self._connection = connection
        self.is_closed = False

    @classmethod
    async def connect(
        cls, address: InstanceAddress, database: str, user: str, timeout_s: float
    ) -> "BackendConnection":
        """Open a connection; raise ConnectionLostError with the cause if that fails."""
        connection = MysqlConnection(
            host=address.host,
            port=address.port,
            user=user,
            database=database,
            autocommit=None,
            use_unicode=False,
            conv={},
            connect_timeout=timeout_s,
        )
        try:
            async with asyncio.timeout(timeout_s):
                await connection.connect()
        except (errors.MySQLError, OSError, EOFError, TimeoutError) as error:
            connection.close()
            raise ConnectionLostError(_describe(error), is_sent=False) from error
        return cls(connection)

    @property
    def is_usable(self) -> bool:
        """Return whether neither side has closed the connection."""
        return not self.is_closed and not self._connection._stream_broken

    def close(self) -> None:
        """Abort the socket immediately.

        A graceful close would wait for a peer that may be unresponsive.
        """
        self.is_closed = True
        transport = self._connection._transport
        if transport is not None:
            transport.abort()
        self._connection.close()

    def add_close_callback(self, callback: Callable[[], None]) -> None:
        """Call back when either side has closed the connection."""
        closed = self._connection._proto._closed_waiter
        closed.add_done_callback(lambda _: callback())

    async def query(self, *statements: str) -> list[Reply]:
        """Run statements in one round trip; raise ConnectionLostError if that fails."""
        await self.send(*statements)
        return [await self.read() for _ in statements]

    async def send(self, *statements: str) -> None:
        """Send statements; the reply of each must be read with `read`."""
        await self._send([(_COM_QUERY, text) for text in statements])

    async def reset(self, *statements: str) -> list[Reply]:
        """Clear the session state and run statements, in one round trip."""
        commands = [(_COM_QUERY, text) for text in statements]
        await self._send([(_COM_RESET_CONNECTION, ""), *commands])
        return [await self.read() for _ in range(1 + len(statements))]

    async def _send(self, commands: list[tuple[int, str]]) -> None:
        if not self.is_usable:
            raise ConnectionLostError(
                "the server has closed the connection", is_sent=False
            )
        is_sent = False
        try:
            for command, text in commands:
                data = text.encode("utf-8", "surrogateescape")
                await self._connection._execute_command(command, data)
                is_sent = True
        except errors.MySQLError as error:
            raise ConnectionLostError(_describe(error), is_sent) from error

    async def read(self, consume_rows: RowConsumer | None = None) -> Reply:
        """Read one reply; rows too large to buffer are passed to `consume_rows`."""
        connection = self._connection
        connection._next_seq_id = 1
        try:
            await connection._read_query_result(unbuffered=True)
            result = connection._result
            if not result.unbuffered_active:
                reply: Reply = WriteAnswer(
                    result.affected_rows, result.insert_id, result.warning_count
                )
            else:
                reply = await self._read_rows(result, consume_rows)
            while result.has_next:
                # A CALL ends with an additional result without rows.
                await connection.next_result()
                result = connection._result
            return reply
        except errors.MySQLError as error:
            answer = _error_answer(error)
            if answer is not None:
                return answer
            raise ConnectionLostError(_describe(error), is_sent=True) from error
        except (OSError, EOFError, IndexError, ValueError, AssertionError) as error:
            # A packet that asyncmy can't parse leaves the stream at an unknown offset.
            raise ConnectionLostError(_describe(error), is_sent=True) from error

    async def _read_rows(self, result: Any, consume_rows: RowConsumer | None) -> Reply:
        columns = [_column_cache.get(field) for field in result.fields]
        batch = RowBatch()
        is_streamed = False
        while True:
            row = await result._read_rowdata_packet_unbuffered()
            if row is None:
                break
            rows = [row, *result._take_pending_rows(_N_ROWS_PER_STEP)]
            batch.rows.extend(rows)
            batch.size_bytes += _size_bytes(rows)
            limit = _BATCH_SIZE_BYTES if is_streamed else BUFFERED_SIZE_MAX_BYTES
            if consume_rows is None or batch.size_bytes < limit:
                continue
            if not await self._pass_on(consume_rows, columns, batch):
                raise ConnectionLostError("the rows are no longer needed", is_sent=True)
            is_streamed = True
            batch = RowBatch()
        if not is_streamed:
            return RowsAnswer(columns, batch.rows)
        if batch.rows and consume_rows is not None:
            await consume_rows(columns, batch)
        return StreamedRows(columns)

    async def _pass_on(
        self, consume_rows: RowConsumer, columns: list[Column], batch: RowBatch
    ) -> bool:
        """Pass rows on without reading more; return whether more are needed.

        The library buffers all that is received, however slow the consumer is.
        """
        transport = self._connection._transport
        if transport is None:
            raise ConnectionLostError("the connection was closed", is_sent=True)
        transport.pause_reading()
        try:
            return await consume_rows(columns, batch)
        finally:
            transport.resume_reading()


def _describe(error: BaseException) -> str:
    if isinstance(error, TimeoutError):
        return "timed out"
    text = str(error.args[-1]) if error.args else ""
    return text or type(error).__name__
