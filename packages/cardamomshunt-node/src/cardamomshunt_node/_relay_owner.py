"""Service of an owner: sessions that other entry VMs forward to this one."""

import asyncio
from collections.abc import Callable, Iterator

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import LineSession, not_run_error
from cardamomshunt_node._line_sessions import StatementRunner
from cardamomshunt_node._relay_frames import (
    ANSWER_SIZE_MAX_BYTES,
    RelayAnswer,
    RelayClose,
    RelayDrain,
    RelayFrame,
    RelayOpen,
    RelayPing,
    RelayStatement,
)
from cardamomshunt_node._relay_link import RelayLink
from cardamomshunt_node._session_protocol import (
    CallerQuery,
    ErrorCode,
    SessionProtocol,
    TransactionState,
)
from cardamomshunt_node._stream_transport import host_and_port

_VERSION_WAIT_MS = 500.0


class _ServedSession:
    """Run the statements of one forwarded session."""

    def __init__(
        self,
        owner: "RelayOwner",
        link: "_EntryLink",
        frame: RelayOpen,
        session: LineSession,
    ) -> None:
        self._owner = owner
        self._link = link
        self._number = frame.session
        self.opened_version = frame.version
        self.session = session
        self._task: asyncio.Task[None] | None = None
        self._is_ended = False
        self.is_denied = False
        self.last_used_ms = boot_ms()

    @property
    def is_idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return self._task is None and self.session.transaction is None

    def run(self, frame: RelayStatement) -> None:
        """Start to run a statement; the entry VM sends one at a time."""
        if self._task is not None:
            self._link.abort("a second statement in a session")
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run(frame))

    async def _run(self, frame: RelayStatement) -> None:
        try:
            data = await self._answer(frame)
            self._send_answer(data)
        finally:
            self._task = None
            self.last_used_ms = boot_ms()
            if self._is_ended:
                self._owner.runner.abandon(self.session)
            elif self.is_denied:
                self.close()

    async def _answer(self, frame: RelayStatement) -> bytes:
        received_ms = boot_ms()
        owner = self._owner
        if owner.version < frame.version:
            # Nothing was sent yet, so the statement may end when its caller leaves.
            self.session.may_cancel = True
            has_version = await owner.wait_for_version(frame.version)
            self.session.may_cancel = False
            if not has_version:
                reason = f"the owner lacks configuration version {frame.version}"
                return self._refuse(ErrorCode.BUSY, reason)
        if self.is_denied:
            return self._refuse(ErrorCode.DENIED, "the key is not known")
        try:
            message = owner.protocol.parse_caller_line(frame.line)
        except ValueError as error:
            return self._refuse(ErrorCode.MALFORMED, str(error))
        if not isinstance(message, CallerQuery):
            return self._refuse(ErrorCode.MALFORMED, "not a statement")
        return await owner.runner.run(self.session, message, received_ms)

    def _refuse(self, code: ErrorCode, reason: str) -> bytes:
        if code is ErrorCode.BUSY:
            reason = str(not_run_error(code, reason))
        protocol = self._owner.protocol
        self._owner.metrics.count_refusal(code.value)
        self._owner.log.write_request(
            "refused",
            session=self.session.session_id,
            database=self.session.database,
            code=code.value,
            reason=reason,
            configuration_version=self._owner.version,
        )
        return protocol.error(code, reason) + protocol.ready(self.session.state, None)

    def _send_answer(self, data: bytes) -> None:
        state = self.session.state
        while len(data) > ANSWER_SIZE_MAX_BYTES:
            part, data = data[:ANSWER_SIZE_MAX_BYTES], data[ANSWER_SIZE_MAX_BYTES:]
            self._link.send(RelayAnswer(self._number, part, state, False))
        self._link.send(RelayAnswer(self._number, data, state, True))

    def end(self) -> None:
        """Roll back, after a statement that a server may be running."""
        self._is_ended = True
        if self._task is None:
            self._owner.runner.abandon(self.session)
        elif self.session.may_cancel:
            self._task.cancel()

    def close(self) -> None:
        """End the session, and notify the entry VM that forwards it."""
        if self._link.sessions.pop(self._number, None) is not None:
            self._link.send(RelayClose(self._number))
        self.end()

    def end_if_denied(self) -> bool:
        """End the session if its key is no longer valid; return whether it is not.

        A running statement still gets its answer.
        """
        if self._owner.is_session_allowed(self):
            return False
        self.is_denied = True
        if self._task is None:
            self.close()
        return True


