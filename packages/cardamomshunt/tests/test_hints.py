"""Tests of the parsing of hints; unknown and malformed hints are refused."""

import pytest
from cardamomshunt.effects import RequestClass, SessionHints
from cardamomshunt.hints import parse_hint_assignment, parse_hints
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict

DEFAULTS = SessionHints(session="d", deadline_ms=9.0)


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("SELECT 1", DEFAULTS),
        ("/* other */ SELECT 1", DEFAULTS),
        (
            "/* cardamomshunt: session=s1, max_age_ms=500, idempotency_key=k1, "
            "deadline_ms=800, class=order, watermark=3:17 */ SELECT 1",
            SessionHints(
                session="s1",
                max_age_ms=500.0,
                idempotency_key="k1",
                deadline_ms=800.0,
                request_class=RequestClass.ORDER,
                watermark=LogPosition(3, 17),
            ),
        ),
    ],
)
def test_hints(statement: str, expected: SessionHints) -> None:
    assert parse_hints(statement, DEFAULTS) == expected


@pytest.mark.parametrize(
    "body",
    [
        "max_age=1",
        "max_age_ms=-1",
        "max_age_ms=nan",
        "max_age_ms=",
        "deadline_ms=0",
        "deadline_ms=inf",
        "class=vip",
        "watermark=3",
        "session=",
        f"session={'x' * 129}",
        "session",
        "",
        "session=a, session=b",
        "session=a,",
    ],
)
def test_malformed_hint_is_refused(body: str) -> None:
    refusal = parse_hints(f"/* cardamomshunt: {body} */ SELECT 1")
    assert isinstance(refusal, Refusal)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is RefusalReason.BAD_HINT


def test_comment_without_colon_is_refused() -> None:
    assert isinstance(parse_hints("/* cardamomshunt session=s */ SELECT 1"), Refusal)


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("SET @other = 1", None),
        ("SELECT @cardamomshunt_session", None),
        (
            "SET @cardamomshunt_max_age_ms = 500;",
            SessionHints(session="d", deadline_ms=9.0, max_age_ms=500.0),
        ),
        (
            "set @cardamomshunt_session = 's 1', @cardamomshunt_deadline_ms = NULL",
            SessionHints(session="s 1"),
        ),
    ],
)
def test_assignment(statement: str, expected: SessionHints | None) -> None:
    assert parse_hint_assignment(statement, DEFAULTS) == expected


@pytest.mark.parametrize(
    "statement",
    [
        "SET @cardamomshunt_unknown = 1",
        "SET @cardamomshunt_unknown = NULL",
        "SET @cardamomshunt_session = ",
        "SET @cardamomshunt_session = 's', @other = 1",
        "SET @cardamomshunt_session = 's',",
        "SET @cardamomshunt_session = 's' x",
    ],
)
def test_malformed_assignment_is_refused(statement: str) -> None:
    assert isinstance(parse_hint_assignment(statement, DEFAULTS), Refusal)


@pytest.mark.parametrize(
    ("literal", "key"),
    [
        ("k1", "k1"),
        ("'k1'", "k1"),
        ("'\"k1\"'", '"k1"'),
        ("'k\"1\"'", 'k"1"'),
        ("\"'k1'\"", "'k1'"),
        ("' k1 '", " k1 "),
    ],
)
def test_a_value_keeps_the_quotes_and_blanks_in_its_literal(literal, key):
    # Guards against two idempotency keys that become one.
    statement = f"SET @cardamomshunt_idempotency_key = {literal}"
    assert parse_hint_assignment(statement, DEFAULTS).idempotency_key == key
