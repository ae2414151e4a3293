"""Each change of state causes one event, and an unchanged state none."""

import msgspec
import pytest
from cardamomshunt.events import EventNumber
from cardamomshunt.messages import (
    InstanceAddress,
    InstanceObservation,
    InstanceRole,
    NodeRole,
)
from cardamomshunt.operator_messages import NodeStatus
from cardamomshunt.position import ZERO
from cardamomshunt_node._state_watch import CounterWatch, InstanceWatch, NodeWatch
from cardamomshunt_node.transport import TransportCounters

_PRIMARY = InstanceObservation(
    database="orders",
    instance="orders-1",
    incarnation=1,
    zone="a",
    address=InstanceAddress("127.0.0.1", 1),
    role=InstanceRole.PRIMARY,
    term=3,
    log_position=ZERO,
    applied_position=ZERO,
    n_slots=3,
    n_connections_max=35,
    silence_ms=20.0,
)


class _Sink(list[tuple[EventNumber, str]]):
    def emit(
        self, number: EventNumber, subject: str, detail: str, database: str
    ) -> None:
        self.append((number, subject))


@pytest.mark.parametrize(
    ("changes", "number"),
    [
        ({"silence_ms": 1_500.0}, EventNumber.INSTANCE_SILENT),
        ({"incarnation": 2}, EventNumber.INSTANCE_RESTARTED),
        ({"role": InstanceRole.REPLICA}, EventNumber.INSTANCE_ROLE_CHANGED),
        ({"term": 4}, EventNumber.INSTANCE_ROLE_CHANGED),
        ({"is_leaving": True}, EventNumber.INSTANCE_LEAVING),
    ],
)
def test_instances(changes: dict[str, object], number: EventNumber) -> None:
    sink = _Sink()
    watch = InstanceWatch(sink.emit)
    changed = msgspec.structs.replace(_PRIMARY, **changes)
    for item in (_PRIMARY, _PRIMARY, changed, changed):
        watch.update([item])
    assert sink == [(number, "orders-1")]
    watch.update([_PRIMARY])
    is_unresponsive = number is EventNumber.INSTANCE_SILENT
    assert not is_unresponsive or sink[-1][0] is EventNumber.INSTANCE_RETURNED


def _node(name: str, zone: str, silence_ms: float) -> NodeStatus:
    return NodeStatus(
        node=name,
        role=NodeRole.PROXY,
        zone=zone,
        operator_address="",
        configuration_version=1,
        topology_version=1,
        silence_ms=silence_ms,
    )


def test_unreachable_zones_are_distinguished_from_nodes() -> None:
    sink = _Sink()
    watch = NodeWatch(sink.emit)
    for values in ((9, 9, 9), (9, 9_000, 9), (9_000, 9_000, 9), (9, 9, 9)):
        names = ("p1", "p2", "p3")
        zones = ("a", "a", "b")
        watch.update([_node(*item) for item in zip(names, zones, values, strict=True)])
    assert sink == [
        (EventNumber.NODE_SILENT, "p2"),
        (EventNumber.NODE_SILENT, "p1"),
        (EventNumber.ZONE_UNREACHABLE, "a"),
        (EventNumber.NODE_RETURNED, "p1"),
        (EventNumber.NODE_RETURNED, "p2"),
        (EventNumber.ZONE_REACHABLE, "a"),
    ]


def test_dropped_messages() -> None:
    sink = _Sink()
    watch = CounterWatch(sink.emit)
    counters = TransportCounters()
    watch.update(counters)
    counters.n_rejected += 3
    watch.update(counters)
    counters.n_unknown += 1
    watch.update(counters)
    watch.update(counters)
    assert [number for number, _ in sink] == [
        EventNumber.MESSAGE_REJECTED,
        EventNumber.MESSAGE_UNKNOWN,
    ]
