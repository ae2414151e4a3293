"""Interface between the proxy's core and the callers of one protocol."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cardamomshunt.effects import CallerId, CompleteRequest, RequestKind, SessionHints
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal

from cardamomshunt_node._backend_edge_answers import Answer


@dataclass(slots=True)
class StatementRequest:
    """Statement of a caller, as parsed by the caller edge."""

    caller_id: CallerId
    database: str
    text: str
    kind: RequestKind
    hints: SessionHints
    fingerprint: str = ""


@dataclass(slots=True)
class RequestResult:
    """Answer or refusal of a request.

    `completion` is None while rows are still being streamed, and after a refusal.
    """

    answer: Answer | Refusal
    completion: CompleteRequest | None = None


class RequestPort(ABC):
    """Run the requests of callers, on the event loop."""

    @abstractmethod
    def open_caller(self) -> CallerId:
        """Return the id of a new caller connection."""

    @abstractmethod
    def close_caller(self, caller_id: CallerId) -> None:
        """Abandon a caller's request and roll back its transaction."""

    @abstractmethod
    async def run(self, request: StatementRequest) -> RequestResult:
        """Run a request and return its result; cancelling the call abandons it."""

    @abstractmethod
    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""


class CallerEdge(ABC):
    """Accept callers of one protocol and convert their statements to requests."""

    @abstractmethod
    async def start(self) -> None:
        """Start listening; raise OSError if the address is in use."""

    @property
    @abstractmethod
    def n_callers(self) -> int:
        """Return the number of open caller connections."""

    @abstractmethod
    async def drain(self, drain_ms: float) -> bool:
        """Refuse new callers, let transactions finish and close all connections.

        Idle callers are notified as their protocol allows. Return False if connections
        were still open after the drain time.
        """
