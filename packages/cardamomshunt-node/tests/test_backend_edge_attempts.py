"""Each kind of attempt reports the outcome that matches the point where it ended."""

import asyncio
import contextlib
from typing import Any

import pytest
from cardamomshunt.effects import (
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    ConfirmedBound,
    ConnectionOpened,
    OpenConnection,
    QueryOutcome,
    QueryPosition,
    StartAttempt,
)
from cardamomshunt.messages import InstanceAddress
from cardamomshunt.position import LogPosition
from cardamomshunt_node._backend_edge import BackendListener
from cardamomshunt_node._backend_edge_answers import (
    Answer,
    Column,
    ErrorAnswer,
    IncompleteRowsError,
    RowsAnswer,
    WriteAnswer,
)
from cardamomshunt_node._backend_edge_mysql import MysqlBackendEdge
from cardamomshunt_node._backend_edge_rows import RowStream
from cardamomshunt_node.mysql_server import ServerError

_FENCED = ServerError(1290, "HY000", "cardamomshunt_fenced: the term is 4")
_SYNTAX = ServerError(1064, "42000", "You have an error in your SQL syntax")
_DEADLOCK = ServerError(1213, "40001", "Deadlock found")
_COMMIT_FAILED = ServerError(1180, "HY000", "Got error during COMMIT")
_WRITE = "UPDATE stock SET n = n - 1"

_OK = AttemptOutcome.OK
_LOST = AttemptOutcome.LOST
_IS_FENCED = AttemptOutcome.FENCED
_BACKEND_ERROR = AttemptOutcome.BACKEND_ERROR
_NOT_ACKNOWLEDGED = AttemptOutcome.NOT_ACKNOWLEDGED


class _Listener(BackendListener):
    """Record the events of the edge."""

    def __init__(self) -> None:
        self.results: asyncio.Queue[tuple[AttemptResult, Answer | None]] = (
            asyncio.Queue()
        )
        self.events: asyncio.Queue[Any] = asyncio.Queue()
        self.closed: list[int] = []
        self.stream: RowStream | None = None

    def on_connection_opened(self, opened: ConnectionOpened) -> None:
        self.events.put_nowait(opened)

    def on_connection_failed(
        self, connection_id: int, is_refused: bool, detail: str
    ) -> None:
        self.events.put_nowait((is_refused, detail))

    def on_connection_closed(self, connection_id: int, detail: str) -> None:
        self.closed.append(connection_id)
        self.events.put_nowait("closed")

    def on_connection_reset(self, connection_id: int) -> None:
        self.events.put_nowait("reset")

    def on_attempt_ended(self, result: AttemptResult, answer: Answer | None) -> None:
        self.results.put_nowait((result, answer))

    def on_rows_started(
        self, request_id: int, attempt: int, columns: list[Column]
    ) -> RowStream | None:
        self.stream = RowStream()
        return self.stream

    def on_position_answered(self, database: str, bound: ConfirmedBound | None) -> None:
        self.events.put_nowait(bound)


class _Rig:
    """Backend edge with one connection."""

    def __init__(self, backend: Any) -> None:
        self.backend = backend
        self.address = backend.address
        self.listener = _Listener()
        self.edge = MysqlBackendEdge()
        self.edge.set_listener(self.listener)

    @property
    def transport(self) -> Any:
        """Return the transport of the only connection."""
        [tracked] = self.edge._tracked_connections.values()
        return tracked.connection._connection._transport

    async def open(self, **changes: Any) -> Any:
        fields = {
            "connection_id": 1,
            "database": "orders",
            "instance": "orders-1",
            "address": self.address,
            "term": 3,
        }
        self.edge.open_connection(OpenConnection(**{**fields, **changes}))
        return await self.next(self.listener.events)

    async def attempt(
        self,
        kind: AttemptKind,
        statement: str = _WRITE,
        timeout_ms: float = 5_000.0,
        fingerprint: str = "f1",
    ) -> tuple[AttemptResult, Answer | None]:
        effect = StartAttempt(
            request_id=1,
            attempt=1,
            connection_id=1,
            kind=kind,
            timeout_ms=timeout_ms,
            idempotency_key="k1",
            fingerprint=fingerprint,
        )
        self.edge.start_attempt(effect, statement)
        return await self.next(self.listener.results)

    @staticmethod
    async def next(queue: asyncio.Queue[Any]) -> Any:
        async with asyncio.timeout(5):
            return await queue.get()


