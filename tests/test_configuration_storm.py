"""The delay of the newest record of a stream, whatever was appended before it."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib

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
from fuchsiatrack.control.readdelay import READ_RESPONSE_MS, ReadDelay
from fuchsiatrack.gateway.settings import MAX_RECORD_BYTES, SettingsError
from fuchsiatrack.gateway.sources import ConfigurationHolder
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.platform import decoders
from fuchsiatrack.platform.adapter import HttpPlatformAdapter
from fuchsiatrack.platform.logservice import LogServiceClient
from fuchsiatrack.platform.settings import load_settings
from fuchsiatrack.ranges.leadership import Leadership
from fuchsiatrack.ranges.ownershipcache import OwnershipCache, map_key
from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from tests.fleet import HOST, configuration, endpoint_of, route
from tests.test_platform import SETTINGS

STREAM = Stream("op")
VERSIONS = 25
# Configurations of 250 kB on a link of 10 Mbit/s; ConfigApply of the larger sites.
LARGE_BYTES = 250_000
LINK_RATE = 1_250.0
CONFIG_APPLY_MS = 2_500
TIMEOUT_S = 20.0


class NarrowLog(CompactedLog):
    """A stream on a narrow link: while one response arrives, *pace* records are appended.

    A read returns one record.  `transfers` lists the responses, by their newest record.
    """

    def __init__(self, pace: int, count: int) -> None:
        self.records: list[CompactedRecord] = []
        self.transfers: list[str] = []
        self._pace = pace
        self._count = count
        self.append_now(1)

    def append_now(self, count: int) -> None:
        """Append the next *count* versions, up to the last one."""
        for index in range(len(self.records), min(len(self.records) + count, self._count)):
            self.records.append(CompactedRecord("config", b"%d" % (index + 1), index))

    async def newest(self, stream: Stream, attempt: Attempt | None = None) -> CompactedPage:
        page = CompactedPage((self.records[-1],), len(self.records))
        self._transfer(page)
        return page

    async def read(
        self, stream: Stream, first: int, wait: int, attempt: Attempt | None = None
    ) -> CompactedPage:
        if first >= len(self.records):
            await asyncio.sleep(3_600)
        page = CompactedPage((self.records[first],), first + 1, len(self.records))
        self._transfer(page)
        return page

    async def append(self, stream, records, *, at=None, writer=None) -> int:
        raise NotImplementedError

    def _transfer(self, page: CompactedPage) -> None:
        self.transfers.append(page.records[-1].value.decode())
        self.append_now(self._pace)


class TestNewestRecord:
    """The newest record doesn't wait for the records before it."""

    @pytest.mark.parametrize("pace", [1, 3, VERSIONS])
    async def test_newest_version_is_the_third_transfer_after_its_append(self, pace: int):
        """Guards against versions of a storm that are read in turn over a narrow link."""
        log, seen = NarrowLog(pace, VERSIONS), asyncio.Event()
        in_force: list[bytes] = []

        def apply(records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
            in_force.extend(record.value for record in records)
            if in_force[-1] == b"%d" % VERSIONS:
                seen.set()

        consumer = StreamConsumer(log, STREAM, SystemClock(), apply, apply, newest_only=True)
        task = asyncio.create_task(consumer.run())
        async with asyncio.timeout(TIMEOUT_S):
            await seen.wait()
        task.cancel()
        # The one that was under way when the last version was appended, a read, and a listing.
        appended_in = next(
            index
            for index in range(len(log.transfers))
            if 1 + pace * (index + 1) >= VERSIONS or pace >= VERSIONS
        )
        assert len(log.transfers) - appended_in <= 3

    async def test_daemon_that_was_cut_off_reads_the_newest_version_next(self):
        """Guards against a backlog that is read in turn after a cut or a pause."""
        log = NarrowLog(0, VERSIONS)
        in_force: list[bytes] = []

        def apply(records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
            in_force.extend(record.value for record in records)

        consumer = StreamConsumer(log, STREAM, SystemClock(), apply, apply, newest_only=True)
        task = asyncio.create_task(consumer.run())
        await asyncio.sleep(0.05)
        log.append_now(VERSIONS)
        consumer.poll_now()
        async with asyncio.timeout(TIMEOUT_S):
            while in_force[-1] != b"%d" % VERSIONS:
                await asyncio.sleep(0.01)
        task.cancel()
        assert len(log.transfers) <= 3


class CountingAdapter(HttpPlatformAdapter):
    """Lists the versions that were decoded whole."""

    def __init__(self) -> None:
        super().__init__()
        self.decoded: list[int] = []

    def decode_configuration(self, record: CompactedRecord):
        table = super().decode_configuration(record)
        self.decoded.append(table.version)
        return table


class TestConfigurationHolder:
    """Of records that arrive together the newest configuration alone is decoded."""

    def test_superseded_versions_are_not_decoded(self):
        """Guards against a daemon that does nothing else while it decodes a storm."""
        adapter = CountingAdapter()
        holder = ConfigurationHolder(adapter)
        holder.apply_records(tuple(map(_record, range(1, 6))), ReadContext())
        assert adapter.decoded == [5]
        assert holder.current.version == 5

    def test_version_before_a_malformed_one_comes_into_force(self):
        holder = ConfigurationHolder(HttpPlatformAdapter())
        odd = CompactedRecord("config", b'{"Version": "00000009"}', 3)
        no_version = CompactedRecord("config", b"odd", 4)
        other = CompactedRecord("other", b'{"Version": "0000000a"}', 5)
        records = (_record(5), _record(4), odd, no_version, other)
        holder.apply_records(records, ReadContext())
        assert holder.current.version == 5

    def test_older_version_is_ignored(self):
        holder = ConfigurationHolder(HttpPlatformAdapter())
        holder.apply_records((_record(5),), ReadContext())
        holder.apply_records((_record(4),), ReadContext())
        assert holder.current.version == 5

    def test_configuration_that_the_link_brings_too_late_is_reported(self, caplog):
        """Guards against an operator who isn't told that ConfigApply can't be kept."""
        caplog.set_level(logging.WARNING)
        narrow = ReadDelay(link_rate=1.0, page_size=2_000)
        holder = ConfigurationHolder(HttpPlatformAdapter(), CONFIG_APPLY_MS, narrow)
        holder.apply_records((_record(1),), ReadContext())
        [line] = [item for item in caplog.records if hasattr(item, "allowed_ms")]
        assert line.delay_ms == holder.delay_bound > line.allowed_ms
        caplog.clear()
        wide = ReadDelay(LINK_RATE, 2_000)
        holder = ConfigurationHolder(HttpPlatformAdapter(), CONFIG_APPLY_MS, wide)
        holder.apply_records((_record(1),), ReadContext())
        assert not caplog.records


class TestRouteCache:
    """The next version decodes only the routes that changed."""

    def test_unchanged_routes_are_not_decoded_again(self, monkeypatch):
        """Guards against a daemon that serves nothing while it decodes each version of a storm."""
        adapter, decoded = HttpPlatformAdapter(), []
        decode_route = decoders._decode_route

        def record_decoding(host: str, item: dict):
            decoded.append(item["Name"])
            return decode_route(host, item)

        monkeypatch.setattr(decoders, "_decode_route", record_decoding)
        routes = [route(f"r{index}", f"/{index}/", "safe", "s") for index in range(20)]
        first = adapter.decode_configuration(_record(1, routes))
        routes[7] = {**routes[7], "Timeout": "999ms"}
        second = adapter.decode_configuration(
            _record(2, [route("new", "/n/", "safe", "s"), *routes])
        )
        assert decoded == [f"r{index}" for index in range(20)] + ["new", "r7"]
        assert second.find(HOST, "/7/").timeout == 999
        assert set(first.routes) - set(second.routes) == {first.find(HOST, "/7/")}

    def test_known_route_is_malformed_once_its_service_is_gone(self):
        adapter = HttpPlatformAdapter()
        routes = [route("a", "/a/", "safe", "a"), route("b", "/b/", "safe", "b")]
        adapter.decode_configuration(_record(1, routes))
        body = configuration(2, routes)
        body["Services"] = [item for item in body["Services"] if item["Name"] == "a"]
        table = adapter.decode_configuration(
            CompactedRecord("config", json.dumps(body).encode(), 2)
        )
        assert table.find(HOST, "/b/").error
        assert not table.find(HOST, "/a/").error


class TestOwnershipCache:
    """Maps of a page that a later one supersedes aren't decoded."""

    def test_newest_map_of_each_service_is_applied(self, monkeypatch):
        clock = SystemClock()
        cache = OwnershipCache(Leadership.__new__(Leadership), clock)
        applied: list[tuple[str, bytes]] = []
        monkeypatch.setattr(cache, "apply_map", lambda *change: not applied.append(change))
        records = [
            CompactedRecord(map_key(service), value, offset)
            for offset, (service, value) in enumerate([("a", b"1"), ("b", b"2"), ("a", b"3")])
        ]
        cache.apply_records(tuple(records), ReadContext())
        assert sorted(applied) == [("a", b"3"), ("b", b"2")]


class TestReadDelay:
    """The delay of the newest configuration follows from a daemon's settings."""

    def test_bound_is_the_sum_of_a_read_and_two_listings(self):
        delay = ReadDelay(link_rate=100.0, page_size=1_000)
        assert delay.transfer(1_000) == 10
        # Two listings of 3,000 bytes in base64, and a read of one record.
        assert delay.bound(3_000) == 2 * 40 + 30 + 2 * READ_RESPONSE_MS
        # The read may return several small records.
        assert delay.bound(300) == 2 * 4 + 10 + 2 * READ_RESPONSE_MS

    @pytest.mark.parametrize("link_mbps", [5, 10, 20])
    def test_largest_configuration_is_in_time_on_the_links_of_the_sites(self, link_mbps: int):
        """`RecordBytes` bounds a configuration, and ConfigApply is 2.5 s or more on such links."""
        delay = ReadDelay(link_mbps * 125.0, MAX_RECORD_BYTES + 1_024)
        assert delay.bound(MAX_RECORD_BYTES) <= CONFIG_APPLY_MS

    async def test_read_brings_little_more_than_one_record(self):
        """Guards against a read of several versions that delays a later one."""
        log_service = LogServiceStandIn()
        await log_service.start()
        client = LogServiceClient(endpoint_of(log_service), max_read_size=LARGE_BYTES + 1_024)
        try:
            for _ in range(4):
                log_service.put_bytes("keyed.op", "config", b"x" * LARGE_BYTES)
            page = await client.read(STREAM, 0, 0)
            assert len(page.records) == 1
            assert not page.is_last
        finally:
            await client.close()
            await log_service.stop()


class TestSettings:
    """Settings that bound the delay of a configuration may be missing, but not malformed."""

    def test_link_and_bounds_are_read(self, tmp_path: pathlib.Path):
        settings = load_settings(_write_settings(tmp_path, "LinkMbps = 10.0", "RecordBytes = 5000"))
        assert settings.link_rate == LINK_RATE
        assert settings.max_record_size == 5_000

    def test_defaults(self, tmp_path: pathlib.Path):
        settings = load_settings(_write_settings(tmp_path))
        assert settings.link_rate == 0
        assert settings.max_record_size == MAX_RECORD_BYTES

    @pytest.mark.parametrize("link", ["0", "-1", '"fast"', "true"])
    def test_malformed_rate_is_rejected(self, tmp_path: pathlib.Path, link: str):
        with pytest.raises(SettingsError, match="LinkMbps"):
            load_settings(_write_settings(tmp_path, f"LinkMbps = {link}"))


def _record(version: int, routes: list[dict] | None = None) -> CompactedRecord:
    routes = routes or [route("reads", "/reads/", "safe", "catalogue")]
    value = json.dumps(configuration(version, routes)).encode()
    return CompactedRecord("config", value, version)


def _write_settings(folder: pathlib.Path, limits: str = "", store: str = "") -> pathlib.Path:
    """Write a settings file with more lines in the tables of the VM's limits and of the log."""
    text = SETTINGS.replace("[Network]\n", f"[Self.Limits]\n{limits}\n[Network]\n")
    text = text.replace("[Platform.Platform]\n", f"[Platform.Platform]\n{store}\n")
    path = folder / "boot.toml"
    path.write_text(text)
    return path
