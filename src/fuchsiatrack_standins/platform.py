"""Stand-in for the platform: the append-only log and the VM list over HTTP.

``POST /control/faults`` sets faults; ``PUT`` and ``DELETE`` of ``/control/vms/NAME`` change the VM
list.  All state is in memory.
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
flags.DEFINE_integer("appends_per_second", 400, "Rate above which appends are rejected.")
flags.DEFINE_integer("retention_ms", 3_600_000, "Retention of records.")
flags.DEFINE_integer("vm_lag_ms", 300, "Age of the VM list in responses.")
flags.DEFINE_integer("seed", 1, "Seed of random faults.")


@dataclasses.dataclass
class Faults:
    """Active faults; durations in milliseconds, probabilities from 0 to 1."""

    log_down: bool = False
    log_delay: int = 0
    lose_append_answers: float = 0.0
    late_effect: int = 0
    refuse_appends: float = 0.0
    vm_list_down: bool = False
    vm_list_frozen: bool = False


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """Record of a stream; `appended_at_s` is a time of the monotonic clock."""

    offset: int
    data: str
    appended_at_s: float


class Stream:
    """Stream of the log; `records` has the oldest first."""

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.next_offset = 1
        self.appended = asyncio.Condition()

    @property
    def first_offset(self) -> int:
        """Offset of the oldest retained record, or `next_offset` if there is none."""
        return self.records[0].offset if self.records else self.next_offset

    async def append(self, data: str) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self.records.append(StoredRecord(offset, data, time.monotonic()))
        self.next_offset += 1
        async with self.appended:
            self.appended.notify_all()
        return offset

    def expire(self, retention_ms: int) -> None:
        """Remove records older than *retention_ms*."""
        cutoff_s = time.monotonic() - retention_ms / 1000
        first_kept = next(
            (
                index
                for index, record in enumerate(self.records)
                if record.appended_at_s >= cutoff_s
            ),
            len(self.records),
        )
        del self.records[:first_kept]


class Platform:
    """HTTP service with the log and the VM list."""

    def __init__(
        self, appends_per_second: int, retention_ms: int, vm_lag_ms: int, seed: int
    ) -> None:
        self._appends_per_second = appends_per_second
        self._retention_ms = retention_ms
        self._vm_lag_ms = vm_lag_ms
        self._rng = random.Random(seed)
        self._streams: dict[str, Stream] = {}
        self._tokens = float(appends_per_second)
        self._tokens_updated_at_s = time.monotonic()
        self._vms: dict[str, dict[str, Any]] = {}
        self._versions: list[tuple[float, int, list[dict[str, Any]]]] = [(0.0, 0, [])]
        self._breakpoint = Breakpoint()
        self._late_appends: set[asyncio.Task] = set()
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
        if not self._try_acquire_token() or self._rng.random() < self.faults.refuse_appends:
            return web.Response(status=429)
        stream = self._stream(request)
        kind, writer = _kind_and_writer(data)
        await self._breakpoint.hold_if_armed(kind, "before", writer)
        if self.faults.log_down:
            return web.Response(status=503)
        self.appends += 1
        if self.faults.late_effect:
            append_task = asyncio.create_task(
                self._append_late(stream, data, self.faults.late_effect)
            )
            self._late_appends.add(append_task)
            append_task.add_done_callback(self._late_appends.discard)
            return web.Response(status=504)
        offset = await stream.append(data)
        await self._breakpoint.hold_if_armed(kind, "after", writer)
        if self.faults.log_down:
            return web.Response(status=503)
        if self._rng.random() < self.faults.lose_append_answers:
            return web.Response(status=504)
        return web.json_response({"offset": offset})

    async def _append_late(self, stream: Stream, data: str, delay_ms: int) -> None:
        await asyncio.sleep(delay_ms / 1000)
        await stream.append(data)

    def _try_acquire_token(self) -> bool:
        now_s = time.monotonic()
        self._tokens += (now_s - self._tokens_updated_at_s) * self._appends_per_second
        self._tokens = min(self._tokens, self._appends_per_second)
        self._tokens_updated_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.log_delay / 1000)
        if self.faults.log_down:
            return web.Response(status=503)
        stream = self._stream(request)
        from_offset, limit = int(request.query["from"]), int(request.query["limit"])
        stream.expire(self._retention_ms)
        if from_offset < stream.first_offset:
            return web.json_response({"first": stream.first_offset}, status=410)
        await self._wait_for_record(stream, from_offset, int(request.query.get("wait_ms", 0)))
        if self.faults.log_down:
            return web.Response(status=503)
        start = max(0, from_offset - stream.first_offset)
        records = stream.records[start : start + limit]
        body = {
            "records": [{"offset": item.offset, "data": item.data} for item in records],
            "next": stream.next_offset,
        }
        return web.json_response(body)

    async def _wait_for_record(self, stream: Stream, from_offset: int, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                async with stream.appended:
                    await stream.appended.wait_for(lambda: stream.next_offset > from_offset)
        except TimeoutError:
            pass

    def _stream(self, request: web.Request) -> Stream:
        return self._streams.setdefault(request.match_info["stream"], Stream())

    # The VM list

    async def _list_vms(self, request: web.Request) -> web.Response:
        if self.faults.vm_list_down:
            return web.Response(status=503)
        cutoff_s = time.monotonic() - self._vm_lag_ms / 1000
        visible = [item for item in self._versions if item[0] <= cutoff_s]
        if not self.faults.vm_list_frozen:
            del self._versions[: len(visible) - 1]
            _, version, vms = visible[-1]
        else:
            _, version, vms = self._versions[0]
        return web.json_response({"version": version, "vms": vms})

    async def _put_vm(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        self._vms[name] = {"name": name, **await request.json()}
        return self._add_list_version()

    async def _delete_vm(self, request: web.Request) -> web.Response:
        self._vms.pop(request.match_info["name"], None)
        return self._add_list_version()

    def _add_list_version(self) -> web.Response:
        version = self._versions[-1][1] + 1
        self._versions.append((time.monotonic(), version, list(self._vms.values())))
        return web.json_response({"version": version})

    # Control

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return web.json_response(dataclasses.asdict(self.faults))

    async def _expire(self, request: web.Request) -> web.Response:
        """Remove the records of a stream that its latest snapshot covers."""
        body = await request.json()
        stream = self._streams[body["stream"]]
        contents = [json.loads(item.data) for item in stream.records]
        snapshot_offsets = [item["as_of"] for item in contents if item["kind"] == "snapshot"]
        if snapshot_offsets:
            stream.records = [item for item in stream.records if item.offset > snapshot_offsets[-1]]
        return web.json_response({"first": stream.first_offset})

    async def _stats(self, request: web.Request) -> web.Response:
        heads = {name: stream.next_offset - 1 for name, stream in self._streams.items()}
        return web.json_response({"appends": self.appends, "heads": heads})


def _kind_and_writer(data: str) -> tuple[str, str]:
    """Return the kind of a record and the VM of its writer, or empty strings if unknown."""
    try:
        body = json.loads(data)
        return body["kind"], body["id"]["writer"].partition(".")[0]
    except (ValueError, KeyError, TypeError):
        return "", ""


def main(argv: list[str]) -> None:
    """Serve until stopped by a signal."""
    platform = Platform(FLAGS.appends_per_second, FLAGS.retention_ms, FLAGS.vm_lag_ms, FLAGS.seed)
    web.run_app(platform.build(), host=FLAGS.address, port=FLAGS.port, print=None, access_log=None)


if __name__ == "__main__":
    app.run(main)
