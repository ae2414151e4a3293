"""Session statements that the MySQL server edge answers without its handler."""

import decimal
import re
from typing import Any, Protocol

_NAME = r"(?:@@)?(?:(?:global|session|local)(?:\.|\s+))?"
_SET_NAMES = re.compile(
    r"\s*set\s+(?:names|character\s+set)\s+['\"]?(\w+)['\"]?"
    r"(?:\s+collate\s+['\"]?\w+['\"]?)?\s*;?\s*$",
    re.I,
)
_SET_AUTOCOMMIT = re.compile(rf"\s*set\s+{_NAME}autocommit\s*=\s*(\w+)\s*;?\s*$", re.I)
_SET_USER_VARIABLE = re.compile(
    r"\s*set\s+@(?!@)`?([\w.$]+)`?\s*:?=\s*"
    r"('(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|-?\d+(?:\.\d+)?|null|true|false)"
    r"\s*;?\s*$",
    re.I | re.S,
)
_SET_IGNORED = re.compile(
    rf"\s*set\s+{_NAME}(?:character_set_(?:results|client|connection)"
    r"|collation_connection|sql_mode|net_write_timeout|wait_timeout"
    r"|interactive_timeout|sql_safe_updates|sql_auto_is_null)\s*=\s*[^;]*;?\s*$",
    re.I,
)
_USE = re.compile(r"\s*use\s+`?([\w$-]+)`?\s*;?\s*$", re.I)
_SELECT_VARIABLES = re.compile(
    r"\s*select\s+(@[^;]*?)(?:\s+limit\s+\d+)?\s*;?\s*$", re.I
)
_VARIABLE_ITEM = re.compile(
    r"\s*(@@(?:global\.|session\.|local\.)?|@)`?([\w.$]+)`?"
    r"(?:\s+(?:as\s+)?[`'\"]?(\w+)[`'\"]?)?\s*$",
    re.I,
)
_SELECT_FUNCTION = re.compile(
    r"\s*select\s+(database|schema|version|connection_id|user|current_user)"
    r"\s*\(\s*\)\s*;?\s*$",
    re.I,
)
_SHOW_WARNINGS = re.compile(r"\s*show\s+(?:warnings|errors)\b", re.I)
_ESCAPE = re.compile(r"\\(.)", re.S)
_ESCAPED = {
    "n": "\n",
    "t": "\t",
    "r": "\r",
    "0": "\0",
    "Z": "\x1a",
    "b": "\b",
    # Escapes of patterns, which keep their backslash in other strings.
    "%": r"\%",
    "_": r"\_",
}

SERVER_VERSION = "8.0.36-cardamomshunt"

SYSTEM_VARIABLES: dict[str, Any] = {
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_database": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "collation_database": "utf8mb4_general_ci",
    "collation_server": "utf8mb4_general_ci",
    "init_connect": "",
    "interactive_timeout": 28800,
    "license": "",
    "lower_case_table_names": 0,
    "max_allowed_packet": 67108864,
    "net_buffer_length": 16384,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "query_cache_size": 0,
    "query_cache_type": "OFF",
    "sql_mode": "STRICT_TRANS_TABLES",
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": "READ-COMMITTED",
    "tx_isolation": "READ-COMMITTED",
    "version": SERVER_VERSION,
    "version_comment": "cardamomshunt",
    "wait_timeout": 28800,
}


class SessionState(Protocol):
    """State and callbacks that session statements need."""

    database: str | None
    username: str | None
    connection_id: int
    is_autocommit: bool

    async def use_database(self, name: str) -> None:
        """Change the default database."""

    async def set_autocommit(self, is_on: bool) -> None:
        """Turn autocommit on or off."""

    def set_character_set(self, name: str) -> None:
        """Change the character set of statements and rows."""

    async def set_variable(self, name: str, value: Any) -> None:
        """Set a user variable."""

    async def get_variable(self, name: str) -> Any:
        """Return a user variable."""


class UnknownVariableError(Exception):
    """Raised for a system variable that does not exist."""


def unescape_literal(text: str) -> Any:
    r"""Return the value of a SQL literal.

    >>> unescape_literal("'it''s'"), unescape_literal("-3"), unescape_literal("NULL")
    ("it's", -3, None)
    """
    quote = text[0]
    if quote in "'\"":
        inner = text[1:-1].replace(quote * 2, quote)
        return _ESCAPE.sub(lambda match: _ESCAPED.get(match[1], match[1]), inner)
    lowered = text.lower()
    if lowered in ("null", "true", "false"):
        return {"null": None, "true": 1, "false": 0}[lowered]
    return decimal.Decimal(text) if "." in text else int(text)


def may_be_session_statement(sql: str) -> bool:
    """Return whether `answer_session_statement` may answer a statement.

    This check is cheap and excludes most statements.

    >>> may_be_session_statement("SELECT 1"), may_be_session_statement("SET NAMES x")
    (False, True)
    """
    head = sql[:12].lstrip().lower()
    if head.startswith("select"):
        rest = head[6:].lstrip()
        return rest.startswith(("@", "d", "s", "v", "c", "u", "$"))
    return head.startswith(("set", "use", "show"))


async def answer_session_statement(
    session: SessionState, sql: str
) -> tuple[list[str], list[tuple[Any, ...]]] | None:
    """Return columns and rows, both empty for OK; None if the handler must run it."""
    if await _apply_setting(session, sql):
        return [], []
    match = _SELECT_VARIABLES.match(sql)
    if match:
        return await _select_variables(session, match[1])
    match = _SELECT_FUNCTION.match(sql)
    if match:
        return [f"{match[1]}()"], [(_function_value(session, match[1].lower()),)]
    if _SHOW_WARNINGS.match(sql):
        return ["Level", "Code", "Message"], []
    return None


async def _apply_setting(session: SessionState, sql: str) -> bool:
    match = _SET_AUTOCOMMIT.match(sql)
    if match:
        await session.set_autocommit(match[1].lower() in ("1", "on", "true"))
        return True
    match = _SET_USER_VARIABLE.match(sql)
    if match:
        await session.set_variable(match[1].lower(), unescape_literal(match[2]))
        return True
    match = _USE.match(sql)
    if match:
        await session.use_database(match[1])
        return True
    match = _SET_NAMES.match(sql)
    if match:
        session.set_character_set(match[1])
        return True
    return bool(_SET_IGNORED.match(sql))


async def _select_variables(
    session: SessionState, items: str
) -> tuple[list[str], list[tuple[Any, ...]]] | None:
    columns = []
    values = []
    for item in items.split(","):
        match = _VARIABLE_ITEM.match(item)
        if not match:
            return None
        marker, name, alias = match.groups()
        columns.append(alias or f"{marker}{name}")
        if marker == "@":
            values.append(await session.get_variable(name.lower()))
        else:
            values.append(_system_variable(session, name.lower()))
    return columns, [tuple(values)]


def _system_variable(session: SessionState, name: str) -> Any:
    if name == "autocommit":
        return int(session.is_autocommit)
    if name not in SYSTEM_VARIABLES:
        raise UnknownVariableError(name)
    return SYSTEM_VARIABLES[name]


def _function_value(session: SessionState, name: str) -> Any:
    if name in ("database", "schema"):
        return session.database
    if name == "version":
        return SERVER_VERSION
    if name == "connection_id":
        return session.connection_id
    return f"{session.username}@%"
