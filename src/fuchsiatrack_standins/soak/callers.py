"""Callers that keep their connections, and what they saw."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.soak.daemons import DaemonProcess, State

HOST = "shop.example"
DEADLINE_MS = 2_000
KEYS = tuple(range(0, 65_536, 2_048))
KINDS = (("POST", "/orders/", False), ("GET", "/reads/", False), ("GET", "/keyed/", True))
# Pause of a caller between two requests, in seconds.
PAUSE_S = 0.02


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as its caller saw it; status 0 stands for a connection without an answer.

    `state` is the worst of its daemon's states meanwhile.
    """

    request_id: str
    method: str
    vm: str
    status: int
    text: str
    took_ms: int
    state: State


class Callers:
    """Send requests to all daemons until stopped; `calls` holds what they saw."""

    def __init__(self, daemons: Sequence[DaemonProcess], seed: int) -> None:
        self._daemons = daemons
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Be one caller until cancelled."""
        while True:
            method, path, keyed = self._rng.choice(KINDS)
            daemon = self._rng.choice(self._daemons)
            key = self._rng.choice(KEYS) if keyed else None
            await self.call(daemon, method, path, key)
            await asyncio.sleep(PAUSE_S)

    async def call(
        self, daemon: DaemonProcess, method: str, path: str, key: int | None = None
    ) -> Call:
        """Send one request."""
        request_id = f"c{next(self._numbers):08x}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if key is not None:
            headers["X-Shard-Key"] = str(key)
        started, before, starts = time.monotonic(), daemon.state, daemon.starts
        status, text = 0, ""
        try:
            async with (
                asyncio.timeout(3 * DEADLINE_MS / 1_000),
                self.session.request(method, daemon.url + path, headers=headers) as response,
            ):
                text = await response.text()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            text = repr(error)
        state = _worst(before, daemon.state, starts != daemon.starts)
        took = int((time.monotonic() - started) * 1_000)
        call = Call(request_id, method, daemon.vm, status, text, took, state)
        self.calls.append(call)
        return call

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def _worst(before: State, after: State, restarted: bool) -> State:
    states = (before, after)
    if State.STOPPING in states and State.FAULTY not in states:
        return State.STOPPING
    return State.FAULTY if restarted or State.FAULTY in states else State.WELL
