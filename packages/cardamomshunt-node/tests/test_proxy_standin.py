"""A proxy with a stand-in instance: outcomes, sessions and answers."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import asyncmy
import pytest
from cardamomshunt_node.proxy_role import ProxyDaemon
from cardamomshunt_node.settings import DaemonSettings
from cardamomshunt_testing.standin import (
    AnnouncementTarget,
    StandinInstance,
    StandinSettings,
)

_SCHEMA = [
    "CREATE TABLE orders (id INTEGER PRIMARY KEY AUTOINCREMENT, name VARCHAR(100), "
    "price DOUBLE, note BLOB)",
]


@pytest.fixture
async def caller(proxy_settings: DaemonSettings) -> AsyncIterator[Any]:
    instance = StandinInstance(
        StandinSettings(
            group="orders",
            instance="orders-1",
            zone="nairobi-a",
            announce_to=[
                AnnouncementTarget(
                    zone="nairobi-a", address=str(proxy_settings.announcement_address)
                )
            ],
            is_first_primary=True,
            schema=_SCHEMA,
        )
    )
    daemon = ProxyDaemon(proxy_settings)
    await daemon.start()
    await instance.start()
    connection = await _connect(proxy_settings)
    async with asyncio.timeout(10):
        while True:
            try:
                await _run(connection, "DELETE FROM orders")
                break
            except asyncmy.errors.Error:
                await asyncio.sleep(0.05)
    yield connection
    connection.close()
    await daemon.stop()
    await instance.stop()


async def _connect(settings: DaemonSettings) -> Any:
    address = settings.caller_address
    assert address is not None
    return await asyncmy.connect(
        host=address.host,
        port=address.port,
        user="caller",
        database="orders",
        autocommit=None,
    )


async def _run(connection: Any, sql: str) -> tuple[Any, int, int]:
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall(), cursor.rowcount, cursor.lastrowid


async def test_text_and_binary_rows_agree(caller: Any) -> None:
    """Guards against values or types that the edges change."""
    await _run(
        caller,
        "INSERT INTO orders (name, price, note) VALUES ('caf\u00e9 \\'s', 1.5, NULL)",
    )
    sql = "SELECT id, name, price, note FROM orders"
    text, _, _ = await _run(caller, sql)
    assert text == ((text[0][0], "caf\u00e9 's", 1.5, None),)
    statement = await caller.prepare(sql + " WHERE name = ?")
    binary = await statement.execute(("caf\u00e9 's",))
    assert binary.rows == text


async def test_keyed_insert_gives_the_first_answer_again(caller: Any) -> None:
    key = "/* cardamomshunt: idempotency_key=a1 */ "
    insert = "INSERT INTO orders (name) VALUES ('nutmeg')"
    first = await _run(caller, key + insert)
    assert first[1:] == (1, first[2])
    assert await _run(caller, key + insert) == first
    rows, _, _ = await _run(caller, "SELECT COUNT(*) FROM orders")
    assert rows == ((1,),)
    with pytest.raises(asyncmy.errors.Error, match="idempotency_key_reused"):
        await _run(caller, key + "INSERT INTO orders (name) VALUES ('mace')")
    assert (await _run(caller, "SELECT cardamomshunt_outcome('a1')"))[0] == (("RAN",),)


async def test_revoked_key_never_runs(caller: Any) -> None:
    query = "SELECT cardamomshunt_outcome('b1')"
    assert (await _run(caller, query))[0] == (("NOT_RUN",),)
    with pytest.raises(asyncmy.errors.Error, match="idempotency_key_revoked"):
        await _run(
            caller,
            "/* cardamomshunt: idempotency_key=b1 */ "
            "INSERT INTO orders (name) VALUES ('nutmeg')",
        )
    assert (await _run(caller, "SELECT COUNT(*) FROM orders"))[0] == ((0,),)


async def test_keyed_error_frees_the_key(caller: Any) -> None:
    """Guards against a key that a failed statement leaves in use."""
    key = "/* cardamomshunt: idempotency_key=c1 */ "
    with pytest.raises(asyncmy.errors.Error):
        await _run(caller, key + "INSERT INTO nowhere (name) VALUES ('nutmeg')")
    assert (await _run(caller, key + "DELETE FROM orders"))[1] == 0


async def test_transaction_and_watermark(caller: Any) -> None:
    before = (await _run(caller, "SELECT @cardamomshunt_watermark"))[0][0][0]
    await _run(caller, "BEGIN")
    await _run(caller, "INSERT INTO orders (name) VALUES ('nutmeg')")
    assert (await _run(caller, "SELECT COUNT(*) FROM orders"))[0] == ((1,),)
    await _run(caller, "COMMIT")
    after = (await _run(caller, "SELECT @cardamomshunt_watermark"))[0][0][0]
    assert after != before
    assert (await _run(caller, "SELECT COUNT(*) FROM orders"))[0] == ((1,),)
