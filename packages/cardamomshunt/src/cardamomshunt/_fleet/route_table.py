"""Routes from databases to groups of backend servers, as a versioned table."""

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Consistency that reads of a route require."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


class ConfigurationInvalidError(ValueError):
    """Report a part of a configuration that is not valid."""


@dataclass(slots=True, frozen=True)
class Route:
    """Route of the sessions of one database to a group of backend servers."""

    name: str
    database: str
    group: str
    kind: RouteKind
    statement_timeout_ms: float
    objective_ms: float
    priority: int = 0
    max_age_ms: float = 0.0


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

    def route_of(self, database: str) -> Route | None:
        """Return the route of a database, or None if it has none."""
        return self.routes.get(database)


def build_route_table(
    version: int,
    routes: list[Route],
    groups: list[GroupLimits],
    transaction_idle_ms: float,
) -> RouteTable:
    """Build a validated table; raise ConfigurationInvalidError at the first error."""
    by_group = {group.name: group for group in groups}
    by_database: dict[str, Route] = {}
    for route in routes:
        if route.group not in by_group:
            raise ConfigurationInvalidError(
                f"route {route.name}: unknown group {route.group!r}"
            )
        if route.database in by_database:
            raise ConfigurationInvalidError(
                f"route {route.name}: database {route.database!r} has another route"
            )
        if not route.statement_timeout_ms > 0:
            raise ConfigurationInvalidError(
                f"route {route.name}: the statement timeout must be above 0"
            )
        by_database[route.database] = route
    return RouteTable(version, by_database, by_group, transaction_idle_ms)
