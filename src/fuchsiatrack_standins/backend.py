"""Stand-in for a backend server that owns keys by fenced grants.

Requests go to any path; what the work costs and answers is chosen by query parameters
``work_ms`` and ``answer_bytes``.  Faults are switched on by ``POST /control/faults``.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import secrets
import signal
import time
from collections.abc import Callable
from typing import Any

from absl import app, flags
from aiohttp import web

from fuchsiatrack_standins.breakpoint import Breakpoint
from fuchsiatrack_standins.journal import Journal, now

FLAGS = flags.FLAGS
flags.DEFINE_string("name", "server", "Name of the server.")
flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 7100, "Port to listen on.")
flags.DEFINE_integer("slots", 4, "Requests that run at one time.")
flags.DEFINE_integer("queue", 64, "Requests that wait for a slot before others are shed.")
flags.DEFINE_integer("connections", 110, "Connections that are accepted at one time.")
flags.DEFINE_integer("work_ms", 2, "How long a request runs when it does not say.")
flags.DEFINE_integer("cold_ms", 0, "How long the server is slow after its start.")
flags.DEFINE_integer("load_lag_ms", 1_000, "Age of the load that is reported.")
flags.DEFINE_bool("keyed", True, "Requests need a grant.")
flags.DEFINE_bool("checks_grants", True, "Refuse requests that no grant covers.")
flags.DEFINE_bool("deduplicates", False, "Run an order id once and repeat its answer.")
flags.DEFINE_string("journal", "", "File that events are appended to.")

VERDICT = "Fuchsiatrack-Verdict"
NOT_RUN = "not-run"
COLD_FACTOR = 4
CHUNK = 16_384


@dataclasses.dataclass
class Faults:
    """Faults in force; durations in milliseconds."""

    slow: float = 1.0
    refuse: bool = False
    truncate: bool = False
    crossed: bool = False
    silent: bool = False
    lying_load: float | None = None
    lying_health: bool | None = None
    grants_down: bool = False


@dataclasses.dataclass
class Held:
    """A grant in force until `until`, in milliseconds of the server's clock."""

    fence: int
    until: int
    without: frozenset[str]
    draining: bool = False


@dataclasses.dataclass(eq=False)
class Running:
    """A request that is being executed."""

    partition: str
    key: str
    task: asyncio.Task | None


def clock() -> int:
    """Return the server's clock in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Grants:
    """The partitions that this server owns."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._held: dict[str, Held] = {}
        self._fences: dict[str, int] = {}
        self._set: list[str] = []
        self._digest = ""
        self.running: set[Running] = set()

    def has_new(self, grants: list[dict[str, Any]]) -> bool:
        """Tell whether one of *grants* is not a renewal."""
        fences = {name: held.fence for name, held in self._held.items()}
        return any(fences.get(item["partition"]) != item["fence"] for item in grants)

    def give_all(self, grants: list[dict[str, Any]], digest: str, until: int) -> list[str]:
        """Take a whole set of grants; remember its digest if every one was taken."""
        held = [
            item["partition"]
            for item in grants
            if self.give(item["partition"], item["fence"], item["without"], until)
        ]
        self._set = [item["partition"] for item in grants]
        self._digest = digest if len(held) == len(grants) else ""
        return held

    def renew(self, digest: str, until: int) -> bool:
        """Extend the grants of the set with this digest; False when they are not all held."""
        if not self._digest or digest != self._digest:
            return False
        if not all(name in self._held for name in self._set):
            return False
        for name in self._set:
            held = self._held[name]
            held.until = max(held.until, until)
            self._journal.write(
                "grant", partition=name, fence=held.fence, left=held.until - clock()
            )
        return True

    def give(self, partition: str, fence: int, without: list[str], until: int) -> bool:
        """Take a grant; False when its fence is lower than one that was seen."""
        if fence < self._fences.get(partition, 0):
            return False
        self._fences[partition] = fence
        held = self._held.get(partition)
        if held and held.fence == fence:
            held.until = max(held.until, until)
            until = held.until
        else:
            self._held[partition] = Held(fence, until, frozenset(without))
        self._journal.write("grant", partition=partition, fence=fence, left=until - clock())
        return until > clock()

    def revoke(self, partition: str, fence: int, until: int) -> bool:
        """Take no more work for the partition; True when nothing of it runs."""
        if fence < self._fences.get(partition, 0):
            return False
        self._fences[partition] = fence
        self._digest = ""
        held = self._held.get(partition)
        if held and held.fence < fence:
            held.draining = True
            held.until = max(held.until, until)
            self._journal.write("draining", partition=partition, left=held.until - clock())
        if any(self._concerns(item, partition) for item in self.running):
            return False
        if self._held.pop(partition, None):
            self._journal.write("released", partition=partition, fence=fence)
        return True

    def covers(self, partition: str, key: str, fence: int) -> bool:
        """Tell whether a request with this fence may run now."""
        held = self._held.get(partition)
        if held is None or held.draining or held.fence != fence or key in held.without:
            return False
        return clock() < held.until

    def still_covers(self, partition: str) -> bool:
        """Tell whether what runs for the partition may still take effect."""
        held = self._held.get(partition)
        return held is not None and clock() < held.until

    def expire(self) -> None:
        """Cut off what runs under grants that have lapsed."""
        now = clock()
        for partition in [name for name, held in self._held.items() if held.until <= now]:
            del self._held[partition]
            self._journal.write("lapsed", partition=partition)
            for item in [item for item in self.running if item.partition == partition]:
                if item.task:
                    item.task.cancel()

    @staticmethod
    def _concerns(item: Running, partition: str) -> bool:
        key = partition.partition("/key:")[2]
        return item.key == key if key else item.partition == partition


