"""Commands from the control leader to backend servers."""

import asyncio
from collections.abc import Callable

import asyncmy
import asyncmy.errors
from cardamomshunt.control import CommandInstance, InstanceReply
from cardamomshunt.position import LogPosition

_USER = "cardamomshunt"


class InstanceCommands:
    """Run commands concurrently, each on its own connection."""

    def __init__(self, report: Callable[[InstanceReply], None]) -> None:
        self._report = report
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, command: CommandInstance) -> None:
        """Start a command; its reply is reported even if it fails or times out."""
        task = asyncio.create_task(self._run(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all commands."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, command: CommandInstance) -> None:
        try:
            async with asyncio.timeout(command.timeout_ms / 1_000.0):
                row = await _execute(command)
            self._report(_reply(command, row))
        except (
            TimeoutError,
            OSError,
            EOFError,
            asyncmy.errors.MySQLError,
            KeyError,
            ValueError,
            TypeError,
        ):
            self._report(_reply(command, None))


async def _execute(command: CommandInstance) -> dict[str, object] | None:
    connection = await asyncmy.connect(
        host=command.address.host,
        port=command.address.port,
        user=_USER,
        db=command.database,
        autocommit=None,
        connect_timeout=command.timeout_ms / 1_000.0,
    )
    try:
        async with connection.cursor(asyncmy.cursors.DictCursor) as cursor:
            await cursor.execute(
                f"CALL cardamomshunt_{command.kind.value}({int(command.term)})"
            )
            row: dict[str, object] | None = await cursor.fetchone()
            return row
    finally:
        connection.close()


def _reply(command: CommandInstance, row: dict[str, object] | None) -> InstanceReply:
    reply = InstanceReply(
        database=command.database,
        instance=command.instance,
        kind=command.kind,
        command_term=command.term,
        is_answered=row is not None,
    )
    if row is not None:
        fields = {name.lower().replace("_", " "): value for name, value in row.items()}
        reply.is_accepted = bool(int(str(fields["accepted"])))
        reply.term = int(str(fields["term"]))
        reply.log_position = LogPosition(
            int(str(fields.get("log term", reply.term))),
            int(str(fields["log position"])),
        )
    return reply
