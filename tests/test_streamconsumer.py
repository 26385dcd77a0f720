"""Reading a stream of the log with few calls and without missing records."""

from __future__ import annotations

import asyncio
import contextlib
import struct

import pytest

from fuchsiatrack.control.compactedlog import (
    CompactedLog,
    CompactedPage,
    CompactedRecord,
    ReadContext,
    Stream,
    StreamConsumer,
)
from fuchsiatrack.control.hedgedcall import Attempt
from fuchsiatrack.directory.departurebudget import DepartureBudget
from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry, ServerIncarnation
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.platform.logservice import LogServiceClient


class FakeLog(CompactedLog):
    """An in-memory stream.

    While `loses_polls` is set, long polls return records only after their full wait.
    """

    def __init__(self) -> None:
        self.records: list[CompactedRecord] = []
        self.reads = 0
        self.loses_polls = False
        self.is_down = False
        self._appended = asyncio.Condition()

    async def newest(self, stream: Stream, attempt: Attempt | None = None) -> CompactedPage:
        newest = {record.key: record for record in self.records}
        return CompactedPage(tuple(newest.values()), len(self.records))

    async def read(
        self, stream: Stream, first: int, wait: int, attempt: Attempt | None = None
    ) -> CompactedPage:
        self.reads += 1
        async with self._appended:
            self._appended.notify_all()
        if self.is_down:
            raise PlatformUnavailable("down")
        if self.loses_polls and wait:
            await asyncio.sleep(wait / 1_000)
        if wait:
            async with self._appended:
                await self._appended.wait_for(lambda: len(self.records) > first)
        return CompactedPage(tuple(self.records[first:]), len(self.records))

    async def wait_for_reads(self, count: int) -> None:
        async with asyncio.timeout(10):
            async with self._appended:
                await self._appended.wait_for(lambda: self.reads >= count)

    async def append(self, stream, records, *, at=None, writer=None) -> int:
        for key, value in records:
            self.records.append(CompactedRecord(key, value, len(self.records)))
        async with self._appended:
            self._appended.notify_all()
        return len(self.records)


class TestStreamConsumer:
    """Few calls, and no record that is missed."""

    @pytest.fixture
    async def parts(self):
        log, seen = FakeLog(), []
        consumer = StreamConsumer(
            log,
            Stream("servers"),
            SystemClock(),
            lambda records, context: None,
            lambda records, context: seen.extend(record.key for record in records),
            pause=200,
        )
        task = asyncio.create_task(consumer.run())
        await asyncio.sleep(0.05)
        yield log, consumer, seen
        task.cancel()

    async def test_records_appended_together_take_few_reads(self, parts):
        """Servers register one after the other, and peers report how far they have read."""
        log, consumer, seen = parts
        for index in range(10):
            await log.append(Stream("servers"), [(f"s{index}", b"")])
            consumer.observe_peer_offset(index + 1)
            await asyncio.sleep(0.01)
        # The poll that returned the first record, the one after the pause, and the open one.
        await log.wait_for_reads(3)
        assert len(seen) == 10
        await asyncio.sleep(0.6)
        assert log.reads == 3

    async def test_superseded_records_are_not_read(self):
        """A large map that changes often would otherwise be read in all its versions."""
        log, seen = FakeLog(), []
        consumer = StreamConsumer(
            log,
            Stream("state"),
            SystemClock(),
            lambda records, context: seen.extend(record.value for record in records),
            lambda records, context: seen.extend(record.value for record in records),
            pause=200,
            newest_only=True,
        )
        task = asyncio.create_task(consumer.run())
        await asyncio.sleep(0.05)
        for index in range(30):
            await log.append(Stream("state"), [("map", b"%d" % index)])
            await asyncio.sleep(0)
        await log.wait_for_reads(2)
        task.cancel()
        assert seen[-1] == b"29"
        assert len(seen) <= 3

    async def test_pause_that_is_set_applies_to_the_next_one(self, parts):
        log, consumer, seen = parts
        consumer.set_pause(5_000)
        await log.append(Stream("servers"), [("s0", b"")])
        await log.wait_for_reads(1)
        await asyncio.sleep(0.5)
        assert seen == ["s0"]
        assert log.reads == 1
        consumer.poll_now()
        await log.wait_for_reads(2)

    async def test_peer_that_is_briefly_ahead_causes_no_read(self, parts):
        log, consumer, seen = parts
        consumer.observe_peer_offset(1)
        await asyncio.sleep(0.05)
        await log.append(Stream("servers"), [("s0", b"")])
        await asyncio.sleep(0.5)
        assert seen == ["s0"]
        assert log.reads == 2

    async def test_lost_poll_is_replaced(self, parts):
        log, consumer, seen = parts
        log.loses_polls = True
        consumer.poll_now()
        await asyncio.sleep(0.05)
        await log.append(Stream("servers"), [("s0", b"")])
        consumer.observe_peer_offset(1)
        await asyncio.sleep(0.4)
        assert seen == ["s0"]


