"""Loopback TCP proxy that delays, blocks or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

CHUNK_BYTES = 65_536
# SO_LINGER with a timeout of zero: closing the socket sends a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyMode(enum.Enum):
    """How a proxy treats connections.

    HEALTHY forwards all bytes and SLOW delays each chunk. UNRESPONSIVE blocks both directions,
    NO_RESPONSES only the one to the client. RESET resets open and new connections.
    """

    HEALTHY = "well"
    SLOW = "slow"
    UNRESPONSIVE = "silent"
    NO_RESPONSES = "no-answers"
    RESET = "reset"


@dataclasses.dataclass(eq=False)
class ProxiedConnection:
    """Both sides of one connection through a proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter


class FaultProxy:
    """Proxy that forwards connections to *target*, HOST:PORT.

    In SLOW mode, each chunk is delayed by *delay_ms*.
    """

    def __init__(self, target: str, delay_ms: int = 150) -> None:
        self._target = target
        self._delay_s = delay_ms / 1_000
        self._server: asyncio.Server | None = None
        self._connections: set[ProxiedConnection] = set()
        self._mode = ProxyMode.HEALTHY
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self.address = ""

    @property
    def mode(self) -> ProxyMode:
        """Current mode."""
        return self._mode

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port of *host*."""
        self._server = await asyncio.start_server(self._handle_connection, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and reset every connection."""
        self._server.close()
        self._reset_all()

    def set_mode(self, mode: ProxyMode) -> None:
        """Apply *mode* to new and open connections."""
        self._mode = mode
        if mode in (ProxyMode.UNRESPONSIVE, ProxyMode.NO_RESPONSES):
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if mode is ProxyMode.RESET:
            self._reset_all()

    async def _handle_connection(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is ProxyMode.RESET:
            _reset(client_writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(client_writer)
            return
        connection = ProxiedConnection(client_writer, server_writer)
        self._connections.add(connection)
        directions = (
            self._forward(client_reader, server_writer, False),
            self._forward(server_reader, client_writer, True),
        )
        await asyncio.gather(*directions, return_exceptions=True)
        self._connections.discard(connection)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is ProxyMode.UNRESPONSIVE or (
                    is_response and self._mode is ProxyMode.NO_RESPONSES
                ):
                    await self._unblocked.wait()
                if self._mode is ProxyMode.SLOW:
                    await asyncio.sleep(self._delay_s)
                # Delayed request bytes are dropped if the client has closed its connection.
                if reader.at_eof() and not is_response:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    def _reset_all(self) -> None:
        for connection in self._connections:
            _reset(connection.client)
            _reset(connection.server)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
