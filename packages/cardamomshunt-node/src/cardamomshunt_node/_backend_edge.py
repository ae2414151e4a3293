"""Interface between the proxy's core and backend servers of one database system."""

from abc import ABC, abstractmethod

from cardamomshunt.effects import (
    AttemptResult,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    OpenConnection,
    QueryPosition,
    RequestId,
    StartAttempt,
)

from cardamomshunt_node._backend_edge_answers import Answer, Column
from cardamomshunt_node._backend_edge_rows import RowStream


class BackendListener(ABC):
    """Receive the events of backend connections, on the event loop."""

    @abstractmethod
    def on_connection_opened(self, opened: ConnectionOpened) -> None:
        """Handle that a connection is open and ready for attempts."""

    @abstractmethod
    def on_connection_failed(
        self, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> None:
        """Handle that a connection could not be opened."""

    @abstractmethod
    def on_connection_closed(self, connection_id: ConnectionId, detail: str) -> None:
        """Handle that a connection is closed and no attempt runs on it."""

    @abstractmethod
    def on_connection_reset(self, connection_id: ConnectionId) -> None:
        """Handle that a connection has no session state after its reset."""

    @abstractmethod
    def on_attempt_ended(self, result: AttemptResult, answer: Answer | None) -> None:
        """Handle the result of an attempt, and its answer if there is one."""

    @abstractmethod
    def on_rows_started(
        self, request_id: RequestId, attempt: int, columns: list[Column]
    ) -> RowStream | None:
        """Return a stream for a result that is too large to buffer.

        Return None if the request no longer needs the rows.
        """

    @abstractmethod
    def on_position_answered(self, database: str, bound: ConfirmedBound | None) -> None:
        """Handle the answer to a position query; None if the query failed."""


class BackendEdge(ABC):
    """Open connections to backend servers and run attempts on them.

    Commands return immediately; their results are reported to the listener. A
    connection runs one command at a time. A command that ends without a complete answer
    closes its connection before its result is reported.
    """

    @abstractmethod
    def set_listener(self, listener: BackendListener) -> None:
        """Set the listener; called once, before any command."""

    @abstractmethod
    def open_connection(self, effect: OpenConnection) -> None:
        """Connect to a server, read its status and bind the connection to the term."""

    @abstractmethod
    def close_connection(self, connection_id: ConnectionId, reason: str) -> None:
        """Close a connection immediately, even during a command."""

    @abstractmethod
    def reset_connection(self, connection_id: ConnectionId) -> None:
        """Roll back and clear the session state."""

    @abstractmethod
    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        """Run a statement as the kind of the attempt requires."""

    @abstractmethod
    def query_position(self, effect: QueryPosition) -> None:
        """Query a primary for a position that a majority has confirmed."""

    @abstractmethod
    async def stop(self) -> None:
        """Close all connections."""
