"""Consumers rest inside transactions while others wait for a connection."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import CannotRunError, Deployment, Record, has_trouble, run_case
from fleet import (
    Consumer,
    Operator,
    Provider,
    Service,
    make_configuration,
)

DATABASE = "lookup"
ENTRIES = ("front-1", "front-2")
N_RESTING_PER_ENTRY = 40
REST_S = 6.5
N_CONSUMERS_PER_ENTRY = 60
# The first requests of the consumers are spread over this time.
SPREAD_S = 6.0
PAUSE_S = 0.3
STATEMENT_TIMEOUT_MS = 6_000
DAY_S = 60.0


async def run(record: Record) -> bool:
    """Return whether a request is served at all."""
    deployment = Deployment(record, n_entries=len(ENTRIES))
    service = Service(deployment, "kiti-db-1")
    provider = Provider(deployment, [service])
    tasks: list[asyncio.Task[None]] = []
    served: list[float] = []
    sent: list[float] = []
    try:
        await provider.start()
        await service.start()
        await deployment.start_all()
        document = configuration(service.name)
        if not await Operator(deployment).put(document, until_s=40.0):
            raise CannotRunError("the configuration was not acknowledged")
        await wait_until_ready(deployment)
        started_s = record.now_s
        if has_trouble():
            record.write("case", f"{N_RESTING_PER_ENTRY} consumers rest at each entry")
            tasks += [
                asyncio.create_task(rest(deployment, entry, f"{entry}-idle{number}"))
                for entry in ENTRIES
                for number in range(N_RESTING_PER_ENTRY)
            ]
            await asyncio.sleep(0.5)
        tasks += [
            asyncio.create_task(
                run_transactions(deployment, entry, f"{entry}-{number}", sent, served)
            )
            for entry in ENTRIES
            for number in range(N_CONSUMERS_PER_ENTRY)
        ]
        for _ in range(int(DAY_S / 10.0)):
            await asyncio.sleep(10.0)
            record.write(
                "check",
                f"{len(served)} of {len(sent)} transactions served so far; connections "
                f"open at the instances: {[i.n_connections for i in service.instances]}",
            )
        record.write(
            "check",
            f"served in the whole day of {record.now_s - started_s:.0f} s: "
            f"{len(served)} of {len(sent)}; processes that ended by themselves: "
            f"{deployment.ended()}",
        )
        return bool(served)
    finally:
        for task in tasks:
            task.cancel()
        await service.stop()
        provider.stop()
        await deployment.stop_all()


def configuration(service: str) -> bytes:
    """Return the configuration with the timeout of the case."""
    document = json.loads(make_configuration(1, service, {DATABASE: "primary"}))
    for route in document["routes"]:
        route["timeout_ms"] = STATEMENT_TIMEOUT_MS
    return json.dumps(document).encode()


async def wait_until_ready(deployment: Deployment) -> None:
    """Wait until each entry machine opens sessions and has had time for its lease."""
    for entry in ENTRIES:
        while True:
            try:
                consumer = await Consumer.open("probe", deployment, entry, DATABASE)
            except (OSError, TimeoutError):
                if deployment.record.now_s > 40.0:
                    raise CannotRunError("no session is opened") from None
                await asyncio.sleep(0.2)
                continue
            consumer.close()
            break
    await asyncio.sleep(6.0)


async def rest(deployment: Deployment, entry: str, name: str) -> None:
    """Begin a transaction, write, and then remain idle."""
    try:
        consumer = await Consumer.open(name, deployment, entry, DATABASE)
        await consumer.query(f"{name}b", "BEGIN", is_logged=False)
        query = consumer.query(f"{name}w", f"WRITE {name} x", 8.0, is_logged=False)
        async with asyncio.timeout(REST_S):
            await query
            await asyncio.Event().wait()
    except (OSError, TimeoutError):
        pass
    finally:
        consumer.close()
    deployment.record.write(name, "leaves")


async def run_transactions(
    deployment: Deployment,
    entry: str,
    name: str,
    sent: list[float],
    served: list[float],
) -> None:
    """Run transactions in one session, which is opened again after it was closed."""
    record = deployment.record
    consumer: Consumer | None = None
    number = 0
    await asyncio.sleep(random.uniform(0.0, SPREAD_S))
    while True:
        number += 1
        sent.append(record.now_s)
        try:
            if consumer is None:
                consumer = await Consumer.open(name, deployment, entry, DATABASE)
            if await run_transaction(record, consumer, f"{name}t{number}"):
                served.append(record.now_s)
        except (OSError, TimeoutError):
            if consumer is not None:
                consumer.close()
            consumer = None
        await asyncio.sleep(PAUSE_S)


async def run_transaction(record: Record, consumer: Consumer, request: str) -> bool:
    """Run one transaction; return whether its commit was acknowledged."""
    await consumer.query(f"{request}b", "BEGIN", is_logged=False)
    text = f"WRITE {request} stool"
    answer = await consumer.query(f"{request}w", text, 8.0, is_logged=False)
    if answer.is_success and answer.state == "T":
        answer = await consumer.query(f"{request}c", "COMMIT", is_logged=False)
        return answer.is_success
    record.write(
        request, f"gets {answer.code or 'COMPLETE'} {answer.text} state={answer.state}"
    )
    # The transaction has failed; ending it rolls back.
    await consumer.query(f"{request}r", "ROLLBACK", is_logged=False)
    return False


sys.exit(run_case(run, Path(__file__).resolve().parent))
