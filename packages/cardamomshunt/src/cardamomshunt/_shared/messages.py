"""Message types between processes, and their MessagePack codec."""

import enum

import msgspec

from cardamomshunt._shared.position import ZERO, LogPosition

PROTOCOL_VERSION = 1


class InstanceRole(enum.Enum):
    """Role that a backend server reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


class NodeRole(enum.Enum):
    """Role of a daemon."""

    PROXY = "proxy"
    CONTROL = "control"


class FailoverStep(enum.Enum):
    """State of a database in the state chart `failover.toml`."""

    SERVING = "serving"
    HANDING_OVER = "handing_over"
    FENCING = "fencing"
    PROMOTING = "promoting"


class Message(msgspec.Struct, tag=True, kw_only=True):
    """Base class of all messages between processes."""


class InstanceAddress(msgspec.Struct, frozen=True):
    """Network address of a backend server."""

    host: str
    port: int


class TokenEcho(msgspec.Struct, frozen=True, kw_only=True):
    """Confirmation of a position, in reply to a token of one entry VM.

    After the primary received `token`, a majority of the group acknowledged `term`.
    `position` was the end of the primary's log when it received the token.
    """

    token: str
    position: LogPosition


class Announcement(msgspec.Struct, kw_only=True):
    """Announcement of a backend server to an entry VM, sent as JSON.

    `incarnation` changes at every restart, because the log may then be shorter.
    """

    group: str
    instance: str
    incarnation: int
    zone: str
    address: InstanceAddress
    role: InstanceRole
    term: int
    log_position: LogPosition
    applied_position: LogPosition
    committed_position: LogPosition = ZERO
    n_slots: int
    n_connections_max: int
    is_leaving: bool = False
    echo: TokenEcho | None = None


class Heartbeat(Message, kw_only=True, array_like=True):
    """Report a daemon as alive to the control leader.

    `health_sequence` is the sequence of the last health report if nothing but positions
    has changed since, and otherwise 0. Heartbeats are the most frequent messages, so
    they are encoded without field names; new fields must be appended.
    """

    node: str
    role: NodeRole
    zone: str
    incarnation: int
    operator_address: str
    configuration_version: int
    topology_version: int
    is_draining: bool = False
    health_sequence: int = 0


class InstanceObservation(msgspec.Struct, kw_only=True, array_like=True):
    """State of one backend server as observed by one entry VM.

    `silence_ms` is the time since the last announcement or answer from the server.
    `is_refusing` means that the server refused the last connection attempt. Health
    reports contain hundreds of observations and are most of an entry VM's traffic to
    control, so these are encoded without field names; new fields must be appended.
    """

    database: str
    instance: str
    incarnation: int
    zone: str
    address: InstanceAddress
    role: InstanceRole
    term: int
    log_position: LogPosition
    applied_position: LogPosition
    n_slots: int
    n_connections_max: int
    silence_ms: float
    is_refusing: bool = False
    is_leaving: bool = False


class HealthReport(Message, kw_only=True):
    """Report an entry VM's observations to the control leader."""

    node: str
    zone: str
    sequence: int
    observations: list[InstanceObservation]


class ConnectionDemand(msgspec.Struct, kw_only=True, array_like=True):
    """Number of connections to an instance that an entry VM can use."""

    instance: str
    n_requested: int = msgspec.field(name="n_wanted")


class DemandReport(Message, kw_only=True):
    """Report an entry VM's connection demand to the control leader."""

    node: str
    sequence: int
    demands: list[ConnectionDemand]


class ConnectionGrant(msgspec.Struct, kw_only=True):
    """Lease on connections to one instance, valid for `expires_in_ms` from receipt."""

    instance: str
    n_connections: int
    expires_in_ms: float


class ConnectionGrants(Message, kw_only=True):
    """Send the control leader's connection grants to one entry VM."""

    node: str
    sequence: int
    grants: list[ConnectionGrant]


