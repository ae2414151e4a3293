"""Control node as a child process, on a platform that knows only configurations.

Run by its path with the interpreter of a checkout, so that the control node is of that
checkout: `python _core_process.py SETTINGS.json`.
"""

import asyncio
import sys
from pathlib import Path
from typing import cast

import msgspec
from cardamomshunt.fleet import ConfigurationInvalidError, RouteTable
from cardamomshunt_node.control_node import ControlNodeDaemon
from cardamomshunt_node.deployment import (
    ConfigurationAsked,
    ConfigurationPut,
    ControlCall,
    ControlReply,
    DeploymentSettings,
    HttpRequest,
    HttpResponse,
    Platform,
    Promotion,
    SessionProtocol,
    UnknownCall,
)

CONFIGURATION_PATH = "/configuration"


class Configuration(msgspec.Struct, kw_only=True):
    """Configuration without routes; `filler` gives it its size."""

    version: int
    filler: str


class _ConfigurationPlatform(Platform):
    """Accept configurations, and no server or session."""

    @property
    def session_protocol(self) -> SessionProtocol:
        """Return no codec; no server reports, so that no session is opened."""
        return cast(SessionProtocol, None)

    def load_settings(self) -> DeploymentSettings:
        """Load the settings from the file that the first argument names."""
        data = Path(sys.argv[1]).read_bytes()
        return msgspec.json.decode(data, type=DeploymentSettings)

    def parse_control_call(self, request: HttpRequest) -> ControlCall:
        """Parse a call on the configuration."""
        if request.path != CONFIGURATION_PATH:
            return UnknownCall()
        if request.method == "POST":
            return ConfigurationPut(request.body)
        return ConfigurationAsked()

    def control_response(
        self, reply: ControlReply, request: HttpRequest
    ) -> HttpResponse:
        """Return the response to a control call."""
        headers = dict(reply.headers)
        if reply.redirect:
            headers["Location"] = f"http://{reply.redirect}{request.path}"
        return HttpResponse(reply.status, reply.body, headers)

    def is_health_check(self, request: HttpRequest) -> bool:
        """Return False, as nothing checks a control node."""
        return False

    def parse_configuration(self, document: bytes) -> RouteTable:
        """Decode a configuration; raise ConfigurationInvalidError."""
        try:
            found = msgspec.json.decode(document, type=Configuration)
        except msgspec.MsgspecError as error:
            raise ConfigurationInvalidError(str(error)) from error
        return RouteTable(version=found.version)

    def promotion_request(self, promotion: Promotion) -> HttpRequest:
        """Raise NotImplementedError, as there are no servers."""
        raise NotImplementedError


def main() -> None:
    """Run a control node until SIGTERM."""
    platform = _ConfigurationPlatform()
    asyncio.run(ControlNodeDaemon(platform, platform.load_settings()).run())


if __name__ == "__main__":
    main()
