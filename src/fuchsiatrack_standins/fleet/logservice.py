"""Stand-in for the platform's log service.

Topics have partitions. Compacted topics, whose names start with `keyed.`, also retain the newest
record of each key.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import dataclasses
import enum
import itertools
import json
import struct

from aiohttp import web

MAX_WAIT_MS = 30_000
ERA_HEADER = "Store-Era"
# Responses stored for each producer, to be repeated when it retries an append.
STORED_RESPONSES = 5
NEWEST_PAGE_RECORDS = 50
# Longest response to a read that doesn't name a limit.
DEFAULT_READ_KIB = 1_024


class LogServiceMode(enum.Enum):
    """How the log service handles calls.

    BUSY responds to every call with status 503, RATE_LIMITED with 429. UNRESPONSIVE delays every
    call by `MAX_WAIT_MS`. LOSING_RESPONSES applies appends, but closes the connection without a
    response.
    """

    SERVING = "serving"
    BUSY = "busy"
    RATE_LIMITED = "many"
    UNRESPONSIVE = "silent"
    LOSING_RESPONSES = "losing-answers"


@dataclasses.dataclass
class _Producer:
    epoch: int
    next_sequence: int | None = None
    responses: dict[int, tuple[int, dict]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class LogPartition:
    """Records of one partition of a topic.

    `first` is the offset of the oldest retained record. `newest` maps each key to the offset and
    the value of its newest record.
    """

    records: list[bytes] = dataclasses.field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(default_factory=dict)
    producers: dict[str, _Producer] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def copy(self) -> LogPartition:
        """Return a partition with the same contents."""
        return LogPartition(
            list(self.records), self.first, dict(self.newest), copy.deepcopy(self.producers)
        )

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes, compacted: bool) -> None:
        """Append *record*.

        If *compacted* is set, it starts with one byte for the key's length, and the key.
        """
        if compacted:
            key_length = record[0]
            key, value = record[1 : 1 + key_length].decode(), record[1 + key_length :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        """Remove all records, but keep the newest of each key."""
        self.first, self.records = self.end, []


class LogServiceStandIn:
    """Log service on a loopback address; `calls` counts calls by path.

    `mode` selects a fault and `delay_ms` delays every call. While `ignores_appends_while_waiting`
    is set, a waiting read does not return before its wait has elapsed, even if records are
    appended.  Calls for a topic in `unavailable_topics` get status 503.
    Every response states `era`, unless it is None; it rises by one with each `restore`.
    """

    def __init__(self) -> None:
        self.mode = LogServiceMode.SERVING
        self.calls: dict[str, int] = {}
        self.ignores_appends_while_waiting = False
        self.delay_ms = 0
        self.unavailable_topics: set[str] = set()
        self.era: int | None = None
        # The end of each partition in the copy from which the log came back last.
        self._restored_ends: dict[tuple[str, int], int] = {}
        self._partitions: dict[tuple[str, int], LogPartition] = {}
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
        """Close the listener and every connection."""
        await self._runner.cleanup()

    def partition(self, topic: str, part: int = 0) -> LogPartition:
        """Return a partition, creating it on first use."""
        return self._partitions.setdefault((topic, part), LogPartition())

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a compacted record with *value* as JSON, as operators and servers do.

        If *value* is None, remove the key.
        """
        self.put_bytes(topic, key, b"" if value is None else json.dumps(value).encode())

    def put_bytes(self, topic: str, key: str, value: bytes) -> None:
        """Append a compacted record with any *value*, as another writer may."""
        encoded_key = key.encode()
        self.partition(topic).append(
            bytes((len(encoded_key),)) + encoded_key + value, compacted=True
        )

    def expire_records(self, topic: str) -> None:
        """Remove all records of *topic*, but keep the newest of each key."""
        self.partition(topic).expire()

    def copy(self) -> dict[tuple[str, int], LogPartition]:
        """Return a copy of all topics, to be restored later."""
        return {key: partition.copy() for key, partition in self._partitions.items()}

    def restore(self, partitions: dict[tuple[str, int], LogPartition]) -> None:
        """Come back from what `copy` returned; open reads get nothing of it."""
        former = self._partitions
        self._partitions = {key: partition.copy() for key, partition in partitions.items()}
        self._restored_ends = {key: partition.end for key, partition in partitions.items()}
        if self.era is not None:
            self.era += 1
        for partition in former.values():
            partition.changed.set()

    def rewrite(self, topic: str, newest: dict[str, tuple[int, bytes]]) -> None:
        """Write what `LogPartition.newest` of *topic* was before a restoration again.

        Keys that have been written since stay as they are.
        """
        partition = self.partition(topic)
        restored_end = self._restored_ends.get((topic, 0), 0)
        for key in sorted(partition.newest.keys() | newest.keys()):
            offset, present = partition.newest.get(key, (-1, b""))
            _, value = newest.get(key, (-1, b""))
            if offset < restored_end and present != value:
                self.put_bytes(topic, key, value)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        era = self.era
        response = await self._respond(request)
        if era is not None:
            response.headers[ERA_HEADER] = str(era)
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.mode is LogServiceMode.UNRESPONSIVE:
            await asyncio.sleep(MAX_WAIT_MS / 1_000)
        is_unavailable = request.query.get("Topic") in self.unavailable_topics
        if self.mode is LogServiceMode.BUSY or is_unavailable:
            return web.Response(status=503)
        if self.mode is LogServiceMode.RATE_LIMITED:
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
        if self.mode is LogServiceMode.LOSING_RESPONSES and path == "/-/log-append":
            request.transport.abort()
        return response

    async def _append(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        topic = query["Topic"]
        partition = self.partition(topic, int(query["part"]))
        records = _split_records(await request.read())
        if "At" in query and int(query["At"]) != partition.end:
            return web.json_response({"End": partition.end}, status=412)
        sequence = int(query["Sequence"]) if "Sequence" in query else None
        if "Producer" in query:
            rejection = _check_producer(partition, query["Producer"], int(query["epoch"]), sequence)
            if rejection is not None:
                status, body = rejection
                return web.json_response(body, status=status)
        body = {"Offset": partition.end, "End": partition.end + len(records)}
        for record in records:
            partition.append(record, topic.startswith("keyed."))
        if "Producer" in query and sequence is not None:
            _record_append(partition.producers[query["Producer"]], sequence, body)
        return web.json_response(body)

    async def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        partition = self.partition(query["Topic"], int(query["part"]))
        offset = int(query["From"])
        if not partition.first <= offset <= partition.end:
            return web.json_response({"First": partition.first}, status=410)
        wait_ms = min(int(query.get("WaitMs", 0)), MAX_WAIT_MS)
        if offset >= partition.end and wait_ms:
            await self._wait_for_record(partition, wait_ms)
        if offset < partition.first:
            return web.json_response({"First": partition.first}, status=410)
        limit = int(query.get("MaxKb", DEFAULT_READ_KIB)) * 1_024
        records = _first_records(partition.records[offset - partition.first :], limit)
        body = struct.pack(">QQ", partition.end, partition.first)
        body += b"".join(struct.pack(">I", len(item)) + item for item in records)
        return web.Response(body=body)

    async def _wait_for_record(self, partition: LogPartition, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                # An event that is never set makes the read wait for its whole timeout.
                await (
                    asyncio.Event() if self.ignores_appends_while_waiting else partition.changed
                ).wait()
        except TimeoutError:
            return

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        partition = self.partition(query["Topic"], int(query["part"]))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        page = keys[:NEWEST_PAGE_RECORDS]
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in ((key, partition.newest[key]) for key in page)
        ]
        more = len(keys) > len(page)
        return web.json_response({"items": items, "More": more, "End": partition.end})


def _first_records(records: list[bytes], limit: int) -> list[bytes]:
    """Return as many of the first *records* as have *limit* bytes together, at least one."""
    sizes = itertools.accumulate(4 + len(record) for record in records)
    return records[: max(1, sum(size <= limit for size in sizes))]


def _split_records(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _check_producer(
    partition: LogPartition, name: str, epoch: int, sequence: int | None
) -> tuple[int, dict] | None:
    """Return status and body of the response if nothing is to be appended, else None.

    An append with an older epoch is fenced, a retried one gets its earlier response, and one out of
    sequence is rejected.
    """
    producer = partition.producers.get(name)
    if producer is None or epoch > producer.epoch:
        partition.producers[name] = _Producer(epoch)
        return None
    if epoch < producer.epoch:
        return 409, {"why": "fenced"}
    if sequence in producer.responses:
        return producer.responses[sequence]
    if producer.next_sequence is not None and sequence != producer.next_sequence:
        return 409, {"why": "seq", "Sequence": producer.next_sequence}
    return None


def _record_append(producer: _Producer, sequence: int, body: dict) -> None:
    producer.next_sequence = sequence + 1
    producer.responses[sequence] = (200, body)
    for oldest in sorted(producer.responses)[:-STORED_RESPONSES]:
        del producer.responses[oldest]
