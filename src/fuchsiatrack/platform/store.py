"""Client of the platform's store, which is a log of topics with partitions."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
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
from fuchsiatrack.gateway.serverconnection import set_keepalive
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable, RecordsExpired

# Topics with this prefix keep the newest record of each key.
KEYED_PREFIX = "keyed."
# Longest wait for the answer to an append, in milliseconds: a slow store answers in half of it,
# and a lease survives two such waits.
APPEND_TIMEOUT = 1_000
# Longest wait for an answer beyond the wait that a read asks for, in milliseconds.
READ_TIMEOUT = 1_500
CONNECT_TIMEOUT = 500
# Connections without a call are closed after this time, in seconds.
IDLE_S = 10.0
MAX_PAGES = 200
# Each answer to a read begins with the end and the first offset held, then records follow.
_READ_HEAD = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")

_CALL_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)


class StoreClient(CompactedLog):
    """Speaks to the store over HTTP."""

    def __init__(self, address: Endpoint) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def newest(self, stream: Stream) -> CompactedPage:
        query = {"Topic": KEYED_PREFIX + stream.topic, "part": str(stream.part)}
        records: list[CompactedRecord] = []
        end: int | None = None
        for _ in range(MAX_PAGES):
            status, body = await self._get("/-/log-newest", query, READ_TIMEOUT)
            if status == 404:
                return CompactedPage(tuple(records), end or 0)
            page = _parse_object(status, body)
            try:
                records += [_decode_item(item) for item in page["items"]]
                end = page["End"] if end is None else end
                if not page["More"] or not page["items"]:
                    return CompactedPage(tuple(records), end)
                query["after"] = page["items"][-1]["Key"]
            except (KeyError, TypeError, ValueError, binascii.Error) as error:
                raise PlatformUnavailable(f"listing can't be read: {error!r}") from error
        raise PlatformUnavailable(f"listing has more than {MAX_PAGES} pages")

    async def read(self, stream: Stream, first: int, wait: int) -> CompactedPage:
        query = {
            "Topic": KEYED_PREFIX + stream.topic,
            "part": str(stream.part),
            "From": str(first),
            "WaitMs": str(wait),
        }
        status, body = await self._get("/-/log-read", query, wait + READ_TIMEOUT)
        if status == 404:
            await asyncio.sleep(min(wait, READ_TIMEOUT) / 1_000)
            return CompactedPage((), first)
        if status == 410:
            raise RecordsExpired(int(_decode_json(body).get("First", 0)))
        if status != 200:
            raise PlatformUnavailable(f"read answered {status}")
        records = _split_records(body, first)
        return CompactedPage(records, first + len(records))

    async def append(
        self,
        stream: Stream,
        records: Iterable[tuple[str, bytes]],
        *,
        at: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        query = {"Topic": KEYED_PREFIX + stream.topic, "part": str(stream.part)}
        if at is not None:
            query["At"] = str(at)
        if writer is not None:
            query |= {
                "Producer": writer.name,
                "epoch": str(writer.epoch),
                "Sequence": str(writer.sequence),
            }
        data = b"".join(_encode_record(key, value) for key, value in records)
        status, body = await self._call("POST", "/-/log-append", query, APPEND_TIMEOUT, data)
        if status == 200:
            return int(_decode_json(body).get("End", 0))
        answer = body[:200].decode("utf-8", "replace")
        if status == 412:
            raise ConditionFailed(answer)
        if status == 409:
            raise Fenced(answer)
        raise AppendRefused(f"append answered {status}: {answer}")

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _get(self, path: str, query: dict[str, str], timeout: int) -> tuple[int, bytes]:
        return await self._call("GET", path, query, timeout, None)

    async def _call(
        self, method: str, path: str, query: dict[str, str], timeout: int, data: bytes | None
    ) -> tuple[int, bytes]:
        """Return status and body; raise PlatformUnavailable without a whole answer."""
        # A cancellation at the moment when aiohttp's own total timeout ends would be lost.
        limits = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT / 1_000)
        try:
            async with (
                asyncio.timeout(timeout / 1_000),
                self._client().request(
                    method, self._url + path, params=query, data=data, timeout=limits
                ) as response,
            ):
                return response.status, await response.read()
        except _CALL_ERRORS as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from error

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_S, socket_factory=_create_socket
            )
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._session


def _create_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    set_keepalive(created)
    return created


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    return _RECORD_LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value


def _split_records(body: bytes, first: int) -> tuple[CompactedRecord, ...]:
    """Return the records in the answer to a read; an incomplete last one is left out."""
    records = []
    position = _READ_HEAD.size
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
    size = data[0] if data else 0
    key = data[1 : 1 + size].decode("utf-8", "replace")
    value = data[1 + size :]
    return CompactedRecord(key, value or None, offset)


def _decode_item(item: dict[str, Any]) -> CompactedRecord:
    return CompactedRecord(item["Key"], base64.b64decode(item["Value"]), item["Offset"])


def _parse_object(status: int, body: bytes) -> dict[str, Any]:
    if status != 200:
        raise PlatformUnavailable(f"listing answered {status}")
    return _decode_json(body)


def _decode_json(body: bytes) -> dict[str, Any]:
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise PlatformUnavailable(f"answer can't be read: {error}") from error
    if not isinstance(decoded, dict):
        raise PlatformUnavailable("answer is no object")
    return decoded
