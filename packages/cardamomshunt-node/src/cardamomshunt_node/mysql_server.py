"""MySQL server edge: sessions, results and errors in the MySQL protocol."""

from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType

from cardamomshunt_node._mysql_server import MysqlServerEdge
from cardamomshunt_node._mysql_session import (
    MysqlSession,
    Ok,
    Rows,
    ServerError,
    ServerLimits,
    StatementResult,
)

__all__ = [
    "ColumnType",
    "MysqlServerEdge",
    "MysqlSession",
    "Ok",
    "ResultColumn",
    "Rows",
    "ServerError",
    "ServerLimits",
    "StatementResult",
]
