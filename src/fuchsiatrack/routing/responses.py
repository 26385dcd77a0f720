"""Relaying of a server's response to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.callers.responsewriter import BODILESS_STATUSES, ResponseWriter
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.verdict import VERDICT_HEADER, Verdict
from fuchsiatrack.routing import headers

BUFFERED_RESPONSE_MAX_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
# What a streamed response takes at most: in the kernel's receive buffer, in aiohttp's reader, and
# in the transport of the caller.
STREAMED_RESPONSE_BYTES = 512 * 1024


class TruncatedResponse(Exception):
    """A server's response that broke off or was not complete in time.

    `relay_started` is whether the caller may already have received part of it.
    """

    def __init__(self, relay_started: bool) -> None:
        super().__init__()
        self.relay_started = relay_started


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether the end of *response* is that of its connection."""
    has_end = response.content_length is not None or "Transfer-Encoding" in response.headers
    return not (has_end or response.method == "HEAD" or response.status in BODILESS_STATUSES)


async def relay(
    request: web.Request,
    response: aiohttp.ClientResponse,
    request_id: str,
    timeout: int,
    memory: ResponseMemory,
    metrics: Metrics,
    announce: Callable[[web.BaseRequest, web.StreamResponse], None],
) -> web.StreamResponse:
    """Return the response for the caller of *request*, copied from the server's *response*.

    A small response is read completely first.  A large one is streamed with back-pressure; if it
    breaks off, or is not finished within *timeout* milliseconds, the caller's connection is
    aborted so that the caller sees that the response is incomplete.  *memory* counts it meanwhile.
    *announce* may change its head before it is written.

    Raises TruncatedResponse.
    """
    relay_started = False
    connection = response.connection if ends_with_connection(response) else None
    protocol = connection.protocol if connection is not None else None
    try:
        async with asyncio.timeout(max(timeout, 1) / 1_000):
            length = response.content_length
            if length is not None and length <= BUFFERED_RESPONSE_MAX_BYTES:
                body = await response.read()
                return web.Response(
                    status=response.status,
                    headers=_response_headers(response, request_id),
                    body=body,
                )
            relayed = web.StreamResponse(
                status=response.status, headers=_response_headers(response, request_id)
            )
            relayed.content_length = length
            announce(request, relayed)
            relay_started = True
            await _stream(
                request, response, relayed, ResponseWriter(request.protocol, metrics), memory
            )
            if protocol is not None and isinstance(protocol.exception(), OSError):
                # aiohttp takes a reset for the end of such a response.
                raise protocol.exception()
            await relayed.write_eof()
            return relayed
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        response.close()
        if relay_started and request.transport is not None:
            request.transport.abort()
        raise TruncatedResponse(relay_started) from error
    except asyncio.CancelledError:
        # The caller has disconnected, or the daemon stops; closing the connection cancels the
        # request at the server.
        response.close()
        if relay_started and request.transport is not None:
            request.transport.abort()
        raise


async def _stream(
    request: web.Request,
    response: aiohttp.ClientResponse,
    relayed: web.StreamResponse,
    writer: ResponseWriter,
    memory: ResponseMemory,
) -> None:
    """Write the body of *response* to *relayed* as its caller reads it."""
    memory.add(writer, STREAMED_RESPONSE_BYTES)
    try:
        with writer.watch():
            await relayed.prepare(request)
            async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                await relayed.write(chunk)
                writer.record_progress()
    finally:
        memory.remove(writer)


def _response_headers(response: aiohttp.ClientResponse, request_id: str) -> dict[str, str]:
    response_headers = {
        name: value
        for name, value in response.headers.items()
        if name.lower() not in headers.NOT_FORWARDED
    }
    response_headers[VERDICT_HEADER] = Verdict.RAN.value
    response_headers[headers.REQUEST_ID] = request_id
    return response_headers
