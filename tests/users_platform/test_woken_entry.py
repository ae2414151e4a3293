"""An entry VM wakes from a freeze while its primary is being replaced."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio
from process_site import ProcessSite, run_process_site
from standin import PROMOTION_DELAY_S, Caller

_N_SESSIONS = 12
_COMMIT_INTERVAL_S = 0.03
# Replicas lack what the former primary commits this shortly before the promotion.
_LAG_S = 0.6


@pytest_asyncio.fixture
async def site(tmp_path):
    async with run_process_site(tmp_path) as running:
        async with asyncio.timeout(30.0):
            await running.put_configuration(timeout_ms=4_000, n_connections_max=144)
            await running.serve_everywhere()
        yield running
        Caller.close_all()


def _send_signal(site: ProcessSite, number: signal.Signals) -> None:
    site.daemons.running["entry-1"].send_signal(number)


def _events(site: ProcessSite) -> list[dict]:
    lines = (site.daemons.folder / "entry-1.log").read_text().splitlines()
    return [json.loads(line) for line in lines]


async def _open_sessions(site: ProcessSite) -> dict[str, Caller]:
    """Return callers at the entry VM, each with a write in an open transaction."""
    address = site.daemons.settings["entry-1"].caller_address
    sessions = {}
    for number in range(_N_SESSIONS):
        caller = await Caller.open(address, "orders")
        await caller.execute("BEGIN")
        lines = await caller.execute(f"WRITE k{number} v", f"w{number}")
        assert lines[-1].startswith("COMPLETE")
        sessions[f"w{number}"] = caller
    return sessions


async def _freeze_while_replaced(site: ProcessSite, awake_before_s: float) -> None:
    """Drain the primary beside a frozen entry VM; wake it before or after the promotion."""
    for server in site.group.servers:
        server.lag_s = _LAG_S
    _send_signal(site, signal.SIGSTOP)
    site.group.primary.state = "draining"
    async with asyncio.timeout(8.0):
        while not site.provider.calls:
            await asyncio.sleep(0.005)
    await asyncio.sleep(PROMOTION_DELAY_S - awake_before_s)
    _send_signal(site, signal.SIGCONT)


async def _acknowledged_and_lost(site, answers: dict[str, list[str]]) -> list[str]:
    """Return the requests answered as done that the successor lacks."""
    await asyncio.sleep(1.5)
    kept = set(site.group.requests_committed())
    return [
        request
        for request, lines in answers.items()
        if lines[-1].startswith("COMPLETE") and request not in kept
    ]


async def _commit_later(caller: Caller, delay_s: float) -> list[str]:
    await asyncio.sleep(delay_s)
    return await caller.execute("COMMIT")


@pytest.mark.parametrize("awake_before_s", [0.22, 0.1, -0.05])
async def test_commits_after_a_freeze_are_not_lost(site, awake_before_s):
    # Guards against a new lease that revives the use of a primary which the leader
    # counted as released when the former lease had ended: commits were acknowledged
    # at the replaced primary and lost.
    sessions = await _open_sessions(site)
    await _freeze_while_replaced(site, awake_before_s)
    answers = await asyncio.gather(
        *(
            _commit_later(caller, number * _COMMIT_INTERVAL_S)
            for number, caller in enumerate(sessions.values())
        )
    )
    assert len(site.provider.calls) == 1
    assert not await _acknowledged_and_lost(
        site, dict(zip(sessions, answers, strict=True))
    )
    assert all(lines[-1].split(" ")[1] in ("ABORTED", "INDOUBT") for lines in answers)


async def test_writes_in_flight_at_a_freeze_are_not_lost(site):
    # Guards against the acknowledgement of a write that was sent under a lease which
    # lapsed before the answer came.
    sessions = await _open_sessions(site)
    callers = list(sessions.values())[:2]
    for caller in callers:
        await caller.execute("ROLLBACK")
    former = site.group.primary
    former.held["late"] = asyncio.Event()
    # The answer that waits shows at the wake-up that the server is responsive.
    former.work_s = 0.3
    requests = ("early", "late")
    writes = [
        asyncio.create_task(caller.execute(f"WRITE {request} v", request))
        for caller, request in zip(callers, requests, strict=True)
    ]
    await asyncio.sleep(0.05)
    await _freeze_while_replaced(site, awake_before_s=0.2)
    # By now the lease is back, and the promotion has not taken effect.
    await asyncio.sleep(0.1)
    former.held["late"].set()
    answers = dict(zip(requests, await asyncio.gather(*writes), strict=True))
    assert not await _acknowledged_and_lost(site, answers)
    assert answers["late"][-1].startswith("ERROR INDOUBT")
