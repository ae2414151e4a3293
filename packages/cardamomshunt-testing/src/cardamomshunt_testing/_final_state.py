"""Read the final rows directly from a group's primary, for checks."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import asyncmy
import asyncmy.errors

_TABLES = ("orders", "dispatches")


async def _query(connection: asyncmy.Connection, sql: str) -> list[tuple[Any, ...]]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return list(await cursor.fetchall())


async def read_final_counts(instances: Sequence[tuple[str, int]]) -> Counter[str]:
    """Count each key's rows at the reachable primary with the highest term.

    Raise RuntimeError if no primary can be reached.
    """
    found: tuple[int, Counter[str]] | None = None
    for host, port in instances:
        try:
            connection = await asyncmy.connect(
                host=host, port=port, user="check", autocommit=True, connect_timeout=2
            )
        except (OSError, TimeoutError, asyncmy.errors.Error):
            continue
        status = (await _query(connection, "SELECT * FROM cardamomshunt_status"))[0]
        role, term = status[4], status[5]
        if role == "primary" and (found is None or term > found[0]):
            found = (term, await _count_keys(connection))
        connection.close()
    if found is None:
        raise RuntimeError("no primary of the group can be reached for the final check")
    return found[1]


async def _count_keys(connection: asyncmy.Connection) -> Counter[str]:
    counts: Counter[str] = Counter()
    tables = {row[0] for row in await _query(connection, "SHOW TABLES")}
    for table in _TABLES:
        if table in tables:
            sql = f"SELECT order_id, COUNT(*) FROM {table} GROUP BY order_id"
            counts.update(dict(await _query(connection, sql)))
    return counts
