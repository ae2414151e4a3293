"""Forwarding of callers' sessions to the entry VMs that own their teams."""

import asyncio
import itertools
from collections.abc import Callable

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._entry_metrics import EntryMetrics
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import LineSession, not_run_error
from cardamomshunt_node._owner_directory import OwnerDirectory
from cardamomshunt_node._relay_frames import (
    RelayAnswer,
    RelayClose,
    RelayDrain,
    RelayFrame,
    RelayOpen,
    RelayPing,
    RelayStatement,
)
from cardamomshunt_node._relay_link import (
    UNRESPONSIVE_AFTER_MS,
    RelayLink,
    relay_address,
)
from cardamomshunt_node._session_protocol import (
    CallerQuery,
    ErrorCode,
    SessionProtocol,
    StatementKind,
    TransactionState,
)
from cardamomshunt_node._stream_transport import host_and_port

_CONNECT_TIMEOUT_S = 0.2
_OPEN_TIMEOUT_S = 0.2
_ANSWER_MARGIN_MS = 250.0
_CHECK_INTERVAL_S = 0.1
_PING_AFTER_MS = 200.0
_NO_ROUTE_TIMEOUT_MS = 1_000.0


def lost_answer_code(
    kind: StatementKind, state: TransactionState, *, is_write: bool, has_written: bool
) -> ErrorCode:
    """Return the outcome of a statement that was sent to an owner and not answered.

    `is_write` is that of the statement, `has_written` that of the open transaction. The
    owner rolls an open transaction back when it loses the session.
    """
    if state is TransactionState.OPEN:
        if kind is StatementKind.COMMIT and has_written:
            return ErrorCode.IN_DOUBT
        return ErrorCode.ABORTED
    if state is TransactionState.FAILED:
        return ErrorCode.ABORTED
    return ErrorCode.IN_DOUBT if is_write else ErrorCode.FAILED


