"""Which backend server is the primary of each group, and the configuration."""

import enum

import msgspec


class AssignmentPhase(enum.Enum):
    """Name the step of a group: a primary serves, is being stopped, or is replaced."""

    ACTIVE = "active"
    STOPPING = "stopping"
    PROMOTING = "promoting"


class Assignment(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Name the primary of a group; `epoch` grows with every change of it."""

    server: str
    epoch: int
    phase: AssignmentPhase = AssignmentPhase.ACTIVE
    successor: str = ""


class FleetCommand(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Base of the commands in the replicated log."""


class PutDocument(FleetCommand, frozen=True, kw_only=True):
    """Store a configuration unless its version is not higher."""

    version: int
    document: bytes


class CountEntries(FleetCommand, frozen=True, kw_only=True):
    """Store how many entry VMs there are, for the time after a restart of all."""

    n_entries: int


class AssignPrimary(FleetCommand, frozen=True, kw_only=True):
    """Name the first primary of a group."""

    group: str
    server: str


class StopPrimary(FleetCommand, frozen=True, kw_only=True):
    """Begin the replacement of a primary."""

    group: str
    epoch: int


class PromoteSuccessor(FleetCommand, frozen=True, kw_only=True):
    """Choose the successor; the entry's index is the fencing token."""

    group: str
    epoch: int
    successor: str


class FinishPromotion(FleetCommand, frozen=True, kw_only=True):
    """Make the successor, or the former primary after all, the primary."""

    group: str
    epoch: int
    server: str


AssignmentCommand = StopPrimary | PromoteSuccessor | FinishPromotion
_Command = PutDocument | CountEntries | AssignPrimary | AssignmentCommand
_DECODER = msgspec.msgpack.Decoder(_Command)
_ENCODER = msgspec.msgpack.Encoder()


def encode_command(command: FleetCommand) -> bytes:
    """Encode a command for the log."""
    return _ENCODER.encode(command)


class FleetState(msgspec.Struct, kw_only=True):
    """Hold what the control nodes agree on."""

    version: int = 0
    document: bytes = b""
    assignments: dict[str, Assignment] = {}
    n_entries: int = 0

    def apply(self, index: int, payload: bytes) -> bool:
        """Apply the command of a log entry; return whether it took effect."""
        command = _DECODER.decode(payload)
        match command:
            case PutDocument():
                return self._put_document(command)
            case CountEntries():
                self.n_entries = command.n_entries
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

    def _change_assignment(self, index: int, command: AssignmentCommand) -> bool:
        """Apply a step of a replacement unless another one went ahead."""
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
        """Encode for a snapshot."""
        return _ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "FleetState":
        """Decode a snapshot; an empty one is the state before the first entry."""
        return msgspec.msgpack.decode(data, type=cls) if data else cls()
