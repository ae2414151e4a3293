"""Page of an entry VM that lists its teams for operators."""

import msgspec
from cardamomshunt.fleet import RouteTable, Team, key_fingerprint

from cardamomshunt_node._http import HttpResponse

TEAM_PAGE_PATH = "/teams"


class TeamRow(msgspec.Struct, frozen=True):
    """One team; keys are shown by fingerprints only. A rate of 0 is unlimited."""

    name: str
    fingerprints: list[str]
    priority: int
    rate_per_s: float
    burst: float


class TeamPage(msgspec.Struct, frozen=True):
    """Teams of the configuration in force at an entry VM."""

    configuration_version: int
    teams: list[TeamRow]


def build_team_page(table: RouteTable) -> TeamPage:
    """Build the page, sorted by name."""
    teams = sorted(table.teams.teams.values(), key=lambda team: team.name)
    return TeamPage(table.version, [_build_row(team) for team in teams])


def _build_row(team: Team) -> TeamRow:
    return TeamRow(
        name=team.name,
        fingerprints=sorted(key_fingerprint(digest) for digest in team.key_digests),
        priority=team.priority,
        rate_per_s=team.rate_per_s,
        burst=team.burst,
    )


def team_page_response(table: RouteTable) -> HttpResponse:
    """Return the response that carries the page as JSON."""
    return HttpResponse(200, msgspec.json.encode(build_team_page(table)))
