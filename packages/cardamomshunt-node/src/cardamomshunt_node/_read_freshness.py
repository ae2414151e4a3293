"""Freshness that reads require of replicas, and bounds derived from answers."""

from cardamomshunt.fleet import Route, RouteKind
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_connection import Reply
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import LineSession
from cardamomshunt_node._server_pool import ServerPool
from cardamomshunt_node._session_protocol import ErrorCode

# Bounds have to be younger than the accepted age by this margin.
_AGE_MARGIN_MS = 60.0


class ReadFreshness:
    """Compute the position that a read requires, and update bounds from answers."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def requirement(
        self, session: LineSession, route: Route, received_ms: float
    ) -> DatedPosition | None:
        """Return the position that a replica must have reached, and since when.

        None means that only the primary may serve the read, as no known position
        proves a replica fresh enough.
        """
        if route.kind is RouteKind.PRIMARY:
            return None
        since_ms = received_ms - route.max_age_ms + _AGE_MARGIN_MS
        bound = self._view.bound_since(route.group, since_ms)
        last_write = session.positions.get(route.group)
        if (
            bound is not None
            and route.kind is RouteKind.READ_YOUR_WRITES
            and last_write is not None
            and last_write.position > bound.position
        ):
            return last_write
        return bound

    def record_reply(
        self,
        pool: ServerPool,
        route: Route,
        reply: Reply,
        required: DatedPosition | None,
        sent_ms: float,
    ) -> None:
        """Record a bound from a primary's answer, or the lag of a replica."""
        if required is None:
            if reply.position is not None and reply.code is not ErrorCode.READ_ONLY:
                self._view.add_bound(route.group, reply.position, sent_ms)
            return
        if reply.code is ErrorCode.LAGGING:
            pool.record_lag(sent_ms - required.since_ms)
