"""Listening socket whose end resets no connection that the kernel has accepted."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import logging
import socket
import struct
from collections.abc import Callable, Iterator

BACKLOG_CONNECTIONS = 1_024
# Accepted at once, before any of them can be closed for another.
ACCEPTED_CONNECTIONS = 64
# Longest round trip to a caller whose connection is being opened when the listener closes.
HANDSHAKE_MAX_MS = 100

# Of <linux/filter.h>: one instruction, a program, and a program's setting.
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = struct.Struct("HP")
_SO_ATTACH_FILTER = 26
_LOAD_BYTE, _JUMP_IF_SET, _RETURN = 0x30, 0x45, 0x06
_TCP_FLAGS_OFFSET, _TCP_SYN = 13, 0x02
_ALL_BYTES = 0xFFFF_FFFF

log = logging.getLogger(__name__)


class ListeningSocket:
    """Accepts connections, each with a new protocol of *protocol_factory*."""

    def __init__(self, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self._protocol_factory = protocol_factory
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen at *host* and *port*.

        Raises OSError.
        """
        self._socket = socket.create_server((host, port), backlog=BACKLOG_CONNECTIONS)
        self._server = await asyncio.get_running_loop().create_server(
            self._protocol_factory, sock=self._socket, backlog=ACCEPTED_CONNECTIONS
        )
        self._socket.listen(BACKLOG_CONNECTIONS)

    async def close(self) -> None:
        """Refuse new connections, and accept all that have been opened.

        Closing a socket resets the connections that wait in its queue.
        """
        if self._server is None:
            return
        if self._ignore_new_connections():
            # Until then the kernel opens the connections whose handshakes are under way.
            await asyncio.sleep(HANDSHAKE_MAX_MS / 1_000)
        waiting = list(self._accept_waiting())
        self._server.close()
        self._server = None
        loop = asyncio.get_running_loop()
        for connection in waiting:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self._protocol_factory, connection)
        log.info("listener closed", extra={"waiting": len(waiting)})

    def _ignore_new_connections(self) -> bool:
        """Let the kernel drop requests for new connections; return whether it does.

        Their callers repeat them, and are refused once the socket is closed.
        """
        instructions = (
            (_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
            (_JUMP_IF_SET, 0, 1, _TCP_SYN),
            (_RETURN, 0, 0, 0),
            (_RETURN, 0, 0, _ALL_BYTES),
        )
        code = b"".join(_INSTRUCTION.pack(*item) for item in instructions)
        buffer = ctypes.create_string_buffer(code, len(code))
        program = _PROGRAM.pack(len(instructions), ctypes.addressof(buffer))
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
        except OSError as error:
            log.info("new connections can't be ignored", extra={"why": str(error)})
            return False
        return True

    def _accept_waiting(self) -> Iterator[socket.socket]:
        """Yield the connections in the kernel's queue."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError as error:
                if not isinstance(error, BlockingIOError):
                    log.warning("connection not accepted", extra={"why": str(error)})
                return
            yield connection
