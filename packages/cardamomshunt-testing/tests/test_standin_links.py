"""Replication links of the stand-in database."""

import asyncio
import socket

import pytest
from cardamomshunt_testing._standin_faults import Faults
from cardamomshunt_testing._standin_group import group_settings
from cardamomshunt_testing._standin_links import ReplicationLinks
from cardamomshunt_testing._standin_log import InstanceLog
from cardamomshunt_testing._standin_member import Member
from cardamomshunt_testing._standin_messages import TermQuery, frame

_SILENCE_S = 1.0


@pytest.mark.parametrize("n_steps", range(8))
async def test_a_stopped_instance_answers_no_link(n_steps):
    # Guards against a killed instance that goes on acknowledging entries, which its
    # successor does not have, on a link that was accepted while it stopped.
    settings = group_settings("orders", ["zone-a"])[0]
    member = Member(settings, InstanceLog(), Faults())
    links = ReplicationLinks(member)
    await links.start()
    peer = socket.create_connection((settings.host, settings.replication_port))
    peer.setblocking(False)
    for _ in range(n_steps):
        await asyncio.sleep(0)
    await links.stop()
    loop = asyncio.get_running_loop()
    query = TermQuery(instance="orders-2", incarnation=1)
    try:
        await loop.sock_sendall(peer, frame(query))
        async with asyncio.timeout(_SILENCE_S):
            assert await loop.sock_recv(peer, 1) == b""
    except (ConnectionError, TimeoutError):
        # Reset, or accepted by nobody.
        pass
    finally:
        peer.close()
