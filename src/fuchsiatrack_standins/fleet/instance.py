"""Stand-in of a backend server of the users' platform."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from aiohttp import web

from fuchsiatrack_standins.fleet.store import StoreStandIn

QUEUE_PLACES = 16


@dataclasses.dataclass
class Grant:
    """Keys that the server holds until a moment of the monotonic clock."""

    first: int
    last: int
    fence: int
    until: float


@dataclasses.dataclass
class Run:
    """One request that the server began to work on."""

    request_id: str
    key: int | None
    path: str
    method: str
    body: bytes
    deadline_ms: int
    finished: bool = False


class InstanceStandIn:
    """One server: slots, a queue, grants, load reports; faults are attributes.

    `runs` holds what it worked on, `answers` may map a path to a coroutine function that answers
    in its place.
    """

    def __init__(
        self,
        store: StoreStandIn,
        server_id: str,
        service: str,
        zone: str = "a",
        keyed: bool = False,
        slots: int = 4,
        work_ms: float = 5,
    ) -> None:
        self.store = store
        self.id = server_id
        self.service = service
        self.zone = zone
        self.keyed = keyed
        self.slots = slots
        self.work_ms = work_ms
        self.born = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self.grants: list[Grant] = []
        self.granted: list[tuple[float, dict]] = []
        self.released: list[dict] = []
        self.highest: dict[tuple[int, int], int] = {}
        self.status = 200
        self.shed_all = False
        self.misrouted = 0
        self.answer = None
        self.address = ""
        self.connections_opened = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str = "127.0.0.1", listed: bool = True) -> None:
        """Listen on a free port of *host*, and list the server in the store."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.address = f"{host}:{site._server.sockets[0].getsockname()[1]}"
        if listed:
            self.announce()

    async def stop(self) -> None:
        """Close the listener, and every connection."""
        await self._runner.cleanup()

    def announce(self, state: str = "ready") -> None:
        """Write the server's entry."""
        info = {"Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": self.slots}
        status = {"State": state, "Sequence": 1, "ColdRemaining": "0ms"}
        entry = {"Address": self.address, "born": self.born, "Info": info, "Status": status}
        self.store.put("keyed.servers", self.id, entry)

    def withdraw(self) -> None:
        """Remove the server's entry."""
        self.store.put("keyed.servers", self.id, None)

    def holds(self, key: int) -> bool:
        """Tell whether the server holds *key* now."""
        now = time.monotonic()
        return any(item.first <= key <= item.last and item.until > now for item in self.grants)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get("X-Expect-Instance", self.id)
        if request.path.startswith("/-/") and expected != self.id:
            return web.Response(status=421, headers={"X-Instance-Id": self.id})
        if request.path == "/-/grant":
            return self._grant(await request.json())
        if request.path == "/-/release":
            return await self._release(await request.json())
        return await self._serve(request)

    def _grant(self, body: dict) -> web.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        self.granted.append((time.monotonic(), body))
        seen = [
            other
            for (start, end), other in self.highest.items()
            if start <= last and first <= end and other > fence
        ]
        if seen:
            return web.Response(status=409)
        self.highest[first, last] = fence
        hold = float(body["Hold"].removesuffix("ms")) / 1_000
        self._cut(first, last)
        self.grants.append(Grant(first, last, fence, time.monotonic() + hold))
        return web.Response(status=200)

    async def _release(self, body: dict) -> web.Response:
        first, last = body["From"], body["Target"]
        self.released.append(body)
        self.highest[first, last] = max(body["fence"], self.highest.get((first, last), 0))
        self._cut(first, last)
        while any(
            run.key is not None and first <= run.key <= last and not run.finished
            for run in self.runs
        ):
            await asyncio.sleep(0.002)
        return web.Response(status=200, headers={"X-Handover": f"{self.id}-{body['fence']}"})

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for item in self.grants:
            if item.last < first or last < item.first:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(dataclasses.replace(item, last=first - 1))
            if last < item.last:
                kept.append(dataclasses.replace(item, first=last + 1))
        self.grants = kept

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        expected = request.headers.get("X-Expect-Instance", self.id)
        key = int(request.headers["X-Shard-Key"]) if "X-Shard-Key" in request.headers else None
        if expected != self.id or (self.keyed and (key is None or not self.holds(key))):
            self.misrouted += 1
            refusal = {"X-Not-Executed": "1", "X-Instance-Id": self.id}
            return web.Response(status=421, headers={**headers, **refusal})
        if self.shed_all or self._waiting >= QUEUE_PLACES:
            return web.Response(status=503, headers={**headers, "X-Not-Executed": "1"})
        body = await request.read()
        await self._take_slot()
        run = Run(
            headers["X-Request-Id"],
            key,
            request.raw_path,
            request.method,
            body,
            int(request.headers.get("X-Deadline-Ms", 0)),
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.work_ms / 1_000)
            headers["X-Gateway-Stamp"] = f"stamp.{self.id}"
            headers["X-Instance-Load"] = f"{self._running},{self._waiting},{self.slots}"
            if self.answer is not None:
                return await self.answer(request, headers)
            text = f"{self.id} {run.request_id}"
            return web.Response(status=self.status, headers=headers, text=text)
        finally:
            run.finished = True
            self._running -= 1
            self._free.set()

    async def _take_slot(self) -> None:
        self._waiting += 1
        try:
            while self._running >= self.slots:
                self._free.clear()
                await self._free.wait()
            self._running += 1
        finally:
            self._waiting -= 1