class ForwardedSession:
    """Forward the statements of one caller's session to its owner, one at a time."""

    def __init__(
        self,
        relay: "SessionRelay",
        link: "_OwnerLink",
        session: LineSession,
        on_closed: Callable[[], None],
    ) -> None:
        self._relay = relay
        self._link = link
        self._session = session
        self._on_closed = on_closed
        self.number = relay.next_number()
        self.state = TransactionState.IDLE
        self.is_closed = False
        self._opened: asyncio.Future[bool] | None = None
        self._query: CallerQuery | None = None
        self._received_ms = 0.0
        self._answer: asyncio.Future[bytes] | None = None
        self._parts: list[bytes] = []
        self._has_written = False
        # Whether the statements that the caller prepared write, by name.
        self._prepared: dict[str, bool] = {}

    @property
    def is_running(self) -> bool:
        """Return whether a statement waits for its answer."""
        return self._answer is not None

    @property
    def is_idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return self._answer is None and self.state is TransactionState.IDLE

    @property
    def oldest_sent_ms(self) -> float:
        """Return when the statement that waits for its answer was sent."""
        return self._received_ms

    async def open(self, version: int) -> bool:
        """Open the session at the owner; return whether it accepts in time."""
        self._opened = asyncio.get_running_loop().create_future()
        self._link.sessions[self.number] = self
        session = self._session
        self._link.send(
            RelayOpen(
                self.number, session.database, session.team, version, session.key_digest
            )
        )
        is_open = False
        try:
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                is_open = await self._opened
        except TimeoutError:
            pass
        finally:
            self._opened = None
            if not is_open:
                self.close()
        return is_open

    async def run(self, line: bytes, query: CallerQuery) -> bytes:
        """Return the answer of the owner, or the outcome if there is none."""
        received_ms = boot_ms()
        timeout_ms = self._relay.timeout_ms(self._session, received_ms)
        if self.is_closed or not self._link.is_open or timeout_ms <= 0.0:
            error = not_run_error(ErrorCode.BUSY, "the owner of the session is gone")
            self.close()
            return self._relay.refuse(self._session, query, error.code, str(error), 0.0)
        self._query, self._received_ms = query, received_ms
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._record_write(query)
        self._link.send_statement(self, line, self._relay.version)
        timer = loop.call_later(timeout_ms / 1_000.0, self._on_timeout)
        try:
            answer = await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            timer.cancel()
            self._answer = None
        if self.state is not TransactionState.OPEN:
            self._has_written = False
        if self._link.is_draining and self.is_idle:
            self.close()
        return answer

    def _record_write(self, query: CallerQuery) -> None:
        statement = query.statement
        if statement.kind is StatementKind.PREPARE and statement.prepared is not None:
            self._prepared[statement.name] = statement.prepared.is_write
        if self.state is TransactionState.OPEN and self._is_write(query):
            self._has_written = True

    def _is_write(self, query: CallerQuery) -> bool:
        statement = query.statement
        if statement.kind is StatementKind.EXECUTE:
            return self._prepared.get(statement.name, True)
        return statement.kind is StatementKind.WRITE

    def on_answer(self, frame: RelayAnswer) -> None:
        """Complete the opening of the session or the running statement."""
        if self._opened is not None:
            if not self._opened.done():
                self._opened.set_result(True)
            return
        if self._answer is None or self._answer.done():
            return
        self._parts.append(frame.data)
        if not frame.is_final:
            return
        self.state = frame.state
        parts, self._parts = self._parts, []
        self._answer.set_result(parts[0] if len(parts) == 1 else b"".join(parts))

    def _on_timeout(self) -> None:
        self.end("no answer of the owner in time")

    def end(self, reason: str) -> None:
        """End the session without its owner, with the outcome of a running statement."""
        self._send_close()
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(False)
        elif self._answer is None:
            self._on_closed()
        elif not self._answer.done():
            self._answer.set_result(self._lost_answer(reason))

    def _lost_answer(self, reason: str) -> bytes:
        assert self._query is not None
        code = lost_answer_code(
            self._query.statement.kind,
            self.state,
            is_write=self._is_write(self._query),
            has_written=self._has_written,
        )
        self.state = TransactionState.IDLE
        elapsed_ms = boot_ms() - self._received_ms
        return self._relay.refuse(self._session, self._query, code, reason, elapsed_ms)

    def close(self) -> None:
        """End the session at the owner; its open transaction is rolled back there."""
        self._send_close()
        self.state = TransactionState.IDLE

    def _send_close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        if self._link.sessions.pop(self.number, None) is not None:
            self._link.send(RelayClose(self.number))

    def close_idle(self) -> None:
        """End the session, and close the caller's connection, if it is idle."""
        if self.is_idle and self._opened is None:
            self.close()
            self._on_closed()


class _OwnerLink(RelayLink):
    """Connection to one owner, on which this entry VM forwards sessions."""

    def __init__(self, address: str, log: DecisionLog) -> None:
        super().__init__()
        self._address = address
        self._log = log
        self.is_draining = False
        self.sessions: dict[int, ForwardedSession] = {}
        self._check_timer: asyncio.TimerHandle | None = None

    def send_statement(
        self, session: ForwardedSession, line: bytes, version: int
    ) -> None:
        """Send a statement, and watch whether the owner still answers."""
        self.send(RelayStatement(session.number, line, version))
        if self._check_timer is None:
            self._start_check()

    def _start_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Ask an owner that is silent for a sign of life, and give up on a dead one.

        The kernel of a stopped process still acknowledges what it receives.
        """
        self._check_timer = None
        oldest_ms = min(
            (item.oldest_sent_ms for item in self.sessions.values() if item.is_running),
            default=None,
        )
        if oldest_ms is None or not self.is_open:
            return
        silent_ms = boot_ms() - max(oldest_ms, self.last_received_ms)
        if silent_ms > UNRESPONSIVE_AFTER_MS:
            self.abort("no frame in time")
            return
        if silent_ms > _PING_AFTER_MS:
            self.send(RelayPing())
        self._start_check()

    def on_frame(self, frame: RelayFrame) -> None:
        """Pass an answer to its session; close idle sessions of a draining owner."""
        if isinstance(frame, RelayAnswer):
            session = self.sessions.get(frame.session)
            if session is not None:
                session.on_answer(frame)
        elif isinstance(frame, RelayClose):
            session = self.sessions.pop(frame.session, None)
            if session is not None:
                session.end("the owner ended the session")
        elif isinstance(frame, RelayDrain):
            self.is_draining = True
            for session in list(self.sessions.values()):
                session.close_idle()

    def on_lost(self) -> None:
        """End all sessions, with the outcomes of the running statements."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        sessions, self.sessions = self.sessions, {}
        if sessions:
            self._log.write(
                "owner_lost",
                owner=self._address,
                reason=self.lost_reason,
                n_sessions=len(sessions),
                n_running=sum(item.is_running for item in sessions.values()),
            )
        for session in sessions.values():
            session.end("the owner of the session does not answer")


