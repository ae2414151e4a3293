"""Failovers, handovers and patches with double faults, as scripted simulations."""

from random import Random
from typing import Any

import msgspec
import pytest
from cardamomshunt._control.health_view import HealthView
from cardamomshunt.consensus import ConsensusNode, Member, Peer, RestoredState
from cardamomshunt.control import (
    ControlEffect,
    ControlNode,
    DatabaseRecord,
    PersistEffect,
    ReplyOperator,
    SendMessage,
)
from cardamomshunt.failover import FailoverController
from cardamomshunt.messages import (
    Change,
    ConfigurationUpdate,
    FailoverStep,
    HealthReport,
    Heartbeat,
    InstanceAddress,
    InstanceRole,
    NodeRole,
)
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    HandoverReply,
    HandoverRequest,
    PatchOutcome,
    PatchReply,
    PatchRequest,
)
from cardamomshunt_testing.control_schedules import Schedule, ScheduleOptions


def _schedule(node_type: type[ControlNode] = ControlNode, **options: Any) -> Schedule:
    """Return a schedule without random faults that has a leader and a primary."""
    settings = ScheduleOptions(
        has_faults=False, loss=0.0, patch_interval_ms=1e9, **options
    )
    schedule = Schedule(3, settings, node_type).start()
    schedule.run(3_000.0)
    assert schedule.leader() is not None
    return schedule


def _record(schedule: Schedule) -> DatabaseRecord:
    leader = schedule.leader()
    assert leader is not None and leader.node is not None
    return leader.node.state.databases["orders"]


def _run_until_serving(schedule: Schedule, term: int, limit_ms: float) -> float:
    """Run until a primary of the term serves; return the elapsed time in ms."""
    started_ms = schedule.now_ms
    while schedule.now_ms < started_ms + limit_ms:
        schedule.run(schedule.now_ms + 10.0)
        assert schedule.violations == []
        if schedule.leader() is not None:
            record = _record(schedule)
            if record.term >= term and record.step is FailoverStep.SERVING:
                return schedule.now_ms - started_ms
    raise AssertionError(f"no primary of term {term} serves within {limit_ms} ms")


def _run_until_step(schedule: Schedule, step: FailoverStep) -> None:
    for _ in range(5_000):
        if _record(schedule).step is step:
            return
        schedule.run(schedule.now_ms + 1.0)
    raise AssertionError(f"step {step.value} was not reached within 5 s")


def test_announced_primary_is_adopted() -> None:
    """Guards against an unnecessary failover of a new database.

    Its first primary announces itself and only has to be adopted.
    """
    record = _record(_schedule())
    assert (record.primary_instance, record.term) == ("orders-1", 1)
    assert len(record.instances) == 3


def test_group_without_primary_gets_one() -> None:
    """Guards against a new database without a primary that waits for an operator."""
    schedule = Schedule(
        3, ScheduleOptions(has_faults=False, loss=0.0, patch_interval_ms=1e9)
    )
    schedule.group.instances["orders-1"].role = InstanceRole.REPLICA
    schedule.start().run(5_000.0)
    record = _record(schedule)
    assert record.step is FailoverStep.SERVING
    assert record.primary_instance in schedule.group.instances
    assert schedule.violations == []


def test_an_address_per_zone_is_not_a_change() -> None:
    """Guards against a log entry for each report of a group with zone addresses.

    Entry VMs of different zones report different addresses of the same instance, which
    is no change of its address.
    """
    schedule = Schedule(
        3, ScheduleOptions(has_faults=False, loss=0.0, patch_interval_ms=1e9)
    )
    schedule.group.has_zone_addresses = True
    schedule.start().run(6_000.0)
    assert _record(schedule).revision <= 4
    schedule.group.stop("orders-1")
    _run_until_serving(schedule, 2, 2_000.0)


@pytest.mark.parametrize("fault", ["kill", "freeze", "zone"])
def test_failed_primary_is_replaced_in_time(fault: str) -> None:
    """Guards against a write outage of 2 s or more after a primary fails."""
    schedule = _schedule()
    if fault == "kill":
        schedule.group.stop("orders-1")
    elif fault == "freeze":
        schedule.group.instances["orders-1"].is_frozen = True
    else:
        schedule.partition_zone("zone-a")
    _run_until_serving(schedule, 2, 2_000.0)
    assert _record(schedule).primary_instance != "orders-1"
    schedule.run(schedule.now_ms + 500.0)
    assert schedule.group.longest_gap_ms < 2_000.0
    assert schedule.violations == []


