"""Abstract base class of the decisions on the data path."""

from abc import ABC, abstractmethod

from cardamomshunt._data_path.effects import (
    AttemptResult,
    CallerId,
    ConfirmedBound,
    ConnectionId,
    ConnectionOpened,
    DataPathEffect,
    Request,
    RequestId,
)
from cardamomshunt._shared.messages import (
    Announcement,
    ConnectionDemand,
    ConnectionGrant,
    InstanceObservation,
    TopologyUpdate,
)
from cardamomshunt._shared.position import LogPosition


class AbstractDataPath(ABC):
    """Decide on requests, connections and retries, without I/O.

    Each method takes the monotonic time first and returns what the host has to do.
    """

    @abstractmethod
    def on_topology(
        self, now_ms: float, update: TopologyUpdate
    ) -> list[DataPathEffect]:
        """Take over terms and primaries."""

    @abstractmethod
    def on_configuration(
        self, now_ms: float, document_json: str
    ) -> list[DataPathEffect]:
        """Take over the cluster configuration."""

    @abstractmethod
    def on_announcement(
        self, now_ms: float, announcement: Announcement, echo_issued_ms: float | None
    ) -> list[DataPathEffect]:
        """Take over a server's state; `echo_issued_ms` is when its token was issued."""

    @abstractmethod
    def on_confirmed_bound(
        self, now_ms: float, bound: ConfirmedBound | None, database: str
    ) -> list[DataPathEffect]:
        """Take over the answer of a position query; None when it failed."""

    @abstractmethod
    def on_grants(
        self, now_ms: float, grants: list[ConnectionGrant]
    ) -> list[DataPathEffect]:
        """Take over connection leases."""

    @abstractmethod
    def on_drain(
        self, now_ms: float, instance: str, is_draining: bool
    ) -> list[DataPathEffect]:
        """Stop or resume giving an instance new work."""

    @abstractmethod
    def submit(self, now_ms: float, request: Request) -> list[DataPathEffect]:
        """Accept a request."""

    @abstractmethod
    def on_connection_opened(
        self, now_ms: float, opened: ConnectionOpened
    ) -> list[DataPathEffect]:
        """Add an open connection to the pool."""

    @abstractmethod
    def on_connection_failed(
        self, now_ms: float, connection_id: ConnectionId, is_refused: bool, detail: str
    ) -> list[DataPathEffect]:
        """Note that a dial failed."""

    @abstractmethod
    def on_connection_closed(
        self, now_ms: float, connection_id: ConnectionId, detail: str
    ) -> list[DataPathEffect]:
        """Note that an idle connection was closed by the server."""

    @abstractmethod
    def on_connection_reset(
        self, now_ms: float, connection_id: ConnectionId
    ) -> list[DataPathEffect]:
        """Put a connection that was reset back into the pool."""

    @abstractmethod
    def on_attempt_result(
        self, now_ms: float, result: AttemptResult
    ) -> list[DataPathEffect]:
        """Take over the end of an attempt."""

    @abstractmethod
    def cancel(self, now_ms: float, request_id: RequestId) -> list[DataPathEffect]:
        """Abandon a request; its connection is closed if an attempt runs."""

    @abstractmethod
    def on_caller_disconnected(
        self, now_ms: float, caller_id: CallerId
    ) -> list[DataPathEffect]:
        """Abandon a caller's requests and roll back its transaction."""

    @abstractmethod
    def drain(self, now_ms: float) -> list[DataPathEffect]:
        """Refuse new requests outside transactions; let the rest finish."""

    @abstractmethod
    def tick(self, now_ms: float) -> list[DataPathEffect]:
        """Act on deadlines that have passed."""

    @abstractmethod
    def next_deadline_ms(self) -> float | None:
        """Return the time of the next needed tick."""

    @abstractmethod
    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""

    @abstractmethod
    def n_open_requests(self) -> int:
        """Count requests and transactions that are not over."""

    @abstractmethod
    def observations(self, now_ms: float) -> list[InstanceObservation]:
        """Describe all known instances for a health report."""

    @abstractmethod
    def connection_demand(self, now_ms: float) -> list[ConnectionDemand]:
        """State the connections that this entry VM can use."""
