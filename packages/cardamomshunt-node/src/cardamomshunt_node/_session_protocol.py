"""Messages of line-based sessions, and the interface of their codec."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cardamomshunt.fleet import ServerStatus
from cardamomshunt.position import LogPosition

MESSAGE_SIZE_MAX_BYTES = 1_048_576


class StatementKind(enum.Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    INVALID = "invalid"


@dataclass(slots=True, frozen=True)
class PreparedStatement:
    """Text of a prepared statement, and whether it writes."""

    is_write: bool
    text: str


@dataclass(slots=True, frozen=True)
class Statement:
    """One statement; `name` is that of a session value or prepared statement.

    `after_name` is what follows the name of an executed statement, separator included.
    """

    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    prepared: PreparedStatement | None = None
    after_name: str = ""


@dataclass(slots=True, frozen=True)
class CallerOpen:
    """Request to open a session on a database; `key` identifies the caller's team."""

    database: str
    key: str = field(default="", repr=False)


@dataclass(slots=True, frozen=True)
class CallerQuery:
    """Request to run a statement under a request id."""

    request_id: str
    statement: Statement


@dataclass(slots=True, frozen=True)
class CallerEnd:
    """Request to end the session."""


CallerMessage = CallerOpen | CallerQuery | CallerEnd


class TransactionState(enum.Enum):
    """State of a session's transaction after a statement."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Reason why a statement failed; `NOT_RUN_CODES` are those that had no effect."""

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    MISROUTED = "misrouted"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    UNKNOWN_NAME = "unknown_name"
    UNKNOWN_DATABASE = "unknown_database"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    IN_DOUBT = "in_doubt"
    DENIED = "denied"
    OTHER = "other"


NOT_RUN_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.LAGGING,
        ErrorCode.READ_ONLY,
        ErrorCode.UNKNOWN_NAME,
        ErrorCode.MISROUTED,
        ErrorCode.TOO_MANY_CONNECTIONS,
    }
)


class LineKind(enum.Enum):
    """Kind of a line that a backend server sent."""

    ROW = "row"
    COMPLETE = "complete"
    ERROR = "error"
    READY = "ready"


@dataclass(slots=True, frozen=True)
class ServerLine:
    """One line that a backend server sent."""

    kind: LineKind
    code: ErrorCode | None = None
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


class SessionProtocol(ABC):
    """Encode and decode lines; raise ValueError for malformed ones."""

    @abstractmethod
    def parse_caller_line(self, line: bytes) -> CallerMessage:
        """Parse a line of a caller."""

    @abstractmethod
    def parse_server_line(self, line: bytes) -> ServerLine:
        """Parse a line of a backend server."""

    @abstractmethod
    def parse_status(self, server: str, row: str) -> ServerStatus:
        """Parse the row that answers a status statement."""

    @abstractmethod
    def ready(self, state: TransactionState, position: LogPosition | None) -> bytes:
        """Return the line that ends each answer."""

    @abstractmethod
    def completed(self) -> bytes:
        """Return the line that completes a statement that needed no server."""

    @abstractmethod
    def error(self, code: ErrorCode, text: str) -> bytes:
        """Return the line for a refused or failed statement."""

    @abstractmethod
    def open_server(self, group: str, server: str, team: str) -> bytes:
        """Return the line that opens a team's connection to one incarnation of a server.

        An empty `team` stands for a connection that any caller may use.
        """

    @abstractmethod
    def statement(
        self, request_id: str, text: str, at_least: LogPosition | None
    ) -> bytes:
        """Return a caller's statement; it runs only if the log reached `at_least`."""

    @abstractmethod
    def begin(self, is_read_only: bool, at_least: LogPosition | None) -> bytes:
        """Return the statement with which the proxy begins a transaction."""

    @abstractmethod
    def rollback(self) -> bytes:
        """Return the statement with which the proxy rolls a transaction back."""

    @abstractmethod
    def set_value(self, name: str, value: str) -> bytes:
        """Return the statement with which the proxy sets a session value."""

    @abstractmethod
    def prepare(self, name: str, prepared: PreparedStatement) -> bytes:
        """Return the statement with which the proxy prepares a statement."""

    @abstractmethod
    def reset(self) -> bytes:
        """Return the statement that clears session values and prepared statements."""

    @abstractmethod
    def status(self) -> bytes:
        """Return the statement that requests a server's status."""

    @abstractmethod
    def demote(self, term: int) -> bytes:
        """Return the statement that demotes a primary of a lower term."""

    @abstractmethod
    def execute_text(self, name: str, statement: Statement) -> str:
        """Return the text of an execution with another name, and nothing else changed."""
