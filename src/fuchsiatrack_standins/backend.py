"""Stand-in for a backend server that owns keys by fenced grants.

Requests are accepted on any path; the query parameters ``work_ms`` and ``answer_bytes`` set how
long a request runs and the size of its response.  ``POST /control/faults`` sets faults.
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
from fuchsiatrack_standins.journal import Journal, monotonic_ms

FLAGS = flags.FLAGS
flags.DEFINE_string("name", "server", "Name of the server.")
flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 7100, "Port to listen on.")
flags.DEFINE_integer("slots", 4, "Requests that run concurrently.")
flags.DEFINE_integer("queue", 64, "Requests that may wait for a slot; more are shed.")
flags.DEFINE_integer("connections", 110, "Connections that are accepted concurrently.")
flags.DEFINE_integer("work_ms", 2, "Default duration of a request.")
flags.DEFINE_integer("cold_ms", 0, "Duration after the start during which the server is slow.")
flags.DEFINE_integer("load_lag_ms", 1_000, "Age of the reported load.")
flags.DEFINE_bool("keyed", True, "Require a grant for each request.")
flags.DEFINE_bool("checks_grants", True, "Reject requests that no grant covers.")
flags.DEFINE_bool(
    "deduplicates",
    False,
    "Run each order once; respond to repeats with a short confirmation, even if the run failed.",
)
flags.DEFINE_string("journal", "", "File to which events are appended.")

VERDICT_HEADER = "Fuchsiatrack-Verdict"
NOT_RUN = "not-run"
COLD_FACTOR = 4
CHUNK_BYTES = 16_384


@dataclasses.dataclass
class Faults:
    """Active faults; `slow` multiplies the duration of requests."""

    slow: float = 1.0
    refuse: bool = False
    truncate: bool = False
    crossed: bool = False
    silent: bool = False
    lying_load: float | None = None
    lying_health: bool | None = None
    grants_down: bool = False


@dataclasses.dataclass
class Grant:
    """Grant of a partition; `expires_at_ms` is a time of the server's clock."""

    fence: int
    expires_at_ms: int
    excluded_keys: frozenset[str]
    draining: bool = False


@dataclasses.dataclass(eq=False)
class RunningRequest:
    """Request in execution."""

    partition: str
    key: str
    task: asyncio.Task | None


def clock() -> int:
    """Return the server's clock in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class GrantTable:
    """Grants of the partitions that this server owns, and the requests that run under them."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._grants: dict[str, Grant] = {}
        self._highest_fences: dict[str, int] = {}
        self._granted_partitions: list[str] = []
        self._granted_digest = ""
        self.running: set[RunningRequest] = set()

    def has_new_grant(self, grants: list[dict[str, Any]]) -> bool:
        """Return whether one of *grants* is not a renewal."""
        fences = {name: grant.fence for name, grant in self._grants.items()}
        return any(fences.get(item["partition"]) != item["fence"] for item in grants)

    def apply_set(self, grants: list[dict[str, Any]], digest: str, expires_at_ms: int) -> list[str]:
        """Apply a whole set of grants and return the partitions whose grants are valid.

        The set can be renewed by its digest only if all its grants are valid.
        """
        accepted = [
            item["partition"]
            for item in grants
            if self.apply(item["partition"], item["fence"], item["without"], expires_at_ms)
        ]
        self._granted_partitions = [item["partition"] for item in grants]
        self._granted_digest = digest if len(accepted) == len(grants) else ""
        return accepted

    def renew(self, digest: str, expires_at_ms: int) -> bool:
        """Extend the grants of the current set.

        Return False if the set's digest is not *digest*, if some of its grants were rejected or
        revoked, or if one of them is missing.
        """
        if not self._granted_digest or digest != self._granted_digest:
            return False
        if not all(name in self._grants for name in self._granted_partitions):
            return False
        for name in self._granted_partitions:
            grant = self._grants[name]
            grant.expires_at_ms = max(grant.expires_at_ms, expires_at_ms)
            self._journal.write(
                "grant", partition=name, fence=grant.fence, left=grant.expires_at_ms - clock()
            )
        return True

    def apply(
        self, partition: str, fence: int, excluded_keys: list[str], expires_at_ms: int
    ) -> bool:
        """Apply a grant and return whether it is valid.

        A grant is rejected if its fence is lower than the highest one of the partition.
        """
        if fence < self._highest_fences.get(partition, 0):
            return False
        self._highest_fences[partition] = fence
        grant = self._grants.get(partition)
        if grant and grant.fence == fence:
            grant.expires_at_ms = max(grant.expires_at_ms, expires_at_ms)
            expires_at_ms = grant.expires_at_ms
        else:
            self._grants[partition] = Grant(fence, expires_at_ms, frozenset(excluded_keys))
        self._journal.write("grant", partition=partition, fence=fence, left=expires_at_ms - clock())
        return expires_at_ms > clock()

    def revoke(self, partition: str, fence: int, expires_at_ms: int) -> bool:
        """Stop admitting requests under grants older than *fence*.

        Return whether none of the partition's requests runs any more, or False if *fence* is lower
        than the highest one of the partition.  Requests that run may still take effect until
        *expires_at_ms*, or until their grant expires if that is later.
        """
        if fence < self._highest_fences.get(partition, 0):
            return False
        self._highest_fences[partition] = fence
        self._granted_digest = ""
        grant = self._grants.get(partition)
        if grant and grant.fence < fence:
            grant.draining = True
            grant.expires_at_ms = max(grant.expires_at_ms, expires_at_ms)
            self._journal.write("draining", partition=partition, left=grant.expires_at_ms - clock())
        if any(self._belongs_to(item, partition) for item in self.running):
            return False
        if self._grants.pop(partition, None):
            self._journal.write("released", partition=partition, fence=fence)
        return True

    def permits(self, partition: str, key: str, fence: int) -> bool:
        """Return whether a request with this key and fence may start."""
        grant = self._grants.get(partition)
        if grant is None or grant.draining or grant.fence != fence or key in grant.excluded_keys:
            return False
        return clock() < grant.expires_at_ms

    def is_granted(self, partition: str) -> bool:
        """Return whether requests that run for the partition may still take effect."""
        grant = self._grants.get(partition)
        return grant is not None and clock() < grant.expires_at_ms

    def expire(self) -> None:
        """Remove expired grants and cancel the requests that run under them."""
        now_ms = clock()
        for partition in [
            name for name, grant in self._grants.items() if grant.expires_at_ms <= now_ms
        ]:
            del self._grants[partition]
            self._journal.write("lapsed", partition=partition)
            for item in [item for item in self.running if item.partition == partition]:
                if item.task:
                    item.task.cancel()

    @staticmethod
    def _belongs_to(item: RunningRequest, partition: str) -> bool:
        # Partitions are named RANGE/SLOT, and those of hot keys RANGE/SLOT/key:KEY.
        key = partition.partition("/key:")[2]
        return item.key == key if key else item.partition == partition