class _EntryLink(RelayLink):
    """Connection of one entry VM that forwards sessions to this one."""

    def __init__(self, owner: "RelayOwner") -> None:
        super().__init__()
        self._owner = owner
        self.sessions: dict[int, _ServedSession] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._owner.links.add(self)
        if self._owner.is_draining:
            self.send(RelayDrain())

    def on_frame(self, frame: RelayFrame) -> None:
        """Open, run or end a session."""
        if isinstance(frame, RelayStatement):
            session = self.sessions.get(frame.session)
            if session is None:
                self.send(RelayClose(frame.session))
            else:
                session.run(frame)
        elif isinstance(frame, RelayOpen):
            self._open(frame)
        elif isinstance(frame, RelayClose):
            session = self.sessions.pop(frame.session, None)
            if session is not None:
                session.end()
        elif isinstance(frame, RelayPing):
            self.send(frame)

    def _open(self, frame: RelayOpen) -> None:
        if self._owner.is_draining or not self._owner.version:
            self.send(RelayClose(frame.session))
            return
        session = self._owner.make_session(frame)
        served = _ServedSession(self._owner, self, frame, session)
        served.is_denied = not self._owner.is_session_allowed(served)
        self.sessions[frame.session] = served
        self._owner.metrics.count_served_session()
        self.send(RelayAnswer(frame.session, b"", TransactionState.IDLE, True))

    def on_lost(self) -> None:
        """End all sessions of an entry VM that died, left or froze."""
        self._owner.links.discard(self)
        sessions, self.sessions = self.sessions, {}
        if sessions:
            self._owner.log.write(
                "relay_lost", reason=self.lost_reason, n_sessions=len(sessions)
            )
        for session in sessions.values():
            session.end()


class RelayOwner:
    """Accept the connections of other entry VMs and run their sessions."""

    def __init__(
        self,
        address: str,
        protocol: SessionProtocol,
        view: FleetView,
        runner: StatementRunner,
        log: DecisionLog,
        metrics: EntryMetrics,
        next_session_id: Callable[[], int],
        is_allowed: Callable[[LineSession], bool],
    ) -> None:
        self._address = address
        self.protocol = protocol
        self._view = view
        self.runner = runner
        self.log = log
        self.metrics = metrics
        self._next_session_id = next_session_id
        self._is_allowed = is_allowed
        self.links: set[_EntryLink] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; without it other entry VMs use other owners."""
        host, port = host_and_port(self._address)
        try:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: _EntryLink(self), host, port, backlog=256
            )
        except OSError as error:
            self.log.write("relay_unavailable", reason=str(error))

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self._view.table.version

    async def wait_for_version(self, version: int) -> bool:
        """Wait a short time for a configuration; return whether it is in force."""
        end_ms = boot_ms() + _VERSION_WAIT_MS
        while self.version < version and boot_ms() < end_ms:
            await self._view.wait_for_change(max(end_ms - boot_ms(), 1.0))
        return self.version >= version

    def make_session(self, frame: RelayOpen) -> LineSession:
        """Return the state of a new session."""
        return LineSession(
            self._next_session_id(), frame.database, frame.team, frame.key_digest
        )

    def is_session_allowed(self, served: _ServedSession) -> bool:
        """Return whether the key of a session is valid.

        A key that only a newer configuration holds is checked once that is in force.
        """
        if self.version < served.opened_version:
            return True
        return self._is_allowed(served.session)

    def _sessions(self) -> Iterator[_ServedSession]:
        for link in list(self.links):
            yield from list(link.sessions.values())

    @property
    def n_sessions(self) -> int:
        """Return the number of sessions of other entry VMs."""
        return sum(len(link.sessions) for link in self.links)

    @property
    def n_busy(self) -> int:
        """Return the number of sessions with a statement or an open transaction."""
        return sum(not session.is_idle for session in self._sessions())

    def end_idle_transactions(self) -> None:
        """End transactions that have been idle for too long."""
        now = boot_ms()
        for served in self._sessions():
            self.runner.end_idle_transaction(served.session, now)

    def end_denied_sessions(self) -> None:
        """End the sessions whose keys the newest configuration has taken away."""
        n_ended = sum(served.end_if_denied() for served in self._sessions())
        if n_ended:
            self.log.write(
                "sessions_denied",
                n_sessions=n_ended,
                configuration_version=self.version,
            )

    def close_idle(self, idle_ms: float) -> None:
        """Close idle sessions, so that callers reopen them elsewhere."""
        now = boot_ms()
        for served in self._sessions():
            if served.is_idle and now > served.last_used_ms + idle_ms:
                served.close()

    def start_draining(self) -> None:
        """Accept no more sessions, and notify the entry VMs that forward some."""
        self.is_draining = True
        for link in self.links:
            link.send(RelayDrain())

    async def stop(self) -> None:
        """Close all connections, after the answers so far are written."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.close()
