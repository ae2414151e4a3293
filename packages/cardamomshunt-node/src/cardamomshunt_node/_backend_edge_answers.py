"""Answers from a backend edge to a caller edge, independent of their protocols."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

Row: TypeAlias = Sequence[bytes | None]


@dataclass(slots=True, frozen=True, eq=False)
class Column:
    """Result column; types, character sets and flags are the codes of MySQL.

    Edges reuse one object for equal columns and compare by identity, which avoids
    hashing all fields of each column of each result.
    """

    name: str
    type_code: int
    character_set: int
    flags: int = 0
    n_decimals: int = 0


@dataclass(slots=True)
class WriteAnswer:
    """Answer to a statement that returns no rows."""

    n_affected_rows: int = 0
    last_insert_id: int = 0
    n_warnings: int = 0


@dataclass(slots=True)
class RowsAnswer:
    """Answer to a statement that returns rows; values are text, or None for NULL.

    An async iterator raises `IncompleteRowsError` if the remaining rows are lost, so
    that a truncated result never looks complete.
    """

    columns: list[Column]
    rows: Sequence[Row] | AsyncIterator[Row]


@dataclass(slots=True, frozen=True)
class ErrorAnswer:
    """Error of the backend server with its code and SQLSTATE."""

    code: int
    sqlstate: str
    message: str


Answer: TypeAlias = WriteAnswer | RowsAnswer | ErrorAnswer


class IncompleteRowsError(Exception):
    """Raised when the remaining rows of a partly delivered result are lost."""

    def __init__(self, answer: ErrorAnswer) -> None:
        super().__init__(answer.message)
        self.answer = answer


@dataclass(slots=True)
class RowBatch:
    """Rows and the total size of their values."""

    rows: list[Row] = field(default_factory=list)
    size_bytes: int = 0
