"""Interface between the proxy's core and callers of one protocol."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cardamomshunt.effects import CallerId, CompleteRequest, RequestKind, SessionHints
from cardamomshunt.position import LogPosition
from cardamomshunt.verdict import Refusal

from cardamomshunt_node._backend_edge_answers import Answer


@dataclass(slots=True)
class StatementRequest:
    """Hold one statement of a caller as its edge understood it."""

    caller_id: CallerId
    database: str
    text: str
    kind: RequestKind
    hints: SessionHints
    fingerprint: str = ""


@dataclass(slots=True)
class RequestResult:
    """Hold the answer or refusal of a request.

    `completion` stays None while rows still stream, and after a refusal.
    """

    answer: Answer | Refusal
    completion: CompleteRequest | None = None


class RequestPort(ABC):
    """Take the requests of callers; called on the event loop."""

    @abstractmethod
    def open_caller(self) -> CallerId:
        """Return the id of a new caller connection."""

    @abstractmethod
    def close_caller(self, caller_id: CallerId) -> None:
        """Abandon a caller's requests and roll back its transaction."""

    @abstractmethod
    async def run(self, request: StatementRequest) -> RequestResult:
        """Run a request to its end; a cancelled call abandons it."""

    @abstractmethod
    def watermark(self, caller_id: CallerId, database: str) -> LogPosition | None:
        """Return the watermark of a caller's session."""


class CallerEdge(ABC):
    """Accept callers of one protocol and turn their statements into requests."""

    @abstractmethod
    async def start(self) -> None:
        """Listen; raise OSError if the address is taken."""

    @property
    @abstractmethod
    def n_callers(self) -> int:
        """Count the open caller connections."""

    @abstractmethod
    async def drain(self, drain_ms: float) -> bool:
        """Refuse new callers, let transactions end and close what is left.

        Idle callers are told in the way of their protocol. Return False if the time
        ran out first.
        """
