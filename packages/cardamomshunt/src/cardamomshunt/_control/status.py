"""Status of databases, instances and daemons for operators."""

from cardamomshunt._control.health_view import HealthView
from cardamomshunt._control.node_registry import NodeRegistry
from cardamomshunt._control.operator_messages import (
    DatabaseStatus,
    InstanceStatus,
    NodeStatus,
    Problem,
)
from cardamomshunt._control.state import ControlState, DatabaseRecord
from cardamomshunt._shared.messages import FailoverStep
from cardamomshunt._shared.position import ZERO


def database_statuses(
    now_ms: float, state: ControlState, health: HealthView
) -> list[DatabaseStatus]:
    """Return the status of all databases."""
    detection_ms = state.configuration.policy.detection_ms
    return [
        DatabaseStatus(
            database=record.database,
            term=record.term,
            primary_instance=record.primary_instance,
            step=record.step,
            instances=_instance_statuses(now_ms, record, health, detection_ms),
        )
        for record in state.databases.values()
    ]


def _instance_statuses(
    now_ms: float, record: DatabaseRecord, health: HealthView, detection_ms: float
) -> list[InstanceStatus]:
    statuses = []
    for name, instance_record in sorted(record.instances.items()):
        newest = health.health(now_ms, record.database, name, detection_ms).newest
        observation = newest.observation if newest else None
        statuses.append(
            InstanceStatus(
                database=record.database,
                instance=name,
                zone=instance_record.zone,
                role=observation.role.value if observation else "unknown",
                term=observation.term if observation else 0,
                applied_position=observation.applied_position if observation else ZERO,
                lag_ms=None,
                silence_ms=(
                    now_ms - newest.confirmed_ms + newest.observation.silence_ms
                    if newest
                    else float("inf")
                ),
                is_leaving=observation.is_leaving if observation else False,
            )
        )
    return statuses


def node_statuses(
    now_ms: float, registry: NodeRegistry, leader: str | None
) -> list[NodeStatus]:
    """Return the status of all daemons."""
    return [
        NodeStatus(
            node=name,
            role=view.heartbeat.role,
            zone=view.heartbeat.zone,
            operator_address=view.heartbeat.operator_address,
            configuration_version=view.heartbeat.configuration_version,
            topology_version=view.heartbeat.topology_version,
            silence_ms=now_ms - view.last_heard_ms,
            is_leader=name == leader,
            is_draining=view.heartbeat.is_draining,
        )
        for name, view in sorted(registry.nodes.items())
    ]


def find_problems(
    now_ms: float, state: ControlState, registry: NodeRegistry, failure: str
) -> list[Problem]:
    """Return the problems that need an operator's attention."""
    problems = []
    if failure:
        problems.append(
            Problem(
                summary=f"this control node does not vote: {failure}",
                action="Replace its disk or free space, then restart it.",
            )
        )
    for record in state.databases.values():
        if record.step is not FailoverStep.SERVING:
            problems.append(
                Problem(
                    summary=f"{record.database} is {record.step.value} in term {record.term}",
                    action="None if it is brief; otherwise start the group's instances.",
                )
            )
    for name, view in sorted(registry.nodes.items()):
        if not view.is_live(now_ms):
            problems.append(
                Problem(
                    summary=f"{name} in zone {view.heartbeat.zone} is unreachable",
                    action="Check that its VM runs and that its zone is reachable.",
                )
            )
    return problems
