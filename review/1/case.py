"""A line feed in the data of a write, which the wire does not use to end a line."""

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
    wait_until_served,
)

DATABASE = "orders"
N_WRITES = 6


async def run(record: Record) -> bool:
    """Return whether instances ran exactly the statements that consumers sent."""
    deployment = Deployment(record, n_entries=1)
    service = Service(deployment, "kiti-db-1")
    provider = Provider(deployment, [service])
    try:
        await provider.start()
        await service.start()
        await deployment.start_all()
        document = make_configuration(1, service.name, {DATABASE: "primary"})
        if not await Operator(deployment).put(document, until_s=40.0):
            raise CannotRunError("the configuration was not acknowledged")
        if not await wait_until_served(deployment, "front-1", DATABASE, until_s=60.0):
            raise CannotRunError("nothing was served before the disruption")
        sent = await write_notes(deployment)
        return holds(record, service, sent)
    finally:
        await service.stop()
        provider.stop()
        await deployment.stop_all()


async def write_notes(deployment: Deployment) -> dict[str, str]:
    """Write notes of two lines; return the text of each request that was sent."""
    separator = "\n" if has_trouble() else "_"
    sent = {}
    for number in range(N_WRITES):
        request = f"note{number}"
        # To the wire this is one line: CR LF follows only after it.
        second = "by the side door"
        if number % 2:
            second = f"QUERY other{number} WRITE x9 gift"
        text = f"WRITE n{number} two stools{separator}{second}"
        sent[request] = text
        consumer = await Consumer.open("consumer", deployment, "front-1", DATABASE)
        try:
            await consumer.query(request, text)
        except (ConnectionError, TimeoutError) as error:
            deployment.record.write("consumer", f"no answer: {error}")
        finally:
            consumer.close()
    return sent


def holds(record: Record, service: Service, sent: dict[str, str]) -> bool:
    """Compare the statements that ran with those that were sent."""
    is_held = True
    for run in service.runs:
        if run.request.startswith("probe"):
            continue
        if run.request not in sent:
            record.write("check", f"no consumer sent {run.request} {run.text!r}")
            is_held = False
        elif sent[run.request] != run.text:
            record.write(
                "check", f"{run.request} ran as {run.text!r}, not {sent[run.request]!r}"
            )
            is_held = False
    for commit in service.commits:
        if commit.request not in sent and not commit.request.startswith("probe"):
            record.write("check", f"committed: {commit.item} {commit.data!r}")
    return is_held


sys.exit(run_case(run, Path(__file__).resolve().parent))
