"""What a read must see, and what its answer tells of a server."""

from cardamomshunt.fleet import Route, RouteKind
from cardamomshunt.freshness import DatedPosition

from cardamomshunt_node._backend_pool import Reply, ServerPool
from cardamomshunt_node._fleet_view import FleetView
from cardamomshunt_node._line_session_state import LineSession
from cardamomshunt_node._session_protocol import ErrorCode

# A bound may be this much younger than the age that a route accepts.
_AGE_MARGIN_MS = 60.0


class ReadFreshness:
    """Derive requirements from bounds, and bounds from answers of primaries."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def requirement(
        self, session: LineSession, route: Route, received_ms: float
    ) -> DatedPosition | None:
        """Return what a replica's log must hold, and since when that is known.

        None means that nothing proves a replica fresh enough.
        """
        if route.kind is RouteKind.PRIMARY:
            return None
        since_ms = received_ms - route.max_age_ms + _AGE_MARGIN_MS
        bound = self._view.bound_since(route.group, since_ms)
        own = session.positions.get(route.group)
        if (
            bound is not None
            and route.kind is RouteKind.READ_YOUR_WRITES
            and own is not None
            and own.position > bound.position
        ):
            return own
        return bound

    def record_reply(
        self,
        pool: ServerPool,
        route: Route,
        reply: Reply,
        required: DatedPosition | None,
        sent_ms: float,
    ) -> None:
        """Learn a bound from the primary, or how far a replica is behind."""
        if required is None:
            if reply.position is not None and reply.code is not ErrorCode.READ_ONLY:
                self._view.add_bound(route.group, reply.position, sent_ms)
            return
        if reply.code is ErrorCode.LAGGING:
            pool.record_lag(sent_ms - required.since_ms)
