"""Pages that daemons serve to operators over HTTP."""

from cardamomshunt_node._http import HttpRequest, HttpResponse, call_http
from cardamomshunt_node._team_page import TEAM_PAGE_PATH, TeamPage, TeamRow

__all__ = [
    "TEAM_PAGE_PATH",
    "HttpRequest",
    "HttpResponse",
    "TeamPage",
    "TeamRow",
    "call_http",
]