class DatabaseTopology(msgspec.Struct, kw_only=True):
    """Term, primary and failover step of one database."""

    database: str
    term: int
    primary_instance: str | None
    step: FailoverStep


class TopologyUpdate(Message, kw_only=True):
    """Distribute the topology; `version` grows with every change of it.

    Receivers ignore a version older than their own.
    """

    version: int
    databases: list[DatabaseTopology]


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Change of the value at a dotted path of the configuration; None removes it."""

    path: str
    value: str | int | float | bool | None


class ConfigurationUpdate(Message, kw_only=True):
    """Distribute a configuration to a node.

    If `base_version` is None, `snapshot` is the whole document of `version` as JSON.
    Otherwise `changes` lead from `base_version` to `version`.
    """

    version: int
    base_version: int | None
    snapshot: str = ""
    changes: list[Change] = []


class DrainInstance(Message, kw_only=True):
    """Ask an entry VM to stop or to resume sending new work to a backend server."""

    instance: str
    is_draining: bool


class UnknownMessage(Message, kw_only=True):
    """Placeholder for a message whose type this version does not know."""

    tag_name: str


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """Envelope of a message on the wire; `reply_address` is the sender's listener.

    It is encoded without field names; new fields must be appended.
    """

    protocol_version: int = PROTOCOL_VERSION
    sender: str
    reply_address: str
    sent_hlc: int = 0
    message: msgspec.Raw


_REGISTRY: dict[str, type[Message]] = {}
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


class _Tag(msgspec.Struct):
    type: str


_TAG_DECODER = msgspec.msgpack.Decoder(_Tag)
_ITEMS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_STRING_DECODER = msgspec.msgpack.Decoder(str)
# First bytes of MessagePack arrays: fixarray, array 16 and array 32.
_ARRAY_CODES = frozenset({*range(0x90, 0xA0), 0xDC, 0xDD})


def _tag_of(message: msgspec.Raw) -> str:
    """Return the tag of a message encoded with or without field names."""
    if memoryview(message)[0] not in _ARRAY_CODES:
        return _TAG_DECODER.decode(message).type
    items = _ITEMS_DECODER.decode(message)
    if not items:
        raise msgspec.ValidationError("expected a tag, got an empty array")
    return _STRING_DECODER.decode(items[0])


def _register_message_types() -> dict[str, type[Message]]:
    """Register the message types defined so far, and return them by tag."""
    pending = list(Message.__subclasses__())
    while pending:
        message_type = pending.pop()
        pending.extend(message_type.__subclasses__())
        _REGISTRY[str(message_type.__struct_config__.tag)] = message_type
    return _REGISTRY


def encode_envelope(
    message: Message, *, sender: str, reply_address: str, sent_hlc: int = 0
) -> bytes:
    """Encode a message in its envelope."""
    envelope = Envelope(
        sender=sender,
        reply_address=reply_address,
        sent_hlc=sent_hlc,
        message=msgspec.Raw(_ENCODER.encode(message)),
    )
    return _ENCODER.encode(envelope)


def decode_envelope(payload: bytes) -> tuple[Envelope, Message]:
    """Decode a payload; raise msgspec.DecodeError or ValidationError if malformed.

    >>> payload = encode_envelope(
    ...     DrainInstance(instance="orders-1", is_draining=True),
    ...     sender="proxy-1",
    ...     reply_address="tcp://127.0.0.1:1",
    ... )
    >>> decode_envelope(payload)[1]
    DrainInstance(instance='orders-1', is_draining=True)
    """
    envelope = _ENVELOPE_DECODER.decode(payload)
    tag = _tag_of(envelope.message)
    message_type = _REGISTRY.get(tag) or _register_message_types().get(tag)
    if message_type is None:
        return envelope, UnknownMessage(tag_name=tag)
    return envelope, msgspec.msgpack.decode(envelope.message, type=message_type)
