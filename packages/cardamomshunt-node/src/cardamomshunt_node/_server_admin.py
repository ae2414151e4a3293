"""Administrative commands to backend servers: status and demotion."""

import asyncio

from cardamomshunt.fleet import ServerReport, ServerStatus

from cardamomshunt_node._backend_connection import Reply, ServerLostError
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._server_pool import ServerPool
from cardamomshunt_node._session_protocol import ErrorCode, SessionProtocol

STATUS_TIMEOUT_MS = 400.0
_BUSY_PAUSE_S = 0.03


class ServerAdmin:
    """Send single commands to backend servers, each over a new connection."""

    def __init__(self, protocol: SessionProtocol) -> None:
        self._protocol = protocol

    async def status(
        self, report: ServerReport, timeout_ms: float = STATUS_TIMEOUT_MS
    ) -> ServerStatus | None:
        """Return the status of a server, or None if it does not answer in time."""
        return await self._send_command(report, self._protocol.status(), timeout_ms)

    async def demote(self, report: ServerReport, term: int) -> ServerStatus | None:
        """Demote a primary of a lower term; return its status, or None as `status`."""
        return await self._send_command(
            report, self._protocol.demote(term), STATUS_TIMEOUT_MS
        )

    async def _send_command(
        self, report: ServerReport, command: bytes, timeout_ms: float
    ) -> ServerStatus | None:
        pool = ServerPool(
            self._protocol, report.group, report.server, report.address, lambda: 1
        )
        deadline_ms = boot_ms() + timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1_000.0):
                connection = await pool.acquire(0, deadline_ms, {}, "")
                while True:
                    reply: Reply = await connection.send(command)
                    if reply.code is not ErrorCode.BUSY:
                        break
                    await asyncio.sleep(_BUSY_PAUSE_S)
        except (TimeoutError, OSError, ServerLostError):
            return None
        finally:
            pool.close("done")
        if not reply.is_success or not reply.rows:
            return None
        try:
            return self._protocol.parse_status(report.server, reply.rows[0])
        except ValueError:
            return None
