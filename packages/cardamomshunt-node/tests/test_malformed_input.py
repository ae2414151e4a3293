"""Malformed input on any port neither stops the daemon nor blocks its service."""

import asyncio
import contextlib
from typing import Any

import pytest
from cardamomshunt.operator_messages import StatusReply, StatusRequest
from cardamomshunt_node.keys import KeyRing
from cardamomshunt_node.operator_link import send_request
from cardamomshunt_node.proxy_role import ProxyDaemon
from cardamomshunt_node.settings import DaemonSettings
from hypothesis import given, settings
from hypothesis import strategies as st

_PORTS = (
    "peer_address",
    "operator_address",
    "metrics_address",
    "caller_address",
    "announcement_address",
)
_LOGIN = bytes.fromhex(
    "85a23f00000000012d0000000000000000000000000000000000000000000000"
    "63616c6c657200006d7973716c5f6e61746976655f70617373776f726400"
)


async def _send(address: Any, payload: bytes) -> None:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(payload)
        writer.write_eof()
        async with asyncio.timeout(0.3):
            while await reader.read(1_000):
                pass
    writer.close()


async def _is_serving(daemon_settings: DaemonSettings) -> bool:
    url = daemon_settings.operator_address.url
    reply = await send_request(url, StatusRequest(), KeyRing([]), 3_000)
    address = daemon_settings.caller_address
    assert address is not None
    reader, writer = await asyncio.open_connection(address.host, address.port)
    async with asyncio.timeout(3):
        handshake = await reader.readexactly(5)
    writer.close()
    return isinstance(reply, StatusReply) and handshake[4] == 10


@pytest.mark.parametrize("port", _PORTS)
def test_malformed_input_on_a_port(proxy_settings: DaemonSettings, port: str) -> None:
    """Guards against input that terminates a task that other connections depend on."""
    with asyncio.Runner() as runner:

        async def start() -> ProxyDaemon:
            daemon = ProxyDaemon(proxy_settings)
            await daemon.start()
            return daemon

        daemon = runner.run(start())
        address = getattr(proxy_settings, port)

        @given(st.binary(max_size=200))
        @settings(max_examples=25, deadline=None, database=None)
        def check(payload: bytes) -> None:
            runner.run(_send(address, payload))
            if port == "caller_address":
                packet = len(payload).to_bytes(3, "little") + b"\x00" + payload
                login = len(_LOGIN).to_bytes(3, "little") + b"\x01" + _LOGIN
                runner.run(_send(address, login + packet))

        check()
        assert runner.run(_is_serving(proxy_settings))
        runner.run(daemon.stop())
