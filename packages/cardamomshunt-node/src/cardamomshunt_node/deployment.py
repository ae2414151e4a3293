"""Daemons for deployments whose servers announce themselves, and their platform."""

from cardamomshunt_node._control_node import ControlNodeDaemon
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
from cardamomshunt_node._entry_daemon import EntryDaemon
from cardamomshunt_node._http import HttpRequest, HttpResponse
from cardamomshunt_node._session_protocol import (
    CallerEnd,
    CallerMessage,
    CallerOpen,
    CallerQuery,
    ErrorCode,
    LineKind,
    ServerLine,
    SessionProtocol,
    Shape,
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
    "ControlNodeDaemon",
    "ControlReply",
    "DeploymentSettings",
    "EntryDaemon",
    "ErrorCode",
    "HttpRequest",
    "HttpResponse",
    "LineKind",
    "Platform",
    "Promotion",
    "ServerLeft",
    "ServerLine",
    "ServerReported",
    "SessionProtocol",
    "Shape",
    "Statement",
    "StatementKind",
    "TransactionState",
    "UnknownCall",
]
