"""Single writes, and the check before a primary's answer is acknowledged."""

import asyncio

from cardamomshunt.fleet import Route
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_connection import (
    BackendConnection,
    Reply,
    ServerLostError,
)
from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._decision_log import DecisionLog
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import (
    SERVABILITY_CHECK_MS,
    LineSession,
    RefusedError,
    former_primary_error,
    not_run_error,
    record_answer,
    retry_pause_ms,
    seconds_until,
    statement_deadline_ms,
)
from cardamomshunt_node._server_pool import ServerBusyError
from cardamomshunt_node._session_protocol import (
    NOT_RUN_CODES,
    CallerQuery,
    ErrorCode,
)
from cardamomshunt_node._statement_sender import StatementSender


class WriteRunner:
    """Run single writes on the current primary."""

    def __init__(
        self, view: FleetView, sender: StatementSender, log: DecisionLog
    ) -> None:
        self._view = view
        self._sender = sender
        self._log = log

    async def write(
        self,
        session: LineSession,
        query: CallerQuery,
        route: Route,
        received_ms: float,
    ) -> Reply:
        """Run a single write and return its answer; raise RefusedError."""
        deadline_ms = statement_deadline_ms(
            route, received_ms, self._view.answer_deadline_ms
        )
        n_refused = 0
        while True:
            session.may_cancel = True
            try:
                connection, epoch = await self._acquire(session, route, deadline_ms)
            finally:
                session.may_cancel = False
            sent_ms = boot_ms()
            try:
                future = self._sender.send(connection, session, query, None)
                async with asyncio.timeout(seconds_until(deadline_ms)):
                    reply = await future
                record_answer(connection, route, "write", sent_ms, reply)
            except (TimeoutError, ServerLostError) as error:
                record_answer(connection, route, "write", sent_ms, None)
                raise RefusedError(
                    ErrorCode.IN_DOUBT, f"no answer from {connection.pool.server}"
                ) from error
            finally:
                connection.pool.release(connection)
            if reply.code in NOT_RUN_CODES and boot_ms() < deadline_ms:
                await self._view.wait_for_change(retry_pause_ms(n_refused))
                n_refused += 1
                continue
            return self.acknowledge(
                query.request_id, session, route, reply, epoch, sent_ms
            )

    async def _acquire(
        self, session: LineSession, route: Route, deadline_ms: float
    ) -> tuple[BackendConnection, int]:
        """Return a connection to the current primary, and its epoch."""
        reason = "no primary is available"
        retry_after_ms: int | None = None
        n_lost = 0
        while (now := boot_ms()) < deadline_ms:
            primary = self._view.primary(route.group)
            if primary is None:
                pause_ms = self._view.retry_after_ms(route.group, deadline_ms)
                if pause_ms is not None:
                    raise not_run_error(ErrorCode.BUSY, reason, pause_ms)
                await self._view.wait_for_change(
                    min(deadline_ms - now, SERVABILITY_CHECK_MS)
                )
                continue
            pool, epoch = primary
            try:
                connection = await pool.acquire(
                    route.priority, deadline_ms, session.values, session.team
                )
            except ServerBusyError as error:
                reason, retry_after_ms = str(error), error.retry_after_ms
                break
            except ServerLostError as error:
                reason = str(error)
                await self._view.wait_for_change(retry_pause_ms(n_lost))
                n_lost += 1
                continue
            current = self._view.primary(route.group)
            if current is not None and current[1] == epoch:
                return connection, epoch
            pool.release(connection)
        raise not_run_error(ErrorCode.BUSY, reason, retry_after_ms)

    def acknowledge(
        self,
        request_id: str,
        session: LineSession,
        route: Route,
        reply: Reply,
        epoch: int,
        sent_ms: float,
    ) -> Reply:
        """Return the answer of a write or commit; raise RefusedError if in doubt.

        An answer of a primary that may have been replaced meanwhile proves nothing: the
        write may be missing at its successor.
        """
        if not reply.is_success:
            return reply
        refusal = self._view.ack_refusal(route.group, epoch)
        if refusal is not None:
            self._log.write_request(
                "acknowledgement_refused",
                request=request_id,
                session=session.session_id,
                group=route.group,
                epoch=epoch,
                reason=refusal.value,
                elapsed_ms=round(boot_ms() - sent_ms, 1),
            )
            raise former_primary_error(ErrorCode.IN_DOUBT, refusal, epoch)
        self._log.write_request(
            "acknowledged",
            request=request_id,
            session=session.session_id,
            epoch=epoch,
            position=reply.position,
            elapsed_ms=round(boot_ms() - sent_ms, 1),
            configuration_version=self._view.table.version,
        )
        if reply.position is not None:
            self._view.add_bound(route.group, reply.position, sent_ms)
            session.positions[route.group] = DatedPosition(reply.position, boot_ms())
        return reply