@pytest.mark.parametrize("command_ms", [280.0, 350.0, 700.0, 1_200.0])
def test_failed_primary_is_replaced_by_slow_servers(command_ms: float) -> None:
    """Guards against fences and promotions that are begun again before their answer."""
    schedule = _schedule(command_ms=command_ms)
    schedule.group.stop("orders-1")
    _run_until_serving(schedule, 2, 12.0 * command_ms)
    assert schedule.violations == []


def test_partitioned_primary_is_not_promoted_again() -> None:
    """Guards against flapping when only control reaches the old primary.

    The old primary has unacknowledged entries, so it is the most advanced instance,
    but neither the entry VMs nor the replicas can reach it.
    """
    schedule = _schedule()
    for name in [*schedule.proxies, "orders-2", "orders-3"]:
        schedule.blocked.add(frozenset((name, "orders-1")))
    _run_until_serving(schedule, 2, 2_000.0)
    assert _record(schedule).primary_instance != "orders-1"
    schedule.run(schedule.now_ms + 3_000.0)
    assert _record(schedule).term == 2
    assert schedule.violations == []


def test_repeated_failures_of_stable_primaries_are_not_damped() -> None:
    """Guards against a delayed failover because of failures long ago.

    Each primary here serves long enough to count as stable before it fails.
    """
    schedule = _schedule()
    for number in range(8):
        primary = _record(schedule).primary_instance
        assert primary is not None
        schedule.group.stop(primary)
        _run_until_serving(schedule, number + 2, 2_000.0)
        schedule.group.start(primary, keeps_log=True)
        schedule.run(schedule.now_ms + 4_000.0)


def test_leader_that_reaches_no_server_asks_the_others() -> None:
    """Guards against a failover that is blocked by the network links of the leader.

    The leader reaches no instance, so the other control nodes run its commands.
    """
    schedule = _schedule()
    leader = schedule.leader()
    assert leader is not None
    schedule.blocked |= {
        frozenset((leader.name, name)) for name in schedule.group.instances
    }
    schedule.group.stop("orders-1")
    _run_until_serving(schedule, 2, 2_000.0)
    assert schedule.leader() is leader
    assert schedule.violations == []


def test_leader_and_primary_die_together() -> None:
    """Guards against a failover that depends on the leader at the time of failure."""
    schedule = _schedule()
    leader = schedule.leader()
    assert leader is not None
    schedule.crash(leader)
    schedule.group.stop("orders-1")
    assert _run_until_serving(schedule, 2, 4_000.0) < 2_500.0


@pytest.mark.parametrize("step", [FailoverStep.FENCING, FailoverStep.PROMOTING])
def test_leader_dies_during_a_step(step: FailoverStep) -> None:
    """Guards against a failover step that is lost with its leader."""
    schedule = _schedule()
    schedule.group.stop("orders-1")
    _run_until_step(schedule, step)
    leader = schedule.leader()
    assert leader is not None
    schedule.crash(leader)
    _run_until_serving(schedule, 2, 4_000.0)
    assert schedule.violations == []


def test_new_primary_dies_during_promotion() -> None:
    """Guards against waiting forever for a candidate that failed."""
    schedule = _schedule()
    schedule.group.instances["orders-1"].is_frozen = True
    _run_until_step(schedule, FailoverStep.PROMOTING)
    candidate = _record(schedule).primary_instance
    assert candidate is not None
    schedule.group.stop(candidate)
    schedule.group.instances["orders-1"].is_frozen = False
    _run_until_serving(schedule, 3, 5_000.0)
    assert _record(schedule).primary_instance != candidate
    assert schedule.violations == []


