"""Tests of the callers' guide: its example retries refusals, its table is complete."""

import re
from pathlib import Path
from typing import Any

import asyncmy
import pytest
from asyncmy.errors import MySQLError
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict
from cardamomshunt_node.mysql_server import (
    MysqlServerEdge,
    MysqlSession,
    Ok,
    ServerError,
    StatementResult,
)

GUIDE = Path(__file__).parents[3] / "docs" / "callers.md"
MAY_HAVE_RUN = Refusal(
    Verdict.MAY_HAVE_RUN, RefusalReason.NOT_ACKNOWLEDGED, "no majority"
)
OVERLOADED = Refusal(Verdict.NOT_RUN, RefusalReason.OVERLOADED, "full")
REUSED = Refusal(Verdict.NOT_RUN, RefusalReason.IDEMPOTENCY_KEY_REUSED, "other")


def place_order() -> Any:
    match = re.search(r"```python\n(.*?)```", GUIDE.read_text(), re.DOTALL)
    assert match is not None
    names: dict[str, Any] = {}
    exec(match[1], names)  # noqa: S102
    return names["place_order"]


async def run(refusals: list[Refusal]) -> list[str]:
    """Run the example against a server that first refuses with the given refusals.

    Return the statements that the server received, with "raised" last if the example
    raised an error.
    """
    statements: list[str] = []

    class Session(MysqlSession):
        async def handle_statement(self, sql: str) -> StatementResult:
            statements.append(sql)
            if len(statements) <= len(refusals):
                raise ServerError(1105, "HY000", str(refusals[len(statements) - 1]))
            return Ok(n_affected_rows=1)

    edge = MysqlServerEdge(Session)
    await edge.start("127.0.0.1", 0)
    try:

        async def connect() -> Any:
            return await asyncmy.connect(
                host="127.0.0.1", port=edge.port, user="caller", autocommit=True
            )

        await place_order()(connect, 7, "INSERT INTO orders VALUES (7)")
    except MySQLError:
        statements.append("raised")
    finally:
        await edge.stop()
    return statements


@pytest.mark.parametrize(
    ("refusals", "n_sent", "is_raised"),
    [
        ([], 1, False),
        ([MAY_HAVE_RUN, OVERLOADED], 3, False),
        ([REUSED], 1, True),
        ([MAY_HAVE_RUN] * 5, 5, True),
    ],
)
async def test_example_repeats_with_one_key(
    refusals: list[Refusal], n_sent: int, is_raised: bool
) -> None:
    """Guards against an example that loses an order or retries it under another key."""
    statements = await run(refusals)
    assert (statements[-1] == "raised") is is_raised
    sent = [statement for statement in statements if "INSERT" in statement]
    assert len(sent) == n_sent
    assert len(set(sent)) == 1


def test_guide_lists_every_reason() -> None:
    text = GUIDE.read_text()
    missing = [
        item.value for item in RefusalReason if f"| `{item.value}` |" not in text
    ]
    assert not missing
