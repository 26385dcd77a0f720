"""Stand-in of the platform's store: topics with partitions, keyed ones keep the newest records."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import enum
import json
import struct

from aiohttp import web

MAX_WAIT_MS = 30_000
REPEATS_KEPT = 5
NEWEST_PAGE = 50


class Mode(enum.Enum):
    """How the store treats calls."""

    SERVING = "serving"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    LOSING_ANSWERS = "losing-answers"


@dataclasses.dataclass
class _Producer:
    epoch: int
    next: int | None = None
    answers: dict[int, tuple[int, dict]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Partition:
    """Records of one partition; `first` is the offset of the oldest that is held."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(default_factory=dict)
    producers: dict[str, _Producer] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def add(self, data: bytes, keyed: bool) -> None:
        """Append one record."""
        if keyed:
            size = data[0]
            key, value = data[1 : 1 + size].decode(), data[1 + size :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        """Drop all records; the newest of each key stay."""
        self.first, self.records = self.end, []


class StoreStandIn:
    """The store; `mode` says how calls are treated, `calls` counts them by path."""

    def __init__(self) -> None:
        self.mode = Mode.SERVING
        self.calls: dict[str, int] = {}
        self.deaf_reads = False
        self.delay_ms = 0
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port of *host*."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True)
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener."""
        await self._runner.cleanup()

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Return a partition; a topic is made on its first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write one keyed record as the operator or a server does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.partition(topic).add(bytes((len(name),)) + name + data, keyed=True)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.mode is Mode.SILENT:
            await asyncio.sleep(MAX_WAIT_MS / 1_000)
        if self.mode is Mode.BUSY:
            return web.Response(status=503)
        if self.mode is Mode.MANY:
            return web.Response(status=429)
        await asyncio.sleep(self.delay_ms / 1_000)
        handlers = {
            "/-/log-append": self._append,
            "/-/log-read": self._read,
            "/-/log-newest": self._newest,
        }
        if path not in handlers:
            return web.Response(status=404)
        response = await handlers[path](request)
        if self.mode is Mode.LOSING_ANSWERS and path == "/-/log-append":
            request.transport.abort()
        return response

    async def _append(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        topic = query["Topic"]
        partition = self.partition(topic, int(query["part"]))
        records = _split(await request.read())
        if "At" in query and int(query["At"]) != partition.end:
            return web.json_response({"End": partition.end}, status=412)
        sequence = int(query["Sequence"]) if "Sequence" in query else None
        if "Producer" in query:
            refusal = _check_producer(partition, query["Producer"], int(query["epoch"]), sequence)
            if refusal is not None:
                status, body = refusal
                return web.json_response(body, status=status)
        body = {"Offset": partition.end, "End": partition.end + len(records)}
        for record in records:
            partition.add(record, topic.startswith("keyed."))
        if "Producer" in query and sequence is not None:
            _note_append(partition.producers[query["Producer"]], sequence, body)
        return web.json_response(body)

    async def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        partition = self.partition(query["Topic"], int(query["part"]))
        first = int(query["From"])
        if first < partition.first:
            return web.json_response({"First": partition.first}, status=410)
        wait = min(int(query.get("WaitMs", 0)), MAX_WAIT_MS)
        if first >= partition.end and wait:
            await self._wait_for_record(partition, wait)
        if first < partition.first:
            return web.json_response({"First": partition.first}, status=410)
        records = partition.records[first - partition.first :]
        body = struct.pack(">QQ", partition.end, partition.first)
        body += b"".join(struct.pack(">I", len(item)) + item for item in records)
        return web.Response(body=body)

    async def _wait_for_record(self, partition: Partition, wait: int) -> None:
        try:
            async with asyncio.timeout(wait / 1_000):
                # A deaf read hears of nothing until its wait is over.
                await (asyncio.Event() if self.deaf_reads else partition.changed).wait()
        except TimeoutError:
            return

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        partition = self.partition(query["Topic"], int(query["part"]))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        page = keys[:NEWEST_PAGE]
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in ((key, partition.newest[key]) for key in page)
        ]
        more = len(keys) > len(page)
        return web.json_response({"items": items, "More": more, "End": partition.end})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _check_producer(
    partition: Partition, name: str, epoch: int, sequence: int | None
) -> tuple[int, dict] | None:
    """Return the answer that ends the append, None when it may go on."""
    known = partition.producers.get(name)
    if known is None or epoch > known.epoch:
        partition.producers[name] = _Producer(epoch)
        return None
    if epoch < known.epoch:
        return 409, {"why": "fenced"}
    if sequence in known.answers:
        return known.answers[sequence]
    if known.next is not None and sequence != known.next:
        return 409, {"why": "seq", "Sequence": known.next}
    return None


def _note_append(producer: _Producer, sequence: int, body: dict) -> None:
    producer.next = sequence + 1
    producer.answers[sequence] = (200, body)
    for old in sorted(producer.answers)[:-REPEATS_KEPT]:
        del producer.answers[old]
