"""Bounded fair queues by request class, and the concurrency limit of an instance."""

from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from cardamomshunt._data_path.effects import RequestClass

T = TypeVar("T")

PRIORITIES = (RequestClass.ORDER, RequestClass.DISPATCH, RequestClass.LOOKUP)
SHARE_WINDOW = 64  # dispatches after which the counts of served requests are halved
CALLER_SHARE = 0.25  # share of a queue that one caller may fill
N_QUEUED_PER_CALLER_MIN = 4
# Share of the time to its deadline that a request may be expected to wait. A longer
# queue adds delay but no throughput, and the estimate of the wait is rough.
SHED_WAIT_SHARE = 0.5
N_SAMPLES_PER_WINDOW = 50
N_SAMPLES_FIRST_WINDOW = 10
N_SLOW_SINGLE_REQUESTS_MAX = 10


class FairQueue(Generic[T]):
    """Queue items by caller and serve the callers in turn (round robin)."""

    __slots__ = ("_by_caller", "_interval_ms", "_n_items", "_served_ms")

    def __init__(self) -> None:
        self._interval_ms = 0.0
        self._served_ms: float | None = None
        self._by_caller: OrderedDict[Hashable, deque[T]] = OrderedDict()
        self._n_items = 0

    def __len__(self) -> int:
        return self._n_items

    def n_of(self, caller: Hashable) -> int:
        """Return the number of queued items of a caller."""
        items = self._by_caller.get(caller)
        return len(items) if items else 0

    def n_before(self, caller: Hashable) -> int:
        """Return the number of items served before a new one of a caller."""
        n_own = self.n_of(caller)
        return sum(
            len(items) if key == caller else min(len(items), n_own + 1)
            for key, items in self._by_caller.items()
        )

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
        """Remove and return the next item; raise IndexError if there is none."""
        if not self._n_items:
            raise IndexError("pop from an empty queue")
        caller, items = self._by_caller.popitem(last=False)
        item = items.popleft()
        if items:
            self._by_caller[caller] = items
        self._n_items -= 1
        return item

    def on_served(self, now_ms: float) -> None:
        """Update the mean time between services while items are queued."""
        if self._served_ms is not None:
            interval_ms = now_ms - self._served_ms
            self._interval_ms += 0.1 * (interval_ms - self._interval_ms)
        self._served_ms = now_ms if self._n_items else None

    def on_pause(self) -> None:
        """Exclude a pause of all service from the measurement."""
        self._served_ms = None

    def estimated_wait_ms(self) -> float:
        """Estimate the wait of a new item in milliseconds from the service rate.

        A stall is not extrapolated, because an unresponsive connection is not a measure
        of load.
        """
        if not self._n_items or self._served_ms is None:
            return 0.0
        return self._n_items * self._interval_ms

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

    def pop_all(self) -> list[T]:
        """Remove and return all items in the order of service."""
        return [self.pop() for _ in range(self._n_items)]


class AdmissionPolicy(ABC):
    """Choose the class that is served next."""

    @abstractmethod
    def choose(self, pending: list[RequestClass]) -> RequestClass:
        """Return one of the classes that have requests, in order of priority."""

    @abstractmethod
    def on_served(self, request_class: RequestClass) -> None:
        """Record that a request of a class was served."""


class ReservedSharePolicy(AdmissionPolicy):
    """Serve each class up to its reserved share first, then by priority."""

    def __init__(self, shares: dict[RequestClass, float]) -> None:
        self.shares = shares
        self._n_served = dict.fromkeys(RequestClass, 0.0)
        self._n_total = 0.0

    def choose(self, pending: list[RequestClass]) -> RequestClass:
        """Return the first class below its share, or the first one if there is none."""
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


class AdmissionQueue(Generic[T]):
    """Queue the requests for the primary or for the replicas of a group, by class."""

    __slots__ = ("_policy", "_queues", "n_items", "service_ms")

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._queues: dict[RequestClass, FairQueue[T]] = {
            request_class: FairQueue() for request_class in PRIORITIES
        }
        self.n_items = 0
        self.service_ms = 2.0  # measured by `on_service`

    def on_service(self, elapsed_ms: float) -> None:
        """Update the mean service time; outliers are capped."""
        sample_ms = min(elapsed_ms, 4.0 * self.service_ms + 10.0)
        self.service_ms += 0.1 * (sample_ms - self.service_ms)

    def has_room(
        self, request_class: RequestClass, caller: Hashable, n_queued_max: int
    ) -> bool:
        """Return whether the queue of a class has room for another one of a caller."""
        queue = self._queues[request_class]
        n_of_caller_max = max(N_QUEUED_PER_CALLER_MIN, int(n_queued_max * CALLER_SHARE))
        return len(queue) < n_queued_max and queue.n_of(caller) < n_of_caller_max

    def estimated_wait_ms(self, request_class: RequestClass) -> float:
        """Estimate the wait of a new request of a class in milliseconds."""
        return self._queues[request_class].estimated_wait_ms()

    def push(self, request_class: RequestClass, caller: Hashable, item: T) -> None:
        """Add an item at the end of its caller's queue in a class."""
        self._queues[request_class].push(caller, item)
        self.n_items += 1

    def remove(self, request_class: RequestClass, caller: Hashable, item: T) -> None:
        """Remove an item if it is queued."""
        if self._queues[request_class].remove(caller, item):
            self.n_items -= 1

    def choose(self) -> RequestClass | None:
        """Return the class to serve next, or None if nothing is queued."""
        pending = [key for key, queue in self._queues.items() if queue]
        return self._policy.choose(pending) if pending else None

    def on_pause(self) -> None:
        """Exclude a pause of all service from the measurements."""
        for queue in self._queues.values():
            queue.on_pause()

    def peek(self, request_class: RequestClass) -> T:
        """Return the next item of a class."""
        return self._queues[request_class].peek()

    def pop(self, request_class: RequestClass) -> T:
        """Remove and return the next item of a class without counting it as served."""
        self.n_items -= 1
        return self._queues[request_class].pop()

    def serve(self, now_ms: float, request_class: RequestClass) -> T:
        """Remove and return the next item of a class and count it as served."""
        self._policy.on_served(request_class)
        item = self.pop(request_class)
        self._queues[request_class].on_served(now_ms)
        return item

    def pop_all(self) -> list[T]:
        """Remove and return all items."""
        self.n_items = 0
        return [item for queue in self._queues.values() for item in queue.pop_all()]


