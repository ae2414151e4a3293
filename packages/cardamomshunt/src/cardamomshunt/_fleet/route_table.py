"""Routes from databases to groups of backend servers, as a versioned table."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from cardamomshunt._fleet.teams import (
    Team,
    TeamInvalidError,
    TeamTable,
    build_team_table,
)


class RouteKind(enum.Enum):
    """Consistency that reads of a route require."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


class ConfigurationInvalidError(ValueError):
    """Report a part of a configuration that is not valid."""


@dataclass(slots=True, frozen=True)
class Route:
    """Route of the sessions of one database to a group of backend servers.

    Sessions of a route that is not public need the key of a team. They name no path: of
    several routes of a database the one with the shortest prefix serves them, and of
    equally short ones the first in the alphabet.
    """

    name: str
    database: str
    group: str
    kind: RouteKind
    statement_timeout_ms: float
    objective_ms: float
    priority: int = 0
    max_age_ms: float = 0.0
    is_public: bool = True
    path_prefix: str = "/"


@dataclass(slots=True, frozen=True)
class GroupLimits:
    """Limits of one group of backend servers."""

    name: str
    n_connections_max: int
    n_sync_replicas: int = 0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """Routes and groups of one version of the configuration."""

    version: int = 0
    routes: dict[str, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_ms: float = 3_000.0
    teams: TeamTable = field(default_factory=TeamTable)

    @property
    def has_teams(self) -> bool:
        """Return whether sessions belong to teams."""
        return bool(self.teams.teams)

    def route_of(self, database: str) -> Route | None:
        """Return the route of a database, or None if it has none."""
        return self.routes.get(database)

    def team_of_session(self, route: Route, digest: bytes) -> str | None:
        """Return the team of a session by the digest of its key, or None if denied.

        The name is empty for sessions without a team.
        """
        team = self.teams.by_digest.get(digest)
        if team is not None:
            return team.name
        return "" if route.is_public else None


def build_route_table(
    version: int,
    routes: list[Route],
    groups: list[GroupLimits],
    transaction_idle_ms: float,
    teams: Iterable[Team] = (),
) -> RouteTable:
    """Build a validated table; raise ConfigurationInvalidError at the first error."""
    by_group = {group.name: group for group in groups}
    by_path: dict[tuple[str, str], Route] = {}
    for route in routes:
        if route.group not in by_group:
            raise ConfigurationInvalidError(
                f"route {route.name}: unknown group {route.group!r}"
            )
        path = (route.database, route.path_prefix)
        if path in by_path:
            raise ConfigurationInvalidError(
                f"route {route.name}: database {route.database!r} has another route "
                f"with the prefix {route.path_prefix!r}"
            )
        if not route.statement_timeout_ms > 0:
            raise ConfigurationInvalidError(
                f"route {route.name}: the statement timeout must be above 0"
            )
        by_path[path] = route
    try:
        team_table = build_team_table(teams)
    except TeamInvalidError as error:
        raise ConfigurationInvalidError(str(error)) from error
    by_database = _routes_of_sessions(by_path.values())
    return RouteTable(version, by_database, by_group, transaction_idle_ms, team_table)


def _routes_of_sessions(routes: Iterable[Route]) -> dict[str, Route]:
    """Return the route that serves the sessions of each database."""

    def rank(route: Route) -> tuple[int, str]:
        return len(route.path_prefix), route.path_prefix

    chosen: dict[str, Route] = {}
    for route in routes:
        known = chosen.get(route.database)
        if known is None or rank(route) < rank(known):
            chosen[route.database] = route
    return chosen
