"""Frames between an entry VM that forwards sessions and the owner that runs them."""

import msgspec

from cardamomshunt_node._session_protocol import TransactionState

_LENGTH_SIZE_BYTES = 4
FRAME_SIZE_MAX_BYTES = 8 * 1024 * 1024
# Longer answers are sent in several frames, so that other sessions do not wait long.
ANSWER_SIZE_MAX_BYTES = 64 * 1024


class RelayOpen(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Open a session; `version` is the configuration version of the entry VM.

    `key_digest` is the digest of the key that the caller opened its session with.
    """

    session: int
    database: str
    team: str
    version: int
    key_digest: bytes


class RelayStatement(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Run one line of a caller; `version` is that of the entry VM's configuration."""

    session: int
    line: bytes
    version: int


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Part of the answer to a statement, or without data to the opening of a session.

    `state` is that of the session's transaction.
    """

    session: int
    data: bytes
    state: TransactionState
    is_final: bool


class RelayClose(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """End a session, or refuse to open it."""

    session: int


class RelayDrain(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Notify an entry VM that the owner accepts no more sessions."""


class RelayPing(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Ask the owner for a frame of the same kind, to learn whether it still runs."""


RelayFrame = (
    RelayOpen | RelayStatement | RelayAnswer | RelayClose | RelayDrain | RelayPing
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RelayFrame)


def encode_frame(frame: RelayFrame) -> bytearray:
    """Encode a frame with its length in front."""
    data = bytearray(_LENGTH_SIZE_BYTES)
    _ENCODER.encode_into(frame, data, _LENGTH_SIZE_BYTES)
    size = len(data) - _LENGTH_SIZE_BYTES
    data[:_LENGTH_SIZE_BYTES] = size.to_bytes(_LENGTH_SIZE_BYTES, "big")
    return data


class FrameBuffer:
    """Collect received bytes, and decode the complete frames among them."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[RelayFrame]:
        """Return the frames that are complete; raise ValueError if one is malformed."""
        if self._rest:
            data = self._rest + data
        view = memoryview(data)
        frames: list[RelayFrame] = []
        start = 0
        while len(data) - start >= _LENGTH_SIZE_BYTES:
            begin = start + _LENGTH_SIZE_BYTES
            size = int.from_bytes(view[start:begin], "big")
            if size > FRAME_SIZE_MAX_BYTES:
                raise ValueError("the frame is too large")
            if len(data) < begin + size:
                break
            frames.append(_DECODER.decode(view[begin : begin + size]))
            start = begin + size
        self._rest = data[start:]
        return frames
