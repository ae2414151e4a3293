"""Tests of teams' rate limits at the edge of the daemons."""

import asyncio

import pytest
from cardamomshunt_node._boot_clock import boot_ms
from standin import Caller, document

_RATE_PER_S = 2.0
_BURST = 4.0
# (rate x 5 + burst) x 1.1 + 20, as the page on teams guarantees it.
_N_IN_WINDOW_MAX = (_RATE_PER_S * 5.0 + _BURST) * 1.1 + 20.0


async def apply(deployment, version, **limits):
    tenants = [
        {"name": "desk", "api_keys": ["k1"], **limits},
        {"name": "stock", "api_keys": ["k2"]},
    ]
    body = document(version, tenants=tenants)
    assert (await deployment.put(body)).status == 200
    for entry in deployment.entries.values():
        await deployment.until(lambda entry=entry: entry._view.table.version == version)


@pytest.fixture
async def limited(deployment):
    await apply(deployment, 2, rate_per_s=_RATE_PER_S, burst=_BURST)
    return deployment


async def open_callers(deployment, key="k1"):
    return [
        await Caller.open(deployment.caller_address(node), "orders", key)
        for node in deployment.entries
    ]


def n_run(deployment, prefix):
    return sum(run.request.startswith(prefix) for run in deployment.group.runs)


async def test_a_team_over_its_limit_is_refused_at_all_entry_vms(limited):
    # Guards against a limit that each entry VM applies by itself, and against the
    # refusal of another team.
    callers = await open_callers(limited)
    others = await open_callers(limited, "k2")
    refused = []
    for number in range(60):
        for caller in callers:
            sent_ms = boot_ms()
            lines = await caller.execute("READ k1", f"q{number}")
            if lines[-1].startswith("ERROR"):
                refused.append((lines[-1], boot_ms() - sent_ms))
    for caller in others:
        assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")
    assert 8 <= n_run(limited, "q") <= _N_IN_WINDOW_MAX
    text, _ = refused[-1]
    assert text.startswith("ERROR BUSY")
    assert int(text.rpartition("retry_after_ms=")[2]) > 0
    assert sorted(waited for _, waited in refused)[len(refused) // 2] < 60.0


async def test_statements_without_a_server_take_no_token(limited):
    # Guards against callers that are refused for statements which cost nothing, and
    # against a token for each statement of a transaction.
    caller = (await open_callers(limited))[0]
    for number in range(40):
        for text in (f"SET lang s{number}", "BEGIN", "ROLLBACK"):
            assert (await caller.execute(text))[-1].startswith("COMPLETE")
    await caller.execute("BEGIN")
    for number in range(40):
        lines = await caller.execute("READ k1", f"t{number}")
        assert lines[-1].startswith("COMPLETE")
    assert (await caller.execute("COMMIT"))[-1].startswith("COMPLETE")


async def test_the_first_operation_of_a_team_is_not_refused(limited):
    # Guards against a refusal where only the share is missing.
    callers = await open_callers(limited)
    for caller in callers:
        assert (await caller.execute("READ k1"))[-1].startswith("COMPLETE")


async def test_without_a_leader_and_a_share_an_operation_is_refused(limited):
    # Guards against operations that run, or hang, while nobody counts them.
    caller = (await open_callers(limited))[0]
    for node in list(limited.controls)[:2]:
        await limited.stop(node)
    await asyncio.sleep(0.5)
    sent_ms = boot_ms()
    lines = await caller.execute("READ k1", "r1")
    assert lines[-1].startswith("ERROR BUSY")
    assert 300.0 <= boot_ms() - sent_ms < 600.0
    assert n_run(limited, "r1") == 0


async def test_teams_without_limits_add_nothing_to_requests(deployment):
    # Guards against a cost for deployments that have no limits.
    await apply(deployment, 2)
    await asyncio.sleep(0.5)
    for entry in deployment.entries.values():
        assert entry._control_link._quota_fields() == {}
    for control in deployment.controls.values():
        assert control._state.share_holders == []
