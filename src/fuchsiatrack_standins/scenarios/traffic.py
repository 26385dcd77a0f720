"""Background work while a scenario runs: reads of some keys, orders, uploads."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.callers import Balancer, Call, Callers
from fuchsiatrack_standins.journal import Journal, now

HOT_KEY = "pole-hot"
KEYS = (HOT_KEY, *(f"pole-{number}" for number in range(9)))
READ_PAUSE_S = 0.1
ORDER_PAUSE_S = 0.08
UPLOAD_PAUSE_S = 0.3
ATTEMPT_TIMEOUT_S = 1.5
ORDER_TIMEOUT_S = 6.0
UPLOAD_BYTES = 200_000


@dataclasses.dataclass(frozen=True)
class Served:
    """How long a read of a key took from its first send to its answer, in milliseconds."""

    key: str
    since: float
    waited: float


class Traffic:
    """Callers' work against the daemons at *urls*; journals go to *path*."""

    def __init__(self, urls: Sequence[str], path: pathlib.Path, seed: int) -> None:
        self._rng = random.Random(seed)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._balancer = Balancer(urls, self._session)
        self._callers = Callers(self._balancer, self._session, Journal(str(path)))
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._probing: asyncio.Task | None = None
        self._seed = seed
        self.served: list[Served] = []
        self.refused_reads = 0

    def add_url(self, url: str) -> None:
        """Let the balancer use one more daemon."""
        self._balancer.add(url)

    def start(self) -> None:
        """Begin to send."""
        self._probing = asyncio.create_task(self._balancer.run())
        jobs = [self._read(key) for key in KEYS]
        jobs += [self._order(number) for number in range(3)]
        jobs += [self._upload()]
        self._tasks = [asyncio.create_task(job) for job in jobs]

    async def stop(self) -> None:
        """Send no more, and wait for what was sent."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        if self._probing:
            self._probing.cancel()
        await self._session.close()

    async def _read(self, key: str) -> None:
        while not self._stopping:
            started = now()
            while not await self._read_once(key):
                await asyncio.sleep(0.02)
            self.served.append(Served(key, started, now() - started))
            await asyncio.sleep(READ_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _read_once(self, key: str) -> bool:
        call = Call("crew", "poles", "GET", "/status", key, deadline_ms=4_000)
        outcome = await self._callers.send(call, timeout_s=ATTEMPT_TIMEOUT_S)
        self.refused_reads += outcome.verdict != "ran"
        return outcome.verdict == "ran"

    async def _order(self, worker: int) -> None:
        number = 0
        while not self._stopping:
            number += 1
            key = self._rng.choice(KEYS)
            order = f"order-{self._seed}-{worker}-{number}"
            call = Call("crew", "poles", "POST", "/activate", key, order, b"on", deadline_ms=3_000)
            for _ in range(4):
                # A caller that does not know sends the same order id again, elsewhere.
                outcome = await self._callers.send(call, timeout_s=ORDER_TIMEOUT_S)
                if outcome.verdict == "ran" or outcome.reason == "repeated-order":
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(ORDER_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _upload(self) -> None:
        while not self._stopping:
            body = self._rng.randbytes(UPLOAD_BYTES)
            call = Call("crew", "footage", "PUT", "/inspection", body=body)
            await self._callers.send(call, timeout_s=ORDER_TIMEOUT_S)
            await asyncio.sleep(UPLOAD_PAUSE_S)
