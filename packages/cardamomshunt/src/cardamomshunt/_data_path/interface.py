"""Interface of the data path."""

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

    Each `on_` method is called with the monotonic time and an input, and returns the
    effects that the host has to carry out. The same is true of `submit`, `cancel`,
    `drain` and `tick`.
    """

    @abstractmethod
    def on_topology(
        self, now_ms: float, update: TopologyUpdate
    ) -> list[DataPathEffect]:
        """Apply terms and primaries."""

    @abstractmethod
    def on_configuration(
        self, now_ms: float, document_json: str
    ) -> list[DataPathEffect]:
        """Apply the cluster configuration."""

    @abstractmethod
    def on_announcement(
        self, now_ms: float, announcement: Announcement, echo_issued_ms: float | None
    ) -> list[DataPathEffect]:
        """Apply a server's state; `echo_issued_ms` is when its token was issued."""

    @abstractmethod
    def on_confirmed_bound(
        self, now_ms: float, bound: ConfirmedBound | None, database: str
    ) -> list[DataPathEffect]:
        """Apply the answer to a position query; None if the query failed."""

    @abstractmethod
    def on_grants(
        self, now_ms: float, grants: list[ConnectionGrant]
    ) -> list[DataPathEffect]:
        """Apply grants of connections."""

    @abstractmethod
    def on_drain(
        self, now_ms: float, instance: str, is_draining: bool
    ) -> list[DataPathEffect]:
        """Stop or resume sending new requests to an instance."""

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
        """Back off after a connection could not be opened."""

    @abstractmethod
    def on_connection_closed(
        self, now_ms: float, connection_id: ConnectionId, detail: str
    ) -> list[DataPathEffect]:
        """Remove a connection that the server closed."""

    @abstractmethod
    def on_connection_reset(
        self, now_ms: float, connection_id: ConnectionId
    ) -> list[DataPathEffect]:
        """Return a connection to the pool after its reset."""

    @abstractmethod
    def on_attempt_result(
        self, now_ms: float, result: AttemptResult
    ) -> list[DataPathEffect]:
        """Process the result of an attempt."""

    @abstractmethod
    def cancel(self, now_ms: float, request_id: RequestId) -> list[DataPathEffect]:
        """Cancel a request; the connection of a running attempt is closed."""

    @abstractmethod
    def on_caller_disconnected(
        self, now_ms: float, caller_id: CallerId
    ) -> list[DataPathEffect]:
        """Abandon the request of a caller, and roll back its transaction."""

    @abstractmethod
    def drain(self, now_ms: float) -> list[DataPathEffect]:
        """Refuse new requests outside transactions; open transactions may finish."""

    @abstractmethod
    def tick(self, now_ms: float) -> list[DataPathEffect]:
        """Process the deadlines that have passed."""

    @abstractmethod
    def next_deadline_ms(self) -> float | None:
        """Return the time at which `tick` has to be called next."""

    @abstractmethod
    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session, or None if there is none."""

    @abstractmethod
    def n_open_requests(self) -> int:
        """Return the number of unfinished requests and open transactions."""

    @abstractmethod
    def observations(self, now_ms: float) -> list[InstanceObservation]:
        """Return the state of all known instances for a health report."""

    @abstractmethod
    def connection_demand(self, now_ms: float) -> list[ConnectionDemand]:
        """Return the number of connections that this entry VM can use, by instance."""
