"""A loopback TCP proxy that injects network faults into its connections."""

import asyncio
import enum

_CHUNK_SIZE_BYTES = 65_536


class LinkMode(enum.Enum):
    """How a link treats the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    # Connections are accepted, and nothing is forwarded either way.
    BLACKHOLE = "silent"
    # Requests are forwarded, and answers are blocked.
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class FaultLink:
    """Forward connections from one address to another, with the faults of its mode."""

    def __init__(self, listen_address: str, target_address: str) -> None:
        self.listen_address = listen_address
        self._target_address = target_address
        self._mode = LinkMode.PASS
        self._mode_changed = asyncio.Event()
        self._delay_s = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for connections; raise OSError if the address is in use."""
        host, port = self.listen_address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change the mode for new and open connections."""
        self._mode, self._delay_s = mode, delay_s
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode is LinkMode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is LinkMode.REFUSE:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            host, port = self._target_address.split(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)
            return
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, target_writer, is_answer=False))
                group.create_task(self._copy(target_reader, writer, is_answer=True))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            for item in (writer, target_writer):
                self._writers.discard(item)
                item.transport.abort()
            self._tasks.discard(task)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_SIZE_BYTES):
            while self._is_blocked(is_answer):
                await self._mode_changed.wait()
            if self._mode is LinkMode.DELAY:
                await asyncio.sleep(self._delay_s)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    def _is_blocked(self, is_answer: bool) -> bool:
        if self._mode is LinkMode.BLACKHOLE:
            return True
        return self._mode is LinkMode.ONE_WAY and is_answer
