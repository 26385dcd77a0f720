"""Baseline for benchmarks: a forwarder to one server, built on aiohttp, as the daemon is."""

from __future__ import annotations

import asyncio

import aiohttp
from absl import app, flags
from aiohttp import web

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 8080, "Port to listen on.")
flags.DEFINE_string("server", "", "Server that receives the requests, as IP:PORT.")


class Forwarder:
    """Forwards requests unchanged to one server; response headers are not forwarded."""

    def __init__(self, server: str) -> None:
        self._url = f"http://{server}"
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Forward one request and return status and body of its response."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=100)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        body = await request.read()
        async with self._session.request(
            request.method, self._url + request.raw_path, headers=request.headers, data=body
        ) as response:
            return web.Response(status=response.status, body=await response.read())


async def _build_server() -> web.Server:
    return web.Server(Forwarder(FLAGS.server).handle, access_log=None)


async def _serve() -> None:
    runner = web.ServerRunner(await _build_server())
    await runner.setup()
    await web.TCPSite(runner, FLAGS.address, FLAGS.port, backlog=1_024).start()
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve until stopped by a signal."""
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(main)
