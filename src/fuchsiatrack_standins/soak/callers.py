"""Callers on persistent connections that record each response."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.soak.daemons import DaemonProcess, DaemonState

HOST = "shop.example"
DEADLINE_MS = 2_000
KEYS = tuple(range(0, 65_536, 2_048))
# Method, path and whether the request carries a key.
REQUEST_KINDS = (("POST", "/orders/", False), ("GET", "/reads/", False), ("GET", "/keyed/", True))
REQUEST_PAUSE_S = 0.02


@dataclasses.dataclass(frozen=True)
class CompletedCall:
    """One request and its result, as its caller observed them.

    `status` is 0 if the caller received no complete response, in which case `text` describes the
    error. `state` combines the states of the daemon before and after the request: STOPPING if one
    of them is STOPPING and none is FAULTY; otherwise FAULTY if one is FAULTY or the daemon was
    restarted in between; otherwise HEALTHY.  `sent_at_s` is a time of the monotonic clock, and
    `leaving` tells whether the response said that its server leaves.

    `whole_sent_at_s` is the time when the request had been sent completely, None if it had not or
    the caller cannot tell; `on_own_connection` tells whether its connection was opened for it, and
    `paused_ms` is the part of `took_ms` in which the caller paused.  A request with `is_unread` was
    sent behind a response that ended its connection.
    """

    request_id: str
    method: str
    vm: str
    status: int
    text: str
    took_ms: int
    state: DaemonState
    path: str = ""
    sent_at_s: float = 0.0
    leaving: bool = False
    whole_sent_at_s: float | None = None
    on_own_connection: bool = False
    paused_ms: int = 0
    is_unread: bool = False

    @property
    def ended_at_s(self) -> float:
        """The time of the monotonic clock when the response was complete, or the call failed."""
        return self.sent_at_s + self.took_ms / 1_000


class Callers:
    """Sends requests to randomly chosen daemons; `calls` records all of them."""

    def __init__(self, daemons: Sequence[DaemonProcess], seed: int) -> None:
        self._daemons = daemons
        self._rng = random.Random(seed)
        self._request_numbers = itertools.count(1)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        self.calls: list[CompletedCall] = []

    async def run(self) -> None:
        """Send requests one after another, as a single caller, until cancelled."""
        while True:
            method, path, keyed = self._rng.choice(REQUEST_KINDS)
            daemon = self._rng.choice(self._daemons)
            key = self._rng.choice(KEYS) if keyed else None
            await self.call(daemon, method, path, key)
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def call(
        self, daemon: DaemonProcess, method: str, path: str, key: int | None = None
    ) -> CompletedCall:
        """Send one request to *daemon*, record it in `calls` and return the record."""
        request_id = f"c{next(self._request_numbers):08x}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if key is not None:
            headers["X-Shard-Key"] = str(key)
        started_at_s, state_before, starts_before = (
            time.monotonic(),
            daemon.state,
            daemon.start_count,
        )
        status, text, leaving = 0, "", False
        try:
            async with (
                asyncio.timeout(3 * DEADLINE_MS / 1_000),
                self.session.request(method, daemon.url + path, headers=headers) as response,
            ):
                text = await response.text()
                status, leaving = response.status, "Server-Leaving" in response.headers
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            text = repr(error)
        state = combine_states(state_before, daemon.state, starts_before != daemon.start_count)
        took_ms = int((time.monotonic() - started_at_s) * 1_000)
        call = CompletedCall(
            request_id, method, daemon.vm, status, text, took_ms, state, path, started_at_s, leaving
        )
        self.calls.append(call)
        return call

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def combine_states(before: DaemonState, after: DaemonState, restarted: bool) -> DaemonState:
    """Return the state that counts for a request; see `CompletedCall`."""
    states = (before, after)
    if DaemonState.STOPPING in states and DaemonState.FAULTY not in states:
        return DaemonState.STOPPING
    return DaemonState.FAULTY if restarted or DaemonState.FAULTY in states else DaemonState.HEALTHY