class SlowLogServer:
    """Lists nothing; answers a read with one record whose bytes arrive over *duration_s*."""

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self.reads = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> Endpoint:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Endpoint(*self._server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                is_read = b"/-/log-read" in head
                self.reads += is_read
                record = b"\x00\x00\x00\x04\x02s0v"
                body = (
                    struct.pack(">QQ", 1, 0) + record if is_read else b'{"items":[],"More":false,'
                )
                body += b"" if is_read else b'"End":0}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                for byte in body:
                    await asyncio.sleep(self._duration_s / len(body) if is_read else 0)
                    writer.write(bytes((byte,)))

    def close(self) -> None:
        self._server.close()


class TestSlowResponses:
    """A large record takes long to arrive while many daemons read it."""

    async def test_read_whose_response_is_arriving_is_not_repeated(self):
        """Each repeated read of a large record slows down all of them."""
        assert await _count_reads(1.2) == 1

    async def test_response_that_arrives_for_longer_than_its_start_may_take_is_read(self):
        """Otherwise a large configuration is never read over a slow link."""
        assert await _count_reads(1.9) == 1


async def _count_reads(duration_s: float) -> int:
    """Return how many reads it takes to receive a record that arrives over *duration_s*."""
    server, seen = SlowLogServer(duration_s), asyncio.Event()
    log = LogServiceClient(await server.start())
    consumer = StreamConsumer(
        log,
        Stream("op"),
        SystemClock(),
        lambda records, context: None,
        lambda records, context: seen.set(),
    )
    consumer.poll_now()
    task = asyncio.create_task(consumer.run())
    async with asyncio.timeout(30):
        await seen.wait()
    reads = server.reads
    task.cancel()
    await log.close()
    server.close()
    return reads


class TestDirectoryAfterAnOutage:
    """Entries that expired during a log outage are kept for a while, others are not."""

    async def test_server_that_leaves_after_an_outage_is_gone_in_time(self):
        """A server is gone 2,000 ms after the log service has accepted its removal.

        The removal must not count as an expiry during the outage that ended shortly before.
        """
        log, clock = FakeLog(), SystemClock()
        directory = ServerDirectory(clock, DepartureBudget(2_000, 3_000))
        entry = ServerEntry(ServerIncarnation("s0", 1), "lab", "127.0.0.1:1", "a", 4, False, False)
        directory.put(entry, ReadContext())
        consumer = StreamConsumer(
            log,
            Stream("servers"),
            clock,
            lambda records, context: None,
            lambda records, context: [directory.remove(item.key, context) for item in records],
        )
        task = asyncio.create_task(consumer.run())
        await asyncio.sleep(0.05)
        log.is_down = True
        consumer.poll_now()
        await asyncio.sleep(0.05)
        log.is_down = False
        await asyncio.sleep(1.2)
        assert not consumer.is_failing
        await log.append(Stream("servers"), [("s0", b"")])
        await asyncio.sleep(1.9)
        directory.expire()
        task.cancel()
        assert not directory.entries