@pytest.fixture
async def rig(fake_backend: Any) -> Any:
    rig = _Rig(fake_backend)
    assert isinstance(await rig.open(), ConnectionOpened)
    fake_backend.statements.clear()
    yield rig
    await rig.edge.stop()


_AWAIT = "CALL cardamomshunt_await"
_KEY = AttemptKind.IDEMPOTENT_WRITE
_ACKNOWLEDGED = AttemptKind.ACKNOWLEDGED_WRITE
_COMMIT = AttemptKind.ACKNOWLEDGED_COMMIT
_QUERY = AttemptKind.QUERY_OUTCOME
_INSERT = "INSERT INTO cardamomshunt_idem"
_UPDATE = "UPDATE cardamomshunt_idem"


@pytest.mark.parametrize(
    ("kind", "prefix", "action", "outcome", "n_writes"),
    [
        (AttemptKind.PLAIN, "UPDATE", None, _OK, 1),
        (AttemptKind.PLAIN, "UPDATE", _SYNTAX, _BACKEND_ERROR, 0),
        (AttemptKind.PLAIN, "UPDATE", _FENCED, _IS_FENCED, 0),
        (AttemptKind.PLAIN, "UPDATE", "run_and_close", _LOST, 1),
        (AttemptKind.PLAIN, "UPDATE", "hang", _LOST, 0),
        (_ACKNOWLEDGED, "UPDATE", None, _OK, 1),
        (_ACKNOWLEDGED, "UPDATE", _SYNTAX, _BACKEND_ERROR, 0),
        (_ACKNOWLEDGED, "UPDATE", _FENCED, _IS_FENCED, 0),
        (_ACKNOWLEDGED, "UPDATE", "run_and_close", _LOST, 1),
        (_ACKNOWLEDGED, "UPDATE", "hang", _LOST, 0),
        (_ACKNOWLEDGED, _AWAIT, _FENCED, _NOT_ACKNOWLEDGED, 1),
        (_ACKNOWLEDGED, _AWAIT, _SYNTAX, _NOT_ACKNOWLEDGED, 1),
        (_ACKNOWLEDGED, _AWAIT, "close", _LOST, 1),
        (_ACKNOWLEDGED, _AWAIT, "hang", _LOST, 1),
        (_ACKNOWLEDGED, _AWAIT, "no_majority", _NOT_ACKNOWLEDGED, 1),
        (_COMMIT, "COMMIT", None, _OK, 0),
        (_COMMIT, "COMMIT", _FENCED, _IS_FENCED, 0),
        (_COMMIT, "COMMIT", _DEADLOCK, _BACKEND_ERROR, 0),
        (_COMMIT, "COMMIT", _COMMIT_FAILED, _LOST, 0),
        (_COMMIT, "COMMIT", "run_and_close", _LOST, 0),
        (_COMMIT, _AWAIT, "close", _LOST, 0),
        (_COMMIT, _AWAIT, "no_majority", _NOT_ACKNOWLEDGED, 0),
        (_KEY, "UPDATE", None, _OK, 1),
        (_KEY, "BEGIN", _SYNTAX, _LOST, 0),
        (_KEY, "BEGIN", "close", _LOST, 0),
        (_KEY, _INSERT, _FENCED, _IS_FENCED, 0),
        (_KEY, _INSERT, _SYNTAX, _BACKEND_ERROR, 0),
        (_KEY, _INSERT, "run_and_close", _LOST, 0),
        (_KEY, "UPDATE stock", _SYNTAX, _BACKEND_ERROR, 0),
        (_KEY, "UPDATE stock", _FENCED, _IS_FENCED, 0),
        (_KEY, "UPDATE stock", "run_and_close", _LOST, 0),
        (_KEY, "UPDATE stock", "hang", _LOST, 0),
        (_KEY, _UPDATE, _SYNTAX, _LOST, 1),
        (_KEY, _UPDATE, "run_and_close", _LOST, 0),
        (_KEY, "COMMIT", _FENCED, _IS_FENCED, 0),
        (_KEY, "COMMIT", _COMMIT_FAILED, _LOST, 0),
        (_KEY, "COMMIT", "run_and_close", _LOST, 1),
        (_KEY, _AWAIT, "close", _LOST, 1),
        (_KEY, _AWAIT, "hang", _LOST, 1),
        (_KEY, _AWAIT, "no_majority", _NOT_ACKNOWLEDGED, 1),
        (_QUERY, "UPDATE", None, _OK, 0),
        (_QUERY, _INSERT, _FENCED, _IS_FENCED, 0),
        (_QUERY, _INSERT, "close", _LOST, 0),
        (_QUERY, _AWAIT, "no_majority", _NOT_ACKNOWLEDGED, 0),
    ],
)
async def test_outcome_at_each_await(
    rig: Any, kind: Any, prefix: str, action: Any, outcome: Any, n_writes: int
) -> None:
    """Guards against reporting a write as not run although it may have run."""
    if action == "no_majority":
        rig.backend.is_held = False
    elif action is not None:
        rig.backend.faults[prefix] = action
    statement = "COMMIT" if kind is _COMMIT else _WRITE
    timeout_ms = 150.0 if action == "hang" else 5_000.0
    result, _ = await rig.attempt(kind, statement, timeout_ms)
    assert result.outcome is outcome
    if outcome is _LOST:
        # A late reply must not be taken as the answer to another request.
        assert await rig.next(rig.listener.events) == "closed"
        assert rig.edge.n_connections == 0
    if kind is _QUERY:
        is_ok = outcome is _OK
        expected = QueryOutcome.NOT_RUN if is_ok else QueryOutcome.UNKNOWN
        assert result.query_outcome is (None if outcome is _IS_FENCED else expected)
    await asyncio.sleep(0.02)
    assert rig.backend.n_writes == n_writes