class SessionRelay:
    """Open sessions at their owners, over one connection to each of them."""

    def __init__(
        self,
        directory: OwnerDirectory,
        view: FleetView,
        protocol: SessionProtocol,
        log: DecisionLog,
        metrics: EntryMetrics,
    ) -> None:
        self._directory = directory
        self._view = view
        self.protocol = protocol
        self._log = log
        self._metrics = metrics
        self._links: dict[str, asyncio.Task[_OwnerLink]] = {}
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a number that no other session of this process has."""
        return next(self._numbers)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self._view.table.version

    async def open(
        self, session: LineSession, group: str, on_closed: Callable[[], None]
    ) -> ForwardedSession | None:
        """Open a session at its owner; return None if this VM serves it itself."""
        for address in self._directory.candidates(session.team, group):
            try:
                link = await self._link(address)
            except (OSError, TimeoutError) as error:
                self._avoid(address, str(error) or "no connection in time")
                continue
            forwarded = ForwardedSession(self, link, session, on_closed)
            if await forwarded.open(self.version):
                self._metrics.count_forwarded_session()
                self._log.write_request(
                    "session_forwarded", session=session.session_id, owner=address
                )
                return forwarded
            self._avoid(address, "the session was not opened")
        return None

    def _avoid(self, address: str, reason: str) -> None:
        self._metrics.count_owner_fallback()
        if self._directory.avoid(address):
            self._log.write("owner_avoided", owner=address, reason=reason)

    async def _link(self, address: str) -> _OwnerLink:
        """Return the open connection to an owner; raise OSError or TimeoutError."""
        task = self._links.get(address)
        if task is None or not _is_usable(task):
            task = asyncio.get_running_loop().create_task(self._connect(address))
            self._links[address] = task
        link = await asyncio.shield(task)
        if link.is_draining:
            raise ConnectionError("the owner is draining")
        return link

    async def _connect(self, address: str) -> _OwnerLink:
        link = _OwnerLink(address, self._log)
        host, port = host_and_port(relay_address(address))
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().create_connection(lambda: link, host, port)
        return link

    def timeout_ms(self, session: LineSession, now_ms: float) -> float:
        """Return how long to wait for an answer of the owner."""
        route = self._view.table.route_of(session.database)
        timeout_ms = route.statement_timeout_ms if route else _NO_ROUTE_TIMEOUT_MS
        left_ms = self._view.answer_deadline_ms - now_ms
        return min(timeout_ms + _ANSWER_MARGIN_MS, left_ms)

    def refuse(
        self,
        session: LineSession,
        query: CallerQuery,
        code: ErrorCode,
        reason: str,
        elapsed_ms: float,
    ) -> bytes:
        """Return the answer to a statement that has none of an owner."""
        self._metrics.count_refusal(code.value)
        self._log.write_request(
            "refused",
            request=query.request_id,
            session=session.session_id,
            database=session.database,
            statement=query.statement.kind.value,
            code=code.value,
            reason=reason,
            elapsed_ms=round(elapsed_ms, 1),
            configuration_version=self.version,
        )
        ready = self.protocol.ready(TransactionState.IDLE, None)
        return self.protocol.error(code, reason) + ready

    async def stop(self) -> None:
        """Close all connections to owners."""
        for task in self._links.values():
            if _is_usable(task) and task.done():
                task.result().close()
            task.cancel()


def _is_usable(task: asyncio.Task[_OwnerLink]) -> bool:
    """Return whether a connection is being opened or is open."""
    if not task.done():
        return True
    if task.cancelled() or task.exception() is not None:
        return False
    return task.result().is_open
