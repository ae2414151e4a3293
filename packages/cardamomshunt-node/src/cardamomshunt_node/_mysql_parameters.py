"""Parameters of prepared statements, inserted into the statement as literals."""

import io
import re
from typing import Any

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.types import Capabilities

from cardamomshunt_node._mysql_character_sets import codec_of

# An executable comment is a part of the statement.
_TOKEN = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`"
    r"|/\*(?!M?!).*?\*/|--(?=[\s\x00-\x1f]|$)[^\n]*|#[^\n]*|\?",
    re.S,
)


def decode_text(data: bytes, charset: CharacterSet) -> str:
    """Decode a client's text; bytes outside its character set become escapes.

    The connection to the backend server reverts the escapes.
    """
    return data.decode(codec_of(charset), "surrogateescape")


def count_placeholders(sql: str) -> int:
    """Return the number of `?` outside of strings, quoted names and comments.

    >>> count_placeholders("SELECT ?, '?', `?` /* ? */ FROM t WHERE a = ?")
    2
    """
    return sum(token == "?" for token in _TOKEN.findall(sql))


def insert_parameters(sql: str, values: list[Any]) -> str:
    r"""Replace each `?` with the literal of its value.

    The statement is forwarded as text, so a value must not be able to end its literal.

    >>> insert_parameters("SELECT ?, '?'", ["it's \\ ?"])
    "SELECT 'it''s \\\\ ?', '?'"
    """
    remaining = iter(values)

    def replace(match: re.Match[str]) -> str:
        return _literal(next(remaining)) if match[0] == "?" else match[0]

    return _TOKEN.sub(replace, sql)


def _literal(value: Any) -> str:
    if value is None:
        return "NULL"
    if isinstance(value, str):
        return "'" + value.replace("\\", "\\\\").replace("'", "''") + "'"
    return repr(value)


def parse_execute(
    data: bytes, statement: PreparedStatement, charset: CharacterSet
) -> tuple[str, bool]:
    """Return the statement with its parameters, and whether a cursor is requested."""
    reader = io.BytesIO(data)
    reader.read(4)
    use_cursor, _ = packets._read_cursor_flags(reader)
    reader.read(4)
    if not statement.num_params:
        return statement.sql, use_cursor
    # mysql-mimic inserts string parameters into the statement without escaping them, so
    # only its parser of the binary values is used. It decodes strings strictly, which
    # fails for none in Latin-1.
    parameters = packets._read_params(
        Capabilities(0),
        CharacterSet.latin1,
        reader,
        statement.num_params,
        statement.param_buffers,
    )
    values = [_decode_value(value, charset) for _, value in parameters]
    return insert_parameters(statement.sql, values), use_cursor


def _decode_value(value: Any, charset: CharacterSet) -> Any:
    if not isinstance(value, str):
        return value
    return decode_text(value.encode(CharacterSet.latin1.codec), charset)
