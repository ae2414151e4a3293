"""Tests of teams at the edge of the daemons: keys that open sessions, or no longer do."""

import asyncio

import pytest
from cardamomshunt_cli.main import main
from click.testing import CliRunner
from standin import Caller, document

_KEYS = {"desk": ["key-of-desk"], "stock": ["key-of-stock", "second-key-of-stock"]}


def team_document(version, keys, **changes):
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    return document(version, tenants=tenants, **changes)


async def apply(deployment, version, keys):
    assert (await deployment.put(team_document(version, keys))).status == 200
    for entry in deployment.entries.values():
        await deployment.until(lambda entry=entry: entry._view.table.version == version)


@pytest.mark.parametrize(
    "key",
    ["", "unknown", "key-of", "key-of-desk ", "key-of-desk  x", " key-of-desk"],
)
async def test_a_session_without_a_known_key_is_denied(deployment, key):
    # Guards against statements of callers that no configuration knows.
    await apply(deployment, 2, _KEYS)
    with pytest.raises(ConnectionError, match="ERROR DENIED"):
        await Caller.open(deployment.caller_address("entry-1"), "orders", key)


async def test_a_key_extends_to_the_end_of_the_line(deployment):
    # Guards against a key that is valid in a configuration and opens no session.
    await apply(deployment, 2, {"desk": ["two words "]})
    address = deployment.caller_address("entry-1")
    caller = await Caller.open(address, "orders", "two words ")
    assert (await caller.execute("WRITE k1 a"))[-1].startswith("COMPLETE")
    with pytest.raises(ConnectionError, match="ERROR DENIED"):
        await Caller.open(address, "orders", "two")


async def test_statements_run_on_connections_of_their_team(deployment):
    # Guards against a connection that serves a second team, and against one that was
    # opened before there were teams.
    await apply(deployment, 2, _KEYS)
    address = deployment.caller_address("entry-1")
    sessions = [
        (team, await Caller.open(address, database, keys[0]))
        for team, keys in _KEYS.items()
        for database in ("orders", "stock", "dispatch")
    ]

    async def call(team, caller, number):
        # Three operations: one read, one write and one transaction.
        for step, text in enumerate(
            ["READ k", "WRITE k a", "BEGIN", "READ k", "COMMIT"]
        ):
            await caller.execute(text, f"{team}-{number}-{step}")

    for _ in range(3):
        await asyncio.gather(
            *(call(team, caller, n) for n, (team, caller) in enumerate(sessions))
        )
    runs = [run for run in deployment.group.runs if run.request.split("-")[0] in _KEYS]
    assert len(runs) >= 3 * len(sessions)
    assert {(run.request.split("-")[0], run.team) for run in runs} == {
        (team, team) for team in _KEYS
    }
    settings = deployment.settings["entry-1"]
    response = await deployment.call(
        f"{settings.host}:{settings.metrics_port}", "GET", "/metrics"
    )
    lines = response.body.decode().splitlines()
    for team in _KEYS:
        assert f'cardamomshunt_team_operations_total{{team="{team}"}} 27' in lines
    opened, reused = (
        int(line.split()[-1])
        for name in ("opened", "reused")
        for line in lines
        if line.startswith(f"cardamomshunt_connections_{name}_total ")
    )
    assert opened >= 2
    assert reused > opened


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


async def run_cardamomctl(arguments, text=""):
    runner = CliRunner()
    return await asyncio.to_thread(runner.invoke, main, arguments, input=text)


@pytest.mark.parametrize(
    ("key", "exit_code", "shown"),
    [("key-of-desk\n", 0, "desk"), ("key-of-nobody", 4, "no team"), ("", 4, "no team")],
)
async def test_an_operator_finds_the_team_of_a_key(deployment, key, exit_code, shown):
    # Guards against a lookup that names the wrong team, and against keys in its output.
    await apply(deployment, 2, _KEYS)
    settings = deployment.settings["entry-1"]
    address = f"{settings.host}:{settings.metrics_port}"
    result = await run_cardamomctl(["teams", address, "--find-key"], key)
    assert (result.exit_code, shown in result.output) == (exit_code, True)
    assert "key-of" not in result.output


@pytest.mark.parametrize(("address", "exit_code"), [("x", 2), ("127.0.0.1:1", 3)])
async def test_a_wrong_address_of_an_entry_vm_is_explained(address, exit_code):
    # Guards against a traceback where an operator mistyped the address.
    result = await run_cardamomctl(["teams", address])
    assert (result.exit_code, address in result.output) == (exit_code, True)
