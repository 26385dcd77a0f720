"""A breakpoint in a stand-in: one call waits there, so that a fault falls before or after it."""

from __future__ import annotations

import asyncio

from aiohttp import web

WAIT_MAX_S = 1.5


class Breakpoint:
    """Stops the next call of a kind until it is released or `WAIT_MAX_S` has passed.

    ``POST /control/hold`` arms it with ``step`` and ``stage`` ("before" or "after" the effect),
    ``GET /control/held`` returns once a call is held, ``POST /control/release`` lets it go.
    """

    def __init__(self) -> None:
        self._step = ""
        self._stage = ""
        self._held = asyncio.Event()
        self._released = asyncio.Event()
        self.held_by = ""

    def routes(self) -> list[web.RouteDef]:
        """Return the control routes."""
        return [
            web.post("/control/hold", self._arm),
            web.get("/control/held", self._wait_held),
            web.post("/control/release", self._release),
        ]

    async def at(self, step: str, stage: str, by: str = "") -> None:
        """Hold here when *step* and *stage* are the armed ones; *by* names who made the call."""
        if (step, stage) != (self._step, self._stage):
            return
        self._step = ""
        self.held_by = by
        self._held.set()
        try:
            async with asyncio.timeout(WAIT_MAX_S):
                await self._released.wait()
        except TimeoutError:
            pass

    async def _arm(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._step, self._stage = body["step"], body["stage"]
        self._held.clear()
        self._released.clear()
        return web.json_response({})

    async def _wait_held(self, request: web.Request) -> web.Response:
        try:
            async with asyncio.timeout(float(request.query.get("wait_s", 4))):
                await self._held.wait()
        except TimeoutError:
            return web.json_response({"held": False})
        return web.json_response({"held": True, "by": self.held_by})

    async def _release(self, request: web.Request) -> web.Response:
        self._step = ""
        self._released.set()
        return web.json_response({})
