"""The control node of its availability zone that serves an entry VM."""

import zlib

# A home that failed to extend the lease is not used again for this time.
DISTRUST_MS = 2_000.0


class ControlHome:
    """Choose the home of one entry VM: by zone, then by a hash that spreads load."""

    def __init__(self, node: str, zone: str) -> None:
        self._node = node
        self._zone = zone
        self._zones: dict[str, str] = {}
        self._distrusted_until_ms: dict[str, float] = {}

    def learn_zone(self, address: str, zone: str) -> None:
        """Note in which zone a control node is."""
        self._zones[address] = zone

    def is_near(self, address: str) -> bool:
        """Tell whether a control node is in this zone."""
        return self._zones.get(address) == self._zone

    def distrust(self, address: str, now_ms: float) -> None:
        """Use another home for a while."""
        self._distrusted_until_ms[address] = now_ms + DISTRUST_MS

    def choose(self, addresses: set[str], leader: str, now_ms: float) -> str:
        """Return the home among known control nodes, the leader if none is near."""
        near = [
            address
            for address in addresses
            if self.is_near(address)
            and now_ms >= self._distrusted_until_ms.get(address, 0.0)
        ]
        return min(near, key=self._rank, default=leader)

    def _rank(self, address: str) -> int:
        return zlib.crc32(f"{self._node} {address}".encode())
