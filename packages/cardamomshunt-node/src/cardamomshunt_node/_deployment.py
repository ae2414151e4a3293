"""Interface between daemons and a platform: settings, formats and control calls."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cardamomshunt.fleet import RouteTable, ServerReport

from cardamomshunt_node._http import HttpRequest, HttpResponse
from cardamomshunt_node._session_protocol import SessionProtocol


@dataclass(slots=True, frozen=True)
class DeploymentSettings:
    """Settings of one process."""

    node: str
    zone: str
    host: str
    peer_port: int
    metrics_port: int
    control_addresses: list[str]
    is_first_start: bool = False
    data_folder: str = ""
    # 0 if only the file system tells.
    disk_size_bytes: int = 0
    caller_address: str = ""
    health_address: str = ""
    control_address: str = ""
    promotion_address: str = ""
    stop_timeout_ms: float = 6_000.0
    # Number of disks that may fail at once without losing an acknowledged write.
    n_disks_lost_max: int = 1
    # Limit the use of servers by their answers, and refuse what can't be served in time.
    is_load_managed: bool = False
    # Log each statement that is sent to a server, without its text.
    is_statement_traced: bool = False

    @property
    def peer_address(self) -> str:
        """Return the address on which this process receives messages from others."""
        return f"{self.host}:{self.peer_port}"

    @property
    def seed_peer_addresses(self) -> list[str]:
        """Return the peer addresses of the control nodes named in the settings."""
        return [
            f"{address.rpartition(':')[0]}:{self.peer_port}"
            for address in self.control_addresses
        ]


@dataclass(slots=True, frozen=True)
class ServerReported:
    """Report of a backend server, or None if the report is invalid."""

    report: ServerReport | None


@dataclass(slots=True, frozen=True)
class ServerLeft:
    """Notice that a backend server has left."""

    server: str


@dataclass(slots=True, frozen=True)
class ConfigurationPut:
    """Replacement of the configuration, with the document as received."""

    document: bytes


@dataclass(slots=True, frozen=True)
class ConfigurationAsked:
    """Request for the newest configuration."""


@dataclass(slots=True, frozen=True)
class UnknownCall:
    """Call that is not known."""


ControlCall = (
    ServerReported | ServerLeft | ConfigurationPut | ConfigurationAsked | UnknownCall
)


@dataclass(slots=True, frozen=True)
class Promotion:
    """Order to a backend server to become primary; `token` never decreases."""

    group: str
    server: str
    holder: str
    token: int


@dataclass(slots=True)
class ControlReply:
    """Reply to a control call; `redirect` is the address of another control node."""

    status: int
    body: bytes = b""
    redirect: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class Platform(ABC):
    """Translate between the formats of a platform and the types of the proxy."""

    @property
    @abstractmethod
    def session_protocol(self) -> SessionProtocol:
        """Return the codec of the session protocol."""

    @abstractmethod
    def load_settings(self) -> DeploymentSettings:
        """Load the settings; raise ValueError or OSError."""

    @abstractmethod
    def parse_control_call(self, request: HttpRequest) -> ControlCall:
        """Parse a call to a control node."""

    @abstractmethod
    def control_response(
        self, reply: ControlReply, request: HttpRequest
    ) -> HttpResponse:
        """Return the HTTP response for the reply to a control call."""

    @abstractmethod
    def is_health_check(self, request: HttpRequest) -> bool:
        """Return whether a request is a readiness check of this process."""

    @abstractmethod
    def parse_configuration(self, document: bytes) -> RouteTable:
        """Decode a configuration; raise ConfigurationInvalidError."""

    @abstractmethod
    def promotion_request(self, promotion: Promotion) -> HttpRequest:
        """Return the HTTP request that orders a promotion."""