def test_old_primary_becomes_a_replica_when_it_thaws() -> None:
    """Guards against an old primary that remains primary after a freeze."""
    schedule = _schedule()
    old = schedule.group.instances["orders-1"]
    old.is_frozen = True
    _run_until_serving(schedule, 2, 2_000.0)
    # Replication would also report the new term, so only control may reach it here.
    schedule.blocked |= {
        frozenset(("orders-1", "orders-2")),
        frozenset(("orders-1", "orders-3")),
    }
    old.is_frozen = False
    schedule.run(schedule.now_ms + 1_500.0)
    assert old.role is InstanceRole.REPLICA
    assert old.term == 2


def test_long_partition_of_a_leader_changes_nothing() -> None:
    """Guards against a control node that acts on outdated state after a partition."""
    schedule = _schedule()
    leader = schedule.leader()
    assert leader is not None
    schedule.isolate_node(leader.name)
    schedule.run(schedule.now_ms + 60_000.0)
    schedule.blocked.clear()
    schedule.run(schedule.now_ms + 3_000.0)
    assert _record(schedule).term == 1
    assert schedule.group.n_promotions == 0
    assert schedule.violations == []


def test_slow_primary_is_not_replaced() -> None:
    """Guards against a failover when latency is high but every server is alive."""
    schedule = _schedule()
    schedule.delay_factor = 20.0
    schedule.run(schedule.now_ms + 10_000.0)
    assert schedule.group.n_promotions == 0


def test_own_zone_alone_does_not_fail_an_instance() -> None:
    """Guards against a failover because the entry VMs of one zone lost a link."""
    schedule = _schedule()
    for proxy in schedule.proxies.values():
        if proxy.zone == "zone-a":
            schedule.blocked.add(frozenset((proxy.name, "orders-1")))
    schedule.run(schedule.now_ms + 5_000.0)
    assert schedule.group.n_promotions == 0


def test_flapping_group_is_damped() -> None:
    """Guards against endless failovers in a group whose primaries keep failing."""
    schedule = _schedule()
    for _ in range(20):
        primary = _record(schedule).primary_instance
        if primary is not None:
            schedule.group.stop(primary)
        schedule.run(schedule.now_ms + 1_500.0)
        for name, item in schedule.group.instances.items():
            if not item.is_up:
                schedule.group.start(name, keeps_log=True)
        schedule.run(schedule.now_ms + 500.0)
    assert 3 <= schedule.group.n_promotions <= 9
    assert schedule.violations == []


@pytest.mark.parametrize("target", ["orders-2", "orders-3", None])
def test_planned_handover(target: str | None) -> None:
    """Guards against a handover that loses writes or takes too long."""
    schedule = _schedule()
    replies: list[Any] = []
    leader = schedule.leader()
    assert leader is not None and leader.node is not None
    request = HandoverRequest(database="orders", to_instance=target)
    effects = leader.node.on_operator_request(leader.clock(schedule.now_ms), 1, request)
    replies = [item.message for item in effects if hasattr(item, "request_id")]
    schedule._run_effects(leader, effects)
    assert isinstance(replies[0], HandoverReply)
    schedule.group.longest_gap_ms = 0.0
    elapsed_ms = _run_until_serving(schedule, 2, 2_000.0)
    schedule.run(schedule.now_ms + 500.0)
    assert _record(schedule).primary_instance == replies[0].to_instance
    assert elapsed_ms < 600.0
    assert schedule.group.longest_gap_ms < 800.0
    assert schedule.violations == []


class _CountsLostLogs(FailoverController):
    """Count an instance that lost its log towards the majority."""

    def _eligible_instances(
        self, now_ms: float, record: Any, progress: Any
    ) -> list[str]:
        return list(progress.fenced)


class _CountsLostLogsNode(ControlNode):
    failover_type = _CountsLostLogs


@pytest.mark.parametrize(
    ("node_type", "is_safe"), [(ControlNode, True), (_CountsLostLogsNode, False)]
)
def test_instance_that_lost_its_log_does_not_count(
    node_type: type[ControlNode], is_safe: bool
) -> None:
    """Guards against a majority that includes an instance that lost its log.

    Of the two instances with all acknowledged writes, one stops and the other restarts
    with an empty log; the third was partitioned and lacks some.
    """
    schedule = _schedule(node_type)
    schedule.blocked |= {
        frozenset(("orders-3", "orders-1")),
        frozenset(("orders-3", "orders-2")),
    }
    schedule.run(schedule.now_ms + 1_000.0)
    schedule.group.stop("orders-1")
    schedule.group.stop("orders-2")
    schedule.group.start("orders-2", keeps_log=False)
    schedule.run(schedule.now_ms + 4_000.0)
    assert (schedule.violations == []) == is_safe
    if is_safe:
        assert schedule.group.n_promotions == 0
        schedule.group.start("orders-1", keeps_log=True)
        _run_until_serving(schedule, 2, 4_000.0)
        assert schedule.violations == []


