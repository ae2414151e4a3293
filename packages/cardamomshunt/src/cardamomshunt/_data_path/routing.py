"""Choice of the instance that serves a read."""

import random
from abc import ABC, abstractmethod

from cardamomshunt._data_path.pool import InstanceState

CROSS_ZONE_COST_FACTOR = 1.5  # links between zones cost more than their delay
EXPLORATION_SHARE = 0.02  # updates the delay estimates of unused instances
OUTLIER_FACTOR = 5.0
OUTLIER_DELAY_MS_MIN = 100.0


class RoutingPolicy(ABC):
    """Choose one of the instances that could serve a read now."""

    @abstractmethod
    def choose(self, candidates: list[InstanceState]) -> InstanceState:
        """Return one of the candidates, of which there is at least one."""


class LeastDelayPolicy(RoutingPolicy):
    """Choose the instance with the least expected delay, and sometimes a random one."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        self._zone = zone
        self._generator = generator

    def choose(self, candidates: list[InstanceState]) -> InstanceState:
        """Return the candidate with the lowest cost by delay, load and zone."""
        if len(candidates) == 1:
            return candidates[0]
        if self._generator.random() < EXPLORATION_SHARE:
            return self._generator.choice(candidates)
        return min(candidates, key=self._cost)

    def _cost(self, instance: InstanceState) -> float:
        cost = instance.delay_ms * (1.0 + instance.n_running / instance.limit.value)
        return cost if instance.zone == self._zone else cost * CROSS_ZONE_COST_FACTOR


def without_outliers(instances: list[InstanceState]) -> list[InstanceState]:
    """Return the instances except those that are much slower than the fastest one."""
    if len(instances) < 2:
        return instances
    best_ms = min([item.delay_ms for item in instances])
    limit_ms = max(OUTLIER_DELAY_MS_MIN, best_ms * OUTLIER_FACTOR)
    return [item for item in instances if item.delay_ms <= limit_ms]
