"""Dead members are detected; partitions and message loss cause no false deaths."""

import random
from collections.abc import Callable

import pytest
from cardamomshunt.membership import (
    MemberChanged,
    MemberRecord,
    Membership,
    MembershipEffect,
    MemberState,
    SendToMember,
    is_newer,
)
from cardamomshunt.messages import Message
from cardamomshunt_testing._virtual_network import Outgoing, VirtualNetwork
from hypothesis import given
from hypothesis import strategies as st

_ZONES = ("a", "b", "c")
_N_PER_ZONE = 3


class _Host:
    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.changes: list[tuple[str, MemberState]] = []

    def next_deadline_ms(self) -> float | None:
        return self.membership.next_deadline_ms()

    def tick(self, now_ms: float) -> list[Outgoing]:
        return self._run(self.membership.tick(now_ms))

    def receive(self, now_ms: float, sender: str, message: Message) -> list[Outgoing]:
        return self._run(self.membership.on_message(now_ms, sender, message))

    def _run(self, effects: list[MembershipEffect]) -> list[Outgoing]:
        self.changes += [
            (item.node, item.state)
            for item in effects
            if isinstance(item, MemberChanged)
        ]
        return [
            Outgoing(item.node, item.message)
            for item in effects
            if isinstance(item, SendToMember)
        ]


def _zone(node: str) -> str:
    return node[0]


def _cluster(seed: int, loss: float = 0.0) -> tuple[VirtualNetwork, dict[str, _Host]]:
    random_state = random.Random(seed)
    network = VirtualNetwork(random_state, loss=loss)
    records = [
        MemberRecord(f"{zone}{index}", zone, f"{zone}{index}", 1)
        for zone in _ZONES
        for index in range(_N_PER_ZONE)
    ]
    hosts = {}
    for record in records:
        membership = Membership(0.0, record, records, random.Random(seed + len(hosts)))
        hosts[record.node] = _Host(membership)
        network.add(record.node, hosts[record.node])
    return network, hosts


def _deaths(hosts: dict[str, _Host]) -> set[str]:
    return {
        node
        for host in hosts.values()
        for node, state in host.changes
        if state is MemberState.DEAD
    }


@pytest.mark.parametrize("seed", range(4))
def test_dead_member_is_detected_and_returns(seed: int) -> None:
    network, hosts = _cluster(seed)
    network.run_until(5_000)
    network.remove("b1")
    network.run_until(40_000)
    others = [host for node, host in hosts.items() if node != "b1"]
    assert {host.membership.state_of("b1") for host in others} == {MemberState.DEAD}
    assert _deaths(hosts) == {"b1"}
    assert not any(host.membership.unreachable_zones() for host in others)
    network.add("b1", hosts["b1"])
    network.run_until(100_000)
    assert {host.membership.state_of("b1") for host in others} == {MemberState.ALIVE}


@pytest.mark.parametrize("seed", range(4))
def test_partitioned_zone_is_not_dead(seed: int) -> None:
    """Declaring a partitioned zone dead would remove members that still serve."""
    network, hosts = _cluster(seed)
    network.run_until(5_000)
    network.is_linked = lambda sender, receiver: (
        (_zone(sender) == "b") == (_zone(receiver) == "b")
    )
    network.run_until(60_000)
    assert _deaths(hosts) == set()
    for node, host in hosts.items():
        expected = {"a", "c"} if _zone(node) == "b" else {"b"}
        assert host.membership.unreachable_zones() == expected, node
        assert host.membership.is_isolated == (_zone(node) == "b")
    network.is_linked = lambda sender, receiver: True
    network.run_until(150_000)
    for host in hosts.values():
        assert not host.membership.unreachable_zones()
        assert len(host.membership.usable_members(network.now_ms)) == 8


def _one_way(sender: str, receiver: str) -> bool:
    return (sender, receiver) != ("a0", "b0")


@pytest.mark.parametrize(
    ("loss", "is_linked"),
    [(0.05, lambda sender, receiver: True), (0.0, _one_way)],
    ids=["5% loss", "one link down in one direction"],
)
def test_no_false_deaths(loss: float, is_linked: Callable[[str, str], bool]) -> None:
    network, hosts = _cluster(9, loss=loss)
    network.is_linked = is_linked
    network.run_until(300_000)
    assert _deaths(hosts) == set()


def test_flapping_member_gets_no_work() -> None:
    network, hosts = _cluster(3)
    for _ in range(6):
        network.remove("c2")
        network.run_until(network.now_ms + 15_000)
        network.add("c2", hosts["c2"])
        network.run_until(network.now_ms + 12_000)
    observer = hosts["a0"].membership
    assert "c2" not in observer.usable_members(network.now_ms)
    network.run_until(network.now_ms + 300_000)
    assert "c2" in observer.usable_members(network.now_ms)


def test_leaving_is_not_dying() -> None:
    network, hosts = _cluster(1)
    network.run_until(3_000)
    network.send_all("a1", hosts["a1"]._run(hosts["a1"].membership.leave()))
    network.run_until(3_100)
    network.remove("a1")
    network.run_until(60_000)
    states = {
        host.membership.state_of("a1") for node, host in hosts.items() if node != "a1"
    }
    assert states == {MemberState.LEFT}
    assert _deaths(hosts) == set()


_RECORDS = st.builds(
    MemberRecord,
    st.just("a"),
    st.just("z"),
    st.just("x"),
    st.integers(0, 3),
    st.sampled_from(MemberState),
)


@given(st.lists(_RECORDS, min_size=1, max_size=8), st.randoms())
def test_beliefs_do_not_depend_on_order(
    records: list[MemberRecord], random_state: random.Random
) -> None:
    def merge(items: list[MemberRecord]) -> MemberRecord:
        known = items[0]
        for item in items[1:]:
            known = item if is_newer(item, known) else known
        return known

    shuffled = list(records)
    random_state.shuffle(shuffled)
    assert merge(records) == merge(shuffled)


def test_partition_check_catches_a_variant_without_zones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the detection of unreachable zones, a partition causes false deaths."""
    monkeypatch.setattr(
        Membership, "_update_unreachable_zones", lambda self, now_ms: []
    )
    network, hosts = _cluster(0)
    network.is_linked = lambda sender, receiver: (
        (_zone(sender) == "b") == (_zone(receiver) == "b")
    )
    network.run_until(60_000)
    assert _deaths(hosts)
