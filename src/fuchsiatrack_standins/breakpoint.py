"""Breakpoint in a stand-in, to inject a fault right before or after the effect of a call."""

from __future__ import annotations

import asyncio

from aiohttp import web

MAX_HOLD_S = 1.5


class Breakpoint:
    """Holds the next call of a step until it is released, for at most `MAX_HOLD_S`.

    A step is the kind of an appended record at the platform, and "grant", "renew" or "revoke" at a
    backend server.

    ``POST /control/hold`` arms it with ``step`` and ``stage`` ("before" or "after" the effect),
    ``GET /control/held`` returns once a call is held, ``POST /control/release`` releases it.
    """

    def __init__(self) -> None:
        self._step = ""
        self._stage = ""
        self._held = asyncio.Event()
        self._released = asyncio.Event()
        self.calling_vm = ""

    def routes(self) -> list[web.RouteDef]:
        """Return the control routes."""
        return [
            web.post("/control/hold", self._arm),
            web.get("/control/held", self._wait_held),
            web.post("/control/release", self._release),
        ]

    async def hold_if_armed(self, step: str, stage: str, calling_vm: str = "") -> None:
        """Hold the call if *step* and *stage* are armed.

        *calling_vm* is the VM that made the call, or "" if that is not known.
        """
        if (step, stage) != (self._step, self._stage):
            return
        self._step = ""
        self.calling_vm = calling_vm
        self._held.set()
        try:
            async with asyncio.timeout(MAX_HOLD_S):
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
        return web.json_response({"held": True, "by": self.calling_vm})

    async def _release(self, request: web.Request) -> web.Response:
        self._step = ""
        self._released.set()
        return web.json_response({})
