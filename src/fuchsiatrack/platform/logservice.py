"""Client of the platform's log service, whose topics are divided into parts."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import socket
import struct
from collections.abc import Iterable
from typing import Any

import aiohttp

from fuchsiatrack.control.compactedlog import (
    CompactedLog,
    CompactedPage,
    CompactedRecord,
    ConditionFailed,
    Fenced,
    Stream,
    Writer,
)
from fuchsiatrack.control.hedgedcall import Attempt
from fuchsiatrack.gateway.serverconnection import KeepaliveSettings, set_keepalive
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.kernel.errors import (
    AppendRefused,
    PlatformBusy,
    PlatformUnavailable,
    RecordsExpired,
)
from fuchsiatrack.kernel.fields import decode_object, describe, field, natural
from fuchsiatrack.kernel.trafficcounter import TrafficCounter, TrafficPurpose

# In every response; it rises when the service comes back from a copy of what it had.
ERA_HEADER = "Store-Era"
# Topics with this prefix keep the newest record of each key indefinitely.
COMPACTED_TOPIC_PREFIX = "keyed."
# A slow log service responds in half of this time, and the leader's lease survives two such
# timeouts.
APPEND_TIMEOUT_MS = 1_000
# Time for a response, in addition to the wait that a read asks for.
READ_TIMEOUT_MS = 1_500
# Time for the rest of a response whose beginning has arrived, and for each part of it.
BODY_TIMEOUT_MS = 2_500
BODY_PART_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 500
IDLE_TIMEOUT_S = 10.0
# A poll on a dead connection ends within 2 s, so that reads catch up within the time after which
# the platform expects it.
KEEPALIVE = KeepaliveSettings(idle_s=1, interval_s=1, probes=1, unacknowledged_ms=2_000)
MAX_LISTING_PAGES = 200
MAX_READ_BYTES = 2**20
# Longest response to an append, to a read, and of one page of a listing, which has 1 MB of records
# in base64.
MAX_APPEND_RESPONSE_BYTES = 65_536
MAX_PAGE_BYTES = 4 * 2**20
# Of all pages of a listing together.
MAX_LISTING_BYTES = 32 * 2**20
# A response to a read starts with the stream's end and its first retained offset; records follow.
_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")

_CALL_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    body: bytes
    era: int | None


class LogServiceClient(CompactedLog):
    """Client of the log service over HTTP.

    One response to a read has *max_read_size* bytes, if no record is longer: on a narrow link, what
    was asked for delays what is appended meanwhile.
    """

    def __init__(
        self,
        address: Endpoint,
        traffic: TrafficCounter | None = None,
        max_read_size: int = MAX_READ_BYTES,
    ) -> None:
        self._url = f"http://{address}"
        self._max_read_kib = -(-max_read_size // 1_024)
        self._traffic = traffic
        self._sessions: dict[bool, aiohttp.ClientSession] = {}

    async def newest(self, stream: Stream, attempt: Attempt | None = None) -> CompactedPage:
        query = {"Topic": COMPACTED_TOPIC_PREFIX + stream.topic, "part": str(stream.part)}
        records: list[CompactedRecord] = []
        end: int | None = None
        era: int | None = None
        size = 0
        for number in range(MAX_LISTING_PAGES):
            response = await self._get(
                "/-/log-newest", query, READ_TIMEOUT_MS, MAX_PAGE_BYTES, attempt
            )
            size += len(response.body)
            if size > MAX_LISTING_BYTES:
                raise PlatformUnavailable(f"listing has more than {MAX_LISTING_BYTES} bytes")
            if number and response.era != era:
                raise PlatformUnavailable("the log was restored during the listing")
            era = response.era
            if response.status == 404:
                # Treated as the end of the listing.
                return CompactedPage(tuple(records), end or 0, era=era)
            page = _parse_listing(response)
            try:
                records += [_decode_listed_record(item) for item in page["items"]]
                end = natural(page, "End") if end is None else end
                if not page["More"] or not page["items"]:
                    return CompactedPage(tuple(records), end, era=era)
                query["after"] = page["items"][-1]["Key"]
            except (KeyError, TypeError, ValueError) as error:
                raise PlatformUnavailable(f"malformed listing: {describe(str(error))}") from error
        raise PlatformUnavailable(f"listing has more than {MAX_LISTING_PAGES} pages")

    async def read(
        self, stream: Stream, first: int, wait: int, attempt: Attempt | None = None
    ) -> CompactedPage:
        query = {
            "Topic": COMPACTED_TOPIC_PREFIX + stream.topic,
            "part": str(stream.part),
            "From": str(first),
            "WaitMs": str(wait),
            "MaxKb": str(self._max_read_kib),
        }
        timeout = wait + READ_TIMEOUT_MS
        response = await self._get("/-/log-read", query, timeout, MAX_PAGE_BYTES, attempt)
        if response.status == 404:
            if first:
                raise RecordsExpired(0)
            # Treated as an empty page.  Wait here, since the log service did not.
            await asyncio.sleep(min(wait, READ_TIMEOUT_MS) / 1_000)
            return CompactedPage((), first, era=response.era)
        if response.status == 410:
            raise RecordsExpired(_decode_offset(response.body, "First"))
        if response.status != 200:
            raise PlatformBusy(f"read returned status {response.status}")
        end = _parse_end(response.body)
        if end is not None and end < first:
            raise RecordsExpired(end)
        records = _split_records(response.body, first)
        return CompactedPage(records, first + len(records), end or 0, response.era)

    async def append(
        self,
        stream: Stream,
        records: Iterable[tuple[str, bytes]],
        *,
        at: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        query = {"Topic": COMPACTED_TOPIC_PREFIX + stream.topic, "part": str(stream.part)}
        if at is not None:
            query["At"] = str(at)
        if writer is not None:
            query |= {
                "Producer": writer.name,
                "epoch": str(writer.epoch),
                "Sequence": str(writer.sequence),
            }
        data = b"".join(_encode_record(key, value) for key, value in records)
        response = await self._call(
            "POST", "/-/log-append", query, APPEND_TIMEOUT_MS, MAX_APPEND_RESPONSE_BYTES, data
        )
        status, body = response.status, response.body
        if status == 200:
            return _decode_offset(body, "End")
        detail = body[:200].decode("utf-8", "replace")
        if status == 412:
            raise ConditionFailed(detail)
        if status == 409:
            raise Fenced(detail)
        # An error status means that nothing was appended.
        raise AppendRefused(f"append returned status {status}: {detail}")

    async def close(self) -> None:
        for session in self._sessions.values():
            await session.close()

    async def _get(
        self, path: str, query: dict[str, str], timeout: int, limit: int, attempt: Attempt | None
    ) -> _Response:
        return await self._call("GET", path, query, timeout, limit, None, attempt)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: int,
        limit: int,
        data: bytes | None,
        attempt: Attempt | None = None,
    ) -> _Response:
        """Return the response; raise PlatformUnavailable unless a complete one arrives.

        One of more than *limit* bytes is discarded, and its connection closed.  One of a former era
        says nothing of the log as it is now, and doesn't count.
        """
        # aiohttp's total timeout loses a cancellation that arrives at the moment when it expires.
        client_timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1_000)
        try:
            async with (
                asyncio.timeout(timeout / 1_000) as response_timeout,
                self._session(attempt is not None and attempt.new_connection).request(
                    method, self._url + path, params=query, data=data, timeout=client_timeout
                ) as response,
            ):
                if attempt is not None:
                    attempt.record_response_start()
                era = _decode_era(response)
                if era is not None and not self.era.observe(era):
                    raise PlatformUnavailable(f"{path}: response of the former era {era}")
                body = await _read_body(response, limit, response_timeout if data is None else None)
        except _CALL_ERRORS as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from error
        if body is None:
            raise PlatformUnavailable(f"{path}: response exceeds {limit} bytes")
        if self._traffic is not None:
            self._traffic.add(TrafficPurpose.LOG, "", len(data or b""), len(body))
        return _Response(response.status, body, era)

    def _session(self, new_connection: bool) -> aiohttp.ClientSession:
        """Return the session that reuses connections, or the one that opens one for each call."""
        session = self._sessions.get(new_connection)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                force_close=new_connection,
                keepalive_timeout=None if new_connection else IDLE_TIMEOUT_S,
                socket_factory=_create_socket,
            )
            session = self._sessions[new_connection] = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return session


async def _read_body(
    response: aiohttp.ClientResponse, limit: int, timeout: asyncio.Timeout | None
) -> bytes | None:
    """Return the body, None if it has more than *limit* bytes.

    *timeout*, if any, follows its arrival, so that a slow response isn't cut off.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + BODY_TIMEOUT_MS / 1_000
    body = bytearray()
    while True:
        if timeout is not None:
            timeout.reschedule(min(end, loop.time() + BODY_PART_TIMEOUT_MS / 1_000))
        part = await response.content.readany()
        if not part:
            return bytes(body)
        body += part
        if len(body) > limit:
            response.close()
            return None


