"""The core keeps results whole, whatever the data path and the backend do."""

import asyncio
from typing import Any

import pytest
from cardamomshunt.data_path import AbstractDataPath
from cardamomshunt.effects import (
    AttemptKind,
    AttemptOutcome,
    AttemptResult,
    CompleteRequest,
    DataPathEffect,
    FirstAnswer,
    RefuseRequest,
    RequestKind,
    SessionHints,
    StartAttempt,
)
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict
from cardamomshunt_node._backend_edge_answers import (
    Column,
    ErrorAnswer,
    IncompleteRowsError,
    RowBatch,
    RowsAnswer,
    WriteAnswer,
)
from cardamomshunt_node._caller_edge import StatementRequest
from cardamomshunt_node._proxy_core import ProxyCore

_COLUMN = Column("id", 8, 63)
_REFUSAL = Refusal(Verdict.NOT_RUN, RefusalReason.OVERLOADED, "the queue is full")


class _ScriptedDataPath:
    """Answer each input with the effects that a test set for it."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.effects: dict[str, list[DataPathEffect]] = {}

    def next_deadline_ms(self) -> None:
        return None

    def __getattr__(self, name: str) -> Any:
        if name not in AbstractDataPath.__abstractmethods__:
            raise AttributeError(name)

        def method(now_ms: float, *arguments: Any) -> list[DataPathEffect]:
            self.calls.append((name, *arguments))
            effects = self.effects.pop(name, [])
            if any(isinstance(item, Exception) for item in effects):
                raise RuntimeError("scripted")
            return effects

        return method


class _SilentBackend:
    def __init__(self) -> None:
        self.started: list[StartAttempt] = []

    def set_listener(self, listener: Any) -> None:
        self.listener = listener

    def start_attempt(self, effect: StartAttempt, statement: str) -> None:
        self.started.append(effect)


class _Rig:
    def __init__(self) -> None:
        self.data_path: Any = _ScriptedDataPath()
        self.backend: Any = _SilentBackend()
        self.faults: list[Exception] = []
        self.core = ProxyCore(
            self.data_path,
            self.backend,
            lambda: 1_000.0,
            lambda number, subject, detail: None,
            self.faults.append,
        )

    def submit(self, kind: RequestKind = RequestKind.READ) -> "asyncio.Task[Any]":
        self.data_path.effects["submit"] = [_start(1)]
        request = StatementRequest(1, "orders", "SELECT 1", kind, SessionHints())
        return asyncio.create_task(self.core.run(request))

    def end(self, attempt: int, outcome: AttemptOutcome, answer: Any = None) -> None:
        result = AttemptResult(
            request_id=1, attempt=attempt, connection_id=attempt, outcome=outcome
        )
        self.core.on_attempt_ended(result, answer)

    def then(self, *effects: DataPathEffect) -> None:
        self.data_path.effects["on_attempt_result"] = list(effects)


def _start(attempt: int) -> StartAttempt:
    return StartAttempt(
        request_id=1,
        attempt=attempt,
        connection_id=attempt,
        kind=AttemptKind.PLAIN,
        timeout_ms=1_000.0,
    )


def _complete(attempt: int, **fields: Any) -> CompleteRequest:
    return CompleteRequest(request_id=1, attempt=attempt, **fields)


async def _streaming_rig() -> tuple[_Rig, RowsAnswer]:
    rig = _Rig()
    task = rig.submit()
    await asyncio.sleep(0)
    stream = rig.core.on_rows_started(1, 1, [_COLUMN])
    assert stream is not None
    await stream.put(RowBatch([[b"1"], [b"2"]], 2))
    end = await task
    assert isinstance(end.answer, RowsAnswer)
    return rig, end.answer


async def _read_all(answer: RowsAnswer) -> list[Any]:
    async with asyncio.timeout(2):
        return [row async for row in answer.rows]  # type: ignore[union-attr]


async def test_attempt_that_completes_is_the_one_whose_answer_is_given() -> None:
    """Guards against the late answer of another attempt."""
    rig = _Rig()
    task = rig.submit(RequestKind.WRITE)
    await asyncio.sleep(0)
    rig.then(_start(2))
    rig.end(1, AttemptOutcome.LOST, WriteAnswer(1))
    rig.then(_complete(2))
    rig.end(2, AttemptOutcome.OK, WriteAnswer(2))
    assert (await task).answer == WriteAnswer(2)


async def test_first_answer_replaces_the_attempt() -> None:
    rig = _Rig()
    task = rig.submit(RequestKind.WRITE)
    await asyncio.sleep(0)
    rig.then(_complete(1, first_answer=FirstAnswer(3, 9)))
    rig.end(1, AttemptOutcome.OK)
    assert (await task).answer == WriteAnswer(3, 9)


async def test_stream_ends_well_with_its_own_attempt_only() -> None:
    rig, answer = await _streaming_rig()
    rig.then(_complete(1))
    rig.end(1, AttemptOutcome.OK)
    assert await _read_all(answer) == [[b"1"], [b"2"]]


@pytest.mark.parametrize(
    ("attempt", "outcome", "effects", "error"),
    [
        (1, AttemptOutcome.LOST, [], None),
        (1, AttemptOutcome.LOST, [_start(2)], None),
        (1, AttemptOutcome.OK, [_start(2)], None),
        (2, AttemptOutcome.OK, [_complete(2)], None),
        (
            1,
            AttemptOutcome.BACKEND_ERROR,
            [_complete(1)],
            ErrorAnswer(1317, "70100", "Query execution was interrupted"),
        ),
        (
            1,
            AttemptOutcome.OK,
            [RefuseRequest(request_id=1, refusal=_REFUSAL)],
            None,
        ),
    ],
    ids=["lost", "repeated", "too old", "other attempt", "error", "refused"],
)
async def test_stream_that_is_not_completed_ends_with_an_error(
    attempt: int, outcome: AttemptOutcome, effects: list[DataPathEffect], error: Any
) -> None:
    """Guards against a cut or replaced result that looks whole."""
    rig, answer = await _streaming_rig()
    rig.then(*effects)
    rig.end(attempt, outcome, error)
    with pytest.raises(IncompleteRowsError) as raised:
        await _read_all(answer)
    if error is not None:
        assert raised.value.answer == error
    assert rig.faults == []


async def test_second_attempt_beside_a_stream_is_not_started() -> None:
    """Guards against a mark on a server that was never asked."""
    rig, answer = await _streaming_rig()
    rig.data_path.effects["tick"] = [_start(2)]
    rig.core.apply(rig.data_path.tick)
    await asyncio.sleep(0.01)
    result = rig.data_path.calls[-1][1]
    assert result.attempt == 2
    assert result.outcome is AttemptOutcome.BACKEND_ERROR
    assert len(rig.backend.started) == 1
    rig.then(_complete(1))
    rig.end(1, AttemptOutcome.OK)
    assert len(await _read_all(answer)) == 2


async def test_cancelled_caller_abandons_its_request() -> None:
    rig = _Rig()
    task = rig.submit()
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert rig.data_path.calls[-1] == ("cancel", 1)


async def test_fault_of_the_data_path_refuses_and_goes_on() -> None:
    """Guards against a caller that waits for ever after a fault."""
    rig = _Rig()
    rig.data_path.effects["submit"] = [RuntimeError()]
    request = StatementRequest(1, "orders", "X", RequestKind.READ, SessionHints())
    end = await rig.core.run(request)
    assert isinstance(end.answer, Refusal)
    assert end.answer.verdict is Verdict.NOT_RUN
    assert len(rig.faults) == 1
