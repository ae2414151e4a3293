"""SQLite state of an instance: a writer, and a reader of committed state."""

import re
import shutil
import sqlite3
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeAlias

from cardamomshunt_node.mysql_server import Ok, Rows

from cardamomshunt_testing._standin_log import LogEntry

IDEMPOTENCY_TABLE = (
    "CREATE TABLE cardamomshunt_idempotency ("
    "idempotency_key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, "
    "affected_rows INTEGER NOT NULL DEFAULT 0, "
    "last_insert_id INTEGER NOT NULL DEFAULT 0, "
    "created_at_ms INTEGER NOT NULL DEFAULT 0, "
    "is_revoked INTEGER NOT NULL DEFAULT 0)"
)


_INSERT = re.compile(r"\s*(?:insert|replace)\b.*?\binto\s+[`\"]?(\w+)", re.I | re.S)

Answer: TypeAlias = Ok | Rows


class ConflictError(Exception):
    """Raised when a concurrent transaction changed what this one has read."""


@dataclass(slots=True)
class Step:
    """Statement of an open transaction with its answer."""

    statement: str
    answer: Answer
    is_write: bool


class Engine:
    """Run translated statements; reads see committed state only."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="cardamomshunt-standin-"))
        self._writer = self._connect()
        self._writer.execute("PRAGMA journal_mode=WAL")
        self._writer.execute(IDEMPOTENCY_TABLE)
        self._reader = self._connect()
        self._auto_increment: dict[str, bool] = {}

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self._folder / "state.db", isolation_level=None)
        # The state is rebuilt from the log after a crash, so it needs no sync.
        connection.execute("PRAGMA synchronous=OFF")
        return connection

    def run(
        self, steps: Sequence["Step"], statement: str | None, *, is_commit: bool
    ) -> "Answer | None":
        """Run the earlier steps of a transaction again, then one more statement.

        Transactions are optimistic: no SQLite transaction is open between two
        statements. Raise ConflictError when an earlier step now answers differently.
        """
        self._writer.execute("BEGIN IMMEDIATE")
        try:
            for step in steps:
                self._replay_step(step)
            answer = None if statement is None else self._execute(statement)
            self._writer.execute("COMMIT" if is_commit else "ROLLBACK")
        except BaseException:
            if self._writer.in_transaction:
                self._writer.execute("ROLLBACK")
            raise
        return answer

    def _replay_step(self, step: "Step") -> None:
        try:
            answer = self._execute(step.statement)
        except sqlite3.IntegrityError as error:
            raise ConflictError() from error
        if answer != step.answer:
            raise ConflictError()

    def _execute(self, sql: str) -> "Answer":
        n_before = self._writer.total_changes
        cursor = self._writer.execute(sql)
        if cursor.description:
            return Rows([column[0] for column in cursor.description], cursor.fetchall())
        n_affected = self._writer.total_changes - n_before
        found = _INSERT.match(sql)
        has_id = found is not None and n_affected and self._has_auto_increment(found[1])
        return Ok(n_affected, (cursor.lastrowid or 0) if has_id else 0)

    def _has_auto_increment(self, table: str) -> bool:
        known = self._auto_increment.get(table)
        if known is None:
            row = self._writer.execute(
                "SELECT sql FROM sqlite_master WHERE name = ?", (table,)
            ).fetchone()
            known = row is not None and "AUTOINCREMENT" in row[0].upper()
            self._auto_increment[table] = known
        return known

    def read(self, sql: str) -> Rows:
        """Run a query on the committed state."""
        cursor = self._reader.execute(sql)
        rows: list[tuple[Any, ...]] = cursor.fetchall()
        return Rows([column[0] for column in cursor.description or ()], rows)

    def replay(self, entries: list[LogEntry]) -> None:
        """Apply entries of the log."""
        self._writer.execute("BEGIN IMMEDIATE")
        for entry in entries:
            for statement in entry.statements:
                self._writer.execute(statement)
        self._writer.execute("COMMIT")

    def count_rows(self) -> dict[str, int]:
        """Return the number of rows of each table."""
        names = self._reader.execute(
            "SELECT name FROM sqlite_master "
            "WHERE type = 'table' AND name NOT LIKE 'sqlite%'"
        ).fetchall()
        return {
            name: self._reader.execute(f'SELECT COUNT(*) FROM "{name}"').fetchone()[0]
            for (name,) in names
        }

    def tables_with_column(self, column: str) -> list[str]:
        """Return the names of the tables that have a column."""
        rows = self._reader.execute(
            "SELECT m.name FROM sqlite_master AS m, pragma_table_info(m.name) AS c "
            "WHERE m.type = 'table' AND c.name = ?",
            (column,),
        ).fetchall()
        return [name for (name,) in rows]

    def close(self) -> None:
        """Close the connections and delete the files."""
        self._reader.close()
        self._writer.close()
        shutil.rmtree(self._folder, ignore_errors=True)
