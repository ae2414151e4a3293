"""Replies of a proxy to operator requests."""

from collections.abc import Callable

from cardamomshunt.messages import FailoverStep, Message, NodeRole
from cardamomshunt.operator_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    DatabaseStatus,
    DrainReply,
    DrainRequest,
    InstanceStatus,
    NodeStatus,
    OperatorError,
    OperatorErrorCode,
    Problem,
    StatusReply,
    StatusRequest,
    TimelineRequest,
)

from cardamomshunt_node._proxy_control_link import ControlLink
from cardamomshunt_node._proxy_core import ProxyCore
from cardamomshunt_node._proxy_versions import VersionedState
from cardamomshunt_node._settings import DaemonSettings
from cardamomshunt_node.event_log import EventLog


class ProxyOperatorHandler:
    """Answer status, timeline, configuration and drain requests of operators."""

    def __init__(
        self,
        settings: DaemonSettings,
        core: ProxyCore,
        state: VersionedState,
        link: ControlLink,
        events: EventLog,
        request_drain: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._core = core
        self._state = state
        self._link = link
        self._events = events
        self._request_drain = request_drain

    async def handle(self, message: Message) -> Message:
        """Return the reply to a request."""
        match message:
            case StatusRequest():
                return self._status()
            case TimelineRequest():
                return self._events.answer(message)
            case ConfigurationRequest():
                return self._configuration(message)
            case DrainRequest():
                return self._drain(message)
        return OperatorError(
            code=OperatorErrorCode.NOT_LEADER,
            detail="this is a proxy; ask the control leader",
            leader_operator_address=self._leader_address(),
        )

    def _leader_address(self) -> str | None:
        leader = self._link.leader
        for item in self._settings.control_nodes:
            if item.node == leader:
                return str(item.operator_address)
        return None

    def _configuration(self, request: ConfigurationRequest) -> Message:
        configuration = self._state.configuration
        if request.version not in (None, configuration.version):
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"this proxy stores version {configuration.version} only",
                leader_operator_address=self._leader_address(),
            )
        return ConfigurationReply(
            version=configuration.version, document_json=configuration.to_json()
        )

    def _drain(self, request: DrainRequest) -> Message:
        if request.target != self._settings.node:
            return OperatorError(
                code=OperatorErrorCode.UNKNOWN_TARGET,
                detail=f"this is {self._settings.node}; ask the control leader",
                leader_operator_address=self._leader_address(),
            )
        if not request.is_draining:
            return OperatorError(
                code=OperatorErrorCode.UNSUPPORTED,
                detail="a draining proxy stops and can't resume; restart it instead",
            )
        self._request_drain()
        return DrainReply(
            target=self._settings.node,
            is_draining=True,
            detail="draining, then stopping",
        )

    def _status(self) -> StatusReply:
        settings = self._settings
        configuration_version = self._state.configuration.version
        node = NodeStatus(
            node=settings.node,
            role=NodeRole.PROXY,
            zone=settings.zone,
            operator_address=str(settings.operator_address),
            configuration_version=configuration_version,
            topology_version=self._state.topology.version,
            silence_ms=0.0,
            is_draining=self._link.is_draining,
        )
        return StatusReply(
            node=settings.node,
            is_authoritative=False,
            configuration_version=configuration_version,
            leader=self._link.leader,
            databases=self._databases(),
            nodes=[node],
            problems=self._problems(),
        )

    def _databases(self) -> list[DatabaseStatus]:
        databases = {
            item.database: DatabaseStatus(
                database=item.database,
                term=item.term,
                primary_instance=item.primary_instance,
                step=item.step,
            )
            for item in self._state.topology.databases
        }
        for item in self._core.data_path.observations(self._core.now_ms()):
            status = databases.setdefault(
                item.database,
                DatabaseStatus(
                    database=item.database,
                    term=0,
                    primary_instance=None,
                    step=FailoverStep.SERVING,
                ),
            )
            instance = InstanceStatus(
                database=item.database,
                instance=item.instance,
                zone=item.zone,
                role=item.role.value,
                term=item.term,
                applied_position=item.applied_position,
                lag_ms=None,
                silence_ms=item.silence_ms,
                is_leaving=item.is_leaving,
            )
            status.instances = [*status.instances, instance]
        return list(databases.values())

    def _problems(self) -> list[Problem]:
        problems = []
        if self._link.leader is None:
            problems.append(
                Problem(
                    summary=f"{self._settings.node} can't reach a control leader.",
                    action="Check that a majority of the control nodes is up and "
                    "reachable from this zone.",
                )
            )
        for database in self._state.topology.databases:
            if database.primary_instance is None:
                problems.append(
                    Problem(
                        summary=f"{database.database} has no primary.",
                        action="Check that a majority of its backend servers is up.",
                    )
                )
        return problems
