"""Passing a server's answer on to the caller, whole or not at all."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from fuchsiatrack.kernel.verdict import VERDICT_HEADER, Verdict
from fuchsiatrack.routing import headers

HELD_ANSWER_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


class TruncatedAnswer(Exception):
    """The server's answer ended early; `passed_on` tells whether the caller has part of it."""

    def __init__(self, passed_on: bool) -> None:
        super().__init__()
        self.passed_on = passed_on


async def relay(
    request: web.Request, response: aiohttp.ClientResponse, request_id: str, timeout: int
) -> web.StreamResponse:
    """Return the answer of *response* for the caller of *request*.

    A small answer is read whole first.  A large one is streamed with back-pressure; when it
    breaks off, or is not finished within *timeout* milliseconds, the caller's connection is
    aborted so that the part can't pass for the whole.  Raises TruncatedAnswer.
    """
    passed_on = False
    try:
        async with asyncio.timeout(max(timeout, 1) / 1_000):
            length = response.content_length
            if length is not None and length <= HELD_ANSWER_BYTES:
                body = await response.read()
                return web.Response(
                    status=response.status, headers=_head(response, request_id), body=body
                )
            answer = web.StreamResponse(status=response.status, headers=_head(response, request_id))
            answer.content_length = length
            passed_on = True
            await answer.prepare(request)
            async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                await answer.write(chunk)
            await answer.write_eof()
            return answer
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        response.close()
        if passed_on and request.transport is not None:
            request.transport.abort()
        raise TruncatedAnswer(passed_on) from error
    except asyncio.CancelledError:
        # The caller has gone away; closing the connection cancels the request at the server.
        response.close()
        raise


def _head(response: aiohttp.ClientResponse, request_id: str) -> dict[str, str]:
    head = {
        name: value
        for name, value in response.headers.items()
        if name.lower() not in headers.NOT_FORWARDED
    }
    head[VERDICT_HEADER] = Verdict.RAN.value
    head[headers.REQUEST_ID] = request_id
    return head
