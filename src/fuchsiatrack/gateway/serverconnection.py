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

from fuchsiatrack.callers.kernelstate import count_unacknowledged
from fuchsiatrack.callers.responsememory import (
    MAX_RESPONSE_BYTES,
    ResponseMemory,
    ResponseReceiver,
)
from fuchsiatrack.kernel.verdict import Verdict

# Connections that have been idle for longer are closed instead of reused.
MAX_IDLE_MS = 8_000
# Subtracted from the idle timeout that a server announces.
IDLE_MARGIN_MS = 1_000
# Largest head of a response, with interim responses before it.
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 32
MIN_STATUS, MAX_STATUS = 100, 599
# Bytes of chunk heads and trailers that a response may have: this many, and a share of its body.
# Parsing them takes much longer than parsing a body.
MAX_FRAMING_BYTES = 16_384
MAX_FRAMING_RATIO = 1 / 16
# Received at once, while everything else waits.
MAX_RECEIVE_BYTES = 65_536
# Parsed before the limits are checked.
PARSE_BYTES = 8_192
READ_BUFFER_BYTES = 262_144
# Share of the time for a delivery after which the kernel gives up what is unacknowledged.  It
# counts from the first retransmission or probe, not from the send.
UNACKNOWLEDGED_RATIO = 0.5
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
    """No connection could be opened, so nothing was sent.

    `was_opened` tells whether the server opened it first and then reset it.
    """

    def __init__(self, message: str, was_opened: bool = False) -> None:
        super().__init__(message)
        self.was_opened = was_opened


class RequestFailed(Exception):
    """A request ended without a complete response; `verdict` tells whether it may have run."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """A request to write; a bytes `body` is sent with its length, an iterator in chunks.

    A response of more than `max_response` bytes is discarded.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes]
    max_response: int = MAX_RESPONSE_BYTES


@dataclasses.dataclass(frozen=True)
class ServerResponse:
    """A complete response."""

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    body: bytes | bytearray


