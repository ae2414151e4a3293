"""Conversion of result columns from a backend server to those of the server edge."""

import datetime
import functools
import re
import struct
from collections.abc import Callable
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnDefinition, ColumnType, str_len

from cardamomshunt_node._backend_edge_answers import Column
from cardamomshunt_node._mysql_character_sets import codec_of

_N_COLUMNS_CACHED_MAX = 4_096
_UNSIGNED_FLAG = 32
_BINARY_CHARACTER_SET = 63
_TIME = re.compile(r"(-?)(\d+):(\d+):(\d+)(?:\.(\d+))?")
_INTEGER_FORMATS = {
    ColumnType.TINY: "b",
    ColumnType.SHORT: "h",
    ColumnType.YEAR: "h",
    ColumnType.INT24: "i",
    ColumnType.LONG: "i",
    ColumnType.LONGLONG: "q",
}
_FLOAT_FORMATS = {ColumnType.FLOAT: "<f", ColumnType.DOUBLE: "<d"}
_DATE_TYPES = (ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP)


@functools.lru_cache(maxsize=_N_COLUMNS_CACHED_MAX)
def forwarded_column(
    column: Column, character_set: CharacterSet
) -> tuple[ResultColumn, ColumnDefinition]:
    """Return a column, with its flags, that forwards text values to a caller.

    Text rows contain the server's bytes unchanged; for binary rows they are parsed.
    """
    is_binary = column.character_set == _BINARY_CHARACTER_SET
    is_utf8 = character_set in (CharacterSet.utf8mb4, CharacterSet.utf8)
    encode = None if is_binary or is_utf8 else _transcoder(character_set)
    encode_binary = _binary_encoder(column)
    forwarded = ResultColumn(
        name=column.name,
        type=ColumnType(column.type_code),
        character_set=CharacterSet.binary if is_binary else character_set,
        text_encoder=encode,
        binary_encoder=(
            (lambda _, value: encode_binary(value))
            if encode_binary is not None
            else encode and (lambda _, value: str_len(encode(_, value)))
        ),
    )
    # Bytes are then copied into the row without a call for each value.
    forwarded.use_default_text_encoder = encode is None
    return forwarded, ColumnDefinition(column.flags)


def _transcoder(character_set: CharacterSet) -> Callable[[Any, bytes], bytes]:
    """Return the encoder for a caller that does not use UTF-8."""
    codec = codec_of(character_set)

    def transcode(_: Any, value: bytes) -> bytes:
        return value.decode("utf-8", "replace").encode(codec, "replace")

    return transcode


def _binary_encoder(column: Column) -> Callable[[bytes], bytes] | None:
    """Return the encoder from a text value to the binary protocol; None for strings."""
    column_type = ColumnType(column.type_code)
    integer_format = _INTEGER_FORMATS.get(column_type)
    if integer_format is not None:
        is_unsigned = column.flags & _UNSIGNED_FLAG or column_type is ColumnType.YEAR
        pack = struct.Struct(
            "<" + (integer_format.upper() if is_unsigned else integer_format)
        ).pack
        return lambda value: pack(int(value))
    float_format = _FLOAT_FORMATS.get(column_type)
    if float_format is not None:
        return lambda value: struct.pack(float_format, float(value))
    if column_type in _DATE_TYPES:
        return _encode_date
    return _encode_time if column_type is ColumnType.TIME else None


def _encode_date(value: bytes) -> bytes:
    text = value.decode("ascii")
    if text.startswith("0000"):
        return b"\x00"
    parsed = datetime.datetime.fromisoformat(text)
    day = struct.pack("<HBB", parsed.year, parsed.month, parsed.day)
    if parsed.microsecond == 0 and len(text) <= len("2000-01-01"):
        return b"\x04" + day
    clock = bytes([parsed.hour, parsed.minute, parsed.second])
    if parsed.microsecond == 0:
        return b"\x07" + day + clock
    return b"\x0b" + day + clock + struct.pack("<I", parsed.microsecond)


def _encode_time(value: bytes) -> bytes:
    match = _TIME.fullmatch(value.decode("ascii"))
    if match is None:
        return b"\x00"
    sign, hours, minutes, seconds, fraction = match.groups()
    n_days, n_hours = divmod(int(hours), 24)
    body = struct.pack(
        "<BIBBB", sign == "-", n_days, n_hours, int(minutes), int(seconds)
    )
    if not fraction:
        return b"\x08" + body
    return b"\x0c" + body + struct.pack("<I", int(fraction.ljust(6, "0")[:6]))