@pytest.mark.parametrize(
    ("record", "fingerprint", "is_held", "outcome", "query_outcome"),
    [
        (["f1", 2, 7], "f1", True, _OK, QueryOutcome.RAN),
        (["f1", 2, 7], "f1", False, _NOT_ACKNOWLEDGED, QueryOutcome.UNKNOWN),
        (["f1", 2, 7], "f2", True, AttemptOutcome.KEY_REUSED, QueryOutcome.RAN),
        (["f1", 2, 7], "f2", False, _NOT_ACKNOWLEDGED, QueryOutcome.UNKNOWN),
        (
            ["revoked", 0, 0],
            "f1",
            True,
            AttemptOutcome.KEY_REVOKED,
            QueryOutcome.NOT_RUN,
        ),
        (["revoked", 0, 0], "f1", False, _NOT_ACKNOWLEDGED, QueryOutcome.UNKNOWN),
        (["f1", -1, 0], "f1", True, _NOT_ACKNOWLEDGED, QueryOutcome.UNKNOWN),
    ],
)
async def test_key_that_is_taken(
    rig: Any,
    record: list[Any],
    fingerprint: str,
    is_held: bool,
    outcome: Any,
    query_outcome: Any,
) -> None:
    """Guards against running a write twice with one key, and a wrong outcome."""
    rig.backend.records["k1"] = record
    rig.backend.is_held = is_held
    result, _ = await rig.attempt(_KEY, fingerprint=fingerprint)
    assert result.outcome is outcome
    assert rig.backend.n_writes == 0
    if outcome is _OK:
        assert result.first_answer.n_affected_rows == 2
        assert result.first_answer.last_insert_id == 7
    result, _ = await rig.attempt(_QUERY)
    assert result.query_outcome is query_outcome


