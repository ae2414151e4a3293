"""Sessions of MySQL clients, their results, errors and limits."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ColumnDefinition

from cardamomshunt_node._mysql_session_statements import (
    SERVER_VERSION,
)


class ServerError(Exception):
    """Answer a statement with a MySQL error."""

    def __init__(self, code: int, sqlstate: str, message: str):
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


@dataclass(slots=True)
class Ok:
    """Answer a statement that returns no rows."""

    n_affected_rows: int = 0
    last_insert_id: int = 0
    n_warnings: int = 0


@dataclass(slots=True)
class Rows:
    """Answer a statement with rows.

    Names as columns get their type from the first row; rows from an async iterable are
    sent as they come and never held as a whole. Values given as bytes are sent as is.
    `column_flags` are the protocol's, one for each column or none.
    """

    columns: Sequence[ResultColumn | str]
    rows: Sequence[Sequence[Any]] | AsyncIterable[Sequence[Any]]
    column_flags: Sequence[ColumnDefinition] = ()


StatementResult: TypeAlias = Ok | Rows


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Bound what clients can take from the server."""

    n_connections_max: int = 10_000
    handshake_timeout_ms: float = 5_000.0
    packet_size_max_bytes: int = 16_777_216
    n_bytes_unauthenticated_max: int = 65_536


class _SessionVariables:
    """Hold the variables that mysql-mimic's handshake reads and writes."""

    __slots__ = ("charset",)

    def __init__(self) -> None:
        self.charset = CharacterSet.utf8mb4

    def get(self, name: str) -> str:
        return SERVER_VERSION if name == "version" else self.charset.name

    def set(self, name: str, value: Any, force: bool = False) -> None:
        if name == "character_set_client":
            self.charset = CharacterSet[str(value)]


class MysqlSession(BaseSession, ABC):
    """Serve the statements of one client connection.

    `database`, as named at connect, is set before `on_connected`. A statement is decoded
    with surrogate escapes, so that bytes which are not UTF-8 can be passed on unchanged.
    When the client goes away, a running `handle_statement` is cancelled and
    `on_disconnected` is called. `is_pipelined` tells that the client sent the command
    before the answer to its last one. `is_in_transaction` and `is_autocommit` are kept by the
    subclass and reported to the client with each answer.
    """

    __slots__ = (
        "connection_id",
        "database",
        "is_autocommit",
        "is_in_transaction",
        "is_pipelined",
        "local_port",
        "username",
        "variables",
    )

    def __init__(self) -> None:
        self.variables: Any = _SessionVariables()
        self.username: str | None = None
        self.database: str | None = None
        self.connection_id = 0
        self.is_pipelined = False
        self.local_port = 0
        self.is_in_transaction = False
        self.is_autocommit = True

    @abstractmethod
    async def handle_statement(self, sql: str) -> StatementResult:
        """Run a statement; raise ServerError to answer with an error."""

    async def on_connected(self) -> None:  # noqa: B027
        """Accept an authenticated client, or raise ServerError to refuse it.

        A refused client gets no `on_disconnected`.
        """

    async def on_reset(self) -> None:  # noqa: B027
        """Roll back and clear session state (COM_RESET_CONNECTION)."""

    async def on_disconnected(self) -> None:  # noqa: B027
        """Note that the connection is over; called once."""

    async def use_database(self, name: str) -> None:
        """Take over the default database; raise ServerError to refuse it."""
        self.database = name

    async def set_autocommit(self, is_on: bool) -> None:
        """Switch autocommit."""
        self.is_autocommit = is_on

    async def set_variable(self, name: str, value: Any) -> None:
        """Set a user variable (`SET @name = value`)."""
        raise ServerError(1193, "HY000", f"Unknown variable '@{name}'")

    async def get_variable(self, name: str) -> Any:
        """Return a user variable (`SELECT @name`)."""
        return None
