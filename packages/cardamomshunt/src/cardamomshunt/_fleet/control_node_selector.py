"""Selection of the control node that an entry VM is assigned to."""

import zlib

# A control node that failed to extend the lease is not selected again for this time.
QUARANTINE_MS = 2_000.0


class ControlNodeSelector:
    """Choose the assigned control node of one entry VM.

    Control nodes of the entry VM's availability zone are ranked by a hash, which
    spreads the entry VMs over them.
    """

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._zones: dict[str, str] = {}
        self._quarantined_until_ms: dict[str, float] = {}

    def record_zone(self, address: str, zone: str) -> None:
        """Record the zone of a control node."""
        self._zones[address] = zone

    def is_in_same_zone(self, address: str) -> bool:
        """Return whether a control node is in the zone of the entry VM."""
        return self._zones.get(address) == self._zone

    def quarantine(self, address: str, now_ms: float) -> None:
        """Exclude a control node from the selection for `QUARANTINE_MS`."""
        self._quarantined_until_ms[address] = now_ms + QUARANTINE_MS

    def choose(self, addresses: set[str], leader: str, now_ms: float) -> str:
        """Return the assigned control node; the leader if the zone offers none."""
        candidates = [
            address
            for address in addresses
            if self.is_in_same_zone(address)
            and now_ms >= self._quarantined_until_ms.get(address, 0.0)
        ]
        return min(candidates, key=self._rank, default=leader)

    def _rank(self, address: str) -> int:
        return zlib.crc32(f"{self._node} {address}".encode())
