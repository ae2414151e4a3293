"""Sending of statements, after the session state that they need."""

import asyncio
import itertools

from cardamomshunt.position import LogPosition

from cardamomshunt_node._backend_connection import BackendConnection, Reply
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._line_buffer import LINE_END
from cardamomshunt_node._line_session_state import LineSession, RefusedError
from cardamomshunt_node._session_protocol import (
    MESSAGE_SIZE_MAX_BYTES,
    CallerQuery,
    ErrorCode,
    PreparedStatement,
    SessionProtocol,
    Statement,
    StatementKind,
)

# A character takes up to 4 bytes, and less than the rest is added to a statement.
_N_CHARACTERS_SURELY_FIT = MESSAGE_SIZE_MAX_BYTES // 8
_LONGEST_BOUND = LogPosition(2**63 - 1, 2**63 - 1)


def _is_too_large(message: bytes) -> bool:
    return len(message) - len(LINE_END) > MESSAGE_SIZE_MAX_BYTES


def _n_bytes(text: str) -> int:
    return len(text.encode(errors="surrogateescape"))


def _n_characters(query: CallerQuery) -> int:
    return len(query.request_id) + len(query.statement.text)


class StatementSender:
    """Send statements on pooled connections with the state of their sessions.

    Equal prepared statements share one name on all connections, whatever their
    callers call them, so that a connection prepares each only once.
    """

    def __init__(
        self, protocol: SessionProtocol, trace_log: DecisionLog | None = None
    ) -> None:
        self.protocol = protocol
        self._trace_log = trace_log
        self._names: dict[PreparedStatement, str] = {}
        self._name_numbers = itertools.count(1)

    def send(
        self,
        connection: BackendConnection,
        session: LineSession,
        query: CallerQuery,
        at_least: LogPosition | None,
    ) -> asyncio.Future[Reply]:
        """Send missing session state, then the statement; return its future answer."""
        self.send_values(connection, session)
        statement = query.statement
        text, name = statement.text, ""
        if statement.kind is StatementKind.EXECUTE:
            name = self._prepare(connection, session.prepared[statement.name])
            text = self.protocol.execute_text(name, statement)
        message = self.protocol.statement(query.request_id, text, at_least)
        if self._trace_log is not None:
            frame = self.protocol.statement(query.request_id, "", at_least)
            sent_bytes = len(message) - len(frame)
            self._trace(self._trace_log, connection, session, query, name, sent_bytes)
        return connection.send(message)

    def _trace(
        self,
        log: DecisionLog,
        connection: BackendConnection,
        session: LineSession,
        query: CallerQuery,
        server_name: str,
        sent_bytes: int,
    ) -> None:
        statement = query.statement
        log.write_request(
            "statement_sent",
            request=query.request_id,
            session=session.session_id,
            statement=statement.kind.value,
            server=connection.pool.server,
            server_name=server_name,
            caller_name_bytes=_n_bytes(statement.name),
            received_bytes=_n_bytes(statement.text),
            sent_bytes=sent_bytes,
        )

    def send_values(self, connection: BackendConnection, session: LineSession) -> None:
        """Set the session values on a connection that differ, resetting others."""
        if not connection.values.keys() <= session.values.keys():
            connection.values.clear()
            connection.prepared.clear()
            self._send_internal(connection, self.protocol.reset())
        for name, value in session.values.items():
            if connection.values.get(name) != value:
                connection.values[name] = value
                self._send_internal(connection, self.protocol.set_value(name, value))

    def check_size(self, session: LineSession, query: CallerQuery) -> None:
        """Raise RefusedError if a message to a server would exceed the size limit.

        The name of a prepared statement on connections may be longer than the caller's.
        """
        statement = query.statement
        if statement.kind is StatementKind.SET:
            messages = [self.protocol.set_value(statement.name, statement.value)]
        elif statement.kind is StatementKind.EXECUTE:
            prepared = session.prepared[statement.name]
            if max(_n_characters(query), len(prepared.text)) < _N_CHARACTERS_SURELY_FIT:
                return
            text = self._text(session, statement)
            messages = [
                self.protocol.prepare(self._name(prepared), prepared),
                self.protocol.statement(query.request_id, text, None),
            ]
        else:
            return
        if any(map(_is_too_large, messages)):
            raise RefusedError(
                ErrorCode.TOO_LARGE,
                f"a message to a server would exceed {MESSAGE_SIZE_MAX_BYTES} bytes",
            )

    def has_room_for_bound(self, session: LineSession, query: CallerQuery) -> bool:
        """Return whether a read with the position it requires fits into a message."""
        if _n_characters(query) < _N_CHARACTERS_SURELY_FIT:
            return True
        text = self._text(session, query.statement)
        message = self.protocol.statement(query.request_id, text, _LONGEST_BOUND)
        return not _is_too_large(message)

    def _text(self, session: LineSession, statement: Statement) -> str:
        """Return the text of a statement with the name that servers know."""
        if statement.kind is not StatementKind.EXECUTE:
            return statement.text
        name = self._name(session.prepared[statement.name])
        return self.protocol.execute_text(name, statement)

    def _name(self, prepared: PreparedStatement) -> str:
        name = self._names.get(prepared)
        if name is None:
            name = self._names[prepared] = f"p{next(self._name_numbers)}"
        return name

    def _prepare(
        self, connection: BackendConnection, prepared: PreparedStatement
    ) -> str:
        name = self._name(prepared)
        if name not in connection.prepared:
            connection.prepared[name] = prepared
            self._send_internal(connection, self.protocol.prepare(name, prepared))
        return name

    def _send_internal(self, connection: BackendConnection, data: bytes) -> None:
        """Send a statement of the proxy's own; close the connection if it fails."""

        def check(future: asyncio.Future[Reply]) -> None:
            if future.cancelled() or future.exception() is not None:
                return
            if not future.result().is_success:
                connection.close("setting up session state failed")

        connection.send(data).add_done_callback(check)
