"""Translation of the MySQL statements that tests and demos use into SQLite's SQL."""

import enum
import re
import sqlite3
import time
import uuid

from cardamomshunt_node.mysql_server import ServerError

_TOKEN = re.compile(
    r"(?P<string>'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\")"
    r"|(?P<name>`[^`]*`)"
    r"|(?P<comment>/\*.*?\*/|--\s[^\n]*|#[^\n]*)"
    r"|(?P<now>\b(?:now|current_timestamp|sysdate)\s*\(\s*\d?\s*\)"
    r"|\bunix_timestamp\s*\(\s*\)|\buuid\s*\(\s*\))",
    re.S | re.I,
)
_ESCAPE = re.compile(r"\\(.)", re.S)
_ESCAPED = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "Z": "\x1a", "b": "\b"}
_REWRITES = (
    (
        re.compile(
            r"\b(?:tiny|small|medium|big)?int(?:eger)?(?:\(\d+\))?"
            r"((?:\s+(?:unsigned|not\s+null|primary\s+key))*)\s+auto_increment"
            r"((?:\s+(?:not\s+null|primary\s+key))*)",
            re.I,
        ),
        "INTEGER PRIMARY KEY AUTOINCREMENT",
    ),
    (re.compile(r"\)\s*engine\s*=.*$", re.I | re.S), ")"),
    (re.compile(r"^(\s*)insert\s+ignore\b", re.I), r"\1INSERT OR IGNORE"),
    (
        re.compile(r"\bon\s+duplicate\s+key\s+update\b", re.I),
        "ON CONFLICT DO UPDATE SET",
    ),
    (
        re.compile(r"\bvalues\s*\(\s*(\w+)\s*\)(?=\s*(?:,|$|\+|-))", re.I),
        r"excluded.\1",
    ),
    (re.compile(r"^\s*truncate\s+(?:table\s+)?", re.I), "DELETE FROM "),
)
_LOCK_CLAUSE = re.compile(
    r"\s+(?:for\s+update|for\s+share|lock\s+in\s+share\s+mode)\s*;?\s*$", re.I
)
_FIRST_WORD = re.compile(r"[\s(]*([a-z]+)", re.I)
_BEGIN = re.compile(
    r"\s*(?:begin(?:\s+work)?|start\s+transaction\b([\w\s,]*))\s*;?\s*$", re.I
)
_WRITES = frozenset(
    {"insert", "update", "delete", "replace", "create", "drop", "alter", "truncate"}
)


class StatementKind(enum.Enum):
    """Kind of a statement."""

    READ = "read"
    LOCKING_READ = "locking_read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    CALL = "call"
    SETTING = "setting"
    OTHER = "other"


def strip_comments(sql: str) -> str:
    """Remove comments outside of strings.

    >>> strip_comments("/* cardamomshunt: session=s1 */ SELECT '/* 1 */' -- end")
    "SELECT '/* 1 */'"
    """
    return _TOKEN.sub(lambda found: " " if found["comment"] else found[0], sql).strip()


def classify(sql: str) -> StatementKind:
    """Return the kind of a statement without comments.

    >>> classify("START TRANSACTION READ ONLY").value, classify("select 1").value
    ('begin_read_only', 'read')
    """
    found = _FIRST_WORD.match(sql)
    word = found[1].lower() if found else ""
    if word in ("begin", "start"):
        begin = _BEGIN.match(sql)
        is_read_only = begin and "read only" in (begin[1] or "").lower()
        return StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN
    if word in ("select", "with", "values"):
        is_locking = _LOCK_CLAUSE.search(sql) is not None
        return StatementKind.LOCKING_READ if is_locking else StatementKind.READ
    if word in _WRITES:
        return StatementKind.WRITE
    kinds = {
        "commit": StatementKind.COMMIT,
        "rollback": StatementKind.ROLLBACK,
        "call": StatementKind.CALL,
        "set": StatementKind.SETTING,
    }
    return kinds.get(word, StatementKind.OTHER)


def translate(sql: str) -> str:
    r"""Translate a statement, with functions of time and UUIDs as literals.

    Replicas replay the translated text, so it must not depend on when it runs.

    >>> translate("INSERT IGNORE INTO t VALUES ('it\\'s', \"x\")")
    "INSERT OR IGNORE INTO t VALUES ('it''s', 'x')"
    """
    strings: list[str] = []

    def replace_token(found: re.Match[str]) -> str:
        if found["comment"]:
            return " "
        if found["name"]:
            return found[0]
        strings.append(
            _evaluate_call(found["now"]) if found["now"] else _quote_string(found[0])
        )
        return f"\0{len(strings) - 1}\0"

    text = _TOKEN.sub(replace_token, sql)
    if "\0" in sql:
        raise ServerError(1064, "42000", "A statement must not contain NUL characters")
    for pattern, replacement in _REWRITES:
        text = pattern.sub(replacement, text)
    text = _LOCK_CLAUSE.sub("", text).strip().rstrip(";")
    return re.sub(r"\0(\d+)\0", lambda found: strings[int(found[1])], text)


def _quote_string(token: str) -> str:
    quote = token[0]
    inner = token[1:-1].replace(quote * 2, quote)
    value = _ESCAPE.sub(lambda found: _ESCAPED.get(found[1], found[1]), inner)
    return "'" + value.replace("'", "''") + "'"


def _evaluate_call(call: str) -> str:
    lowered = call.lower()
    if lowered.startswith("uuid"):
        return f"'{uuid.uuid4()}'"
    if lowered.startswith("unix"):
        return str(int(time.time()))
    return time.strftime("'%Y-%m-%d %H:%M:%S'", time.gmtime())


def to_server_error(error: sqlite3.Error) -> ServerError:
    """Return the MySQL error for an error of SQLite."""
    text = str(error)
    if "UNIQUE constraint failed" in text:
        key = text.partition(": ")[2]
        return ServerError(1062, "23000", f"Duplicate entry for key '{key}'")
    for part, code, sqlstate in (
        ("NOT NULL constraint", 1048, "23000"),
        ("CHECK constraint", 3819, "HY000"),
        ("FOREIGN KEY constraint", 1452, "23000"),
        ("no such table", 1146, "42S02"),
        ("already exists", 1050, "42S01"),
        ("no such column", 1054, "42S22"),
        ("syntax error", 1064, "42000"),
        ("incomplete input", 1064, "42000"),
    ):
        if part in text:
            return ServerError(code, sqlstate, text)
    return ServerError(1105, "HY000", text)
