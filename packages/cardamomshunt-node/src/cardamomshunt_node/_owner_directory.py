"""Owners of sessions as one entry VM sees them, and its part of the connections."""

from cardamomshunt.fleet import ServerState, SessionOwners, zone_size

from cardamomshunt_node._boot_clock import boot_ms
from cardamomshunt_node._fleet_view import FleetView


class OwnerDirectory:
    """Choose owners by the zone's list of entry VMs and the configuration in force."""

    def __init__(self, own_address: str, view: FleetView) -> None:
        self._own_address = own_address
        self._view = view
        self._owners = SessionOwners(own_address)
        self.is_draining = False
        self._zones_digest: int | None = None
        self._n_known_zones = 1
        view.owned_quota = self._owned_quota

    @property
    def digest(self) -> int:
        """Return the digest of the known list of entry VMs, or 0 if there is none."""
        return self._owners.digest

    def record_entries(self, entries: list[str]) -> None:
        """Replace the list of the entry VMs of the zone."""
        self._owners.record_entries(entries)

    @property
    def _n_zones(self) -> int:
        registry = self._view.registry
        digest = registry.digest()
        if digest != self._zones_digest:
            self._zones_digest = digest
            self._n_known_zones = len(
                {
                    report.zone
                    for report in registry.all()
                    if report.state is not ServerState.GONE
                }
            )
        return max(self._n_known_zones, 1)

    def holders(self) -> list[str]:
        """Return the entry VMs that own teams, or none if each serves its sessions."""
        if not self._view.table.has_teams:
            return []
        return self._owners.holders(self._view.table, self._n_zones)

    def candidates(self, team: str, group: str) -> list[str]:
        """Return the entry VMs to forward a session to, best first."""
        table = self._view.table
        if not table.has_teams:
            return []
        return self._owners.candidates(table, self._n_zones, team, group, boot_ms())

    def avoid(self, address: str) -> bool:
        """Open no sessions at an entry VM for a while; return whether that is new."""
        return self._owners.avoid(address, boot_ms())

    def watched_groups(self) -> list[str] | None:
        """Return the groups whose primaries this entry VM uses; None stands for all."""
        return self._view.groups_in_use() if self.holders() else None

    def _owned_quota(self, is_primary: bool) -> int:
        """Return how many connections a holder may open to a server, else 0.

        The holders of a zone share the zone's part of a primary's connections. Replicas
        are mostly read within their zone.
        """
        holders = self.holders()
        if self._own_address not in holders:
            return 0
        n_zones = self._n_zones if is_primary else 1
        size = zone_size(self._view.table, self._owners.n_entries, n_zones)
        return max(size.n_connections // len(holders), 1)
