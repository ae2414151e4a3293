"""Bounded fair queues by class, and the concurrency limit of an instance."""

from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Generic, TypeVar

from cardamomshunt._effects import RequestClass

T = TypeVar("T")

PRIORITIES = (RequestClass.ORDER, RequestClass.DISPATCH, RequestClass.LOOKUP)
SHARE_WINDOW = 64  # dispatches after which the counts of served requests are halved
CALLER_SHARE = 0.25  # of a queue that one caller may fill
N_QUEUED_PER_CALLER_MIN = 4
SHED_AT_DEADLINE_SHARE = 0.8  # the estimate of a wait is rough; leave a fifth


class FairQueue(Generic[T]):
    """Queue items by caller and serve the callers in turn."""

    __slots__ = ("_by_caller", "_n_items")

    def __init__(self) -> None:
        self._by_caller: OrderedDict[Hashable, deque[T]] = OrderedDict()
        self._n_items = 0

    def __len__(self) -> int:
        return self._n_items

    def n_of(self, caller: Hashable) -> int:
        """Count the items of a caller."""
        items = self._by_caller.get(caller)
        return len(items) if items else 0

    def push(self, caller: Hashable, item: T) -> None:
        """Add an item at the end of its caller's queue."""
        items = self._by_caller.get(caller)
        if items is None:
            items = self._by_caller[caller] = deque()
        items.append(item)
        self._n_items += 1

    def peek(self) -> T:
        """Return the next item; raise IndexError if there is none."""
        for items in self._by_caller.values():
            return items[0]
        raise IndexError("peek at an empty queue")

    def pop(self) -> T:
        """Take the next item; raise IndexError if there is none."""
        if not self._n_items:
            raise IndexError("pop from an empty queue")
        caller, items = self._by_caller.popitem(last=False)
        item = items.popleft()
        if items:
            self._by_caller[caller] = items
        self._n_items -= 1
        return item

    def remove(self, caller: Hashable, item: T) -> bool:
        """Remove an item; return False if it is not queued."""
        items = self._by_caller.get(caller)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._n_items -= 1
        if not items:
            del self._by_caller[caller]
        return True

    def take_all(self) -> list[T]:
        """Take all items in the order of service."""
        return [self.pop() for _ in range(self._n_items)]


class AdmissionPolicy(ABC):
    """Choose the class that is served next."""

    @abstractmethod
    def choose(self, pending: list[RequestClass]) -> RequestClass:
        """Return one of the classes that have requests, in order of priority."""

    @abstractmethod
    def on_served(self, request_class: RequestClass) -> None:
        """Note that a request of a class was served."""


class ReservedSharePolicy(AdmissionPolicy):
    """Serve by priority, but give each class its reserved share first."""

    def __init__(self, shares: dict[RequestClass, float]) -> None:
        self.shares = shares
        self._n_served = dict.fromkeys(RequestClass, 0.0)
        self._n_total = 0.0

    def choose(self, pending: list[RequestClass]) -> RequestClass:
        """Return the first class below its share, else the first one."""
        for request_class in pending:
            entitled = self.shares.get(request_class, 0.0) * (self._n_total + 1.0)
            if self._n_served[request_class] < entitled:
                return request_class
        return pending[0]

    def on_served(self, request_class: RequestClass) -> None:
        """Count a served request over a sliding window."""
        self._n_served[request_class] += 1.0
        self._n_total += 1.0
        if self._n_total >= SHARE_WINDOW:
            self._n_total /= 2.0
            for key in self._n_served:
                self._n_served[key] /= 2.0


