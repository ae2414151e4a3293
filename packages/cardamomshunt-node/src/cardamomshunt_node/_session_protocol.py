"""Messages of line-based sessions, and the interface of a codec for them."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from cardamomshunt.fleet import ServerStatus
from cardamomshunt.position import LogPosition

MESSAGE_SIZE_MAX_BYTES = 1_048_576


class StatementKind(enum.Enum):
    """Name what a statement does to its session."""

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
    """Hold what a prepared statement runs."""

    is_write: bool
    text: str


@dataclass(slots=True, frozen=True)
class Statement:
    """Hold one statement; `name` is of a session value or a prepared statement."""

    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    prepared: PreparedStatement | None = None
    arguments: str = ""


@dataclass(slots=True, frozen=True)
class CallerOpen:
    """Open a session on a database."""

    database: str


@dataclass(slots=True, frozen=True)
class CallerQuery:
    """Run a statement under a request id."""

    request_id: str
    statement: Statement


@dataclass(slots=True, frozen=True)
class CallerEnd:
    """End the session."""


CallerMessage = CallerOpen | CallerQuery | CallerEnd


class TransactionState(enum.Enum):
    """Name the transaction state after a statement."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Name why a statement failed; `PROMISES` are those that kept nothing."""

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
    """Name what a line of a backend server is."""

    ROW = "row"
    COMPLETE = "complete"
    ERROR = "error"
    READY = "ready"


@dataclass(slots=True, frozen=True)
class ServerLine:
    """Hold one line of a backend server."""

    kind: LineKind
    code: ErrorCode | None = None
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


class SessionProtocol(ABC):
    """Translate between lines and messages; raise ValueError for malformed lines."""

    @abstractmethod
    def parse_caller_line(self, line: bytes) -> CallerMessage:
        """Return what a caller sent."""

    @abstractmethod
    def parse_server_line(self, line: bytes) -> ServerLine:
        """Return what a backend server sent."""

    @abstractmethod
    def parse_status(self, server: str, row: str) -> ServerStatus:
        """Return the status that a row of a status statement holds."""

    @abstractmethod
    def ready(self, state: TransactionState, position: LogPosition | None) -> bytes:
        """Return the line that ends each answer."""

    @abstractmethod
    def completed(self) -> bytes:
        """Return the line for a statement that was done without a server."""

    @abstractmethod
    def error(self, code: ErrorCode, text: str) -> bytes:
        """Return the line for a refused or failed statement."""

    @abstractmethod
    def open_server(self, group: str, server: str) -> bytes:
        """Return the line that opens a connection to one life of a server."""

    @abstractmethod
    def statement(
        self, request_id: str, text: str, at_least: LogPosition | None
    ) -> bytes:
        """Return a caller's statement, to run only on a log that has a position."""

    @abstractmethod
    def begin(self, is_read_only: bool, at_least: LogPosition | None) -> bytes:
        """Return the proxy's own begin."""

    @abstractmethod
    def rollback(self) -> bytes:
        """Return the proxy's own rollback."""

    @abstractmethod
    def set_value(self, name: str, value: str) -> bytes:
        """Return the proxy's own setting of a session value."""

    @abstractmethod
    def prepare(self, name: str, prepared: PreparedStatement) -> bytes:
        """Return the proxy's own preparing of a statement."""

    @abstractmethod
    def reset(self) -> bytes:
        """Return the clearing of all session values and prepared statements."""

    @abstractmethod
    def status(self) -> bytes:
        """Return the question for a server's status."""

    @abstractmethod
    def demote(self, term: int) -> bytes:
        """Return the order to a primary of a lower term to become a replica."""

    @abstractmethod
    def execute_text(self, name: str, arguments: str) -> str:
        """Return the text that runs a prepared statement under another name."""
