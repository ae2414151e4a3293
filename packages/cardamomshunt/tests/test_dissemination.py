"""Each dissemination strategy delivers every version despite loss and partitions."""

import pytest
from cardamomshunt.dissemination import (
    GossipDissemination,
    RelayDissemination,
    StateUpdate,
)
from cardamomshunt_testing.dissemination_cost import KINDS, Deployment, Variant, build

_N_MEMBERS = 18


def _start(kind: str, seed: int = 1, loss: float = 0.0) -> Deployment:
    deployment = build(Variant(kind, _N_MEMBERS, 4, 500.0, seed))
    deployment.network.loss = loss
    deployment.network.run_until(5_000)
    return deployment


def _run(deployment: Deployment, duration_ms: float) -> None:
    deployment.network.run_until(deployment.network.now_ms + duration_ms)


def _versions(deployment: Deployment) -> set[int]:
    return {host.dissemination.version for host in deployment.hosts.values()}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_every_member_gets_every_newest_version(kind: str, loss: float) -> None:
    deployment = _start(kind, loss=loss)
    for version in range(1, 6):
        deployment.publish(version)
        _run(deployment, 300)
    _run(deployment, 20_000)
    assert _versions(deployment) == {5}
    deployment.network.loss = 0.0
    _run(deployment, 10_000)
    assert not deployment.leader.lagging_members(deployment.network.now_ms)


@pytest.mark.parametrize("kind", KINDS)
def test_versions_never_go_back(kind: str) -> None:
    deployment = _start(kind)
    deployment.publish(7)
    _run(deployment, 3_000)
    for host in deployment.hosts.values():
        old = StateUpdate(version=3, payload=b"old")
        assert not host.run(host.dissemination.on_message(9_000, "n0000", old))
    assert _versions(deployment) == {7}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", range(3))
def test_only_unresponsive_members_are_reported(kind: str, seed: int) -> None:
    """Removes the members that a group appoints first as relay or representative."""
    deployment = _start(kind, seed)
    _run(deployment, 10_000)
    assert deployment.unresponsive_members() == set()
    dead = {"n0001", "n0002", "n0003", "n0017"}
    for node in dead:
        deployment.network.remove(node)
    _run(deployment, 20_000)
    assert deployment.unresponsive_members() == dead
    deployment.publish(2)
    _run(deployment, 5_000)
    alive = [host for node, host in deployment.hosts.items() if node not in dead]
    assert {host.dissemination.version for host in alive} == {2}
    for node in dead:
        deployment.network.add(node, deployment.hosts[node])
    _run(deployment, 40_000)
    assert deployment.unresponsive_members() == set()
    assert _versions(deployment) == {2}


@pytest.mark.parametrize("kind", KINDS)
def test_partitioned_zone_catches_up(kind: str) -> None:
    deployment = _start(kind)
    zones = {f"n{index:04d}": index % 3 for index in range(_N_MEMBERS)}
    deployment.network.is_linked = lambda sender, receiver: (
        (zones[sender] == 1) == (zones[receiver] == 1)
    )
    _run(deployment, 1_000)
    deployment.publish(4)
    _run(deployment, 20_000)
    partitioned = {node for node, zone in zones.items() if zone == 1}
    assert deployment.unresponsive_members() >= partitioned
    deployment.network.is_linked = lambda sender, receiver: True
    _run(deployment, 40_000)
    assert _versions(deployment) == {4}
    assert deployment.unresponsive_members() == set()


@pytest.mark.parametrize(
    ("kind", "implementation"),
    [("relay", RelayDissemination), ("gossip", GossipDissemination)],
)
def test_loss_check_catches_a_variant_without_repair(
    kind: str, implementation: type, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A lost update shows if the state is not sent again to lagging members."""
    name = (
        "_request_if_newer"
        if implementation is GossipDissemination
        else "_on_heartbeat"
    )
    monkeypatch.setattr(implementation, name, lambda self, *arguments: [])
    deployment = _start(kind)
    # Messages to one member are lost at first, so that only a repeat can reach it.
    deployment.network.is_linked = lambda sender, receiver: receiver != "n0017"
    deployment.publish(1)
    _run(deployment, 200)
    deployment.network.is_linked = lambda sender, receiver: True
    _run(deployment, 20_000)
    assert len(_versions(deployment)) > 1


def test_lost_relay_assignments_make_no_member_unresponsive() -> None:
    """Guards against reporting members as unresponsive after a lost message.

    It may be the assignment of a relay, or its announcement to a member.
    """
    deployment = build(Variant("relay", 50, 9, 1_000.0, 0, loss=0.05))
    _run(deployment, 10_000)
    for _ in range(40):
        _run(deployment, 500)
        assert deployment.unresponsive_members() == set()