def _create_socket(info: tuple) -> socket.socket:
    family, socket_type, protocol, _, _ = info
    created = socket.socket(family, socket_type, protocol)
    created.setblocking(False)
    set_keepalive(created, KEEPALIVE)
    return created


def _encode_record(key: str, value: bytes) -> bytes:
    # Length of the rest, key length (1 byte), key, value.
    key_bytes = key.encode()
    return (
        _RECORD_LENGTH.pack(1 + len(key_bytes) + len(value))
        + bytes((len(key_bytes),))
        + key_bytes
        + value
    )


def _decode_era(response: aiohttp.ClientResponse) -> int | None:
    """Return the log's era that *response* states, None if it states none."""
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None


def _parse_end(body: bytes) -> int | None:
    """Return the end of the stream from the response to a read, None if it is incomplete."""
    return _READ_HEADER.unpack_from(body)[0] if len(body) >= _READ_HEADER.size else None


def _split_records(body: bytes, first: int) -> tuple[CompactedRecord, ...]:
    """Return the records in the response to a read, without an incomplete last one."""
    records = []
    position = _READ_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            break
        records.append(_decode_record(data, first + len(records)))
        position += length
    return tuple(records)


def _decode_record(data: bytes, offset: int) -> CompactedRecord:
    key_length = data[0] if data else 0
    key = data[1 : 1 + key_length].decode("utf-8", "replace")
    value = data[1 + key_length :]
    return CompactedRecord(key, value or None, offset)


def _decode_listed_record(item: dict[str, Any]) -> CompactedRecord:
    value = base64.b64decode(field(item, "Value", str))
    return CompactedRecord(field(item, "Key", str), value, natural(item, "Offset"))


def _parse_listing(response: _Response) -> dict[str, Any]:
    if response.status != 200:
        raise PlatformBusy(f"listing returned status {response.status}")
    return _decode_object(response.body)


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        return decode_object(body)
    except ValueError as error:
        raise PlatformUnavailable(f"malformed response: {error}") from error


def _decode_offset(body: bytes, name: str) -> int:
    """Return the offset called *name* in the response *body*, 0 if it has none."""
    decoded = _decode_object(body)
    try:
        return natural(decoded, name) if name in decoded else 0
    except ValueError as error:
        raise PlatformUnavailable(f"malformed response: {error}") from error
