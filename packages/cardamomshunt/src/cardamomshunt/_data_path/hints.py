"""Parsing of hints. Malformed and unknown hints are refused, never ignored."""

import math
import re
from collections.abc import Callable
from typing import Any

import msgspec

from cardamomshunt._data_path.effects import RequestClass, SessionHints
from cardamomshunt._shared.position import LogPosition
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

NO_HINTS = SessionHints()
N_NAME_CHARACTERS_MAX = 128  # the idempotency table declares VARCHAR(128)

_COMMENT = re.compile(r"\s*/\*\s*cardamomshunt\s*:(.*?)\*/", re.DOTALL)
_COMMENT_START = re.compile(r"\s*/\*\s*cardamomshunt\b")
_ASSIGNMENT = re.compile(
    r"""\s*@cardamomshunt_(\w+)\s*:?=\s*('[^'\\]*'|"[^"\\]*"|[\w.:+-]+)\s*(,|;?\s*$)""",
    re.IGNORECASE,
)
_SET = re.compile(
    r"\s*(?:/\*(?!!).*?\*/\s*)?SET\s+(?=@cardamomshunt_)", re.IGNORECASE | re.DOTALL
)


def _parse_name(text: str) -> str:
    if not text or len(text) > N_NAME_CHARACTERS_MAX or not text.isprintable():
        raise ValueError(f"expected 1 to {N_NAME_CHARACTERS_MAX} printable characters")
    return text


def _parse_age_ms(text: str) -> float:
    value = float(text)
    if not math.isfinite(value) or value < 0:
        raise ValueError("expected a number of milliseconds, 0 or more")
    return value


def _parse_deadline_ms(text: str) -> float:
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError("expected a number of milliseconds above 0")
    return value


def _parse_class(text: str) -> RequestClass:
    try:
        return RequestClass(text)
    except ValueError:
        names = ", ".join(item.value for item in RequestClass)
        raise ValueError(f"expected one of {names}") from None


_PARSERS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "session": ("session", _parse_name),
    "max_age_ms": ("max_age_ms", _parse_age_ms),
    "idempotency_key": ("idempotency_key", _parse_name),
    "deadline_ms": ("deadline_ms", _parse_deadline_ms),
    "class": ("request_class", _parse_class),
    "watermark": ("watermark", LogPosition.parse),
}


def _unquote(literal: str) -> str:
    """Return the value of a literal, which holds no escapes and not its own quote."""
    return literal[1:-1] if literal[0] in "'\"" else literal


def _refuse(detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, RefusalReason.BAD_HINT, detail)


def _parse_pair(name: str, text: str) -> tuple[str, Any] | Refusal:
    entry = _PARSERS.get(name)
    if entry is None:
        return _refuse(f"unknown hint {name!r}")
    field, parser = entry
    try:
        return field, parser(text)
    except ValueError as error:
        return _refuse(f"hint {name}={text!r}: {error}")


def _parse_comment(body: str) -> dict[str, Any] | Refusal:
    values: dict[str, Any] = {}
    for item in body.split(","):
        name, separator, text = item.partition("=")
        if not separator:
            return _refuse(f"expected name=value, got {item.strip()!r}")
        pair = _parse_pair(name.strip(), text.strip())
        if isinstance(pair, Refusal):
            return pair
        if pair[0] in values:
            return _refuse(f"hint {name.strip()!r} is given twice")
        values[pair[0]] = pair[1]
    return values


def parse_hints(
    statement: str, defaults: SessionHints = NO_HINTS
) -> SessionHints | Refusal:
    """Return the hints of a statement on top of the connection's defaults.

    >>> parse_hints("/* cardamomshunt: max_age_ms=500 */ SELECT 1").max_age_ms
    500.0
    >>> parse_hints("/* cardamomshunt: max_age=500 */ SELECT 1").detail
    "unknown hint 'max_age'"
    """
    if "/*" not in statement:
        return defaults
    match = _COMMENT.match(statement)
    if match is None:
        if _COMMENT_START.match(statement):
            return _refuse("malformed hint comment")
        return defaults
    values = _parse_comment(match[1])
    if isinstance(values, Refusal):
        return values
    return msgspec.structs.replace(defaults, **values)


def parse_hint_assignment(
    statement: str, defaults: SessionHints = NO_HINTS
) -> SessionHints | Refusal | None:
    """Return the defaults after `SET @cardamomshunt_...`; None for other statements.

    NULL removes a default. All assignments of the statement take effect, or none.

    >>> parse_hint_assignment("SET @cardamomshunt_max_age_ms = 500").max_age_ms
    500.0
    >>> parse_hint_assignment("SET @other = 500") is None
    True
    """
    start = _SET.match(statement)
    if start is None:
        return None
    values: dict[str, Any] = {}
    index = start.end()
    while index < len(statement):
        match = _ASSIGNMENT.match(statement, index)
        if match is None:
            return _refuse(f"malformed assignment near {statement[index:][:40]!r}")
        name, text = match[1].lower(), match[2]
        if text.upper() == "NULL" and name in _PARSERS:
            values[_PARSERS[name][0]] = None
        else:
            pair = _parse_pair(name, _unquote(text))
            if isinstance(pair, Refusal):
                return pair
            values[pair[0]] = pair[1]
        index = match.end()
        if match[3] == "," and index >= len(statement):
            return _refuse("malformed assignment: nothing follows the last comma")
    return msgspec.structs.replace(defaults, **values)
