"""Interface between daemons and a platform: settings, formats and control calls."""

from cardamomshunt_node._deployment import (
    ConfigurationAsked,
    ConfigurationPut,
    ControlCall,
    ControlReply,
    DeploymentSettings,
    Platform,
    Promotion,
    ServerLeft,
    ServerReported,
    UnknownCall,
)
from cardamomshunt_node._http import HttpRequest, HttpResponse
from cardamomshunt_node._recovery_steps import process_started_ms
from cardamomshunt_node._session_protocol import (
    CallerEnd,
    CallerMessage,
    CallerOpen,
    CallerQuery,
    ErrorCode,
    LineKind,
    PreparedStatement,
    ServerLine,
    SessionProtocol,
    Statement,
    StatementKind,
    TransactionState,
)

__all__ = [
    "CallerEnd",
    "CallerMessage",
    "CallerOpen",
    "CallerQuery",
    "ConfigurationAsked",
    "ConfigurationPut",
    "ControlCall",
    "ControlReply",
    "DeploymentSettings",
    "ErrorCode",
    "HttpRequest",
    "HttpResponse",
    "LineKind",
    "Platform",
    "PreparedStatement",
    "Promotion",
    "ServerLeft",
    "ServerLine",
    "ServerReported",
    "SessionProtocol",
    "Statement",
    "StatementKind",
    "TransactionState",
    "UnknownCall",
    "process_started_ms",
]
