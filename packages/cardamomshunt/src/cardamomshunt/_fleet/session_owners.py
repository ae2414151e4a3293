"""Choice of the entry VM of a zone that runs the sessions of a team."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from cardamomshunt._fleet.connection_quota import N_RESERVED
from cardamomshunt._fleet.messages import digest_of
from cardamomshunt._fleet.route_table import RouteTable

# An owner runs statements of several teams at the same time on one server.
_N_CONNECTIONS_PER_HOLDER = 3
_N_HOLDERS_MIN = 2
# Larger teams are divided by group, as several of them may meet at one owner.
_SPREAD_ABOVE_PER_S = 5.0
_AVOID_MS = 2_000.0
# Each attempt to reach an owner may delay the opening of a session.
_N_CANDIDATES_MAX = 3
_HASH_SIZE_BYTES = 8


@dataclass(slots=True, frozen=True)
class ZoneSize:
    """Numbers that decide how the sessions of a zone are divided among its entry VMs.

    `n_connections` are those to one server that the zone may use.
    """

    n_entries: int
    n_teams: int
    n_connections: int


def zone_size(table: RouteTable, n_entries: int, n_zones: int) -> ZoneSize:
    """Return the numbers of a zone; the smallest group decides the connections.

    Sessions without a team count as one more team.
    """
    n_teams = len(table.teams.teams)
    if n_teams and any(route.is_public for route in table.routes.values()):
        n_teams += 1
    n_connections_max = min(
        (group.n_connections_max for group in table.groups.values()), default=0
    )
    n_usable = max(n_connections_max - N_RESERVED, 0)
    return ZoneSize(n_entries, n_teams, n_usable // max(n_zones, 1))


def needs_owners(zone: ZoneSize) -> bool:
    """Return whether sessions are forwarded to the owners of their teams.

    They are where a zone cannot open one connection for each team at each entry VM.

    >>> needs_owners(ZoneSize(n_entries=21, n_teams=74, n_connections=22))
    True
    >>> needs_owners(ZoneSize(n_entries=3, n_teams=2, n_connections=10))
    False
    """
    if zone.n_teams == 0 or zone.n_entries < 2 or zone.n_connections == 0:
        return False
    return zone.n_connections < zone.n_entries * zone.n_teams


def count_holders(zone: ZoneSize) -> int:
    """Return how many entry VMs of a zone hold connections and own teams.

    >>> count_holders(ZoneSize(n_entries=21, n_teams=74, n_connections=22))
    7
    """
    n_wanted = zone.n_connections // _N_CONNECTIONS_PER_HOLDER
    return min(max(n_wanted, _N_HOLDERS_MIN), zone.n_entries)


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order in which they own a key.

    When a member leaves, only the keys that it owned get another owner.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> bytes:
    text = f"{key}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=_HASH_SIZE_BYTES).digest()


def _is_spread(table: RouteTable, team: str) -> bool:
    """Return whether the groups of a team have different owners."""
    limits = table.teams.teams.get(team)
    if limits is None:
        return True
    return not limits.is_limited or limits.rate_per_s > _SPREAD_ABOVE_PER_S


class SessionOwners:
    """Choose the owners of sessions among the entry VMs of a zone.

    All entry VMs of a zone choose the same owners as long as they know the same list
    and the same configuration.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._entries: list[str] = []
        self._avoided_until_ms: dict[str, float] = {}
        self._chosen_for: tuple[RouteTable, int] | None = None
        self._holders: list[str] = []

    @property
    def n_entries(self) -> int:
        """Return the number of entry VMs of the zone, or 0 while it is not known."""
        return len(self._entries)

    @property
    def digest(self) -> int:
        """Return the digest of the known list, or 0 if there is none."""
        return digest_of(self._entries) if self._entries else 0

    def record_entries(self, entries: list[str]) -> None:
        """Replace the list of the entry VMs of the zone."""
        self._entries = sorted(entries)
        self._chosen_for = None

    def avoid(self, address: str, now_ms: float) -> bool:
        """Open no sessions at an entry VM for a while; return whether that is new."""
        is_new = not self.is_avoided(address, now_ms)
        self._avoided_until_ms[address] = now_ms + _AVOID_MS
        return is_new

    def is_avoided(self, address: str, now_ms: float) -> bool:
        """Return whether no sessions are opened at an entry VM for now."""
        return now_ms < self._avoided_until_ms.get(address, float("-inf"))

    def holders(self, table: RouteTable, n_zones: int) -> list[str]:
        """Return the entry VMs that own teams, or none if each serves its sessions."""
        # Tables are replaced, never changed.
        if self._chosen_for is None or not (
            self._chosen_for[0] is table and self._chosen_for[1] == n_zones
        ):
            zone = zone_size(table, len(self._entries), n_zones)
            n_holders = count_holders(zone) if needs_owners(zone) else 0
            self._holders = rendezvous_order("", self._entries)[:n_holders]
            self._chosen_for = (table, n_zones)
        return self._holders

    def candidates(
        self, table: RouteTable, n_zones: int, team: str, group: str, now_ms: float
    ) -> list[str]:
        """Return the entry VMs to open a session at, best first.

        This entry VM serves the session itself if the list is empty or none of them can
        be reached. Those that are avoided are left out.
        """
        holders = self.holders(table, n_zones)
        found = []
        for address in _owner_order(table, holders, team, group, self._own_address):
            if address == self._own_address:
                break
            if not self.is_avoided(address, now_ms):
                found.append(address)
        return found[:_N_CANDIDATES_MAX]


def _owner_order(
    table: RouteTable, holders: list[str], team: str, group: str, own_address: str
) -> list[str]:
    """Return the holders in the order in which they own a team's sessions of a group.

    The groups of a large team take successive holders as their first one, so that no
    two of them meet. Sessions without a team are divided by the entry VM that accepts
    them.
    """
    order = rendezvous_order(team or own_address, holders)
    if not holders or not team or not _is_spread(table, team):
        return order
    start = sorted(table.groups).index(group) % len(order)
    return order[start:] + order[:start]
