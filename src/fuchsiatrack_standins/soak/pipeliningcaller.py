"""Callers that send further requests before they have the response to the first."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web

from fuchsiatrack_standins.soak.daemons import DaemonProcess
from fuchsiatrack_standins.soak.rawcaller import RawCaller
from fuchsiatrack_standins.soak.rawconnection import RawConnection

# Prolongs the work of a server; longer than `LOSS_SLACK_S`, as requests that wait for a shorter
# time may be lost.
ADDED_WORK_FIELD = "X-Added-Work-Ms"
ADDED_WORK_MS = 250
REQUESTS_AT_ONCE = (2, 3)
BATCHES_MAX = 8


class PipeliningCaller(RawCaller):
    """Sends two or three requests at once, of which the first one takes longer.

    It sends more on the same connection unless a response says that the connection ends.  Requests
    behind such a response count as not read.
    """

    async def _call(self, daemon: DaemonProcess) -> None:
        connection = await RawConnection.open(daemon.callers_address)
        try:
            for _ in range(BATCHES_MAX):
                if not await self._send_batch(connection, daemon):
                    break
        finally:
            connection.close()

    async def _send_batch(self, connection: RawConnection, daemon: DaemonProcess) -> bool:
        """Return whether the connection may be used again."""
        added_work = f"{ADDED_WORK_FIELD}: {ADDED_WORK_MS}\r\n"
        requests = [self._request(daemon, ("GET", "/reads/"), added_work)]
        requests += [self._request(daemon) for _ in range(self._rng.choice(REQUESTS_AT_ONCE) - 1)]
        # Reading fails as well, and tells which of them got a response.
        with contextlib.suppress(OSError):
            for request in requests:
                await request.send(connection, (request.head,))
        calls = []
        for request in requests:
            if connection.is_last_response:
                self._record(request.count_as_unread())
                continue
            calls.append(await request.read_response(connection))
            self._record(calls[-1])
        return not connection.is_last_response and all(call.status for call in calls)


async def respond(
    server_id: str, request: web.BaseRequest, headers: dict[str, str]
) -> web.Response:
    """Respond for a server as usual, after the work that the request adds."""
    await asyncio.sleep(int(request.headers.get(ADDED_WORK_FIELD, 0)) / 1_000)
    return web.Response(headers=headers, text=f"{server_id} {headers['X-Request-Id']}")