async def test_key_is_revoked_for_good(rig: Any) -> None:
    """Guards against a write that runs after its outcome was reported as NOT_RUN."""
    result, _ = await rig.attempt(_QUERY)
    assert result.query_outcome is QueryOutcome.NOT_RUN
    result, _ = await rig.attempt(_KEY)
    assert result.outcome is AttemptOutcome.KEY_REVOKED
    assert rig.backend.n_writes == 0


async def test_answers_keep_counts_codes_and_positions(rig: Any) -> None:
    result, answer = await rig.attempt(_ACKNOWLEDGED)
    assert result.position == LogPosition(3, 100)
    assert answer == WriteAnswer(2, 7, 0)
    rig.backend.faults["UPDATE"] = _DEADLOCK
    result, answer = await rig.attempt(AttemptKind.PLAIN)
    assert answer == ErrorAnswer(1213, "40001", "Deadlock found")
    assert result.error_code == 1213


async def test_small_result_is_held_and_keeps_types(rig: Any) -> None:
    _, answer = await rig.attempt(AttemptKind.PLAIN, "SELECT id, name FROM t")
    assert isinstance(answer, RowsAnswer)
    assert [column.name for column in answer.columns] == ["id", "name"]
    assert [column.type_code for column in answer.columns] == [8, 254]
    assert answer.rows[0][0] == b"0"  # type: ignore[index]


@pytest.mark.parametrize("is_broken", [False, True])
async def test_large_result_streams(rig: Any, is_broken: bool) -> None:
    """Guards against unbounded memory and a truncated result that looks complete."""
    rig.backend.n_rows = 20_000
    rig.backend.is_broken_in_rows = is_broken
    attempt = asyncio.create_task(rig.attempt(AttemptKind.PLAIN, "SELECT id FROM t"))
    async with asyncio.timeout(5):
        while rig.listener.stream is None:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert not attempt.done(), "the producer waits for a slow consumer"
    buffered_bytes = sum(batch.size_bytes for batch in rig.listener.stream._batches)
    assert buffered_bytes <= 256 * 1024
    # What the library would receive meanwhile has no bound.
    assert not rig.transport.is_reading()
    n_rows = 0

    async def consume() -> None:
        nonlocal n_rows
        async for _ in rig.listener.stream:
            n_rows += 1

    consumer = asyncio.create_task(consume())
    result, answer = await attempt
    assert answer is None
    assert result.outcome is (_LOST if is_broken else _OK)
    if is_broken:
        rig.listener.stream.fail(ErrorAnswer(1105, "HY000", "lost"))
        with pytest.raises(IncompleteRowsError):
            await consumer
        assert n_rows < 20_000
    else:
        rig.listener.stream.finish()
        await consumer
        assert n_rows == 20_000


async def test_round_trips_of_a_keyed_write(rig: Any) -> None:
    """Guards against a write that waits for more round trips than it needs."""
    rig.backend.n_round_trips = 0
    await rig.attempt(_KEY)
    heads = [text.split("(")[0].split(" SET")[0] for text in rig.backend.statements]
    assert heads == [
        "BEGIN",
        "INSERT INTO cardamomshunt_idempotency ",
        "UPDATE stock",
        "UPDATE cardamomshunt_idempotency",
        "COMMIT",
        "CALL cardamomshunt_await_majority",
    ]
    assert rig.backend.n_round_trips == 3


async def test_reset_and_position_query(rig: Any) -> None:
    rig.edge.reset_connection(1)
    assert await rig.next(rig.listener.events) == "reset"
    assert rig.backend.statements == ["SET @cardamomshunt_term = 3"]
    rig.edge.query_position(
        QueryPosition(database="orders", connection_id=1, timeout_ms=1_000.0)
    )
    bound = await rig.next(rig.listener.events)
    assert bound.position == LogPosition(3, 100)


async def test_server_that_is_not_the_expected_one(fake_backend: Any) -> None:
    """Guards against using an instance at an address that another one uses now."""
    rig = _Rig(fake_backend)
    assert await rig.open(instance="orders-2") == (
        False,
        "the server identifies itself as 'orders-1'",
    )
    await fake_backend.edge.stop()
    is_refused, _ = await rig.open()
    assert is_refused
    await rig.edge.stop()