class _IgnoresIncarnation(ConsensusNode):
    """Treat a node with an empty disk as the one that voted before."""

    def member(self, node: str, incarnation: int | None = None) -> Member | None:
        return super().member(node)

    def _on_join_hello(self, now_ms: float, sender: Peer, message: Any) -> None:
        return None

    def _is_for_this_disk(self, message: Any) -> bool:
        return True

    def _tick_joining(self, now_ms: float) -> None:
        self._form(self._joiner.initial_members())


class _IgnoresIncarnationNode(ControlNode):
    consensus_type = _IgnoresIncarnation


@pytest.mark.parametrize(
    ("node_type", "is_safe"), [(ControlNode, True), (_IgnoresIncarnationNode, False)]
)
def test_lost_disk_does_not_vote(node_type: type[ControlNode], is_safe: bool) -> None:
    """Guards against an election by a node that lost acknowledged entries.

    An entry is committed by the leader and one other node; the leader crashes and the
    other node loses its disk.
    """
    schedule = _schedule(node_type)
    leader = schedule.leader()
    assert leader is not None
    others = [host for host in schedule.hosts.values() if host is not leader]
    schedule.isolate_node(others[1].name)
    reply = _patch(schedule, "p1", 0)
    assert reply is None or reply.outcome is PatchOutcome.ACCEPTED
    schedule.crash(leader)
    schedule.crash(others[0], loses_disk=True)
    schedule.boot(others[0])
    schedule.blocked.clear()
    schedule.run(schedule.now_ms + 5_000.0)
    assert (schedule.violations == []) == is_safe
    if is_safe:
        assert schedule.leader() is None
        schedule.boot(leader)
        schedule.run(schedule.now_ms + 5_000.0)
        assert schedule.violations == []
        assert len(_node(schedule).consensus.voters) == 3


def _node(schedule: Schedule) -> ControlNode:
    leader = schedule.leader()
    assert leader is not None and leader.node is not None
    return leader.node


def _send_request(schedule: Schedule, request: Any) -> Any:
    """Send a request to the leader and run until it answers, for at most 5 s."""
    leader = schedule.leader()
    assert leader is not None
    answers: list[Any] = []
    original = schedule._on_reply
    schedule._on_reply = lambda host, effect: answers.append(effect.message)  # type: ignore[method-assign]
    schedule.request(leader, request)
    for _ in range(500):
        if answers or schedule.violations:
            break
        schedule.run(schedule.now_ms + 10.0)
    schedule._on_reply = original  # type: ignore[method-assign]
    return answers[0] if answers else None


def _patch(schedule: Schedule, patch_id: str, base: int, value: float = 700.0) -> Any:
    change = Change(path="policy.detection_ms", value=value)
    request = PatchRequest(patch_id=patch_id, base_version=base, changes=[change])
    return _send_request(schedule, request)


def test_patch_is_in_force_on_all_live_nodes() -> None:
    """Guards against a reply that is sent before the nodes serve the version."""
    schedule = _schedule()
    reply = _patch(schedule, "p1", 0)
    assert reply.outcome is PatchOutcome.ACCEPTED
    assert reply.missing_on == []
    assert set(reply.in_force_on) == {*schedule.proxies, *schedule.hosts}
    assert all(item.configuration.version == 1 for item in schedule.proxies.values())


def test_unreachable_node_is_named() -> None:
    """Guards against a reply that omits an unreachable node without the version."""
    schedule = _schedule()
    schedule.isolate_node("proxy-1")
    schedule.run(schedule.now_ms + 4_000.0)
    reply = _patch(schedule, "p1", 0)
    assert reply.outcome is PatchOutcome.ACCEPTED
    assert [item.split(" (")[0] for item in reply.missing_on] == ["proxy-1"]
    assert "unreachable" in reply.missing_on[0]


