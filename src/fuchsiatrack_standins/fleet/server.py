"""Stand-in for a backend server of the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import time

from aiohttp import web

from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn

MAX_QUEUED_REQUESTS = 16
DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")


@dataclasses.dataclass
class Grant:
    """Key range, *first* to *last* inclusive, that the server owns.

    `expires_at_s` is a time of the monotonic clock.
    """

    first: int
    last: int
    fence: int
    expires_at_s: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """The arrival of one request at `at_s`, a time of the monotonic clock."""

    request_id: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class TurnedAway:
    """A rejection at `at_s`, a time of the monotonic clock, with the value of `Retry-After`."""

    request_id: str
    at_s: float
    retry_after: str


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """A value of the header `Server-Limit` and since when the server sends it; None for none."""

    value: str | None
    since_s: float

    @property
    def rate(self) -> float | None:
        """Requests per second, None for no limit or a malformed value."""
        return float(self.value) if self.value and DECIMAL.fullmatch(self.value) else None


@dataclasses.dataclass
class Run:
    """One request that the server started to execute.

    `arrived_at_s` is the time of the monotonic clock when its head arrived.
    """

    request_id: str
    key: int | None
    path: str
    method: str
    body: bytes
    deadline_ms: int
    finished: bool = False
    arrived_at_s: float = 0.0


class ServerStandIn:
    """Backend server with concurrency slots, a queue and key range grants.

    It reports its load in the header `X-Instance-Load` of its responses to requests.

    `arrivals` lists all requests, `runs` those it started to execute, `grant_requests` the grant
    requests with their time in seconds of the monotonic clock, `release_requests` the release
    requests, and `misrouted` counts requests for another server or for keys that it does not own.
    `limits` lists the limits that it named, in order.  `left_at_s` is the time of the monotonic
    clock when the log service accepted that the server leaves, None before.

    While `says_leaving` is set, every response says that the server leaves.  With `retry_after`,
    a rejection for lack of capacity asks for a pause of so many seconds; `turned_away` lists these.

    Faults: `rejects_all` rejects every request as not executed, `status` replaces the status of
    responses, and `response_handler` is a coroutine function of request and headers that returns
    the response instead. `work_ms` is the time that a request takes.
    """

    def __init__(
        self,
        log_service: LogServiceStandIn,
        server_id: str,
        service: str,
        zone: str = "a",
        keyed: bool = False,
        slots: int = 4,
        work_ms: float = 5,
    ) -> None:
        self.log_service = log_service
        self.id = server_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.slots = slots
        self.work_ms = work_ms
        self.started_at_ms = time.time_ns() // 1_000_000
        self.arrivals: list[Arrival] = []
        self.limits: list[NamedLimit] = []
        self.runs: list[Run] = []
        self.grants: list[Grant] = []
        self.grant_requests: list[tuple[float, dict]] = []
        self.release_requests: list[dict] = []
        self.highest_fences: dict[tuple[int, int], int] = {}
        self.status = 200
        self.rejects_all = False
        self.says_leaving = False
        self.retry_after: str | None = None
        self.turned_away: list[TurnedAway] = []
        self.misrouted = 0
        self.response_handler = None
        self.address = ""
        self.left_at_s: float | None = None
        self.connections_opened = 0
        self._in_flight = 0
        self._queue_length = 0
        self._slot_released = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str = "127.0.0.1", listed: bool = True) -> None:
        """Listen on a free port of *host*; if *listed*, announce the server."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.address = f"{host}:{site._server.sockets[0].getsockname()[1]}"
        if listed:
            self.announce()

    async def stop(self) -> None:
        """Close the listener and every connection."""
        await self._runner.cleanup()

    def announce(self, state: str = "ready", cold_for: int = 0) -> None:
        """Write the server's entry with *state* to the log service.

        It says that the server stays cold for *cold_for* milliseconds.
        """
        info = {"Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots}
        status = {"State": state, "Sequence": 1, "ColdRemaining": f"{cold_for}ms"}
        entry = {
            "Address": self.address,
            "born": self.started_at_ms,
            "Info": info,
            "Status": status,
        }
        self.log_service.put("keyed.servers", self.id, entry)
        if state == "ready":
            self.left_at_s = None
        else:
            self._record_leaving()

    def withdraw(self) -> None:
        """Remove the server's entry from the log service."""
        self.log_service.put("keyed.servers", self.id, None)
        self._record_leaving()

    def _record_leaving(self) -> None:
        if self.left_at_s is None:
            self.left_at_s = time.monotonic()

    def name_limit(self, value: str | None) -> None:
        """Send *value* as `Server-Limit` in every response to a request, or no header if None."""
        self.limits.append(NamedLimit(value, time.monotonic()))

    def owns(self, key: int) -> bool:
        """Return whether the server has an unexpired grant for *key*."""
        now_s = time.monotonic()
        return any(
            grant.first <= key <= grant.last and grant.expires_at_s > now_s for grant in self.grants
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        if self.says_leaving and not response.prepared:
            response.headers["Server-Leaving"] = "1"
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.keyed and "X-Request-Id" not in request.headers:
            return web.Response(status=400, headers={"X-Not-Executed": "1"})
        expected = request.headers.get("X-Expect-Instance", self.id)
        if request.path.startswith("/-/") and expected != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        if request.path == "/-/grant":
            return self._handle_grant(await request.json())
        if request.path == "/-/release":
            return await self._handle_release(await request.json())
        return await self._handle_request(request)

    def _handle_grant(self, body: dict) -> web.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        self.grant_requests.append((time.monotonic(), body))
        newer_fences = [
            known_fence
            for (start, end), known_fence in self.highest_fences.items()
            if start <= last and first <= end and known_fence > fence
        ]
        if newer_fences:
            return web.Response(status=409)
        self.highest_fences[first, last] = fence
        duration_s = float(body["Hold"].removesuffix("ms")) / 1_000
        self._remove_range(first, last)
        self.grants.append(Grant(first, last, fence, time.monotonic() + duration_s))
        return web.Response(status=200)

    async def _handle_release(self, body: dict) -> web.Response:
        first, last = body["From"], body["Target"]
        self.release_requests.append(body)
        self.highest_fences[first, last] = max(
            body["fence"], self.highest_fences.get((first, last), 0)
        )
        self._remove_range(first, last)
        while any(
            run.key is not None and first <= run.key <= last and not run.finished
            for run in self.runs
        ):
            await asyncio.sleep(0.002)
        return web.Response(status=200, headers={"X-Handover": f"{self.id}-{body['fence']}"})

    def _remove_range(self, first: int, last: int) -> None:
        remaining = []
        for grant in self.grants:
            if grant.last < first or last < grant.first:
                remaining.append(grant)
                continue
            if grant.first < first:
                remaining.append(dataclasses.replace(grant, last=first - 1))
            if last < grant.last:
                remaining.append(dataclasses.replace(grant, first=last + 1))
        self.grants = remaining

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at_s = time.monotonic()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        self.arrivals.append(Arrival(headers["X-Request-Id"], arrived_at_s))
        expected = request.headers.get("X-Expect-Instance", self.id)
        key = int(request.headers["X-Shard-Key"]) if "X-Shard-Key" in request.headers else None
        if expected != self.id or (self.keyed and (key is None or not self.owns(key))):
            self.misrouted += 1
            not_executed = {"X-Not-Executed": "1", "X-Instance-Id": self.id}
            return web.Response(status=421, headers={**headers, **not_executed})
        if self.rejects_all or self._queue_length >= MAX_QUEUED_REQUESTS:
            return self._turn_away({**headers, "X-Not-Executed": "1"})
        # Unlike `request.read`, of any length.
        body = await request.content.read()
        await self._acquire_slot()
        run = Run(
            headers["X-Request-Id"],
            key,
            request.raw_path,
            request.method,
            body,
            int(request.headers.get("X-Deadline-Ms", 0)),
            arrived_at_s=arrived_at_s,
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.work_ms / 1_000)
            headers["X-Gateway-Stamp"] = f"stamp.{self.id}"
            if self.limits and self.limits[-1].value is not None:
                headers["Server-Limit"] = self.limits[-1].value
            headers["X-Instance-Load"] = f"{self._in_flight},{self._queue_length},{self.slots}"
            if self.response_handler is not None:
                return await self.response_handler(request, headers)
            text = f"{self.id} {run.request_id}"
            return web.Response(status=self.status, headers=headers, text=text)
        finally:
            run.finished = True
            self._in_flight -= 1
            self._slot_released.set()

    def _turn_away(self, headers: dict[str, str]) -> web.Response:
        if self.retry_after is not None:
            headers["Retry-After"] = self.retry_after
            request_id, now_s = headers["X-Request-Id"], time.monotonic()
            self.turned_away.append(TurnedAway(request_id, now_s, self.retry_after))
        return web.Response(status=503, headers=headers)

    async def _acquire_slot(self) -> None:
        self._queue_length += 1
        try:
            while self._in_flight >= self.slots:
                self._slot_released.clear()
                await self._slot_released.wait()
            self._in_flight += 1
        finally:
            self._queue_length -= 1
