"""Tests of the message codec, including messages of newer peers."""

import msgspec
import pytest
from cardamomshunt.messages import (
    DrainInstance,
    Message,
    UnknownMessage,
    decode_envelope,
    encode_envelope,
)


class _Extended(Message, tag="DrainInstance", kw_only=True):
    instance: str
    is_draining: bool
    added_later: int = 7


class _Unregistered(msgspec.Struct, tag="FromTheFuture"):
    value: int = 1


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (
            DrainInstance(instance="orders-1", is_draining=True),
            DrainInstance(instance="orders-1", is_draining=True),
        ),
        (_Unregistered(), UnknownMessage(tag_name="FromTheFuture")),
    ],
    ids=["known", "unknown tag"],
)
def test_round_trip(sent: Message, expected: Message) -> None:
    payload = encode_envelope(sent, sender="a", reply_address="tcp://127.0.0.1:1")
    assert decode_envelope(payload)[1] == expected


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x81\xa1a\x01", b"\x00" * 40])
def test_malformed_payload_is_rejected(payload: bytes) -> None:
    with pytest.raises(msgspec.MsgspecError):
        decode_envelope(payload)
