"""Requests of operators to daemons."""

from cardamomshunt_node._operator_link import (
    NoReplyError,
    OperatorHandler,
    OperatorServer,
    ask,
)

__all__ = ["NoReplyError", "OperatorHandler", "OperatorServer", "ask"]
