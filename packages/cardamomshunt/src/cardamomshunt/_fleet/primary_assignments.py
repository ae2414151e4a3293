"""Replicated state of the control nodes: primary of each group, configuration."""

import enum

import msgspec

from cardamomshunt._fleet.server_registry import ServerReport, ServerState


class AssignmentPhase(enum.Enum):
    """Phase of a group: its primary serves, is being stopped or is being replaced."""

    ACTIVE = "active"
    STOPPING = "stopping"
    PROMOTING = "promoting"


class Assignment(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Primary of a group; `epoch` grows with every change of the assignment."""

    server: str
    epoch: int
    phase: AssignmentPhase = AssignmentPhase.ACTIVE
    successor: str = ""


class FleetCommand(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Base class of the commands in the replicated log."""


class PutDocument(FleetCommand, frozen=True, kw_only=True):
    """Store a configuration document if its version is higher than the stored one."""

    version: int
    document: bytes


class CountEntries(FleetCommand, frozen=True, kw_only=True):
    """Store the number of entry VMs, for use after a restart of all control nodes."""

    n_entries: int


class StoreServers(FleetCommand, frozen=True, kw_only=True):
    """Store reports of servers, for use after a restart of all control nodes."""

    reports: list[ServerReport] = []
    removed: list[str] = []


class StoreShareHolders(FleetCommand, frozen=True, kw_only=True):
    """Store which entry VMs may have shares of rate limits, for the next leader."""

    holders: list[str] = []


class AssignPrimary(FleetCommand, frozen=True, kw_only=True):
    """Assign the first primary of a group."""

    group: str
    server: str


class StopPrimary(FleetCommand, frozen=True, kw_only=True):
    """Start the replacement of a primary."""

    group: str
    epoch: int


class PromoteSuccessor(FleetCommand, frozen=True, kw_only=True):
    """Set the successor of a primary; the entry's index is the fencing token."""

    group: str
    epoch: int
    successor: str


class FinishPromotion(FleetCommand, frozen=True, kw_only=True):
    """Finish a replacement; `server` is the successor or again the former primary."""

    group: str
    epoch: int
    server: str


AssignmentCommand = StopPrimary | PromoteSuccessor | FinishPromotion
_Command = (
    PutDocument
    | CountEntries
    | StoreServers
    | StoreShareHolders
    | AssignPrimary
    | AssignmentCommand
)
_DECODER = msgspec.msgpack.Decoder(_Command)
_ENCODER = msgspec.msgpack.Encoder()


def encode_command(command: FleetCommand) -> bytes:
    """Encode a command for the log."""
    return _ENCODER.encode(command)


class FleetState(msgspec.Struct, kw_only=True):
    """State that the control nodes replicate."""

    version: int = 0
    document: bytes = b""
    assignments: dict[str, Assignment] = {}
    n_entries: int = 0
    servers: dict[str, ServerReport] = {}
    share_holders: list[str] = []

    def apply(self, index: int, payload: bytes) -> bool:
        """Apply the command of a log entry; return whether it took effect."""
        command = _DECODER.decode(payload)
        match command:
            case PutDocument():
                return self._put_document(command)
            case CountEntries():
                self.n_entries = command.n_entries
                return True
            case StoreServers():
                self._store_servers(command)
                return True
            case StoreShareHolders():
                self.share_holders = command.holders
                return True
            case AssignPrimary():
                if command.group in self.assignments:
                    return False
                self.assignments[command.group] = Assignment(
                    server=command.server, epoch=index
                )
                return True
        return self._change_assignment(index, command)

    def _put_document(self, command: PutDocument) -> bool:
        if command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def _store_servers(self, command: StoreServers) -> None:
        self.servers.update((report.server, report) for report in command.reports)
        for server in command.removed:
            self.servers.pop(server, None)

    def servers_to_store(self, reports: list[ServerReport]) -> StoreServers | None:
        """Return the command that stores these reports, or None if they are stored.

        Servers that are gone are removed. A higher sequence alone changes nothing.
        """
        changed, removed = [], []
        for report in reports:
            stored = self.servers.get(report.server)
            if report.state is ServerState.GONE:
                if stored is not None:
                    removed.append(report.server)
            elif stored is None or report.differs_from(stored):
                changed.append(report)
        if not changed and not removed:
            return None
        return StoreServers(reports=changed, removed=removed)

    def _change_assignment(self, index: int, command: AssignmentCommand) -> bool:
        """Apply a step of a replacement unless the epoch has changed since."""
        known = self.assignments.get(command.group)
        if known is None or known.epoch != command.epoch:
            return False
        match command:
            case StopPrimary():
                changed = Assignment(
                    server=known.server, epoch=index, phase=AssignmentPhase.STOPPING
                )
            case PromoteSuccessor():
                changed = Assignment(
                    server=known.server,
                    epoch=index,
                    phase=AssignmentPhase.PROMOTING,
                    successor=command.successor,
                )
            case FinishPromotion():
                changed = Assignment(server=command.server, epoch=index)
        self.assignments[command.group] = changed
        return True

    def encode(self) -> bytes:
        """Encode the state for a snapshot."""
        return _ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "FleetState":
        """Decode a snapshot; an empty one is the state before the first entry."""
        return msgspec.msgpack.decode(data, type=cls) if data else cls()
