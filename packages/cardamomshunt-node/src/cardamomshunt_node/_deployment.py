"""What a daemon needs to know of a platform: settings, formats and calls."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cardamomshunt.fleet import RouteTable, ServerReport

from cardamomshunt_node._http import HttpRequest, HttpResponse
from cardamomshunt_node._session_protocol import SessionProtocol


@dataclass(slots=True, frozen=True)
class DeploymentSettings:
    """Hold the settings of one process."""

    node: str
    zone: str
    host: str
    peer_port: int
    metrics_port: int
    control_addresses: list[str]
    is_first_start: bool = False
    data_folder: str = ""
    caller_address: str = ""
    health_address: str = ""
    control_address: str = ""
    promotion_address: str = ""
    stop_timeout_ms: float = 6_000.0
    # How many disks may be lost at once while nothing acknowledged is.
    n_disks_lost_max: int = 1

    @property
    def peer_address(self) -> str:
        """Return where this process takes messages of others."""
        return f"{self.host}:{self.peer_port}"

    @property
    def seed_peer_addresses(self) -> list[str]:
        """Return where the control nodes named by the settings take messages."""
        return [
            f"{address.rpartition(':')[0]}:{self.peer_port}"
            for address in self.control_addresses
        ]


@dataclass(slots=True, frozen=True)
class ServerReported:
    """Carry a backend server's report; None is one that can't be used."""

    report: ServerReport | None


@dataclass(slots=True, frozen=True)
class ServerLeft:
    """Carry that a backend server ends."""

    server: str


@dataclass(slots=True, frozen=True)
class ConfigurationPut:
    """Carry a configuration as sent."""

    document: bytes


@dataclass(slots=True, frozen=True)
class ConfigurationAsked:
    """Ask for the newest configuration."""


@dataclass(slots=True, frozen=True)
class UnknownCall:
    """Stand for a call that is not known."""


ControlCall = (
    ServerReported | ServerLeft | ConfigurationPut | ConfigurationAsked | UnknownCall
)


@dataclass(slots=True, frozen=True)
class Promotion:
    """Order a backend server to lead; tokens never fall."""

    group: str
    server: str
    holder: str
    token: int


@dataclass(slots=True)
class ControlReply:
    """Answer a control call; `redirect` is another control node's address."""

    status: int
    body: bytes = b""
    redirect: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class Platform(ABC):
    """Translate between a platform's formats and the product's types."""

    @property
    @abstractmethod
    def session_protocol(self) -> SessionProtocol:
        """Return the codec of sessions."""

    @abstractmethod
    def load_settings(self) -> DeploymentSettings:
        """Read the settings; raise ValueError or OSError."""

    @abstractmethod
    def parse_control_call(self, request: HttpRequest) -> ControlCall:
        """Return what a call to a control node asks for."""

    @abstractmethod
    def control_response(
        self, reply: ControlReply, request: HttpRequest
    ) -> HttpResponse:
        """Return the response to a control call."""

    @abstractmethod
    def is_health_check(self, request: HttpRequest) -> bool:
        """Tell whether a request asks whether this process is ready."""

    @abstractmethod
    def parse_configuration(self, document: bytes) -> RouteTable:
        """Decode a configuration; raise ConfigurationInvalidError."""

    @abstractmethod
    def promotion_request(self, promotion: Promotion) -> HttpRequest:
        """Return the call that orders a promotion."""