@dataclass(slots=True)
class _DelayWindow:
    """Compare the mean delay of recent requests with the best mean so far."""

    best_ms: float = 0.0
    recent_ms: float = 0.0
    sum_ms: float = 0.0
    n_samples: int = 0
    n_samples_to_close: int = N_SAMPLES_FIRST_WINDOW
    n_windows: int = 0
    n_slow_single_requests: int = 0

    def add(self, elapsed_ms: float) -> None:
        """Add the delay of one request."""
        if not self.recent_ms:
            self.recent_ms = elapsed_ms
        self.recent_ms += 0.1 * (elapsed_ms - self.recent_ms)
        self.sum_ms += elapsed_ms
        self.n_samples += 1
        if self.n_samples >= self.n_samples_to_close:
            self._close()

    def _close(self) -> None:
        mean_ms = self.sum_ms / self.n_samples
        self.sum_ms = 0.0
        self.n_samples = 0
        self.n_samples_to_close = N_SAMPLES_PER_WINDOW
        self.n_windows += 1
        # The first window has few samples, so its mean may be too low by chance.
        if self.n_windows <= 2 or mean_ms < self.best_ms:
            self.best_ms = mean_ms
        else:
            # Rise slowly, as network paths and statements change over time.
            self.best_ms += 0.005 * (mean_ms - self.best_ms)

    def on_slow_single_request(self) -> None:
        """Reset the best delay if delays stay high with only one request in flight.

        Such delays are not caused by the load of this entry VM. Adapting slowly would
        leave slots idle for seconds after all statements became slower.
        """
        self.n_slow_single_requests += 1
        if self.n_slow_single_requests >= N_SLOW_SINGLE_REQUESTS_MAX:
            self.best_ms = self.recent_ms
            self.n_slow_single_requests = 0

    def ratio(self) -> float:
        """Return the ratio of the recent mean delay to the best one."""
        return self.recent_ms / self.best_ms if self.best_ms else 1.0


class ConcurrencyLimit:
    """Adapt the number of requests in flight to the measured delay.

    The limit follows mean delays, because service times vary by a factor of ten even
    without load, and a limit based on the shortest delay stays at 2 of 5 slots. Reads
    and acknowledged writes have separate best delays. Delays that use up much of a
    deadline shrink the limit regardless of the best delay.
    """

    __slots__ = ("_windows", "n_max", "value")

    RATIO_TO_GROW = 1.5
    # At 2.0, an entry VM whose best delay is low by chance is starved by the others.
    RATIO_TO_SHRINK = 2.5

    def __init__(self, n_slots: int) -> None:
        # Start with half of the slots, as other entry VMs use them too.
        self.value = float(max(1, (n_slots + 1) // 2))
        self.n_max = max(16.0, 8.0 * n_slots)
        self._windows = (_DelayWindow(), _DelayWindow())

    def on_sample(
        self,
        elapsed_ms: float,
        n_running: int,
        *,
        is_write: bool,
        is_late: bool = False,
    ) -> None:
        """Adapt the limit to the delay of one of `n_running` concurrent requests."""
        window = self._windows[is_write]
        window.add(elapsed_ms)
        ratio = window.ratio()
        if n_running <= 1 and ratio >= self.RATIO_TO_GROW:
            window.on_slow_single_request()
        else:
            window.n_slow_single_requests = 0
        if is_late or ratio > self.RATIO_TO_SHRINK:
            self.value = max(1.0, self.value - 0.25)
        elif ratio < self.RATIO_TO_GROW and n_running >= int(self.value):
            self.value = min(self.n_max, self.value + 0.5 / self.value)

    def on_timeout(self) -> None:
        """Reduce the limit after a request that was not answered in time."""
        self.value = max(1.0, self.value * 0.7)

    def allows(self, n_running: int) -> bool:
        """Return whether one more request may start."""
        return n_running < int(self.value)
