"""Sessions of MySQL clients, their results, errors and limits."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ColumnDefinition

from cardamomshunt_node._mysql_character_sets import find_character_set
from cardamomshunt_node._mysql_session_statements import (
    SERVER_VERSION,
)


class ServerError(Exception):
    """MySQL error with which a statement is answered."""

    def __init__(self, code: int, sqlstate: str, message: str):
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


@dataclass(slots=True)
class Ok:
    """Result of a statement that returns no rows."""

    n_affected_rows: int = 0
    last_insert_id: int = 0
    n_warnings: int = 0


@dataclass(slots=True)
class Rows:
    """Result of a statement that returns rows.

    A column given as a name gets its type from the first row. Rows from an async
    iterable are sent as they arrive and never buffered as a whole. Values given as bytes
    are sent unchanged. `column_flags` are those of the protocol, one for each column or
    none.
    """

    columns: Sequence[ResultColumn | str]
    rows: Sequence[Sequence[Any]] | AsyncIterable[Sequence[Any]]
    column_flags: Sequence[ColumnDefinition] = ()


StatementResult: TypeAlias = Ok | Rows


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits on the resources that clients use."""

    n_connections_max: int = 10_000
    handshake_timeout_ms: float = 5_000.0
    packet_size_max_bytes: int = 16_777_216
    n_bytes_unauthenticated_max: int = 65_536


class _SessionVariables:
    """Variables that the handshake of mysql-mimic reads and writes."""

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

    `database`, as named on connecting, is set before `on_connected`. A statement is
    decoded with surrogate escapes, so that bytes which are not UTF-8 can be forwarded
    unchanged. When the client disconnects, a running `handle_statement` is cancelled
    and `on_disconnected` is called. `is_pipelined` is whether the client sent the
    command before it received the previous answer. `is_in_transaction` and
    `is_autocommit` are maintained by the subclass and reported with each answer.
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

        `on_disconnected` is not called for a refused client.
        """

    async def on_reset(self) -> None:  # noqa: B027
        """Roll back and clear session state (COM_RESET_CONNECTION)."""

    async def on_disconnected(self) -> None:  # noqa: B027
        """Release the resources of the session; called once, at its end."""

    async def use_database(self, name: str) -> None:
        """Change the default database; raise ServerError to refuse it."""
        self.database = name

    async def set_autocommit(self, is_on: bool) -> None:
        """Turn autocommit on or off."""
        self.is_autocommit = is_on

    def set_character_set(self, name: str) -> None:
        """Change the character set (`SET NAMES`); raise ServerError if it is unknown."""
        found = find_character_set(name)
        if found is None:
            raise ServerError(1115, "42000", f"Unknown character set: '{name}'")
        self.variables.charset = found

    async def set_variable(self, name: str, value: Any) -> None:
        """Set a user variable (`SET @name = value`)."""
        raise ServerError(1193, "HY000", f"Unknown variable '@{name}'")

    async def get_variable(self, name: str) -> Any:
        """Return a user variable (`SELECT @name`)."""
        return None
