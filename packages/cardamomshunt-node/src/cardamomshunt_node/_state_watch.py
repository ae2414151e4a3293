"""Events derived from changes between two observations of a daemon's state."""

from collections.abc import Callable

from cardamomshunt.events import EventNumber
from cardamomshunt.messages import InstanceObservation
from cardamomshunt.operator_messages import NodeStatus

from cardamomshunt_node._transport import TransportCounters

WATCH_INTERVAL_S = 0.5
# Ten missed announcements; shorter gaps occur when messages are delayed.
_INSTANCE_UNRESPONSIVE_AFTER_MS = 1_000.0
# Longer than the restart of a daemon, including its handover.
_NODE_UNRESPONSIVE_AFTER_MS = 3_000.0

Emit = Callable[[EventNumber, str, str, str], object]


class InstanceWatch:
    """Emit events when backend servers stop responding, return, restart or change."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._last: dict[str, InstanceObservation] = {}
        self._unresponsive: set[str] = set()

    def update(self, observations: list[InstanceObservation]) -> None:
        """Compare with the last observations; a new server causes no event."""
        for item in observations:
            last = self._last.get(item.instance)
            self._last[item.instance] = item
            if last is None:
                continue
            self._update_responsiveness(item)
            for number, detail in _changes(last, item):
                self._emit(number, item.instance, detail, item.database)

    def _update_responsiveness(self, item: InstanceObservation) -> None:
        is_unresponsive = item.silence_ms > _INSTANCE_UNRESPONSIVE_AFTER_MS
        if is_unresponsive == (item.instance in self._unresponsive):
            return
        self._unresponsive ^= {item.instance}
        number = EventNumber.INSTANCE_SILENT
        if not is_unresponsive:
            number = EventNumber.INSTANCE_RETURNED
        self._emit(number, item.instance, "", item.database)


def _changes(
    last: InstanceObservation, item: InstanceObservation
) -> list[tuple[EventNumber, str]]:
    changes = []
    if item.incarnation != last.incarnation:
        changes.append((EventNumber.INSTANCE_RESTARTED, f"role {item.role.value}"))
    if (item.role, item.term) != (last.role, last.term):
        detail = (
            f"{last.role.value} of term {last.term} to {item.role.value} of term "
            f"{item.term}"
        )
        changes.append((EventNumber.INSTANCE_ROLE_CHANGED, detail))
    if item.is_leaving and not last.is_leaving:
        changes.append((EventNumber.INSTANCE_LEAVING, ""))
    return changes


class NodeWatch:
    """Emit events when daemons, or all those of a zone, stop responding or return."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._unresponsive_nodes: set[str] = set()
        self._unreachable_zones: set[str] = set()

    def reset(self) -> None:
        """Discard the last observations, such as after a loss of leadership."""
        self._unresponsive_nodes.clear()
        self._unreachable_zones.clear()

    def update(self, nodes: list[NodeStatus]) -> None:
        """Compare with the last observations."""
        unresponsive = {
            item.node for item in nodes if item.silence_ms > _NODE_UNRESPONSIVE_AFTER_MS
        }
        zones = {item.zone for item in nodes}
        unreachable_zones = {
            zone
            for zone in zones
            if all(item.node in unresponsive for item in nodes if item.zone == zone)
        }
        self._emit_changes(
            self._unresponsive_nodes,
            unresponsive,
            EventNumber.NODE_SILENT,
            EventNumber.NODE_RETURNED,
        )
        self._emit_changes(
            self._unreachable_zones,
            unreachable_zones,
            EventNumber.ZONE_UNREACHABLE,
            EventNumber.ZONE_REACHABLE,
        )
        self._unresponsive_nodes, self._unreachable_zones = (
            unresponsive,
            unreachable_zones,
        )

    def _emit_changes(
        self, before: set[str], now: set[str], lost: EventNumber, returned: EventNumber
    ) -> None:
        for name in sorted(now - before):
            self._emit(lost, name, "", "")
        for name in sorted(before - now):
            self._emit(returned, name, "", "")


class CounterWatch:
    """Emit events when the transport has dropped rejected or unknown messages."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._n_rejected = 0
        self._n_unknown = 0

    def update(self, counters: TransportCounters) -> None:
        """Compare with the last counters."""
        n_rejected = counters.n_rejected - self._n_rejected
        n_unknown = counters.n_unknown - self._n_unknown
        self._n_rejected, self._n_unknown = counters.n_rejected, counters.n_unknown
        if n_rejected:
            detail = f"{n_rejected} messages"
            self._emit(EventNumber.MESSAGE_REJECTED, "", detail, "")
        if n_unknown:
            self._emit(EventNumber.MESSAGE_UNKNOWN, "", f"{n_unknown} messages", "")
