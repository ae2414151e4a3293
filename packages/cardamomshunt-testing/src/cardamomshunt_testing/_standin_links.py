"""TCP links that carry replication between the instances of a group."""

import asyncio

from cardamomshunt_testing._standin_member import Member
from cardamomshunt_testing._standin_messages import (
    Append,
    AppendReply,
    ReplicationMessage,
    TermQuery,
    TermReply,
    frame,
    read_message,
)
from cardamomshunt_testing._standin_settings import PeerSettings

HEARTBEAT_MS = 50.0
_RECONNECT_MS = 100.0
_CONNECT_TIMEOUT_MS = 500.0
_UNSENT_MAX_BYTES = 4 * 1024 * 1024


class ReplicationLinks:
    """Answer messages of peers, and send entries to each peer while primary."""

    def __init__(self, member: Member):
        self._member = member
        self._zones = {peer.instance: peer.zone for peer in member.settings.peers}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    async def start(self) -> None:
        """Listen for peers."""
        settings = self._member.settings
        self._server = await asyncio.start_server(
            self._serve, settings.host, settings.replication_port
        )

    def start_senders(self) -> None:
        """Start one sender per peer."""
        for peer in self._member.settings.peers:
            self._add_task(self._run_sender(peer))

    async def stop(self) -> None:
        """Close all links, and those that are accepted only now."""
        self._is_stopped = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_task(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_stopped:
            # Accepted before the listener was closed, and served only now.
            writer.close()
            return
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while True:
                message = await read_message(reader)
                await self._member.faults.running.wait()
                self._handle_message(message, writer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def _handle_message(
        self, message: ReplicationMessage, writer: asyncio.StreamWriter
    ) -> None:
        if isinstance(message, Append):
            if not self._is_partitioned(message.primary):
                reply = self._member.on_append(message)
                self._send(writer, reply, self._zones.get(message.primary))
        elif isinstance(message, TermQuery) and not self._is_partitioned(
            message.instance
        ):
            known = self._member.known_incarnations
            reply_to_query = TermReply(
                instance=self._member.settings.instance,
                term=self._member.term,
                known_incarnation=known.get(message.instance, 0),
            )
            known.setdefault(message.instance, message.incarnation)
            self._send(writer, reply_to_query, self._zones.get(message.instance))

    def _is_partitioned(self, instance: str) -> bool:
        zone = self._zones.get(instance, "")
        return self._member.faults.is_partitioned(instance, zone)

    def _send(
        self,
        writer: asyncio.StreamWriter,
        message: ReplicationMessage,
        zone: str | None,
    ) -> None:
        settings = self._member.settings
        data = frame(message)
        if zone == settings.zone or not settings.zone_delay_ms:
            writer.write(data)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(settings.zone_delay_ms / 1_000, writer.write, data)

    async def _run_sender(self, peer: PeerSettings) -> None:
        while True:
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1_000):
                    reader, writer = await asyncio.open_connection(
                        peer.host, peer.replication_port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(_RECONNECT_MS / 1_000)
                continue
            state = self._member.peers[peer.instance]
            state.next_position = state.match_position + 1
            receiver = asyncio.create_task(self._receive_replies(reader, peer))
            try:
                await self._send_appends(writer, peer, receiver)
            finally:
                receiver.cancel()
                writer.close()

    async def _receive_replies(
        self, reader: asyncio.StreamReader, peer: PeerSettings
    ) -> None:
        member = self._member
        try:
            while True:
                message = await read_message(reader)
                await member.faults.running.wait()
                if member.faults.is_partitioned(peer.instance, peer.zone):
                    continue
                if isinstance(message, AppendReply):
                    member.on_reply(message)
        except ConnectionError:
            member.peers[peer.instance].wake_up.set()

    async def _send_appends(
        self,
        writer: asyncio.StreamWriter,
        peer: PeerSettings,
        receiver: asyncio.Task[None],
    ) -> None:
        member = self._member
        wake_up = member.peers[peer.instance].wake_up
        while not receiver.done():
            try:
                async with asyncio.timeout(HEARTBEAT_MS / 1_000):
                    await wake_up.wait()
            except TimeoutError:
                pass
            wake_up.clear()
            await member.faults.running.wait()
            n_unsent = writer.transport.get_write_buffer_size()
            if (
                member.is_primary
                and not member.faults.is_partitioned(peer.instance, peer.zone)
                and n_unsent < _UNSENT_MAX_BYTES
            ):
                self._send(writer, member.make_append(peer.instance), peer.zone)

    async def query_terms(self, timeout_ms: float) -> list[TermReply]:
        """Query the terms of all peers; return the replies of the reachable ones.

        Return none if the queries do not all end within the timeout.
        """
        queries = [self._query_term(peer) for peer in self._member.settings.peers]
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                replies = await asyncio.gather(*queries)
        except TimeoutError:
            return []
        return [reply for reply in replies if reply is not None]

    async def _query_term(self, peer: PeerSettings) -> TermReply | None:
        settings = self._member.settings
        query = TermQuery(
            instance=settings.instance, incarnation=self._member.incarnation
        )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 2_000):
                reader, writer = await asyncio.open_connection(
                    peer.host, peer.replication_port
                )
                writer.write(frame(query))
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return None
        return message if isinstance(message, TermReply) else None