class Backend:
    """The server."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._incarnation = secrets.token_hex(8)
        self._journal = Journal(FLAGS.journal, server=name)
        self._grants = Grants(self._journal)
        self._slots = asyncio.Semaphore(FLAGS.slots)
        self._waiting = 0
        self._orders: dict[str, asyncio.Future] = {}
        self._started = clock()
        self._breakpoint = Breakpoint()
        self._load_seen: list[tuple[int, int]] = [(0, 0)]
        self.faults = Faults()
        self.count_connections: Callable[[], int] = lambda: 0

    def build(self) -> web.Application:
        """Return the web application."""
        application = web.Application(client_max_size=1 << 34)
        application.add_routes(
            [
                web.get("/fuchsiatrack/grants/clock", self._read_clock),
                web.put("/fuchsiatrack/grants", self._grant),
                web.post("/fuchsiatrack/grants/revoke", self._revoke),
                web.get("/probe", self._probe),
                web.get("/load", self._load),
                web.post("/control/faults", self._set_faults),
                *self._breakpoint.routes(),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        application.on_startup.append(self._start)
        return application

    async def _start(self, application: web.Application) -> None:
        self._journal.write("start", incarnation=self._incarnation)
        application["expiry"] = asyncio.create_task(self._expire_grants())

    async def _expire_grants(self) -> None:
        while True:
            self._grants.expire()
            await asyncio.sleep(0.01)

    # Grants

    def _reading(self, **fields: Any) -> web.Response:
        body = {"incarnation": self._incarnation, "clock": clock(), **fields}
        return web.json_response(body)

    async def _read_clock(self, request: web.Request) -> web.Response:
        if self.faults.grants_down:
            return web.Response(status=503)
        return self._reading()

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.grants_down:
            return web.Response(status=503)
        step = "grant" if self._grants.has_new(body.get("grants", [])) else "renew"
        await self._breakpoint.at(step, "before")
        if body["incarnation"] != self._incarnation:
            return self._reading(held=[], wants_grants=False)
        until = body["reading"] + body["lease"]
        if "grants" not in body:
            known = self._grants.renew(body["digest"], until)
            await self._breakpoint.at(step, "after")
            return self._reading(wants_grants=not known)
        held = self._grants.give_all(body["grants"], body["digest"], until)
        await self._breakpoint.at(step, "after")
        return self._reading(held=held, wants_grants=False)

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.grants_down:
            return web.Response(status=503)
        await self._breakpoint.at("revoke", "before")
        until = 0
        if body.get("incarnation") == self._incarnation:
            until = body["reading"] + body["lease"]
        released = [
            name
            for name, fence in body["fences"].items()
            if self._grants.revoke(name, fence, until)
        ]
        await self._breakpoint.at("revoke", "after")
        return self._reading(released=released)

    # Health

    async def _probe(self, request: web.Request) -> web.Response:
        healthy = self.faults.lying_health if self.faults.lying_health is not None else True
        return web.Response(status=200 if healthy else 503)

    async def _load(self, request: web.Request) -> web.Response:
        if self.faults.lying_load is not None:
            return web.json_response({"load": self.faults.lying_load})
        now = clock()
        self._load_seen.append((now, len(self._grants.running) + self._waiting))
        old = [load for at, load in self._load_seen if at <= now - FLAGS.load_lag_ms]
        self._load_seen = self._load_seen[-100:]
        return web.json_response({"load": old[-1] if old else 0})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return web.json_response(dataclasses.asdict(self.faults))

    # Requests

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.faults.refuse:
            return _refuse("refused", 503)
        if self.count_connections() > FLAGS.connections:
            self._journal.write("crowded", connections=self.count_connections())
            return _refuse("connections", 503)
        key = request.headers.get("Fuchsiatrack-Key", "")
        partition = request.headers.get("Fuchsiatrack-Partition", "")
        fence = int(request.headers.get("Fuchsiatrack-Fence", "0"))
        if self._waiting >= FLAGS.queue:
            return _refuse("shed", 503)
        if not self._may_run(partition, key, fence):
            return _refuse("fence", 409)
        self._waiting += 1
        try:
            async with asyncio.timeout(_deadline(request)):
                await self._slots.acquire()
        except TimeoutError:
            return _refuse("deadline", 503)
        finally:
            self._waiting -= 1
        running = Running(partition, key, asyncio.current_task())
        try:
            # The grant may have ended while the request waited for a slot.
            if not self._may_run(partition, key, fence):
                return _refuse("fence", 409)
            self._grants.running.add(running)
            return await self._run(request, key, partition, fence)
        finally:
            self._grants.running.discard(running)
            self._slots.release()

    def _may_run(self, partition: str, key: str, fence: int) -> bool:
        if not FLAGS.keyed or not FLAGS.checks_grants:
            return True
        return self._grants.covers(partition, key, fence)

    async def _run(
        self, request: web.Request, key: str, partition: str, fence: int
    ) -> web.StreamResponse:
        order = request.headers.get("Idempotency-Key", "")
        identity = request.headers.get("Fuchsiatrack-Request-Id", "")
        if FLAGS.deduplicates and order in self._orders:
            return await self._answer(request, await asyncio.shield(self._orders[order]), identity)
        outcome = self._orders[order] = asyncio.get_running_loop().create_future()
        fields = {
            "key": key,
            "partition": partition,
            "fence": fence,
            "order": order,
            "method": request.method,
            "request": identity,
        }
        self._journal.write("begin", **fields)
        try:
            digest = await self._work(request)
            # The work takes effect at this moment, if the check that follows passes.
            effect_at = now()
            if FLAGS.keyed and FLAGS.checks_grants and not self._grants.still_covers(partition):
                # The process was paused for longer than its grant; nothing may take effect.
                raise web.HTTPServiceUnavailable()
        except BaseException:
            self._journal.write("cut", **fields)
            raise
        finally:
            if not outcome.done():
                outcome.set_result(f"{self._name} {key} {order}")
            if not order or not FLAGS.deduplicates:
                self._orders.pop(order, None)
        self._journal.write("end", **{"at": effect_at, "digest": digest, **fields})
        return await self._answer(request, f"{self._name} {key} {order} {digest}", identity)

    async def _work(self, request: web.Request) -> str:
        digest = hashlib.sha256()
        async for chunk in request.content.iter_chunked(CHUNK):
            digest.update(chunk)
        factor = self.faults.slow
        if clock() - self._started < FLAGS.cold_ms:
            factor *= COLD_FACTOR
        await asyncio.sleep(float(request.query.get("work_ms", FLAGS.work_ms)) * factor / 1000)
        while self.faults.silent:
            await asyncio.sleep(0.05)
        return digest.hexdigest()[:16]

    async def _answer(self, request: web.Request, text: str, identity: str) -> web.StreamResponse:
        size = int(request.query.get("answer_bytes", 0))
        body = text.encode().ljust(size, b".")
        answer = web.StreamResponse()
        answer.content_length = len(body)
        answer.headers["Fuchsiatrack-Request-Id"] = "other" if self.faults.crossed else identity
        answer.headers["Answer-Digest"] = hashlib.sha256(body).hexdigest()[:16]
        await answer.prepare(request)
        if self.faults.truncate:
            await answer.write(body[: len(body) // 2])
            request.transport.abort()  # type: ignore[union-attr]
            return answer
        for start in range(0, len(body), CHUNK):
            await answer.write(body[start : start + CHUNK])
        await answer.write_eof()
        return answer


def _refuse(reason: str, status: int) -> web.Response:
    headers = {VERDICT: NOT_RUN, "Fuchsiatrack-Reason": reason}
    return web.Response(status=status, headers=headers)


def _deadline(request: web.Request) -> float:
    return float(request.headers.get("Fuchsiatrack-Deadline-Ms", "60000")) / 1000


async def _serve_until_ended() -> None:
    # A caller that goes away cancels its request.
    backend = Backend(FLAGS.name)
    runner = web.AppRunner(backend.build(), access_log=None, handler_cancellation=True)
    await runner.setup()
    backend.count_connections = lambda: len(runner.server.connections)
    site = web.TCPSite(runner, FLAGS.address, FLAGS.port, backlog=512)
    await site.start()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    await ended.wait()
    await runner.cleanup()


def main(argv: list[str]) -> None:
    """Serve until ended."""
    asyncio.run(_serve_until_ended())


if __name__ == "__main__":
    app.run(main)
