"""Tests of teams at the edge of the daemons: keys that open sessions, or no longer do."""

import asyncio

import pytest
from standin import Caller, document

_KEYS = {"desk": ["key-of-desk"], "stock": ["key-of-stock", "second-key-of-stock"]}


def team_document(version, keys, **changes):
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    return document(version, tenants=tenants, **changes)


async def apply(deployment, version, keys):
    assert (await deployment.put(team_document(version, keys))).status == 200
    for entry in deployment.entries.values():
        await deployment.until(lambda entry=entry: entry._view.table.version == version)


@pytest.mark.parametrize("key", ["", "unknown", "key-of"])
async def test_a_session_without_a_known_key_is_denied(deployment, key):
    # Guards against statements of callers that no configuration knows.
    await apply(deployment, 2, _KEYS)
    with pytest.raises(ConnectionError, match="ERROR DENIED"):
        await Caller.open(deployment.caller_address("entry-1"), "orders", key)


async def test_a_removed_key_ends_idle_and_open_transactions(deployment):
    # Guards against sessions that outlive their key, and against a commit under it.
    await apply(deployment, 2, _KEYS)
    address = deployment.caller_address("entry-1")
    idle = await Caller.open(address, "orders", "key-of-stock")
    busy = await Caller.open(address, "orders", "key-of-stock")
    kept = await Caller.open(address, "orders", "second-key-of-stock")
    await busy.execute("BEGIN")
    await busy.execute("WRITE k1 a", "w1")
    await apply(deployment, 3, _KEYS | {"stock": ["second-key-of-stock"]})
    assert await idle.is_closed()
    assert await busy.is_closed()
    assert (await kept.execute("READ k1"))[-1].startswith("COMPLETE")
    await asyncio.sleep(0.2)
    assert deployment.group.requests_committed() == []


async def test_no_output_holds_a_key(deployment):
    # Guards against keys in logs, in refusals of configurations and at servers.
    await apply(deployment, 2, _KEYS)
    address = deployment.caller_address("entry-1")
    await (await Caller.open(address, "orders", "key-of-desk")).execute("WRITE k1 a")
    with pytest.raises(ConnectionError):
        await Caller.open(address, "orders", "key-of-nobody")
    shared = _KEYS | {"third": ["key-of-desk"]}
    response = await deployment.put(team_document(3, shared))
    assert response.status == 400
    logs = "".join(path.read_text() for path in deployment.folder.glob("*.log"))
    for output in (logs, response.body.decode()):
        assert "key-of" not in output