class Backend:
    """HTTP service of the backend server."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._incarnation = secrets.token_hex(8)
        self._journal = Journal(FLAGS.journal, server=name)
        self._grant_table = GrantTable(self._journal)
        self._slots = asyncio.Semaphore(FLAGS.slots)
        self._queue_length = 0
        self._orders: dict[str, asyncio.Future] = {}
        self._started_at_ms = clock()
        self._breakpoint = Breakpoint()
        self._load_history: list[tuple[int, int]] = [(0, 0)]
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
            self._grant_table.expire()
            await asyncio.sleep(0.01)

    # Grants

    def _grant_response(self, **fields: Any) -> web.Response:
        body = {"incarnation": self._incarnation, "clock": clock(), **fields}
        return web.json_response(body)

    async def _read_clock(self, request: web.Request) -> web.Response:
        if self.faults.grants_down:
            return web.Response(status=503)
        return self._grant_response()

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.grants_down:
            return web.Response(status=503)
        step = "grant" if self._grant_table.has_new_grant(body.get("grants", [])) else "renew"
        await self._breakpoint.hold_if_armed(step, "before")
        if body["incarnation"] != self._incarnation:
            return self._grant_response(held=[], wants_grants=False)
        expires_at_ms = body["reading"] + body["lease"]
        if "grants" not in body:
            renewed = self._grant_table.renew(body["digest"], expires_at_ms)
            await self._breakpoint.hold_if_armed(step, "after")
            return self._grant_response(wants_grants=not renewed)
        accepted = self._grant_table.apply_set(body["grants"], body["digest"], expires_at_ms)
        await self._breakpoint.hold_if_armed(step, "after")
        return self._grant_response(held=accepted, wants_grants=False)

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.grants_down:
            return web.Response(status=503)
        await self._breakpoint.hold_if_armed("revoke", "before")
        expires_at_ms = 0
        if body.get("incarnation") == self._incarnation:
            expires_at_ms = body["reading"] + body["lease"]
        released = [
            name
            for name, fence in body["fences"].items()
            if self._grant_table.revoke(name, fence, expires_at_ms)
        ]
        await self._breakpoint.hold_if_armed("revoke", "after")
        return self._grant_response(released=released)

    # Health

    async def _probe(self, request: web.Request) -> web.Response:
        healthy = self.faults.lying_health if self.faults.lying_health is not None else True
        return web.Response(status=200 if healthy else 503)

    async def _load(self, request: web.Request) -> web.Response:
        if self.faults.lying_load is not None:
            return web.json_response({"load": self.faults.lying_load})
        now_ms = clock()
        self._load_history.append((now_ms, len(self._grant_table.running) + self._queue_length))
        past_loads = [
            load for at_ms, load in self._load_history if at_ms <= now_ms - FLAGS.load_lag_ms
        ]
        self._load_history = self._load_history[-100:]
        return web.json_response({"load": past_loads[-1] if past_loads else 0})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return web.json_response(dataclasses.asdict(self.faults))

    # Requests

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.faults.refuse:
            return _refusal_response("refused", 503)
        if self.count_connections() > FLAGS.connections:
            self._journal.write("crowded", connections=self.count_connections())
            return _refusal_response("connections", 503)
        key = request.headers.get("Fuchsiatrack-Key", "")
        partition = request.headers.get("Fuchsiatrack-Partition", "")
        fence = int(request.headers.get("Fuchsiatrack-Fence", "0"))
        if self._queue_length >= FLAGS.queue:
            return _refusal_response("shed", 503)
        if not self._may_run(partition, key, fence):
            return _refusal_response("fence", 409)
        self._queue_length += 1
        try:
            async with asyncio.timeout(_deadline_s(request)):
                await self._slots.acquire()
        except TimeoutError:
            return _refusal_response("deadline", 503)
        finally:
            self._queue_length -= 1
        running_request = RunningRequest(partition, key, asyncio.current_task())
        try:
            # The grant may have expired while the request waited for a slot.
            if not self._may_run(partition, key, fence):
                return _refusal_response("fence", 409)
            self._grant_table.running.add(running_request)
            return await self._run(request, key, partition, fence)
        finally:
            self._grant_table.running.discard(running_request)
            self._slots.release()

    def _may_run(self, partition: str, key: str, fence: int) -> bool:
        if not FLAGS.keyed or not FLAGS.checks_grants:
            return True
        return self._grant_table.permits(partition, key, fence)

    async def _run(
        self, request: web.Request, key: str, partition: str, fence: int
    ) -> web.StreamResponse:
        order = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("Fuchsiatrack-Request-Id", "")
        if FLAGS.deduplicates and order in self._orders:
            return await self._respond(
                request, await asyncio.shield(self._orders[order]), request_id
            )
        outcome = self._orders[order] = asyncio.get_running_loop().create_future()
        fields = {
            "key": key,
            "partition": partition,
            "fence": fence,
            "order": order,
            "method": request.method,
            "request": request_id,
        }
        self._journal.write("begin", **fields)
        try:
            digest = await self._work(request)
            # The work takes effect at this time if the following check passes.
            completed_at_ms = monotonic_ms()
            if FLAGS.keyed and FLAGS.checks_grants and not self._grant_table.is_granted(partition):
                # The grant expired while the process was paused; the work must not take effect.
                raise web.HTTPServiceUnavailable()
        except BaseException:
            self._journal.write("cut", **fields)
            raise
        finally:
            if not outcome.done():
                outcome.set_result(f"{self._name} {key} {order}")
            if not order or not FLAGS.deduplicates:
                self._orders.pop(order, None)
        self._journal.write("end", **{"at": completed_at_ms, "digest": digest, **fields})
        return await self._respond(request, f"{self._name} {key} {order} {digest}", request_id)

    async def _work(self, request: web.Request) -> str:
        digest = hashlib.sha256()
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(chunk)
        factor = self.faults.slow
        if clock() - self._started_at_ms < FLAGS.cold_ms:
            factor *= COLD_FACTOR
        await asyncio.sleep(float(request.query.get("work_ms", FLAGS.work_ms)) * factor / 1000)
        while self.faults.silent:
            await asyncio.sleep(0.05)
        return digest.hexdigest()[:16]

    async def _respond(
        self, request: web.Request, text: str, request_id: str
    ) -> web.StreamResponse:
        size = int(request.query.get("answer_bytes", 0))
        body = text.encode().ljust(size, b".")
        response = web.StreamResponse()
        response.content_length = len(body)
        response.headers["Fuchsiatrack-Request-Id"] = "other" if self.faults.crossed else request_id
        response.headers["Answer-Digest"] = hashlib.sha256(body).hexdigest()[:16]
        await response.prepare(request)
        if self.faults.truncate:
            await response.write(body[: len(body) // 2])
            request.transport.abort()  # type: ignore[union-attr]
            return response
        for start in range(0, len(body), CHUNK_BYTES):
            await response.write(body[start : start + CHUNK_BYTES])
        await response.write_eof()
        return response


def _refusal_response(reason: str, status: int) -> web.Response:
    headers = {VERDICT_HEADER: NOT_RUN, "Fuchsiatrack-Reason": reason}
    return web.Response(status=status, headers=headers)


def _deadline_s(request: web.Request) -> float:
    return float(request.headers.get("Fuchsiatrack-Deadline-Ms", "60000")) / 1000


async def _serve_until_stopped() -> None:
    # handler_cancellation cancels a request when its caller disconnects.
    backend = Backend(FLAGS.name)
    runner = web.AppRunner(backend.build(), access_log=None, handler_cancellation=True)
    await runner.setup()
    backend.count_connections = lambda: len(runner.server.connections)
    site = web.TCPSite(runner, FLAGS.address, FLAGS.port, backlog=512)
    await site.start()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def main(argv: list[str]) -> None:
    """Serve until stopped by a signal."""
    asyncio.run(_serve_until_stopped())


if __name__ == "__main__":
    app.run(main)