class Lane(Generic[T]):
    """Hold the queues of all classes for one kind of target."""

    __slots__ = ("_policy", "_queues", "service_ms")

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._queues: dict[RequestClass, FairQueue[T]] = {
            request_class: FairQueue() for request_class in PRIORITIES
        }
        self.service_ms = 2.0  # measured by `on_service`

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def on_service(self, elapsed_ms: float) -> None:
        """Take over a measured service time."""
        self.service_ms += 0.1 * (elapsed_ms - self.service_ms)

    def has_room(
        self, request_class: RequestClass, caller: Hashable, n_queued_max: int
    ) -> bool:
        """Tell whether a class's queue takes one more request of a caller."""
        queue = self._queues[request_class]
        n_of_caller_max = max(N_QUEUED_PER_CALLER_MIN, int(n_queued_max * CALLER_SHARE))
        return len(queue) < n_queued_max and queue.n_of(caller) < n_of_caller_max

    def estimated_wait_ms(
        self, request_class: RequestClass, share: float, n_parallel: int
    ) -> float:
        """Estimate the wait of a new request from the measured service time."""
        n_own = len(self._queues[request_class])
        n_before = n_own
        for other in PRIORITIES:
            if other is request_class:
                break
            n_before += len(self._queues[other])
        n_before = min(n_before, int(n_own / max(share, 0.01)) + 1)
        return n_before * self.service_ms / max(n_parallel, 1)

    def push(self, request_class: RequestClass, caller: Hashable, item: T) -> None:
        """Queue an item."""
        self._queues[request_class].push(caller, item)

    def remove(self, request_class: RequestClass, caller: Hashable, item: T) -> None:
        """Remove an item that was queued."""
        self._queues[request_class].remove(caller, item)

    def choose(self) -> RequestClass | None:
        """Return the class whose next item is due; None if nothing is queued."""
        pending = [key for key, queue in self._queues.items() if queue]
        return self._policy.choose(pending) if pending else None

    def peek(self, request_class: RequestClass) -> T:
        """Return the next item of a class."""
        return self._queues[request_class].peek()

    def pop(self, request_class: RequestClass, *, is_served: bool) -> T:
        """Take the next item of a class."""
        if is_served:
            self._policy.on_served(request_class)
        return self._queues[request_class].pop()

    def take_all(self) -> list[T]:
        """Take all items."""
        return [item for queue in self._queues.values() for item in queue.take_all()]


class ConcurrencyLimit:
    """Adapt the number of requests in flight to the measured delay.

    The estimate of the server's queue is limit * (1 - best delay / recent delay), as
    in TCP Vegas. Reads and acknowledged writes have different best delays.
    """

    __slots__ = ("_best_ms", "_recent_ms", "_samples_until_decay", "n_max", "value")

    N_QUEUED_LOW = 0.6
    N_QUEUED_HIGH = 1.8
    N_SAMPLES_TO_DECAY = 200

    def __init__(self, n_slots: int) -> None:
        self.value = float(max(1, n_slots))
        self.n_max = max(8.0, 4.0 * n_slots)
        self._best_ms: dict[bool, float] = {}
        self._recent_ms: dict[bool, float] = {}
        self._samples_until_decay = self.N_SAMPLES_TO_DECAY

    def on_sample(self, elapsed_ms: float, n_running: int, *, is_write: bool) -> None:
        """Take over the delay of a request that ran beside `n_running - 1` others."""
        best = min(self._best_ms.get(is_write, elapsed_ms), elapsed_ms)
        recent = self._recent_ms.get(is_write, elapsed_ms)
        recent += 0.2 * (elapsed_ms - recent)
        self._best_ms[is_write] = best
        self._recent_ms[is_write] = recent
        self._forget_best()
        n_queued = self.value * (1.0 - best / recent) if recent > best else 0.0
        if n_queued > self.N_QUEUED_HIGH:
            self.value = max(1.0, self.value - 0.5 / self.value)
        elif n_queued < self.N_QUEUED_LOW and n_running >= int(self.value):
            self.value = min(self.n_max, self.value + 1.0 / self.value)

    def _forget_best(self) -> None:
        """Let the best delay rise slowly, as paths and loads change."""
        self._samples_until_decay -= 1
        if self._samples_until_decay > 0:
            return
        self._samples_until_decay = self.N_SAMPLES_TO_DECAY
        for key, recent in self._recent_ms.items():
            self._best_ms[key] += 0.1 * max(0.0, recent - self._best_ms[key])

    def on_timeout(self) -> None:
        """Back off after a request that was not answered in time."""
        self.value = max(1.0, self.value * 0.7)

    def allows(self, n_running: int) -> bool:
        """Tell whether one more request may start."""
        return n_running < int(self.value)
