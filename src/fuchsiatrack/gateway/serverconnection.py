"""HTTP/1.1 connections to backend servers, with one request at a time.

Responses are parsed by aiohttp.  Its client connection isn't used, because a router must know
whether any byte of a request was sent, whether unsolicited bytes arrived, and whether a response
without a length ended with a close or with a reset of the connection.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy

from fuchsiatrack.gateway.responsememory import ResponseMemory, ResponseReceiver
from fuchsiatrack.kernel.verdict import Verdict

# Connections that have been idle for longer are closed instead of reused.
MAX_IDLE_MS = 8_000
# Subtracted from the idle timeout that a server announces.
IDLE_MARGIN_MS = 1_000
# Largest head of a response, with interim responses before it.
MAX_HEAD_BYTES = 65_536
READ_BUFFER_BYTES = 262_144
# SO_LINGER with a timeout of zero: closing the socket sends a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class KeepaliveSettings:
    """When the kernel aborts a connection whose peer is unresponsive.

    It sends a probe after `idle_s` seconds without data, then one each `interval_s`, and aborts
    after `probes` without a response, or when anything stays unacknowledged for
    `unacknowledged_ms` milliseconds.
    """

    idle_s: int
    interval_s: int
    probes: int
    unacknowledged_ms: int


SERVER_KEEPALIVE = KeepaliveSettings(idle_s=2, interval_s=1, probes=2, unacknowledged_ms=2_500)


class ConnectFailed(Exception):
    """No connection could be opened, so nothing was sent."""


class RequestFailed(Exception):
    """A request ended without a complete response; `verdict` tells whether it may have run."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """A request to write; a bytes `body` is sent with its length, an iterator in chunks."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True)
class ServerResponse:
    """A complete response."""

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    body: bytes


