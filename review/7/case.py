"""An entry node that wakes from a freeze commits at a primary that was replaced."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.harness import (
    CannotRunError,
    Client,
    Deployment,
    is_success,
    route,
    run_case,
)

PROMOTE_MS = 1000.0
THAW_SLACK_MS = 300.0
N_SESSIONS = 12
# The time between the promotion and the notice of the entry node varies; the script ends
# with the first release that breaks the rule.
N_RELEASES = 4
# The commits of the sessions follow one another at this interval.
COMMIT_INTERVAL_MS = 3.0
# Time from the wake-up to the end of the promotion.
AWAKE_BEFORE_PROMOTION_MS = 340.0


async def case(deployment: Deployment, has_trouble: bool) -> list[str]:
    deployment.add_service(
        "kiti-db", promote_ms=PROMOTE_MS, connection_limit=144, lag_ms=90.0
    )
    await deployment.start([route("orders", "kiti-db", "primary")])
    await asyncio.sleep(4.0)
    for number in range(1, N_RELEASES + 1):
        broken = await _release_primary(deployment, number, has_trouble)
        if broken:
            return broken
    return []


async def _release_primary(
    deployment: Deployment, release: int, has_trouble: bool
) -> list[str]:
    """Release the primary, with transactions open; return what broke the rule."""
    record, service = deployment.record, deployment.services[0]
    former = service.primary
    # The successor starts before the primary reports that it leaves.
    await deployment.add_server(service, former.zone)
    await asyncio.sleep(2.0)
    address = deployment.entry_address("frontend-1")
    sessions = {}
    for number in range(N_SESSIONS):
        request = f"w{release}.{number}"
        session = await Client.open(record, f"c{release}.{number}", address, "orders")
        await session.execute("BEGIN")
        if not is_success(await session.execute(f"WRITE k{number} v", request)):
            raise CannotRunError("a write in a transaction failed")
        sessions[request] = session
    assert deployment.provider is not None
    deployment.provider.asked.clear()
    frozen_ms = record.now_ms()
    woken_ms = 0.0
    if has_trouble:
        deployment.send_signal("frontend-1", signal.SIGSTOP)
    record.write("server", former.name, "reports that it drains")
    former.state = "draining"
    async with asyncio.timeout(6.0):
        await deployment.provider.asked.wait()
    asked_ms = deployment.provider.calls[-1][0]
    await _sleep_until(record, asked_ms + PROMOTE_MS - AWAKE_BEFORE_PROMOTION_MS)
    if has_trouble:
        deployment.send_signal("frontend-1", signal.SIGCONT)
        woken_ms = record.now_ms()
        record.write(f"frozen for {woken_ms - frozen_ms:.0f} ms")
    # A commit takes 11 ms at the server.
    first_ms = asked_ms + PROMOTE_MS - 8.0
    answers = await asyncio.gather(
        *(
            _commit_at(record, session, request, first_ms + number * COMMIT_INTERVAL_MS)
            for number, (request, session) in enumerate(sessions.items())
        )
    )
    # The former primary becomes a replica a second after it reaches the new one.
    await asyncio.sleep(2.5)
    for session in sessions.values():
        session.close()
    return _check(service, former, dict(zip(sessions, answers, strict=True)), woken_ms)


async def _sleep_until(record, at_ms: float) -> None:
    await asyncio.sleep(max(at_ms - record.now_ms(), 0.0) / 1e3)


async def _commit_at(
    record, session: Client, request: str, at_ms: float
) -> list[str]:
    await _sleep_until(record, at_ms)
    return await session.execute("COMMIT", f"commit-of-{request}")


def _check(service, former, answers, woken_ms: float) -> list[str]:
    """Return the acknowledged commits that the rule forbids."""
    broken = []
    kept = {commit.request for commit in service.primary.log}
    promoted_ms = service.term_began_ms[service.newest_term]
    for request, lines in answers.items():
        if not is_success(lines) or request not in service.commits:
            continue
        server, committed_ms, position = service.commits[request]
        is_late = server == former.name and committed_ms > promoted_ms
        is_excused = committed_ms - woken_ms <= THAW_SLACK_MS
        if is_late and not is_excused:
            broken.append(
                f"ONE: {request} was committed at {server}, position {position}, "
                f"{committed_ms - promoted_ms:.0f} ms after the promotion took effect "
                f"and {committed_ms - woken_ms:.0f} ms after the wake-up, and "
                f"acknowledged; it is in the log of the new primary: {request in kept}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case, n_entries=9))
