"""Messages reach peers, and unauthenticated or malformed input is rejected."""

import asyncio

import pynng
import pytest
from cardamomshunt.messages import DrainInstance, Message
from cardamomshunt.operator_messages import (
    OperatorError,
    StatusRequest,
    TimelineReply,
)
from cardamomshunt_node.keys import Key, KeyRing
from cardamomshunt_node.operator_link import NoReplyError, OperatorServer, send_request
from cardamomshunt_node.transport import PeerTransport, ReceivedMessage
from cardamomshunt_testing._ports import free_ports

_KEYS = KeyRing([Key("k2", b"second secret 16"), Key("k1", b"first secret 16 ")])
_OLD_KEYS = KeyRing([Key("k1", b"first secret 16 ")])
_FOREIGN_KEYS = KeyRing([Key("k1", b"foreign secret 16")])


def _free_url() -> str:
    return f"tcp://127.0.0.1:{free_ports(1)[0]}"


@pytest.mark.parametrize(
    ("sender_keys", "is_accepted"),
    [(_KEYS, True), (_OLD_KEYS, True), (_FOREIGN_KEYS, False), (KeyRing([]), False)],
    ids=["newest key", "older key", "foreign key", "unsigned"],
)
async def test_only_accepted_keys(sender_keys: KeyRing, is_accepted: bool) -> None:
    received: asyncio.Queue[ReceivedMessage] = asyncio.Queue()
    listener = PeerTransport("a", _free_url(), _KEYS, received.put)
    sender = PeerTransport("b", _free_url(), sender_keys, received.put)
    await listener.start()
    try:
        sent = DrainInstance(instance="orders-1", is_draining=True)
        sender.send(listener._listen_url, sent)
        if is_accepted:
            async with asyncio.timeout(5):
                assert (await received.get()).message == sent
        else:
            async with asyncio.timeout(5):
                while listener.counters.n_rejected == 0:
                    await asyncio.sleep(0.01)
            assert received.empty()
    finally:
        await sender.stop()
        await listener.stop()


async def test_send_to_absent_peer_does_not_block() -> None:
    async def ignore(_: ReceivedMessage) -> None:
        return None

    sender = PeerTransport("a", _free_url(), _KEYS, ignore)
    url = _free_url()
    for _ in range(2_000):
        sender.send(url, DrainInstance(instance="orders-1", is_draining=True))
    assert sender.counters.n_dropped > 0
    await sender.stop()


async def _status_handler(message: Message) -> Message:
    if isinstance(message, StatusRequest):
        return TimelineReply(node="a", events=[])
    raise RuntimeError("no such request")


@pytest.mark.parametrize(
    ("request_", "keys", "expected"),
    [
        (StatusRequest(), _OLD_KEYS, TimelineReply),
        (DrainInstance(instance="x", is_draining=True), _KEYS, OperatorError),
    ],
)
async def test_operator_link(
    request_: Message, keys: KeyRing, expected: type[Message]
) -> None:
    url = _free_url()
    server = OperatorServer("a", url, _KEYS, _status_handler)
    await server.start()
    try:
        reply = await send_request(url, request_, _KEYS, 5_000)
        assert isinstance(reply, expected)
        with pytest.raises(NoReplyError):
            await send_request(url, request_, _FOREIGN_KEYS, 5_000)
    finally:
        await server.stop()


async def test_malformed_input_on_operator_port_does_not_stop_the_server() -> None:
    url = _free_url()
    server = OperatorServer("a", url, _KEYS, _status_handler)
    await server.start()
    try:
        with pynng.Req0(dial=url, recv_timeout=5_000) as client:
            for payload in (b"", b"\x05junk", b"\xff" * 300):
                await client.asend(payload)
                await client.arecv()
        reply = await send_request(url, StatusRequest(), _KEYS, 5_000)
        assert isinstance(reply, TimelineReply)
    finally:
        await server.stop()
