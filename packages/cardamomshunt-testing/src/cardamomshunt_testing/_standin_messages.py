"""Messages between the instances of a stand-in group."""

import asyncio
import struct

import msgspec

from cardamomshunt_testing._standin_log import LogEntry

_LENGTH = struct.Struct("<I")
SIZE_MAX_BYTES = 64 * 1024 * 1024


class Append(msgspec.Struct, tag=True, kw_only=True):
    """Entries after `previous_position`, with the commit position and a round."""

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
    """Reply to an append; `is_counted` is False while the instance recovers."""

    instance: str
    incarnation: int
    term: int
    round: int
    is_accepted: bool
    is_counted: bool
    match_position: int


class TermQuery(msgspec.Struct, tag=True, kw_only=True):
    """Query for the term of a peer, and the incarnation of the sender it knows."""

    instance: str
    incarnation: int


class TermReply(msgspec.Struct, tag=True, kw_only=True):
    """Reply to a term query; the known incarnation is 0 for an unknown sender."""

    instance: str
    term: int
    known_incarnation: int


ReplicationMessage = Append | AppendReply | TermQuery | TermReply
_DECODER: msgspec.msgpack.Decoder[ReplicationMessage] = msgspec.msgpack.Decoder(
    ReplicationMessage
)


def frame(message: ReplicationMessage) -> bytes:
    """Encode a message with a length header."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


async def read_message(reader: asyncio.StreamReader) -> ReplicationMessage:
    """Read one message; raise ConnectionError at the end of the stream."""
    try:
        (size_bytes,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if size_bytes > SIZE_MAX_BYTES:
            raise ConnectionError("replication message exceeds the size limit")
        return _DECODER.decode(await reader.readexactly(size_bytes))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("replication link closed by the peer") from error