class ServerConnection(BaseProtocol, ResponseReceiver):
    """One connection to a backend server.

    `bytes_sent` and `bytes_received` count since the connection was opened or last reused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ResponseMemory) -> None:
        super().__init__(loop)
        self._memory = memory
        self._head_size = 0
        self._head: asyncio.Future[tuple[RawResponseMessage, StreamReader]] | None = None
        self._payload: StreamReader | None = None
        self._error: Exception | None = None
        self._must_close = False
        self.is_reused = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.idle_since = 0
        self.idle_timeout = MAX_IDLE_MS

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.transport is not None and not self._must_close and not self.transport.is_closing()
        )

    def reset_on_close(self) -> None:
        """Let the end of the connection take back what the kernel has not delivered yet."""
        if self.transport is not None:
            raw_socket = self.transport.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def abort(self) -> None:
        """Abort the connection, which also cancels the request at the server."""
        self._must_close = True
        if self.transport is not None:
            self.transport.abort()

    async def send_request(self, request: OutgoingRequest) -> ServerResponse:
        """Send *request* and return the complete response.

        Raises RequestFailed if there is none.
        """
        if not self.is_usable:
            raise RequestFailed("connection closed before the request was sent", Verdict.NOT_RUN)
        self._head = self._loop.create_future()
        self._head_size = 0
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        try:
            return await self._send_request(request)
        except BaseException:
            self.abort()
            raise
        finally:
            self._head = None
            self._memory.remove(self)

    async def _send_request(self, request: OutgoingRequest) -> ServerResponse:
        body_writer = await self._write_request(request)
        try:
            message, payload = await self._head
            body = await payload.read()
        except (OSError, HttpProcessingError, EOFError) as error:
            raise RequestFailed(f"incomplete response: {error!r}", Verdict.MAY_HAVE_RUN) from error
        except Exception as error:
            # The reader raises any exception that the parser or the connection set on it.
            raise RequestFailed(f"malformed response: {error!r}", Verdict.MAY_HAVE_RUN) from error
        finally:
            if body_writer is not None and not body_writer.done():
                # The server responded before it received the whole body.
                body_writer.cancel()
                self._must_close = True
        if not payload.is_eof() or self._error is not None:
            raise RequestFailed(f"incomplete response: {self._error!r}", Verdict.MAY_HAVE_RUN)
        self._update_reusability(message)
        return ServerResponse(message.code, message.reason or "", message.headers, body)

    def _update_reusability(self, message: RawResponseMessage) -> None:
        """Decide whether the connection can be reused."""
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        if message.should_close or unsent:
            self._must_close = True
        idle_timeout = _parse_idle_timeout(message.headers)
        if idle_timeout <= 0:
            self._must_close = True
        self.idle_timeout = idle_timeout
        self._parser = None
        if not self.is_usable:
            self.abort()

    async def _write_request(self, request: OutgoingRequest) -> asyncio.Task | None:
        """Write the request; return the task that writes a chunked body, if any."""
        if isinstance(request.body, bytes):
            self._write(_encode_head(request, len(request.body)) + request.body)
            return None
        self._write(_encode_head(request, None))
        return asyncio.create_task(self._write_chunks(request.body))

    async def _write_chunks(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                if self.transport is None:
                    return
                self._write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
                await self._wait_until_writable()
            if self.transport is not None:
                self._write(b"0\r\n\r\n")
        except Exception as error:
            # Reading from the caller failed; the server can't finish without the rest of the body.
            self._fail(error)
            self.abort()

    def _write(self, data: bytes) -> None:
        self.bytes_sent += len(data)
        self.transport.write(data)

    async def _wait_until_writable(self) -> None:
        while self.writing_paused and self.transport is not None:
            if self._drain_waiter is None:
                self._drain_waiter = self._loop.create_future()
            await asyncio.shield(self._drain_waiter)

    # asyncio protocol

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        if self._parser is None or self._head is None:
            if data:
                # Unsolicited data.
                self.abort()
            return
        try:
            messages, _, trailing = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._fail(error)
            self.abort()
            return
        for message, payload in messages:
            self._handle_message(message, payload)
        if trailing:
            self._must_close = True
        self._count_received(len(data))

    def _count_received(self, size: int) -> None:
        if not self._head.done():
            self._head_size += size
            if self._head_size > MAX_HEAD_BYTES:
                self.discard_response(f"head exceeds {MAX_HEAD_BYTES} bytes")
                return
        self._memory.add(self, size)

    def discard_response(self, reason: str) -> None:
        self._fail(ConnectionAbortedError(reason))
        self.abort()

    def _handle_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        if 100 <= message.code < 200:
            return
        if self._payload is not None or self._head is None or self._head.done():
            # More than one response to one request.
            self._must_close = True
            return
        self._payload = payload
        self._head.set_result((message, payload))

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is None and self._parser is not None:
            # A response without a length ends with its connection.
            try:
                self._parser.feed_eof()
            except Exception as error:
                self._fail(error)
        elif exc is not None:
            self._fail(exc if isinstance(exc, Exception) else ConnectionResetError(str(exc)))
        if self._head is not None and not self._head.done():
            self._fail(ConnectionResetError("connection closed before a response"))
        self._must_close = True
        super().connection_lost(exc)

    def _fail(self, error: Exception) -> None:
        self._error = self._error or error
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        elif self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def prepare_reuse(self) -> None:
        """Prepare the connection for another request."""
        self.is_reused = True
        self.bytes_sent = self.bytes_received = 0
        self._payload = None


def set_keepalive(sock: socket.socket, settings: KeepaliveSettings = SERVER_KEEPALIVE) -> None:
    """Let the kernel detect an unresponsive peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, settings.idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, settings.interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, settings.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, settings.unacknowledged_ms)


def _parse_idle_timeout(headers: CIMultiDictProxy[str]) -> int:
    """Return how long the connection may stay idle, in milliseconds, from its Keep-Alive header."""
    for item in headers.get("Keep-Alive", "").split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(MAX_IDLE_MS, int(value) * 1_000 - IDLE_MARGIN_MS)
    return MAX_IDLE_MS


def _encode_head(request: OutgoingRequest, length: int | None) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    elif length or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")
