"""Client of the MySQL protocol over a plain socket, for statements of any bytes."""

import asyncio
import struct

_QUERY = b"\x03"
_PREPARE = b"\x16"
_EXECUTE = b"\x17"
_ERROR = 0xFF
_STRING_TYPE = b"\xfd\0"
# PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH and CONNECT_WITH_DB.
_CAPABILITIES = 0x8A208
UTF8MB4 = 255
LATIN1 = 8


def literal(data: bytes) -> bytes:
    """Return data as a string literal."""
    return b"'" + data.replace(b"\\", b"\\\\").replace(b"'", b"''") + b"'"


class RawClient:
    """Send statements as bytes, and return the packet that answers each."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(
        cls, host: str, port: int, database: str, character_set: int = UTF8MB4
    ) -> "RawClient":
        """Log in."""
        client = cls(*await asyncio.open_connection(host, port))
        await client._read()
        login = struct.pack("<IIB23x", _CAPABILITIES, 1 << 24, character_set)
        login += b"caller\0" + b"\0" + database.encode() + b"\0"
        client._send(login + b"mysql_native_password\0", 1)
        assert (await client._read())[0] == 0
        return client

    def _send(self, body: bytes, sequence: int = 0) -> None:
        self._writer.write(len(body).to_bytes(3, "little") + bytes([sequence]) + body)

    async def _read(self) -> bytes:
        async with asyncio.timeout(5.0):
            header = await self._reader.readexactly(4)
            return await self._reader.readexactly(int.from_bytes(header[:3], "little"))

    async def _ok(self) -> bytes:
        packet = await self._read()
        assert packet[0] != _ERROR, packet
        return packet

    async def query(self, statement: bytes) -> None:
        """Run a text statement without a result."""
        self._send(_QUERY + statement)
        await self._ok()

    async def execute(self, statement: bytes, *parameters: bytes) -> None:
        """Prepare and run a statement with strings of less than 251 bytes."""
        self._send(_PREPARE + statement)
        answer = await self._ok()
        assert int.from_bytes(answer[7:9], "little") == len(parameters)
        for _ in range(len(parameters) + 1 if parameters else 0):
            await self._ok()
        body = _EXECUTE + answer[1:5] + b"\0\1\0\0\0"
        if parameters:
            body += bytes((len(parameters) + 7) // 8) + b"\1"
            body += _STRING_TYPE * len(parameters)
        body += b"".join(bytes([len(item)]) + item for item in parameters)
        self._send(body)
        await self._ok()

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()