async def test_idle_connection_closed_by_the_server(rig: Any) -> None:
    await rig.backend.edge.stop()
    assert await rig.next(rig.listener.events) == "closed"
    result, _ = await rig.attempt(AttemptKind.PLAIN)
    assert result.outcome is AttemptOutcome.NOT_SENT


@pytest.mark.parametrize(
    ("kind", "statement", "n_round_trips"),
    [
        (AttemptKind.PLAIN, _WRITE, 1),
        (_ACKNOWLEDGED, _WRITE, 1),
        (_COMMIT, "COMMIT", 1),
        (_KEY, _WRITE, 3),
        (_QUERY, "", 1),
    ],
)
async def test_round_trips(
    rig: Any, kind: Any, statement: str, n_round_trips: int
) -> None:
    """Guards against unneeded round trips between statements."""
    rig.backend.n_round_trips = 0
    await rig.attempt(kind, statement)
    assert rig.backend.n_round_trips == n_round_trips


class _CorruptingRelay:
    """Forward bytes to a server, and replace its replies if `malformed_reply` is set."""

    def __init__(self, port: int) -> None:
        self.malformed_reply: bytes | None = None
        self._target_port = port

    async def start(self) -> InstanceAddress:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return InstanceAddress(host="127.0.0.1", port=port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = await asyncio.open_connection("127.0.0.1", self._target_port)
        upstream = asyncio.create_task(self._pump(reader, target[1]))
        with contextlib.suppress(OSError):
            while data := await target[0].read(65_536):
                writer.write(
                    data if self.malformed_reply is None else self.malformed_reply
                )
        upstream.cancel()
        writer.close()

    @staticmethod
    async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                writer.write(data)
        finally:
            writer.close()


@pytest.mark.parametrize(
    "malformed_reply",
    [
        b"",
        b"\x00" * 40,
        b"\xff" * 400,
        b"\x05\x00\x00\x01\xfe\x00\x00\x00\x00",
        b"\x01\x00\x00\x01\x02\x01\x00\x00\x02\x00",
        b"\x01\x00\x00\x01\x01\x03\x00\x00\x02\x03def",
        b"\x04\x00\x00\x01\x00\x00\x00\x02",
        b"\x02\x00\x00\x01\xff\x07",
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
    ],
)
async def test_malformed_replies_of_a_server(
    fake_backend: Any, malformed_reply: bytes
) -> None:
    """Guards against an endless attempt, and reuse of the connection afterwards."""
    relay = _CorruptingRelay(fake_backend.edge.port)
    rig = _Rig(fake_backend)
    rig.address = await relay.start()
    assert isinstance(await rig.open(), ConnectionOpened)
    relay.malformed_reply = malformed_reply
    result, _ = await rig.attempt(_ACKNOWLEDGED, timeout_ms=200.0)
    assert result.outcome in (_LOST, _NOT_ACKNOWLEDGED)
    assert await rig.next(rig.listener.events) == "closed"
    assert rig.edge.n_connections == 0
    is_refused, _ = await rig.open()
    assert not is_refused
    await rig.edge.stop()
    relay.server.close()


async def test_resets_without_a_statement_between(rig: Any) -> None:
    """Guards against an attempt that receives the reply to an earlier command."""
    for _ in range(3):
        rig.edge.reset_connection(1)
        assert await rig.next(rig.listener.events) == "reset"
    result, answer = await rig.attempt(_ACKNOWLEDGED)
    assert (result.outcome, answer) == (_OK, WriteAnswer(2, 7, 0))


async def test_reset_of_an_unresponsive_server_fails(rig: Any) -> None:
    """Guards against a probe that makes an unresponsive server look responsive."""
    resume_event = rig.backend.edge.pause_open_connections(rig.backend.edge.ports())
    rig.edge.reset_connection(1)
    assert await rig.next(rig.listener.events) == "closed"
    resume_event.set()
