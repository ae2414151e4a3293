"""Division of a server's connections among the entry VMs."""

from dataclasses import dataclass

# Not part of any quota: for control nodes and for entry VMs that reconnect.
N_RESERVED = 3
_N_PER_ENTRY_MIN = 2


@dataclass(slots=True, frozen=True)
class ConnectionQuota:
    """Connections that each server of a group accepts, and the entry VMs that share them.

    `n_entries` is 0 until it is known.
    """

    n_connections_max: int
    n_entries: int

    @property
    def _n_usable(self) -> int:
        return self.n_connections_max - N_RESERVED

    @property
    def is_scarce(self) -> bool:
        """Return whether there are fewer than two connections for each entry VM."""
        return self.n_entries * _N_PER_ENTRY_MIN > self._n_usable

    def of_primary(self) -> int:
        """Return how many connections an entry VM may open to a primary.

        Where they are scarce each gets one, as two for some would leave none for others.

        >>> ConnectionQuota(34, 9).of_primary(), ConnectionQuota(34, 40).of_primary()
        (3, 1)
        """
        if not self.n_entries:
            return _N_PER_ENTRY_MIN
        return 1 if self.is_scarce else self._n_usable // self.n_entries

    def of_replica(self, n_zones: int) -> int:
        """Return how many connections an entry VM may open to a replica.

        Replicas are mostly read within their zone, so where connections are scarce they
        are divided among the entry VMs of one of the zones with servers of the group.

        >>> ConnectionQuota(60, 67).of_replica(n_zones=3)
        2
        """
        if not self.n_entries or not self.is_scarce:
            return self.of_primary()
        n_entries_per_zone = -(-self.n_entries // max(n_zones, 1))
        return max(self._n_usable // n_entries_per_zone, 1)
