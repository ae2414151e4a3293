"""Tests of transactions that rest, and of those that only wait or run for long."""

import asyncio

# Long enough that a pause of a busy machine is not taken for rest.
_IDLE_MS = 1_200
_PAUSE_S = _IDLE_MS / 4_000.0
_N_PAUSES = 6


async def use_up_connections(deployment, make_document):
    """Let a caller occupy the only connection to the primary; return it and the pool."""
    await deployment.put(
        make_document(2, timeout_ms=4_000, limits={"transaction_idle_ms": _IDLE_MS})
    )
    view = deployment.entries["entry-1"]._view
    await deployment.until(lambda: view.table.version == 2)
    pool, _ = view.primary("db")
    pool._quota = lambda: 1
    for connection in list(pool._idle)[1:]:
        connection.close("only one may be open")
    holder = await deployment.open_session()
    await holder.execute("BEGIN")
    await holder.execute("READ k1")
    return holder, pool


async def test_a_transaction_that_waits_for_a_connection_is_not_idle(
    deployment, make_document
):
    # Guards against transactions that fail as idle while their statement runs, and
    # against connections that stay in use for good once such a transaction has ended.
    holder, pool = await use_up_connections(deployment, make_document)
    caller = await deployment.open_session()
    await caller.execute("BEGIN")
    pending = asyncio.create_task(caller.execute("WRITE k1 a", "w1"))
    for _ in range(_N_PAUSES):
        await holder.execute("READ k1")
        await asyncio.sleep(_PAUSE_S)
    assert not pending.done()
    await holder.execute("ROLLBACK")
    assert (await pending)[-1].startswith("COMPLETE")
    assert caller.state == "T"
    assert (await caller.execute("COMMIT", "c1"))[-1].startswith("COMPLETE")
    await deployment.until(lambda: not pool._in_use, timeout_s=1.0)


async def test_a_statement_that_runs_for_long_keeps_its_transaction(
    deployment, make_document
):
    # Guards against closing a connection whose server still runs the statement.
    caller, _ = await use_up_connections(deployment, make_document)
    primary = deployment.server("i-3")
    primary.work_s = _N_PAUSES * _PAUSE_S
    assert (await caller.execute("WRITE k1 a", "w1"))[-1].startswith("COMPLETE")
    primary.work_s = 0.002
    await asyncio.sleep(_PAUSE_S)
    assert (await caller.execute("COMMIT", "c1"))[-1].startswith("COMPLETE")


async def test_statements_that_need_no_server_keep_a_transaction(
    deployment, make_document
):
    # Guards against a transaction that fails as idle although its caller uses it.
    caller, _ = await use_up_connections(deployment, make_document)
    for number in range(_N_PAUSES):
        await caller.execute(f"SET lang v{number}")
        await asyncio.sleep(_PAUSE_S)
    assert caller.state == "T"
    assert (await caller.execute("COMMIT", "c1"))[-1].startswith("COMPLETE")


async def test_an_idle_transaction_ends_and_frees_its_connection(
    deployment, make_document
):
    # Guards against callers that rest inside transactions and use up all connections.
    caller, pool = await use_up_connections(deployment, make_document)
    await deployment.until(lambda: not pool._in_use, timeout_s=4.0)
    assert (await caller.execute("READ k1"))[-1].startswith("ERROR MALFORMED")
    assert caller.state == "E"
    await caller.execute("ROLLBACK")
    assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")
