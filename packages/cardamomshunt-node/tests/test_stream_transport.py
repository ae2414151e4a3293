"""Messages between processes over TCP, whatever their size."""

import asyncio
from typing import Any

import pytest
from cardamomshunt.consensus import AppendEntries, Entry, EntryKind
from cardamomshunt_node._stream_transport import StreamMessage, StreamTransport
from cardamomshunt_testing._ports import free_ports


def _message(size_bytes: int) -> AppendEntries:
    entry = Entry(1, 1, EntryKind.COMMAND, b"x" * size_bytes)
    return AppendEntries(
        term=1,
        incarnation=1,
        prev_index=0,
        prev_term=0,
        commit_index=0,
        sent_ms=0.0,
        entries=[entry],
    )


@pytest.mark.parametrize("size_bytes", [1_000, 3 * 1024 * 1024])
async def test_the_first_message_opens_the_connection(size_bytes: int) -> None:
    """Guards against a follower that is never connected to, as all it lacks is large."""
    received: asyncio.Queue[StreamMessage] = asyncio.Queue()
    addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
    receiver = StreamTransport("a", addresses[0], received.put_nowait)
    sender = StreamTransport("b", addresses[1], lambda message: None)
    await receiver.start()
    try:
        sender.send(receiver.address, _message(size_bytes))
        async with asyncio.timeout(3.0):
            message = (await received.get()).message
        assert isinstance(message, AppendEntries)
        assert len(message.entries[0].payload) == size_bytes
    finally:
        await sender.stop()
        await receiver.stop()


@pytest.mark.parametrize("round_trip_s", [0.0, 0.15, 0.25, 0.6])
async def test_a_slow_link_is_connected_once(
    round_trip_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against attempts that are given up one after the other on a slow link.

    Also against a peer that keeps several connections, each with some of the messages.
    """
    loop = asyncio.get_running_loop()
    connect = loop.create_connection
    transports = []

    async def connect_slowly(*arguments: Any, **options: Any) -> Any:
        await asyncio.sleep(round_trip_s)
        transport, protocol = await connect(*arguments, **options)
        transports.append(transport)
        return transport, protocol

    monkeypatch.setattr(loop, "create_connection", connect_slowly)
    received: asyncio.Queue[StreamMessage] = asyncio.Queue()
    addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
    receiver = StreamTransport("a", addresses[0], received.put_nowait)
    sender = StreamTransport("b", addresses[1], lambda message: None)
    await receiver.start()
    try:
        for _ in range(30):
            sender.send(receiver.address, _message(100))
            await asyncio.sleep(0.05)
        assert not received.empty()
        assert sum(not transport.is_closing() for transport in transports) == 1
    finally:
        await sender.stop()
        await receiver.stop()


async def test_messages_for_an_absent_peer_are_bounded() -> None:
    """Guards against memory that grows with messages for a peer that is gone."""
    addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
    sender = StreamTransport("b", addresses[1], lambda message: None)
    for _ in range(5):
        sender.send(addresses[0], _message(1024 * 1024))
    assert sender.counters.n_dropped == 4
    await sender.stop()
