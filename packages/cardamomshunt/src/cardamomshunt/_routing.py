"""Choice among instances that are fresh enough for a read."""

import random
from abc import ABC, abstractmethod

from cardamomshunt._pool import InstanceState

OTHER_ZONE_FACTOR = 1.5  # links between zones cost more than their delay shows
EXPLORED_SHARE = 0.02  # keeps the delay estimates of unused instances current
OUTLIER_FACTOR = 5.0
OUTLIER_DELAY_MS_MIN = 100.0


class RoutingPolicy(ABC):
    """Choose one of the instances that could serve a read now."""

    @abstractmethod
    def choose(self, candidates: list[InstanceState]) -> InstanceState:
        """Return one of the candidates, of which there is at least one."""


class LeastDelayPolicy(RoutingPolicy):
    """Choose the least expected delay, and explore a small share."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._generator = generator

    def choose(self, candidates: list[InstanceState]) -> InstanceState:
        """Weigh measured delay, work in flight and zone."""
        if len(candidates) == 1:
            return candidates[0]
        if self._generator.random() < EXPLORED_SHARE:
            return self._generator.choice(candidates)
        return min(candidates, key=self._cost)

    def _cost(self, instance: InstanceState) -> float:
        cost = instance.delay_ms * (1.0 + instance.n_running / instance.limit.value)
        return cost if instance.zone == self._zone else cost * OTHER_ZONE_FACTOR


def healthy(instances: list[InstanceState], now_ms: float) -> list[InstanceState]:
    """Leave out suspects, open breakers and outliers, but keep at least one.

    When all look bad, all are returned: the fault may be on this side.
    """
    kept = [item for item in instances if item.is_healthy(now_ms)]
    if not kept:
        return instances
    if len(kept) > 1:
        best = min(item.delay_ms for item in kept)
        limit = max(OUTLIER_DELAY_MS_MIN, best * OUTLIER_FACTOR)
        kept = [item for item in kept if item.delay_ms <= limit]
    return kept
