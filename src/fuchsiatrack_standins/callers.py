"""Callers for the demo and scenarios: they send requests and keep a journal."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import secrets
from collections.abc import Sequence

import aiohttp

from fuchsiatrack_standins.journal import Journal, monotonic_ms

RETRY_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Call:
    """Request of a caller; `order` is its idempotency key, or "" for none."""

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
    """Outcome of a call; the verdict is "ran", "not-run" or "may-have-run"."""

    verdict: str
    status: int
    reason: str
    request_id: str
    latency_ms: float
    body: bytes


class Balancer:
    """Stand-in for the platform's load balancer: round robin over the ready daemons."""

    def __init__(self, urls: Sequence[str], session: aiohttp.ClientSession) -> None:
        self._urls = list(urls)
        self._session = session
        self._counter = itertools.count()
        self.ready_urls = list(urls)

    async def run(self, period_s: float = 0.2) -> None:
        """Probe the daemons every *period_s* seconds until cancelled."""
        while True:
            urls = tuple(self._urls)
            ready_flags = await asyncio.gather(*(self._probe(url) for url in urls))
            self.ready_urls = [url for url, ready in zip(urls, ready_flags, strict=True) if ready]
            await asyncio.sleep(period_s)

    def add(self, url: str) -> None:
        """Add a daemon."""
        self._urls.append(url)

    def next_url(self) -> str:
        """Return the URL of the next ready daemon, or of any daemon if none is ready."""
        urls = self.ready_urls or self._urls
        return urls[next(self._counter) % len(urls)]

    async def _probe(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with self._session.get(f"{url}/-/ready", timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Callers:
    """Sends calls through a balancer and records their outcomes in a journal."""

    def __init__(
        self, balancer: Balancer, session: aiohttp.ClientSession, journal: Journal
    ) -> None:
        self._balancer = balancer
        self._session = session
        self._journal = journal

    async def send(self, call: Call, url: str = "", timeout_s: float | None = None) -> Outcome:
        """Send *call* to *url*, by default to the balancer's next daemon, and return its outcome.

        The outcome is "may-have-run" if there is no response within *timeout_s* seconds.
        """
        call_id = secrets.token_hex(6)
        fields = {"call": call_id, "order": call.order, "method": call.method, "key": call.key}
        self._journal.write("sent", service=call.service, **fields)
        started_at_ms = monotonic_ms()
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._send_with_retries(call, url, started_at_ms)
        except TimeoutError:
            outcome = Outcome("may-have-run", 0, "gave-up", "", monotonic_ms() - started_at_ms, b"")
        self._journal.write(
            outcome.verdict,
            status=outcome.status,
            reason=outcome.reason,
            request=outcome.request_id,
            latency=outcome.latency_ms,
            **fields,
        )
        return outcome

    async def _send_with_retries(self, call: Call, url: str, started_at_ms: float) -> Outcome:
        for _ in range(20):
            try:
                return await self._send_once(call, url or self._balancer.next_url(), started_at_ms)
            except aiohttp.ClientConnectorError:
                if url:
                    break
                await asyncio.sleep(RETRY_DELAY_S)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                reason = type(error).__name__
                return Outcome("may-have-run", 0, reason, "", monotonic_ms() - started_at_ms, b"")
        return Outcome("not-run", 0, "no-daemon", "", monotonic_ms() - started_at_ms, b"")

    async def _send_once(self, call: Call, url: str, started_at_ms: float) -> Outcome:
        headers = {"Authorization": f"Bearer token-of-{call.caller}"}
        if call.key:
            headers["Fuchsiatrack-Key"] = call.key
        if call.order:
            headers["Idempotency-Key"] = call.order
        if call.deadline_ms:
            headers["Fuchsiatrack-Deadline-Ms"] = str(call.deadline_ms)
        async with self._session.request(
            call.method, f"{url}/{call.service}{call.path}", headers=headers, data=call.body or None
        ) as response:
            body = await response.read()
            verdict = response.headers.get("Fuchsiatrack-Verdict", "may-have-run")
            reason = response.headers.get("Fuchsiatrack-Reason", "")
            if verdict == "ran" and not _is_complete(response, body):
                verdict, reason = "may-have-run", "broken-answer"
            request_id = response.headers.get("Fuchsiatrack-Request-Id", "")
            return Outcome(
                verdict, response.status, reason, request_id, monotonic_ms() - started_at_ms, body
            )


def _is_complete(response: aiohttp.ClientResponse, body: bytes) -> bool:
    return response.headers.get("Answer-Digest") == hashlib.sha256(body).hexdigest()[:16]
