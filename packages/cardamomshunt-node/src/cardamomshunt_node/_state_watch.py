"""Events derived from changes between two looks at the state of a daemon."""

from collections.abc import Callable

from cardamomshunt.events import EventNumber
from cardamomshunt.messages import InstanceObservation
from cardamomshunt.operator_messages import NodeStatus

from cardamomshunt_node._transport import TransportCounters

WATCH_INTERVAL_S = 0.5
# Ten lost announcements; shorter silences are bursts of delay.
_INSTANCE_SILENT_MS = 1_000.0
# Longer than a restart of a daemon that hands over its work first.
_NODE_SILENT_MS = 3_000.0

Emit = Callable[[EventNumber, str, str, str], object]


class InstanceWatch:
    """Emit events when backend servers fall silent, return, restart or change."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._last: dict[str, InstanceObservation] = {}
        self._silent: set[str] = set()

    def update(self, observations: list[InstanceObservation]) -> None:
        """Compare with the last look; a server seen first gives no event."""
        for item in observations:
            last = self._last.get(item.instance)
            self._last[item.instance] = item
            if last is None:
                continue
            self._look_at_silence(item)
            for number, detail in _changes(last, item):
                self._emit(number, item.instance, detail, item.database)

    def _look_at_silence(self, item: InstanceObservation) -> None:
        is_silent = item.silence_ms > _INSTANCE_SILENT_MS
        if is_silent == (item.instance in self._silent):
            return
        self._silent ^= {item.instance}
        number = EventNumber.INSTANCE_SILENT
        if not is_silent:
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
    """Emit events when daemons, or all daemons of a zone, fall silent or return."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._silent_nodes: set[str] = set()
        self._silent_zones: set[str] = set()

    def reset(self) -> None:
        """Forget the last look, as after the loss of leadership."""
        self._silent_nodes.clear()
        self._silent_zones.clear()

    def update(self, nodes: list[NodeStatus]) -> None:
        """Compare with the last look."""
        silent = {x.node for x in nodes if x.silence_ms > _NODE_SILENT_MS}
        zones = {x.zone for x in nodes}
        silent_zones = {
            zone
            for zone in zones
            if all(x.node in silent for x in nodes if x.zone == zone)
        }
        self._tell(
            self._silent_nodes,
            silent,
            EventNumber.NODE_SILENT,
            EventNumber.NODE_RETURNED,
        )
        self._tell(
            self._silent_zones,
            silent_zones,
            EventNumber.ZONE_UNREACHABLE,
            EventNumber.ZONE_REACHABLE,
        )
        self._silent_nodes, self._silent_zones = silent, silent_zones

    def _tell(
        self, before: set[str], now: set[str], gone: EventNumber, back: EventNumber
    ) -> None:
        for name in sorted(now - before):
            self._emit(gone, name, "", "")
        for name in sorted(before - now):
            self._emit(back, name, "", "")


class CounterWatch:
    """Emit events when the transport dropped messages that it could not accept."""

    def __init__(self, emit: Emit) -> None:
        self._emit = emit
        self._n_rejected = 0
        self._n_unknown = 0

    def update(self, counters: TransportCounters) -> None:
        """Compare with the last look."""
        n_rejected = counters.n_rejected - self._n_rejected
        n_unknown = counters.n_unknown - self._n_unknown
        self._n_rejected, self._n_unknown = counters.n_rejected, counters.n_unknown
        if n_rejected:
            detail = f"{n_rejected} messages"
            self._emit(EventNumber.MESSAGE_REJECTED, "", detail, "")
        if n_unknown:
            self._emit(EventNumber.MESSAGE_UNKNOWN, "", f"{n_unknown} messages", "")
