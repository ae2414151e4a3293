"""The control node of its availability zone that serves an entry VM."""

import zlib

# A home that failed to extend the lease is not used again for this time.
QUARANTINE_MS = 2_000.0


class ControlNodeSelector:
    """Choose the home of one entry VM: by zone, then by a hash that spreads load."""

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._zones: dict[str, str] = {}
        self._distrusted_until_ms: dict[str, float] = {}

    def record_zone(self, address: str, zone: str) -> None:
        """Note in which zone a control node is."""
        self._zones[address] = zone

    def is_in_same_zone(self, address: str) -> bool:
        """Tell whether a control node is in this zone."""
        return self._zones.get(address) == self._zone

    def quarantine(self, address: str, now_ms: float) -> None:
        """Use another home for a while."""
        self._distrusted_until_ms[address] = now_ms + QUARANTINE_MS

    def choose(self, addresses: set[str], leader: str, now_ms: float) -> str:
        """Return the home among known control nodes, the leader if none is near."""
        near = [
            address
            for address in addresses
            if self.is_in_same_zone(address)
            and now_ms >= self._distrusted_until_ms.get(address, 0.0)
        ]
        return min(near, key=self._rank, default=leader)

    def _rank(self, address: str) -> int:
        return zlib.crc32(f"{self._node} {address}".encode())
