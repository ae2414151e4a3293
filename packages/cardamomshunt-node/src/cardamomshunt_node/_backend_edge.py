"""Interface between the proxy's core and the servers of one kind of database."""

from abc import ABC, abstractmethod

from cardamomshunt.effects import (
    AskPosition,
    AttemptResult,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    OpenConnection,
    RequestId,
    StartAttempt,
)

from cardamomshunt_node._backend_edge_answers import Answer, Column
from cardamomshunt_node._backend_edge_rows import RowStream


class BackendListener(ABC):
    """Take what happens on backend connections; called on the event loop."""

    @abstractmethod
    def on_connection_opened(self, opened: ConnectionOpened) -> None:
        """Take over an open connection."""

    @abstractmethod
    def on_connection_failed(
        self, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> None:
        """Note that a dial failed."""

    @abstractmethod
    def on_connection_closed(self, connection_id: ConnectionId, detail: str) -> None:
        """Note that an idle connection is closed."""

    @abstractmethod
    def on_connection_reset(self, connection_id: ConnectionId) -> None:
        """Note that a connection is free of session state."""

    @abstractmethod
    def on_attempt_ended(self, result: AttemptResult, answer: Answer | None) -> None:
        """Take over the end of an attempt, with the answer if there is one."""

    @abstractmethod
    def on_rows_started(
        self, request_id: RequestId, attempt: int, columns: list[Column]
    ) -> RowStream | None:
        """Open a stream for a result too large to hold; None if nobody takes it."""

    @abstractmethod
    def on_position_answered(self, database: str, bound: ConfirmedBound | None) -> None:
        """Take over the answer of a position query; None if it failed."""


class BackendEdge(ABC):
    """Own the connections to backend servers and run attempts on them.

    Commands return at once; what becomes of them is told to the listener. A connection
    carries one command at a time, and a command that ends without a complete answer
    closes its connection before the listener hears of it.
    """

    @abstractmethod
    def set_listener(self, listener: BackendListener) -> None:
        """Set who is told; called once, before any command."""

    @abstractmethod
    def open_connection(self, effect: OpenConnection) -> None:
        """Dial a server, read its status and bind the connection to the term."""

    @abstractmethod
    def close_connection(self, connection_id: ConnectionId, reason: str) -> None:
        """Close a connection at once, whatever runs on it."""

    @abstractmethod
    def reset_connection(self, connection_id: ConnectionId) -> None:
        """Roll back and clear session state."""

    @abstractmethod
    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        """Run a statement in the way that the attempt's kind asks for."""

    @abstractmethod
    def query_position(self, effect: AskPosition) -> None:
        """Ask a primary for a position that a majority confirmed."""

    @abstractmethod
    async def stop(self) -> None:
        """Close all connections."""
