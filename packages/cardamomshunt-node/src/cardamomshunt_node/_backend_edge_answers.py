"""Answers that pass from a backend edge to a caller edge, free of any protocol."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

Row: TypeAlias = Sequence[bytes | None]


@dataclass(slots=True, frozen=True, eq=False)
class Column:
    """Describe a result column; types, character sets and flags are MySQL's codes.

    Edges keep one object for equal columns and compare by identity, which spares a
    hash over all fields for each column of each result.
    """

    name: str
    type_code: int
    character_set: int
    flags: int = 0
    n_decimals: int = 0


@dataclass(slots=True)
class WriteAnswer:
    """Answer a statement that returns no rows."""

    n_affected_rows: int = 0
    last_insert_id: int = 0
    n_warnings: int = 0


@dataclass(slots=True)
class RowsAnswer:
    """Answer a statement with rows; values are text, or None for NULL.

    An async iterator raises `IncompleteRowsError` if the rest of the rows is lost, so that
    a cut result never looks whole.
    """

    columns: list[Column]
    rows: Sequence[Row] | AsyncIterator[Row]


@dataclass(slots=True, frozen=True)
class ErrorAnswer:
    """Pass on an error of the backend server with its code and SQLSTATE."""

    code: int
    sqlstate: str
    message: str


Answer: TypeAlias = WriteAnswer | RowsAnswer | ErrorAnswer


class IncompleteRowsError(Exception):
    """Say why a result that was partly delivered can't be completed."""

    def __init__(self, answer: ErrorAnswer) -> None:
        super().__init__(answer.message)
        self.answer = answer


@dataclass(slots=True)
class RowBatch:
    """Hold rows with the size of their values."""

    rows: list[Row] = field(default_factory=list)
    size_bytes: int = 0
