"""Requests from operators to daemons."""

from cardamomshunt_node._operator_link import (
    NoReplyError,
    OperatorHandler,
    OperatorServer,
    send_request,
)

__all__ = ["NoReplyError", "OperatorHandler", "OperatorServer", "send_request"]
