"""Metrics of the requests that a proxy ends."""

from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.effects import RequestClass, RequestKind
from cardamomshunt.messages import TopologyUpdate
from cardamomshunt.verdict import Refusal, RefusalReason

from cardamomshunt_node._backend_edge_answers import ErrorAnswer
from cardamomshunt_node._caller_edge import RequestEnd, StatementRequest
from cardamomshunt_node.metrics import NodeMetrics, ReadBound, ReadRoute

_WRITES = frozenset(
    {RequestKind.WRITE, RequestKind.IMPLICIT_COMMIT, RequestKind.COMMIT}
)
# Refusals of writes that say that no primary took them.
_BLOCKING = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.NO_BACKEND,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.NOT_ACKNOWLEDGED,
    }
)


class RequestMeter:
    """Count reads by route, durations, refusals and the gaps without writes."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._configuration = ClusterConfiguration()
        self._term_since_ms: dict[str, tuple[int, float]] = {}

    def on_configuration(self, configuration: ClusterConfiguration) -> None:
        """Take over the ages that reads accept by default."""
        self._configuration = configuration

    def on_topology(self, now_ms: float, topology: TopologyUpdate) -> None:
        """Note when each database got its term."""
        for item in topology.databases:
            known = self._term_since_ms.get(item.database)
            if known is None or known[0] != item.term:
                self._term_since_ms[item.database] = (item.term, now_ms)

    def on_refusal(self, database: str, refusal: Refusal) -> None:
        """Count a refusal."""
        self._metrics.count_refusal(database, refusal)

    def on_end(
        self,
        request: StatementRequest,
        end: RequestEnd,
        started_ms: float,
        now_ms: float,
    ) -> None:
        """Take over the end of a request."""
        database = request.database
        request_class = _class_of(request)
        self._metrics.observe_duration(database, request_class, now_ms - started_ms)
        if request.kind is RequestKind.READ and end.completion is not None:
            route = ReadRoute.PRIMARY
            if end.completion.is_from_replica:
                route = ReadRoute.REPLICA
            bound = self._bound(request, request_class)
            self._metrics.count_read(database, route, bound)
        elif request.kind in _WRITES:
            self._on_write(database, end, started_ms, now_ms)

    def _on_write(
        self, database: str, end: RequestEnd, started_ms: float, now_ms: float
    ) -> None:
        if isinstance(end.answer, Refusal):
            if end.answer.reason in _BLOCKING:
                self._metrics.on_write_blocked(database, started_ms)
            return
        if isinstance(end.answer, ErrorAnswer):
            return
        _, term_since_ms = self._term_since_ms.get(database, (0, 0.0))
        if term_since_ms > started_ms:
            # The write was held while its primary was replaced.
            self._metrics.on_write_blocked(database, started_ms)
        self._metrics.on_write_acknowledged(database, now_ms)

    def _bound(
        self, request: StatementRequest, request_class: RequestClass
    ) -> ReadBound:
        max_age_ms = request.hints.max_age_ms
        if max_age_ms is None:
            settings = self._configuration.database(request.database)
            max_age_ms = settings.for_class(request_class).max_age_ms
        return ReadBound.AGE if max_age_ms > 0 else ReadBound.SESSION


def _class_of(request: StatementRequest) -> RequestClass:
    if request.hints.request_class is not None:
        return request.hints.request_class
    is_read = request.kind is RequestKind.READ
    return RequestClass.LOOKUP if is_read else RequestClass.ORDER
