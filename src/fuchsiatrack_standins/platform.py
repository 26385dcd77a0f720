"""Stand-in for the platform: the append-only log and the VM list over HTTP.

Faults are switched on by ``POST /control/faults``; the VM list by ``PUT`` and ``DELETE``
``/control/vms/NAME``.  Nothing is kept on disk.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from typing import Any

from absl import app, flags
from aiohttp import web

from fuchsiatrack_standins.breakpoint import Breakpoint

FLAGS = flags.FLAGS
flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 7000, "Port to listen on.")
flags.DEFINE_integer("appends_per_second", 400, "Append rate above which appends are refused.")
flags.DEFINE_integer("retention_ms", 3_600_000, "How long records are kept.")
flags.DEFINE_integer("vm_lag_ms", 300, "Age of the VM list that is shown.")
flags.DEFINE_integer("seed", 1, "Seed of the faults that happen at random.")


@dataclasses.dataclass
class Faults:
    """Faults in force; durations in milliseconds, shares between 0 and 1."""

    log_down: bool = False
    log_delay: int = 0
    lose_append_answers: float = 0.0
    late_effect: int = 0
    refuse_appends: float = 0.0
    vm_list_down: bool = False
    vm_list_frozen: bool = False


@dataclasses.dataclass(frozen=True)
class Stored:
    """A record and when it was appended, in seconds of the monotonic clock."""

    offset: int
    data: str
    at: float


class Stream:
    """Records of one stream, oldest first."""

    def __init__(self) -> None:
        self.records: list[Stored] = []
        self.next = 1
        self.changed = asyncio.Condition()

    @property
    def first(self) -> int:
        """Offset of the oldest record that is kept, or `next` when there is none."""
        return self.records[0].offset if self.records else self.next

    async def append(self, data: str) -> int:
        """Add a record and return its offset."""
        offset = self.next
        self.records.append(Stored(offset, data, time.monotonic()))
        self.next += 1
        async with self.changed:
            self.changed.notify_all()
        return offset

    def expire(self, retention: int) -> None:
        """Drop records older than *retention* milliseconds."""
        horizon = time.monotonic() - retention / 1000
        keep = next((i for i, r in enumerate(self.records) if r.at >= horizon), len(self.records))
        del self.records[:keep]


class Platform:
    """The log and the VM list."""

    def __init__(self, appends_per_second: int, retention: int, vm_lag: int, seed: int) -> None:
        self._rate = appends_per_second
        self._retention = retention
        self._vm_lag = vm_lag
        self._rng = random.Random(seed)
        self._streams: dict[str, Stream] = {}
        self._allowance = float(appends_per_second)
        self._allowance_at = time.monotonic()
        self._vms: dict[str, dict[str, Any]] = {}
        self._versions: list[tuple[float, int, list[dict[str, Any]]]] = [(0.0, 0, [])]
        self._breakpoint = Breakpoint()
        self._late: set[asyncio.Task] = set()
        self.faults = Faults()
        self.appends = 0
        self.read_bytes = 0

    def build(self) -> web.Application:
        """Return the web application."""
        application = web.Application(client_max_size=64 << 20)
        application.add_routes(
            [
                web.post("/streams/{stream}/records", self._append),
                web.get("/streams/{stream}/records", self._read),
                web.get("/vms", self._list_vms),
                web.post("/control/faults", self._set_faults),
                web.post("/control/expire", self._expire),
                web.get("/control/stats", self._stats),
                web.put("/control/vms/{name}", self._put_vm),
                web.delete("/control/vms/{name}", self._delete_vm),
                *self._breakpoint.routes(),
            ]
        )
        return application

    # The log

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.text()
        await asyncio.sleep(self.faults.log_delay / 1000)
        if self.faults.log_down:
            return web.Response(status=503)
        if not self._allow() or self._rng.random() < self.faults.refuse_appends:
            return web.Response(status=429)
        stream = self._stream(request)
        kind, writer = _describe(data)
        await self._breakpoint.at(kind, "before", writer)
        if self.faults.log_down:
            return web.Response(status=503)
        self.appends += 1
        if self.faults.late_effect:
            task = asyncio.create_task(self._append_late(stream, data, self.faults.late_effect))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return web.Response(status=504)
        offset = await stream.append(data)
        await self._breakpoint.at(kind, "after", writer)
        if self.faults.log_down:
            return web.Response(status=503)
        if self._rng.random() < self.faults.lose_append_answers:
            return web.Response(status=504)
        return web.json_response({"offset": offset})

    async def _append_late(self, stream: Stream, data: str, delay: int) -> None:
        await asyncio.sleep(delay / 1000)
        await stream.append(data)

    def _allow(self) -> bool:
        now = time.monotonic()
        self._allowance += (now - self._allowance_at) * self._rate
        self._allowance = min(self._allowance, self._rate)
        self._allowance_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.log_delay / 1000)
        if self.faults.log_down:
            return web.Response(status=503)
        stream = self._stream(request)
        first, limit = int(request.query["from"]), int(request.query["limit"])
        stream.expire(self._retention)
        if first < stream.first:
            return web.json_response({"first": stream.first}, status=410)
        await self._wait_for_record(stream, first, int(request.query.get("wait_ms", 0)))
        if self.faults.log_down:
            return web.Response(status=503)
        start = max(0, first - stream.first)
        found = stream.records[start : start + limit]
        body = {
            "records": [{"offset": item.offset, "data": item.data} for item in found],
            "next": stream.next,
        }
        return web.json_response(body)

    async def _wait_for_record(self, stream: Stream, first: int, wait: int) -> None:
        try:
            async with asyncio.timeout(wait / 1000):
                async with stream.changed:
                    await stream.changed.wait_for(lambda: stream.next > first)
        except TimeoutError:
            pass

    def _stream(self, request: web.Request) -> Stream:
        return self._streams.setdefault(request.match_info["stream"], Stream())

    # The VM list

    async def _list_vms(self, request: web.Request) -> web.Response:
        if self.faults.vm_list_down:
            return web.Response(status=503)
        horizon = time.monotonic() - self._vm_lag / 1000
        shown = [item for item in self._versions if item[0] <= horizon]
        if not self.faults.vm_list_frozen:
            del self._versions[: len(shown) - 1]
            _, version, vms = shown[-1]
        else:
            _, version, vms = self._versions[0]
        return web.json_response({"version": version, "vms": vms})

    async def _put_vm(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        self._vms[name] = {"name": name, **await request.json()}
        return self._changed_vms()

    async def _delete_vm(self, request: web.Request) -> web.Response:
        self._vms.pop(request.match_info["name"], None)
        return self._changed_vms()

    def _changed_vms(self) -> web.Response:
        version = self._versions[-1][1] + 1
        self._versions.append((time.monotonic(), version, list(self._vms.values())))
        return web.json_response({"version": version})

    # Control

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return web.json_response(dataclasses.asdict(self.faults))

    async def _expire(self, request: web.Request) -> web.Response:
        """Drop all records of a stream that its latest snapshot covers."""
        body = await request.json()
        stream = self._streams[body["stream"]]
        found = [json.loads(item.data) for item in stream.records]
        covered = [item["as_of"] for item in found if item["kind"] == "snapshot"]
        if covered:
            stream.records = [item for item in stream.records if item.offset > covered[-1]]
        return web.json_response({"first": stream.first})

    async def _stats(self, request: web.Request) -> web.Response:
        heads = {name: stream.next - 1 for name, stream in self._streams.items()}
        return web.json_response({"appends": self.appends, "heads": heads})


def _describe(data: str) -> tuple[str, str]:
    """Return the kind of a record and the VM that wrote it, for breakpoints only."""
    try:
        body = json.loads(data)
        return body["kind"], body["id"]["writer"].partition(".")[0]
    except (ValueError, KeyError, TypeError):
        return "", ""


def main(argv: list[str]) -> None:
    """Serve until ended."""
    platform = Platform(FLAGS.appends_per_second, FLAGS.retention_ms, FLAGS.vm_lag_ms, FLAGS.seed)
    web.run_app(platform.build(), host=FLAGS.address, port=FLAGS.port, print=None, access_log=None)


if __name__ == "__main__":
    app.run(main)