def test_nodes_get_their_time_after_a_slow_commit() -> None:
    """Guards against a reply that misses live nodes as the commit took all of the wait."""
    member = Member(node="c1", zone="z", peer_address="c1", operator_address="c1")
    node = ControlNode("c1", "z", [member], RestoredState(1), Random(1), 0.0)
    replies: list[Any] = []
    sync_ms, now_ms, version = 0.0, 0.0, 0
    written: list[tuple[float, int]] = []

    def run(effects: list[ControlEffect]) -> None:
        nonlocal version
        for effect in effects:
            if isinstance(effect, PersistEffect):
                written.append((now_ms + sync_ms, effect.sequence))
            elif isinstance(effect, ReplyOperator):
                replies.append(effect.message)
            elif isinstance(effect, SendMessage) and isinstance(
                effect.message, ConfigurationUpdate
            ):
                version = effect.message.version

    for step in range(1_200):
        now_ms = 10.0 * step
        if step == 200:
            sync_ms = 4_000.0
            request = PatchRequest(
                patch_id="p1",
                base_version=0,
                changes=[Change(path="policy.detection_ms", value=700.0)],
            )
            run(node.on_operator_request(now_ms, 1, request))
        while written and written[0][0] <= now_ms:
            run(node.on_storage_done(now_ms, written.pop(0)[1]))
        run(node.tick(now_ms))
        if step % 20 == 0:
            heartbeat = Heartbeat(
                node="proxy-1",
                role=NodeRole.PROXY,
                zone="z",
                incarnation=1,
                operator_address="proxy-1",
                configuration_version=version,
                topology_version=0,
            )
            run(node.on_message(now_ms, Peer("proxy-1", "proxy-1"), heartbeat))
    assert [reply.missing_on for reply in replies] == [[]]
    assert "proxy-1" in replies[0].in_force_on


def test_stale_repeated_and_invalid_patches() -> None:
    """Guards against wrong replies to concurrent, repeated and invalid patches."""
    schedule = _schedule()
    assert _patch(schedule, "p1", 0, 700.0).version == 1
    stale = _patch(schedule, "p2", 0, 800.0)
    assert stale.outcome is PatchOutcome.STALE_BASE
    assert stale.changes_since == [Change(path="policy.detection_ms", value=700.0)]
    again = _patch(schedule, "p1", 0, 700.0)
    assert isinstance(again, PatchReply) and again.version == 1
    invalid = _patch(schedule, "p3", 1, 5.0)
    assert invalid.outcome is PatchOutcome.INVALID
    assert invalid.errors[0].path == "policy.detection_ms"
    assert _patch(schedule, "p2", 1, 800.0).outcome is PatchOutcome.STALE_BASE
    old = _send_request(schedule, ConfigurationRequest(version=0, n_history=5))
    assert isinstance(old, ConfigurationReply)
    assert '"version":0' in old.document_json
    assert [entry.patch_id for entry in old.history] == ["p1"]


def test_addresses_that_differ_by_zone_propose_nothing() -> None:
    """Guards against endless proposals, which prevent the detection of a failure.

    Entry VMs of different zones report different addresses of the same instance, and a
    database with a pending proposal is not evaluated.
    """
    schedule = _schedule()
    record = _record(schedule)
    health = HealthView()
    controller = FailoverController(health)
    n_proposals = 0
    for sequence in range(1, 40):
        now_ms = 50_000.0 + 50.0 * sequence
        for port, zone in ((20_000, "zone-a"), (30_000, "zone-b"), (40_000, "zone-c")):
            observations = []
            for instance in schedule.group.instances.values():
                observation = schedule.group.observe(instance, now_ms % 40.0)
                address = InstanceAddress("127.0.0.1", port + instance.number)
                observations.append(
                    msgspec.structs.replace(observation, address=address)
                )
            health.on_report(
                now_ms,
                HealthReport(
                    node=f"proxy-{zone}",
                    zone=zone,
                    sequence=sequence,
                    observations=observations,
                ),
            )
            now_ms += 7.0
        controller.evaluate(now_ms, {"orders": record}, 600.0, {})
        n_proposals += len(controller.pop_proposals())
    assert n_proposals == 0
