"""Background traffic during a scenario: reads of a few keys, orders and uploads."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.callers import Balancer, Call, Callers
from fuchsiatrack_standins.journal import Journal, monotonic_ms

HOT_KEY = "pole-hot"
KEYS = (HOT_KEY, *(f"pole-{number}" for number in range(9)))
READ_INTERVAL_S = 0.1
ORDER_INTERVAL_S = 0.08
UPLOAD_INTERVAL_S = 0.3
READ_TIMEOUT_S = 1.5
ORDER_TIMEOUT_S = 6.0
UPLOAD_BYTES = 200_000


@dataclasses.dataclass(frozen=True)
class CompletedRead:
    """Read of a key; the latency counts from its first send to its response."""

    key: str
    started_at_ms: float
    latency_ms: float


class Traffic:
    """Callers that send to the daemons at *urls* and write their journal to *path*."""

    def __init__(self, urls: Sequence[str], path: pathlib.Path, seed: int) -> None:
        self._rng = random.Random(seed)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._balancer = Balancer(urls, self._session)
        self._callers = Callers(self._balancer, self._session, Journal(str(path)))
        self._stopping = False
        self._tasks: list[asyncio.Task] = []
        self._probe_task: asyncio.Task | None = None
        self._seed = seed
        self.reads: list[CompletedRead] = []
        self.failed_reads = 0

    def add_url(self, url: str) -> None:
        """Add a daemon to the balancer."""
        self._balancer.add(url)

    def start(self) -> None:
        """Start sending."""
        self._probe_task = asyncio.create_task(self._balancer.run())
        workers = [self._read(key) for key in KEYS]
        workers += [self._order(number) for number in range(3)]
        workers += [self._upload()]
        self._tasks = [asyncio.create_task(worker) for worker in workers]

    async def stop(self) -> None:
        """Stop sending and wait until the requests in flight have ended."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        if self._probe_task:
            self._probe_task.cancel()
        await self._session.close()

    async def _read(self, key: str) -> None:
        while not self._stopping:
            started_at_ms = monotonic_ms()
            while not await self._read_once(key):
                await asyncio.sleep(0.02)
            self.reads.append(CompletedRead(key, started_at_ms, monotonic_ms() - started_at_ms))
            await asyncio.sleep(READ_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def _read_once(self, key: str) -> bool:
        call = Call("crew", "poles", "GET", "/status", key, deadline_ms=4_000)
        outcome = await self._callers.send(call, timeout_s=READ_TIMEOUT_S)
        self.failed_reads += outcome.verdict != "ran"
        return outcome.verdict == "ran"

    async def _order(self, worker: int) -> None:
        number = 0
        while not self._stopping:
            number += 1
            key = self._rng.choice(KEYS)
            order = f"order-{self._seed}-{worker}-{number}"
            call = Call("crew", "poles", "POST", "/activate", key, order, b"on", deadline_ms=3_000)
            for _ in range(4):
                # Send the order again unless it ran or is a repeated order. The balancer selects
                # the daemon.
                outcome = await self._callers.send(call, timeout_s=ORDER_TIMEOUT_S)
                if outcome.verdict == "ran" or outcome.reason == "repeated-order":
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(ORDER_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def _upload(self) -> None:
        while not self._stopping:
            body = self._rng.randbytes(UPLOAD_BYTES)
            call = Call("crew", "footage", "PUT", "/inspection", body=body)
            await self._callers.send(call, timeout_s=ORDER_TIMEOUT_S)
            await asyncio.sleep(UPLOAD_INTERVAL_S)