class ServerConnection(BaseProtocol, ResponseReceiver):
    """One connection to a backend server.

    The body is taken out of the parser's reader with each data that arrives, so that the reader
    never holds much, and dropped at once when the response fails.  `bytes_sent` and
    `bytes_received` count since the connection was opened or last reused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ResponseMemory) -> None:
        super().__init__(loop)
        self._memory = memory
        # Of the current response, as received.
        self._received = 0
        self._head_size = 0
        self._interim_responses = 0
        self._max_response = MAX_RESPONSE_BYTES
        self._response: asyncio.Future[RawResponseMessage] | None = None
        self._message: RawResponseMessage | None = None
        self._payload: StreamReader | None = None
        self._body = bytearray()
        self._is_collecting = False
        self._error: Exception | None = None
        self._body_writer: asyncio.Task | None = None
        # Whether the server has ended its side of the connection in order.
        self._has_ended = False
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

    def limit_delivery(self, timeout: int) -> None:
        """Let the kernel deliver nothing after the end of the connection, or *timeout* ms late.

        The latter holds also while this process doesn't run.
        """
        if self.transport is not None:
            raw_socket = self.transport.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout * UNACKNOWLEDGED_RATIO)
            )

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
        self._response = self._loop.create_future()
        self._received = self._head_size = self._interim_responses = 0
        self._max_response = request.max_response
        self._message = self._payload = None
        self._body = bytearray()
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
            self._response = None
            self._payload, self._body = None, bytearray()
            self._memory.remove(self)

    async def _send_request(self, request: OutgoingRequest) -> ServerResponse:
        body_writer = self._body_writer = await self._write_request(request)
        try:
            message = await self._response
        except (OSError, HttpProcessingError, EOFError) as error:
            raise RequestFailed(f"incomplete response: {error!r}", Verdict.MAY_HAVE_RUN) from error
        except Exception as error:
            # What the parser or the writer of the body raised.
            raise RequestFailed(f"malformed response: {error!r}", Verdict.MAY_HAVE_RUN) from error
        finally:
            if body_writer is not None and not body_writer.done():
                # The server responded before it received the whole body.
                body_writer.cancel()
                self._must_close = True
        if self._error is not None:
            raise RequestFailed(f"incomplete response: {self._error!r}", Verdict.MAY_HAVE_RUN)
        self._update_reusability(message)
        return ServerResponse(message.code, message.reason or "", message.headers, self._body)

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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # The size of the reads of asyncio's transports.
        transport.max_size = MAX_RECEIVE_BYTES

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        if self._parser is None or self._response is None:
            if data:
                # Unsolicited data.
                self.abort()
            return
        # Without data when the parser is resumed.
        for start in range(0, max(len(data), 1), PARSE_BYTES):
            if self._response.done():
                # Bytes after the response, or after its failure.
                self._must_close = True
                return
            self._parse(data[start : start + PARSE_BYTES])

    def _parse(self, data: bytes) -> None:
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
        self._collect_body()
        self._count_received(len(data))
        self._complete()

    def _collect_body(self) -> None:
        """Move the part of the body that has arrived out of the parser's reader.

        Reading from it may resume the parser, which calls `data_received` again.
        """
        if self._payload is None or self._is_collecting or self._payload.exception() is not None:
            return
        self._is_collecting = True
        try:
            while part := self._payload.read_nowait():
                self._body += part
        finally:
            self._is_collecting = False

    def _count_received(self, size: int) -> None:
        self._received += size
        if self._message is None:
            self._head_size = self._received
        framing = self._received - self._head_size - len(self._body)
        if self._head_size > MAX_HEAD_BYTES or self._interim_responses > MAX_INTERIM_RESPONSES:
            self.discard_response(f"head exceeds {MAX_HEAD_BYTES} bytes, or is repeated")
        elif framing > PARSE_BYTES + MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * len(self._body):
            # The end of the head and the start of the body may be parsed together.
            self.discard_response(f"{framing} bytes frame a body of {len(self._body)} bytes")
        elif self._received > self._max_response:
            self.discard_response(f"response exceeds {self._max_response} bytes")
        else:
            self._memory.add(self, size)

    def _complete(self) -> None:
        """Pass the response on once its body is complete."""
        is_waiting = self._response is not None and not self._response.done()
        if is_waiting and self._payload is not None and self._payload.is_eof():
            self._collect_body()
            self._response.set_result(self._message)

    def discard_response(self, reason: str) -> None:
        self._fail(ConnectionAbortedError(reason))
        self.abort()

    def _handle_message(self, message: RawResponseMessage, payload: StreamReader) -> None:
        if not MIN_STATUS <= message.code <= MAX_STATUS:
            self.discard_response(f"status {message.code} is none of HTTP")
            return
        if 100 <= message.code < 200:
            self._interim_responses += 1
            return
        if self._message is not None or self._response is None or self._response.done():
            # More than one response to one request.
            self._must_close = True
            return
        self._message, self._payload = message, payload

    def eof_received(self) -> None:
        self._has_ended = True
        is_open_ended = self._payload is not None and not self._payload.is_eof()
        if is_open_ended and self._is_sending:
            # A server that closes its socket before it has read the request resets the connection,
            # which may reach this process as an end in order.
            self.discard_response("response without a length ended before the request was sent")

    @property
    def _is_sending(self) -> bool:
        """Whether the server hasn't acknowledged the whole request."""
        if self._body_writer is not None and not self._body_writer.done():
            return True
        return self.transport is not None and count_unacknowledged(self.transport) > 0

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is None and self._has_ended and self._parser is not None:
            # A response without a length ends with its connection.
            try:
                self._parser.feed_eof()
            except Exception as error:
                self._fail(error)
            self._collect_body()
            self._complete()
        elif exc is not None:
            self._fail(exc if isinstance(exc, Exception) else ConnectionResetError(str(exc)))
        if self._response is not None and not self._response.done():
            self._fail(ConnectionResetError("connection closed before a complete response"))
        self._must_close = True
        super().connection_lost(exc)

    def _fail(self, error: Exception) -> None:
        self._error = self._error or error
        # Freed now, as the error's traceback may keep this connection for long.
        self._payload, self._body = None, bytearray()
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    def prepare_reuse(self) -> None:
        """Prepare the connection for another request."""
        self.is_reused = True
        self.bytes_sent = self.bytes_received = 0


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
