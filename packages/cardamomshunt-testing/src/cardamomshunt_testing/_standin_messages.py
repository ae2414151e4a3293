"""Messages between the instances of a stand-in group."""

import asyncio
import struct

import msgspec

from cardamomshunt_testing._standin_log import LogEntry

_LENGTH = struct.Struct("<I")
SIZE_MAX_BYTES = 64 * 1024 * 1024


class Append(msgspec.Struct, tag=True, kw_only=True):
    """Send entries after `previous_position`, the commit point and a round number."""

    term: int
    primary: str
    incarnation: int
    round: int
    previous_term: int
    previous_position: int
    last_position: int
    committed_position: int
    entries: list[LogEntry]


class AppendReply(msgspec.Struct, tag=True, kw_only=True):
    """Acknowledge receipt; `is_counted` is False while the instance rejoins blank."""

    instance: str
    incarnation: int
    term: int
    round: int
    is_accepted: bool
    is_counted: bool
    match_position: int


class TermQuery(msgspec.Struct, tag=True, kw_only=True):
    """Ask a peer for its term and for the incarnation that it knew the asker by."""

    instance: str
    incarnation: int


class TermReply(msgspec.Struct, tag=True, kw_only=True):
    """Answer a term query; the known incarnation is 0 for an unknown asker."""

    instance: str
    term: int
    known_incarnation: int


ReplicationMessage = Append | AppendReply | TermQuery | TermReply
_DECODER: msgspec.msgpack.Decoder[ReplicationMessage] = msgspec.msgpack.Decoder(
    ReplicationMessage
)


def frame(message: ReplicationMessage) -> bytes:
    """Encode a message with its length."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


async def read_message(reader: asyncio.StreamReader) -> ReplicationMessage:
    """Read one message; raise ConnectionError at the end of the stream."""
    try:
        (size_bytes,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if size_bytes > SIZE_MAX_BYTES:
            raise ConnectionError("replication message too large")
        return _DECODER.decode(await reader.readexactly(size_bytes))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("replication link closed") from error
