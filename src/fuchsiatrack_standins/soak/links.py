"""A loopback proxy that delays, silences or resets what passes."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct

CHUNK_BYTES = 65_536
# Closes a socket with a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """What a link does with bytes."""

    WELL = "well"
    SLOW = "slow"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"
    RESET = "reset"


@dataclasses.dataclass(eq=False)
class Passage:
    """One connection through a link."""

    caller: asyncio.StreamWriter
    server: asyncio.StreamWriter


class FaultyLink:
    """Listens in place of *target*, HOST:PORT, and passes connections on as `mode` says."""

    def __init__(self, target: str, delay_ms: int = 150) -> None:
        self._target = target
        self._delay_s = delay_ms / 1_000
        self._server: asyncio.Server | None = None
        self._passages: set[Passage] = set()
        self._mode = LinkMode.WELL
        self._well = asyncio.Event()
        self._well.set()
        self.address = ""

    @property
    def mode(self) -> LinkMode:
        """What happens to bytes now."""
        return self._mode

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port of *host*."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and reset every connection."""
        self._server.close()
        self._reset_all()

    def set_mode(self, mode: LinkMode) -> None:
        """Treat bytes as *mode* says from now on; RESET ends open connections at once."""
        self._mode = mode
        if mode in (LinkMode.SILENT, LinkMode.NO_ANSWERS):
            self._well.clear()
        else:
            self._well.set()
        if mode is LinkMode.RESET:
            self._reset_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is LinkMode.RESET:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            onward, back = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        passage = Passage(writer, back)
        self._passages.add(passage)
        ways = (self._pass(reader, back, False), self._pass(onward, writer, True))
        await asyncio.gather(*ways, return_exceptions=True)
        self._passages.discard(passage)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is LinkMode.SILENT or (
                    is_answer and self._mode is LinkMode.NO_ANSWERS
                ):
                    await self._well.wait()
                if self._mode is LinkMode.SLOW:
                    await asyncio.sleep(self._delay_s)
                # Bytes that were held up are lost once their sender has given up.
                if reader.at_eof() and not is_answer:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    def _reset_all(self) -> None:
        for passage in self._passages:
            _reset(passage.caller)
            _reset(passage.server)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
