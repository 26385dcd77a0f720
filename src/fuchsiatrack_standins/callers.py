"""Callers for the demo, tests and the load tool: they send, and keep a journal."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import secrets
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.journal import Journal, now

RETRY_PAUSE_S = 0.1


@dataclasses.dataclass(frozen=True)
class Call:
    """One request of a caller; `order` is its idempotency key, "" for none."""

    caller: str
    service: str
    method: str
    path: str
    key: str = ""
    order: str = ""
    body: bytes = b""
    deadline_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of a call: "ran", "not-run", or "may-have-run"; latency in milliseconds."""

    verdict: str
    status: int
    reason: str
    request_id: str
    latency: float
    body: bytes


class Balancer:
    """Stands in for the platform's balancer: round robin over the daemons that are ready."""

    def __init__(self, urls: Sequence[str], session: aiohttp.ClientSession) -> None:
        self._urls = list(urls)
        self._session = session
        self._turn = itertools.count()
        self.ready = list(urls)

    async def run(self, period_s: float = 0.2) -> None:
        """Probe the daemons until cancelled."""
        while True:
            urls = tuple(self._urls)
            states = await asyncio.gather(*(self._probe(url) for url in urls))
            self.ready = [url for url, ready in zip(urls, states, strict=True) if ready]
            await asyncio.sleep(period_s)

    def add(self, url: str) -> None:
        """Probe and use one more daemon."""
        self._urls.append(url)

    def choose(self) -> str:
        """Return the next daemon's URL."""
        urls = self.ready or self._urls
        return urls[next(self._turn) % len(urls)]

    async def _probe(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with self._session.get(f"{url}/-/ready", timeout=timeout) as got:
                return got.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Callers:
    """Sends calls through a balancer and writes what became of each to a journal."""

    def __init__(
        self, balancer: Balancer, session: aiohttp.ClientSession, journal: Journal
    ) -> None:
        self._balancer = balancer
        self._session = session
        self._journal = journal

    async def send(self, call: Call, url: str = "", timeout_s: float | None = None) -> Outcome:
        """Send *call* to *url*, by default to the balancer's choice, and return its outcome.

        The caller gives up after *timeout_s* seconds.
        """
        number = secrets.token_hex(6)
        fields = {"call": number, "order": call.order, "method": call.method, "key": call.key}
        self._journal.write("sent", service=call.service, **fields)
        started = now()
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._exchange(call, url, started)
        except TimeoutError:
            outcome = Outcome("may-have-run", 0, "gave-up", "", now() - started, b"")
        self._journal.write(
            outcome.verdict,
            status=outcome.status,
            reason=outcome.reason,
            request=outcome.request_id,
            latency=outcome.latency,
            **fields,
        )
        return outcome

    async def _exchange(self, call: Call, url: str, started: float) -> Outcome:
        for _ in range(20):
            try:
                return await self._request(call, url or self._balancer.choose(), started)
            except aiohttp.ClientConnectorError:
                if url:
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = type(error).__name__
                return Outcome("may-have-run", 0, reason, "", now() - started, b"")
        return Outcome("not-run", 0, "no-daemon", "", now() - started, b"")

    async def _request(self, call: Call, url: str, started: float) -> Outcome:
        headers = {"Authorization": f"Bearer token-of-{call.caller}"}
        if call.key:
            headers["Fuchsiatrack-Key"] = call.key
        if call.order:
            headers["Idempotency-Key"] = call.order
        if call.deadline_ms:
            headers["Fuchsiatrack-Deadline-Ms"] = str(call.deadline_ms)
        async with self._session.request(
            call.method, f"{url}/{call.service}{call.path}", headers=headers, data=call.body or None
        ) as got:
            body = await got.read()
            verdict = got.headers.get("Fuchsiatrack-Verdict", "may-have-run")
            reason = got.headers.get("Fuchsiatrack-Reason", "")
            if verdict == "ran" and not _is_whole(got, body):
                verdict, reason = "may-have-run", "broken-answer"
            request_id = got.headers.get("Fuchsiatrack-Request-Id", "")
            return Outcome(verdict, got.status, reason, request_id, now() - started, body)


def _is_whole(got: aiohttp.ClientResponse, body: bytes) -> bool:
    return got.headers.get("Answer-Digest") == hashlib.sha256(body).hexdigest()[:16]
