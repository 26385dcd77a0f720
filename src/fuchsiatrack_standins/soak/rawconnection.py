"""A caller's connection that takes nothing from the kernel before it is asked to."""

from __future__ import annotations

import asyncio
import contextlib
import socket

CHUNK_BYTES = 65_536
HEAD_END = b"\r\n\r\n"


class RawConnection:
    """Connection of HTTP/1.1 whose caller decides when to send and when to read.

    Unlike with streams, a reset drops the responses that the caller has not read yet.
    """

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._received = bytearray()
        self.is_last_response = False

    @classmethod
    async def open(cls, address: tuple[str, int]) -> RawConnection:
        """Connect to *address*; raises OSError if the connection is not established."""
        connecting = socket.socket()
        connecting.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(connecting, address)
        except BaseException:
            connecting.close()
            raise
        return cls(connecting)

    async def send(self, data: bytes) -> None:
        """Send all of *data*.

        Raises OSError, also if the other side has ended the connection without a response.
        """
        with contextlib.suppress(BlockingIOError):
            if not self._socket.recv(1, socket.MSG_PEEK):
                raise ConnectionAbortedError("connection ended before the request was complete")
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read_response(self) -> tuple[int, str, bool]:
        """Return status, body and whether the server leaves.

        `is_last_response` tells afterwards whether the connection ends with this response.  Raises
        OSError, EOFError or ValueError if the response is not complete.
        """
        while HEAD_END not in self._received:
            await self._receive()
        head, _, _ = self._received.partition(HEAD_END)
        status_line, *lines = head.decode().split("\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        start = len(head) + len(HEAD_END)
        end = start + int(fields.get("content-length", ""))
        while len(self._received) < end:
            await self._receive()
        body = self._received[start:end].decode()
        del self._received[:end]
        self.is_last_response = fields.get("connection", "").lower() == "close"
        return int(status_line.split()[1]), body, "server-leaving" in fields

    async def _receive(self) -> None:
        data = await asyncio.get_running_loop().sock_recv(self._socket, CHUNK_BYTES)
        if not data:
            raise EOFError(f"connection ended after {len(self._received)} bytes of a response")
        self._received += data

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
